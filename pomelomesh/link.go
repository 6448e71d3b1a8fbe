package pomelomesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/encoding/protowire"
)

// frameOverhead is the measured number of bytes that gRPC, HTTP/2 and TLS add to a frame.
const frameOverhead = 56

// minLinkRate is the lowest throughput assumed for a link, in bytes per second.
const minLinkRate = 128 << 10

// frameStream is the common interface of the client and server ends of a gRPC stream.
type frameStream interface {
	SendMsg(m any) error
	RecvMsg(m any) error
}

// link is a stream to a peer, opened by either end.
type link struct {
	m           *Mesh
	peer        *peer
	class       pomelorelay.LinkClass
	incarnation pomelorelay.Incarnation
	domain      pomelorelay.DomainID
	region      pomelorelay.RegionID
	stream      frameStream
	ctx         context.Context
	cancel      context.CancelFunc
	superseded  bool // guarded by the peer's mutex

	// Times of Mesh.steady; zero means none.
	ackAwaitedSince atomic.Int64 // sending of the first unacknowledged frame, plus the transfer time of the frames sent since
	ackPendingSince atomic.Int64 // receipt of the first frame not yet acknowledged by this router
	lastReceived    atomic.Int64 // last frame received
	lastMessage     atomic.Int64 // last message sent or received
	inboxBlocked    atomic.Bool  // the goroutine that reads is waiting for space in the inbox
}

func (m *Mesh) newLink(ctx context.Context, stream frameStream) *link {
	l := &link{m: m, stream: stream}
	l.ctx, l.cancel = context.WithCancel(ctx)
	now := m.steady()
	l.lastReceived.Store(now)
	l.lastMessage.Store(now)
	return l
}

// frameHeader returns the encoded configuration generation with which every frame begins.
func (m *Mesh) frameHeader() []byte {
	generation := m.generation.Load()
	if generation == 0 {
		return nil
	}
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), generation)
}

// writeFrame sends a frame and ends the link on failure. Only the peer's goroutine calls it.
func (l *link) writeFrame(frame []byte, expectsAck bool) bool {
	now := l.m.steady()
	l.ackPendingSince.Store(0)
	if expectsAck {
		l.awaitAck(now, len(frame))
		l.lastMessage.Store(now)
	}
	if err := l.stream.SendMsg(rawFrame(frame)); err != nil {
		l.cancel()
		return false
	}
	return true
}

// awaitAck starts the wait for an acknowledgement or extends a wait in progress; either way it allows for the frame's
// transfer time at minLinkRate. The peer acknowledges a frame only after receiving all of it, so without the extension
// a large configuration part would repeatedly break a slow link.
func (l *link) awaitAck(now int64, size int) {
	transfer := int64(size) * int64(time.Second) / minLinkRate
	for {
		since := l.ackAwaitedSince.Load()
		start := since + transfer
		if since == 0 {
			start = now + transfer
		}
		if l.ackAwaitedSince.CompareAndSwap(since, start) {
			return
		}
	}
}

// keepaliveDue reports whether an acknowledgement or a ping must be sent.
func (l *link) keepaliveDue(now int64) bool { return l.ackDue(now) || l.pingDue(now) }

func (l *link) ackDue(now int64) bool {
	since := l.ackPendingSince.Load()
	return since != 0 && now-since >= int64(l.m.cfg.Timing.AckDelay)
}

func (l *link) pingDue(now int64) bool {
	return l.ackAwaitedSince.Load() == 0 && now-l.lastReceived.Load() >= int64(l.m.cfg.Timing.PingInterval)
}

func (l *link) sendKeepalive(now int64) {
	if l.pingDue(now) {
		l.ackAwaitedSince.CompareAndSwap(0, now)
		ping := protowire.AppendVarint(protowire.AppendTag(l.m.frameHeader(), 4, protowire.VarintType), 1)
		l.chargeFrame(ping)
		l.writeFrame(ping, false)
		return
	}
	if l.ackDue(now) {
		frame := l.m.frameHeader()
		l.chargeFrame(frame)
		l.writeFrame(frame, false)
		if l.inboxBlocked.Load() {
			l.ackPendingSince.Store(now)
		}
	}
}

func (l *link) chargeFrame(frame []byte) { l.m.budgets[l.class].charge(len(frame) + frameOverhead) }

// expired reports whether the link must be closed: the link is idle and keepIdle is not set, or an acknowledgement is
// missing. A half-open connection accepts writes for minutes while callers wait for grants that never arrive. Since the
// peer acknowledges every frame within AckDelay, a missing acknowledgement reveals such a connection.
func (l *link) expired(now int64, keepIdle bool) bool {
	since := l.ackAwaitedSince.Load()
	if since != 0 && now-since >= int64(l.m.cfg.Timing.AckTimeout) {
		return true
	}
	return !keepIdle && now-l.lastMessage.Load() >= int64(l.m.cfg.Timing.IdleTimeout)
}

// read delivers received messages until the stream ends.
func (l *link) read() error {
	for {
		frame := new(pomelowire.Frame)
		if err := l.stream.RecvMsg(frame); err != nil {
			return err
		}
		l.recordFrame(frame)
		for _, item := range frame.GetItems() {
			if !l.deliver(frame.GetGeneration(), item) {
				return context.Canceled
			}
		}
	}
}

func (l *link) recordFrame(frame *pomelowire.Frame) {
	now := l.m.steady()
	l.lastReceived.Store(now)
	l.ackAwaitedSince.Store(0)
	if len(frame.GetItems()) > 0 {
		l.lastMessage.Store(now)
	}
	if len(frame.GetItems()) > 0 || frame.GetPing() {
		l.ackPendingSince.CompareAndSwap(0, now)
	}
}

// deliver passes one message to the inbox. It blocks while the inbox is full, which slows the sender by flow control.
func (l *link) deliver(generation uint64, item *pomelowire.Item) bool {
	message, err := decodeItem(item)
	if err != nil {
		l.recordUndecodable(err)
		return true
	}
	if !l.peer.accept(l) {
		l.m.counters.stale.Add(1)
		return true
	}
	envelope := pomelorelay.Envelope{
		From: l.peer.node, Incarnation: l.incarnation, Domain: l.domain, Region: l.region, Generation: pomelorelay.Generation(generation), Message: message,
	}
	select {
	case l.m.inbox <- envelope:
		return true
	default:
	}
	l.inboxBlocked.Store(true)
	defer l.inboxBlocked.Store(false)
	l.ackPendingSince.CompareAndSwap(0, l.m.steady())
	select {
	case l.m.inbox <- envelope:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *link) recordUndecodable(err error) {
	if pomelorelay.IsErrCode(err, pomelorelay.CodeMeshUnknownKind) {
		l.m.counters.unknownKinds.Add(1)
		return
	}
	l.m.counters.malformed.Add(1)
	l.m.cfg.Logger.Log(pomelorelay.EventMeshMalformed, pomelorelay.Field{Key: "Node", Value: l.peer.node}, pomelorelay.Field{Key: "Error", Value: err.Error()})
}

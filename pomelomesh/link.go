package pomelomesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/protobuf/encoding/protowire"
)

// frameOverhead is what grpc, HTTP/2 and TLS add to a frame, as BenchmarkJourney counts it.
const frameOverhead = 56

// minLinkRate is the bytes a second that a link carries at least.
const minLinkRate = 128 << 10

// frameStream is what both ends of a grpc stream have in common.
type frameStream interface {
	SendMsg(m any) error
	RecvMsg(m any) error
}

// link is one stream to a peer, whichever end dialled it.
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

	// Unix nanoseconds; zero when there is none.
	ackAwaitedSince atomic.Int64 // the first frame sent since the last one received
	ackOwedSince    atomic.Int64 // the first frame received since the last one sent
	lastReceived    atomic.Int64 // the last frame received
	lastMessage     atomic.Int64 // the last message sent or received
	inboxBlocked    atomic.Bool  // the reader waits for room in the inbox
}

func (m *Mesh) newLink(ctx context.Context, stream frameStream) *link {
	l := &link{m: m, stream: stream}
	l.ctx, l.cancel = context.WithCancel(ctx)
	now := time.Now().UnixNano()
	l.lastReceived.Store(now)
	l.lastMessage.Store(now)
	return l
}

// frameHeader returns the start of every frame: the configuration generation.
func (m *Mesh) frameHeader() []byte {
	generation := m.generation.Load()
	if generation == 0 {
		return nil
	}
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), generation)
}

// writeFrame sends a frame and ends the link when that fails. Only the peer's goroutine calls it.
func (l *link) writeFrame(frame []byte, expectsAck bool) bool {
	now := time.Now().UnixNano()
	l.ackOwedSince.Store(0)
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

// awaitAck starts or prolongs the wait for an answer. A far end answers only once it has the whole frame; without the time
// for its bytes a configuration part on a slow link would break the link, again and again.
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

// keepaliveDue reports whether the far end waits for a sign of life, or must be asked for one.
func (l *link) keepaliveDue(now time.Time) bool { return l.ackDue(now) || l.pingDue(now) }

func (l *link) ackDue(now time.Time) bool {
	since := l.ackOwedSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(l.m.cfg.Timing.AckDelay)
}

func (l *link) pingDue(now time.Time) bool {
	return l.ackAwaitedSince.Load() == 0 && now.UnixNano()-l.lastReceived.Load() >= int64(l.m.cfg.Timing.PingInterval)
}

func (l *link) sendKeepalive(now time.Time) {
	if l.pingDue(now) {
		l.ackAwaitedSince.CompareAndSwap(0, now.UnixNano())
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
			l.ackOwedSince.Store(now.UnixNano())
		}
	}
}

func (l *link) chargeFrame(frame []byte) { l.m.budgets[l.class].charge(len(frame) + frameOverhead) }

// expired reports whether the link must end. A half-open connection accepts writes for minutes; callers would wait for
// grants that never arrive. The far end answers every frame within Acknowledge, so silence after a send shows it.
func (l *link) expired(now time.Time, keepIdle bool) bool {
	since := l.ackAwaitedSince.Load()
	if since != 0 && now.UnixNano()-since >= int64(l.m.cfg.Timing.AckTimeout) {
		return true
	}
	return !keepIdle && now.UnixNano()-l.lastMessage.Load() >= int64(l.m.cfg.Timing.IdleTimeout)
}

// read delivers what arrives until the stream ends.
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
	now := time.Now().UnixNano()
	l.lastReceived.Store(now)
	l.ackAwaitedSince.Store(0)
	if len(frame.GetItems()) > 0 {
		l.lastMessage.Store(now)
	}
	if len(frame.GetItems()) > 0 || frame.GetPing() {
		l.ackOwedSince.CompareAndSwap(0, now)
	}
}

// deliver hands one message on; it waits while the inbox is full, which holds the sender back through flow control.
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
	l.ackOwedSince.CompareAndSwap(0, time.Now().UnixNano())
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

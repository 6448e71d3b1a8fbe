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

// slowestRate is the bytes a second that a link carries at least.
const slowestRate = 128 << 10

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
	unanswered atomic.Int64 // the first frame sent since the last one received
	owed       atomic.Int64 // the first frame received since the last one sent
	heard      atomic.Int64 // the last frame received
	busy       atomic.Int64 // the last message sent or received
	stuck      atomic.Bool  // the reader waits for room in the inbox
}

func (m *Mesh) newLink(ctx context.Context, stream frameStream) *link {
	l := &link{m: m, stream: stream}
	l.ctx, l.cancel = context.WithCancel(ctx)
	now := time.Now().UnixNano()
	l.heard.Store(now)
	l.busy.Store(now)
	return l
}

// header returns the start of every frame: the configuration generation.
func (m *Mesh) header() []byte {
	generation := m.generation.Load()
	if generation == 0 {
		return nil
	}
	return protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), generation)
}

// write sends a frame and ends the link when that fails. Only the peer's goroutine calls it.
func (l *link) write(frame []byte, expectsAnswer bool) bool {
	now := time.Now().UnixNano()
	l.owed.Store(0)
	if expectsAnswer {
		l.await(now, len(frame))
		l.busy.Store(now)
	}
	if err := l.stream.SendMsg(rawFrame(frame)); err != nil {
		l.cancel()
		return false
	}
	return true
}

// await starts or prolongs the wait for an answer. A far end answers only once it has the whole frame; without the time
// for its bytes a configuration part on a slow link would break the link, again and again.
func (l *link) await(now int64, size int) {
	transfer := int64(size) * int64(time.Second) / slowestRate
	for {
		since := l.unanswered.Load()
		start := since + transfer
		if since == 0 {
			start = now + transfer
		}
		if l.unanswered.CompareAndSwap(since, start) {
			return
		}
	}
}

// owes reports whether the far end waits for a sign of life, or must be asked for one.
func (l *link) owes(now time.Time) bool { return l.owesSign(now) || l.owesPing(now) }

func (l *link) owesSign(now time.Time) bool {
	since := l.owed.Load()
	return since != 0 && now.UnixNano()-since >= int64(l.m.cfg.Timing.Acknowledge)
}

func (l *link) owesPing(now time.Time) bool {
	return l.unanswered.Load() == 0 && now.UnixNano()-l.heard.Load() >= int64(l.m.cfg.Timing.Ping)
}

func (l *link) sign(now time.Time) {
	if l.owesPing(now) {
		l.unanswered.CompareAndSwap(0, now.UnixNano())
		ping := protowire.AppendVarint(protowire.AppendTag(l.m.header(), 4, protowire.VarintType), 1)
		l.charge(ping)
		l.write(ping, false)
		return
	}
	if l.owesSign(now) {
		frame := l.m.header()
		l.charge(frame)
		l.write(frame, false)
		if l.stuck.Load() {
			l.owed.Store(now.UnixNano())
		}
	}
}

func (l *link) charge(frame []byte) { l.m.budgets[l.class].charge(len(frame) + frameOverhead) }

// expired reports whether the link must end. A half-open connection accepts writes for minutes; callers would wait for
// grants that never arrive. The far end answers every frame within Acknowledge, so silence after a send shows it.
func (l *link) expired(now time.Time, keep bool) bool {
	since := l.unanswered.Load()
	if since != 0 && now.UnixNano()-since >= int64(l.m.cfg.Timing.Silent) {
		return true
	}
	return !keep && now.UnixNano()-l.busy.Load() >= int64(l.m.cfg.Timing.Idle)
}

// read delivers what arrives until the stream ends.
func (l *link) read() error {
	for {
		frame := new(pomelowire.Frame)
		if err := l.stream.RecvMsg(frame); err != nil {
			return err
		}
		l.noteRead(frame)
		for _, item := range frame.GetItems() {
			if !l.deliver(frame.GetGeneration(), item) {
				return context.Canceled
			}
		}
	}
}

func (l *link) noteRead(frame *pomelowire.Frame) {
	now := time.Now().UnixNano()
	l.heard.Store(now)
	l.unanswered.Store(0)
	if len(frame.GetItems()) > 0 {
		l.busy.Store(now)
	}
	if len(frame.GetItems()) > 0 || frame.GetPing() {
		l.owed.CompareAndSwap(0, now)
	}
}

// deliver hands one message on; it waits while the inbox is full, which holds the sender back through flow control.
func (l *link) deliver(generation uint64, item *pomelowire.Item) bool {
	message, err := decodeItem(item)
	if err != nil {
		l.refuse(err)
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
	l.stuck.Store(true)
	defer l.stuck.Store(false)
	l.owed.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case l.m.inbox <- envelope:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *link) refuse(err error) {
	if pomelorelay.IsErrCode(err, pomelorelay.CodeMeshUnknownKind) {
		l.m.counters.unknownKinds.Add(1)
		return
	}
	l.m.counters.malformed.Add(1)
	l.m.cfg.Logger.Log(pomelorelay.EventMeshMalformed, pomelorelay.Field{Key: "Node", Value: l.peer.node}, pomelorelay.Field{Key: "Error", Value: err.Error()})
}

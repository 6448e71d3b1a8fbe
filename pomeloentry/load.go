package pomeloentry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

// The balancer picks a router by the caller, so that one account's flood may come to a single small host. A router that takes all of it
// answers everybody late, runs out of descriptors and is killed for its memory. So each refuses what is over its bound at once and
// cheaply, and the caller's next attempt reaches another router.

const (
	// requestMemoryBytes is what a request takes while it runs: two connections' buffers, stacks and a body.
	requestMemoryBytes = 64 << 10
	// requestMemoryFraction is the part of the memory that requests may take.
	requestMemoryFraction = 0.3
	// initialRequestsPerCore is the number of streams that a core is taken to carry at first.
	initialRequestsPerCore = 1000
	// minRequests keeps a host of unknown size at work.
	minRequests = 64
	// connMemoryBytes is what an idle connection takes: a stack, two buffers of 4 KB and net/http's own; and connsShare the part of the memory that connections may take.
	connMemoryBytes    = 20 << 10
	connMemoryFraction = 0.3
	// reservedFDs are the descriptors that the platform keeps for files, and fdsShare the part of the others that callers may take; each
	// running request has a second one to its upstream.
	reservedFDs    = 200
	connFDFraction = 0.5
	// nearCapacityFraction is the part of a bound from which a router asks for less: it is not ready, and callers' connections end with their
	// answers. It does so until pressedFor after.
	nearCapacityFraction = 0.85
	nearCapacityHold     = 2500 * time.Millisecond
	// The limit of requests at once follows the processor: each tick that comes lagLook late takes limitDown of it off, each in time that
	// finds it used adds limitUp. What a stream costs differs by how often its upstream sends events: a fixed limit would keep some
	// hosts late for seconds, and make others refuse beside a free processor.
	limitDecrease = 0.9
	limitIncrease = 1.02
	// fullRouterRetryAfter is the Retry-After of a full router: another one takes them at once.
	fullRouterRetryAfter = 10 * time.Millisecond
)

// hostLimits are what a router of its host's size takes.
type hostLimits struct {
	maxRequests int64
	maxConns    int64
	// initialRequests is the limit of requests at once with which a router starts; requests bounds it.
	initialRequests int64
}

func hostLimitsOf(s pomelorelay.FleetSettings) hostLimits {
	b := hostLimits{maxRequests: 1 << 20, maxConns: 1 << 20}
	if s.Memory > 0 {
		b.maxRequests = min(b.maxRequests, int64(requestMemoryFraction*float64(s.Memory)/requestMemoryBytes))
		b.maxConns = min(b.maxConns, int64(connMemoryFraction*float64(s.Memory)/connMemoryBytes))
	}
	if s.MaxFDs > reservedFDs {
		b.maxConns = min(b.maxConns, int64(connFDFraction*float64(s.MaxFDs-reservedFDs)))
	}
	b.maxRequests = max(b.maxRequests, minRequests)
	b.initialRequests = b.maxRequests
	if s.Self.Power > 0 {
		b.initialRequests = min(b.initialRequests, max(int64(initialRequestsPerCore*s.Self.Power), minRequests))
	}
	b.maxConns = max(b.maxConns, minRequests)
	return b
}

const (
	// maxLag is how late the control goroutine's ticks may come; beyond, the processor does not keep up and new requests are refused.
	// A request that waits as long to be read has lost a quarter of its target.
	maxLag = 100 * time.Millisecond
	// lateTickThreshold is the lateness from which a router looks whether a caller is still there before it sends a request on.
	lateTickThreshold = 20 * time.Millisecond
	// lateTickHold is how long after the last late tick callers are looked for: they wait a second until they give up.
	lateTickHold = 1500 * time.Millisecond
	// connOverloadFactor is how far over their bound connections may go before new ones are closed unread.
	connOverloadFactor = 1.3
)

// lag returns how late the control goroutine is: what waits to run on this processor waits as long.
func (e *Entry) lag() time.Duration {
	since := time.Duration(e.cfg.Clock.Now().UnixNano() - e.lastTickAt.Load())
	return max(time.Duration(e.tickLag.Load()), since-tickInterval)
}

// recordTick notes when the control goroutine ticks.
func (e *Entry) recordTick(now time.Time) {
	last := e.lastTickAt.Swap(now.UnixNano())
	lag := max(0, now.UnixNano()-last-int64(tickInterval))
	e.tickLag.Store(lag)
	if lag >= int64(lateTickThreshold) {
		e.lastLateTickAt.Store(now.UnixNano())
	}
}

// adaptRequestLimit moves the limit of requests at once after a tick.
func (e *Entry) adaptRequestLimit() {
	limit, running := float64(e.requestLimit.Load()), float64(e.inFlight.Load())
	switch {
	case e.tickLag.Load() >= int64(lateTickThreshold):
		limit = max(minRequests, limitDecrease*min(limit, max(running, minRequests)))
	case running > nearCapacityFraction*limit:
		limit = min(float64(e.hostLimits.maxRequests), limitIncrease*limit+1)
	}
	e.requestLimit.Store(int64(limit))
}

// recentlyLate reports whether the control goroutine was late a moment ago: what waited meanwhile is only read now.
func (e *Entry) recentlyLate() bool {
	now := e.cfg.Clock.Now().UnixNano()
	return e.lag() >= lateTickThreshold || now-e.lastLateTickAt.Load() < int64(lateTickHold)
}

func (e *Entry) overloaded() bool {
	return e.lag() > maxLag || float64(e.conns.Load()) > connOverloadFactor*float64(e.hostLimits.maxConns)
}

// loadSheddingListener closes connections that come while there are too many or the processor does not keep up, before anything is read of
// them: their callers try another router, and no goroutine or buffer is spent on them. A small host that read and refused each would stand
// still, with everything that runs there.
type loadSheddingListener struct {
	net.Listener
	e *Entry
}

// Accept returns the next connection that the router has room for.
func (l loadSheddingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.e.overloaded() {
			return conn, err
		}
		// A failure to close leaves nothing to do: the connection is gone either way.
		_ = conn.Close()
	}
}

// countRefused counts what a request asked that is refused unread. Left out, an account whose callers come to full routers looks as if it wanted
// nothing, the others get its share, and its shortage does not show. Where the control goroutine has more than it can take, the
// request is not counted: the router must not wait for it.
func (e *Entry) countRefused(r *http.Request) {
	account, cost := e.forward.EstimateCost(r)
	if cost <= 0 {
		return
	}
	select {
	case e.events <- &refusedUnread{account, cost}:
	default:
	}
}

type connKey struct{}

// withConn keeps a caller's connection with its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerGone reports whether the caller closed its connection. On a processor that does not keep up, net/http notices that late: requests
// would be sent on whose callers gave up while nobody read them.
func (e *Entry) callerGone(r *http.Request) bool {
	if !e.recentlyLate() {
		return false
	}
	conn, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = (n == 0 && failed == nil) || failed == syscall.ECONNRESET
	})
	return gone || err != nil
}

// nearCapacity reports whether the router has nearly what it can take, or had a moment ago.
func (e *Entry) nearCapacity() bool {
	now := e.cfg.Clock.Now().UnixNano()
	full := e.lag() > maxLag || float64(e.inFlight.Load()) > nearCapacityFraction*float64(e.requestLimit.Load()) || float64(e.conns.Load()) > nearCapacityFraction*float64(e.hostLimits.maxConns)
	if full {
		e.nearCapacityAt.Store(now)
	}
	return full || now-e.nearCapacityAt.Load() < int64(nearCapacityHold)
}

// admit counts a request in; it reports false, and has answered, when the router is full.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) bool {
	if e.nearCapacity() {
		w.Header().Set("Connection", "close")
	}
	if e.inFlight.Load() <= e.requestLimit.Load() && e.lag() <= maxLag {
		return true
	}
	err := pomelorelay.NewError(pomelorelay.CodeRouterFull, "", nil)
	err.RetryAfter = fullRouterRetryAfter
	pomeloforward.WriteError(w, err)
	e.metrics.Answered("None", "full", 0, 0)
	e.countRefused(r)
	e.log(pomelorelay.EventRouterFull, field("InFlight", e.inFlight.Load()), field("Connections", e.conns.Load()), field("Most", e.requestLimit.Load()), field("LagMS", e.lag().Milliseconds()))
	return false
}

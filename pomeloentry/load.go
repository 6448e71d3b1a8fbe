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
	// requestMemory is what a request takes while it runs: two connections' buffers, stacks and a body.
	requestMemory = 64 << 10
	// requestsShare is the part of the memory that requests may take.
	requestsShare = 0.3
	// requestsPerCore is the number of streams that a core is taken to carry at first.
	requestsPerCore = 1000
	// leastRequests keeps a host of unknown size at work.
	leastRequests = 64
	// connMemory is what an idle connection takes: a stack, two buffers of 4 KB and net/http's own; and connsShare the part of the memory that connections may take.
	connMemory = 20 << 10
	connsShare = 0.3
	// systemFDs are the descriptors that the platform keeps for files, and fdsShare the part of the others that callers may take; each
	// running request has a second one to its upstream.
	systemFDs = 200
	fdsShare  = 0.5
	// pressedShare is the part of a bound from which a router asks for less: it is not ready, and callers' connections end with their
	// answers. It does so until pressedFor after.
	pressedShare = 0.85
	pressedFor   = 2500 * time.Millisecond
	// The limit of requests at once follows the processor: each tick that comes lagLook late takes limitDown of it off, each in time that
	// finds it used adds limitUp. What a stream costs differs by how often its upstream sends events: a fixed limit would keep some
	// hosts late for seconds, and make others refuse beside a free processor.
	limitDown = 0.9
	limitUp   = 1.02
	// busyRetry is the Retry-After of a full router: another one takes them at once.
	busyRetry = 10 * time.Millisecond
)

// bounds are what a router of its host's size takes.
type bounds struct {
	requests int64
	conns    int64
	// first is the limit of requests at once with which a router starts; requests bounds it.
	first int64
}

func boundsOf(s pomelorelay.FleetSettings) bounds {
	b := bounds{requests: 1 << 20, conns: 1 << 20}
	if s.MemoryLimit > 0 {
		b.requests = min(b.requests, int64(requestsShare*float64(s.MemoryLimit)/requestMemory))
		b.conns = min(b.conns, int64(connsShare*float64(s.MemoryLimit)/connMemory))
	}
	if s.MaxFDs > systemFDs {
		b.conns = min(b.conns, int64(fdsShare*float64(s.MaxFDs-systemFDs)))
	}
	b.requests = max(b.requests, leastRequests)
	b.first = b.requests
	if s.Self.CPUSpeed > 0 {
		b.first = min(b.first, max(int64(requestsPerCore*s.Self.CPUSpeed), leastRequests))
	}
	b.conns = max(b.conns, leastRequests)
	return b
}

const (
	// lagMost is how late the control goroutine's ticks may come; beyond, the processor does not keep up and new requests are refused.
	// A request that waits as long to be read has lost a quarter of its target.
	lagMost = 100 * time.Millisecond
	// lagLook is the lateness from which a router looks whether a caller is still there before it sends a request on.
	lagLook = 20 * time.Millisecond
	// laggedFor is how long after the last late tick callers are looked for: they wait a second until they give up.
	laggedFor = 1500 * time.Millisecond
	// connsOver is how far over their bound connections may go before new ones are closed unread.
	connsOver = 1.3
)

// lag returns how late the control goroutine is: what waits to run on this processor waits as long.
func (e *Router) lag() time.Duration {
	since := time.Duration(e.cfg.Clock.Now().UnixNano() - e.tickedAt.Load())
	return max(time.Duration(e.tickLag.Load()), since-tickEvery)
}

// noteTick notes when the control goroutine ticks.
func (e *Router) noteTick(now time.Time) {
	last := e.tickedAt.Swap(now.UnixNano())
	lag := max(0, now.UnixNano()-last-int64(tickEvery))
	e.tickLag.Store(lag)
	if lag >= int64(lagLook) {
		e.laggedAt.Store(now.UnixNano())
	}
}

// adapt moves the limit of requests at once after a tick.
func (e *Router) adapt() {
	limit, running := float64(e.limit.Load()), float64(e.inFlight.Load())
	switch {
	case e.tickLag.Load() >= int64(lagLook):
		limit = max(leastRequests, limitDown*min(limit, max(running, leastRequests)))
	case running > pressedShare*limit:
		limit = min(float64(e.bounds.requests), limitUp*limit+1)
	}
	e.limit.Store(int64(limit))
}

// lagged reports whether the control goroutine was late a moment ago: what waited meanwhile is only read now.
func (e *Router) lagged() bool {
	now := e.cfg.Clock.Now().UnixNano()
	return e.lag() >= lagLook || now-e.laggedAt.Load() < int64(laggedFor)
}

func (e *Router) overrun() bool {
	return e.lag() > lagMost || float64(e.conns.Load()) > connsOver*float64(e.bounds.conns)
}

// boundListener closes connections that come while there are too many or the processor does not keep up, before anything is read of
// them: their callers try another router, and no goroutine or buffer is spent on them. A small host that read and refused each would stand
// still, with everything that runs there.
type boundListener struct {
	net.Listener
	e *Router
}

// Accept returns the next connection that the router has room for.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.e.overrun() {
			return conn, err
		}
		// A failure to close leaves nothing to do: the connection is gone either way.
		_ = conn.Close()
	}
}

// noteRefused counts what a request asked that is refused unread. Left out, an account whose callers come to full routers looks as if it wanted
// nothing, the others get its share, and its shortage does not show. Where the control goroutine has more than it can take, the
// request is not counted: the router must not wait for it.
func (e *Router) noteRefused(r *http.Request) {
	account, cost := e.forward.Asks(r)
	if cost <= 0 {
		return
	}
	select {
	case e.events <- &refusedUnread{account, cost}:
	default:
	}
}

type connKey struct{}

// keepConn keeps a caller's connection with its requests.
func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// left reports whether the caller closed its connection. On a processor that does not keep up, net/http notices that late: requests
// would be sent on whose callers gave up while nobody read them.
func (e *Router) left(r *http.Request) bool {
	if !e.lagged() {
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

// pressed reports whether the router has nearly what it can take, or had a moment ago.
func (e *Router) pressed() bool {
	now := e.cfg.Clock.Now().UnixNano()
	full := e.lag() > lagMost || float64(e.inFlight.Load()) > pressedShare*float64(e.limit.Load()) || float64(e.conns.Load()) > pressedShare*float64(e.bounds.conns)
	if full {
		e.pressedAt.Store(now)
	}
	return full || now-e.pressedAt.Load() < int64(pressedFor)
}

// takes counts a request in; it reports false, and has answered, when the router is full.
func (e *Router) takes(w http.ResponseWriter, r *http.Request) bool {
	if e.pressed() {
		w.Header().Set("Connection", "close")
	}
	if e.inFlight.Load() <= e.limit.Load() && e.lag() <= lagMost {
		return true
	}
	err := pomelorelay.NewError(pomelorelay.CodeRouterFull, "", nil)
	err.RetryAfter = busyRetry
	pomeloforward.Refuse(w, err)
	e.metrics.ObserveAnswer("None", "full", 0, 0)
	e.noteRefused(r)
	e.log(pomelorelay.EventRouterFull, field("InFlight", e.inFlight.Load()), field("Connections", e.conns.Load()), field("Most", e.limit.Load()), field("LagMS", e.lag().Milliseconds()))
	return false
}

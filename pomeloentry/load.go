package pomeloentry

import (
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelolistener"
	"github.com/pomelorelay/pomelorelay/pomelometric"
)

// The load balancer selects a router by caller, so a flood of one account may hit a single small host. A router that accepted all of
// it would answer every request late, run out of file descriptors and be killed for its memory use. Each router therefore refuses
// excess requests early and cheaply, and the caller's next attempt reaches another router.

const (
	// clientMemoryFraction is the fraction of memory available to all that clients' connections hold. What remains is for the program itself, for what the
	// router knows of the fleet, and for what the collector has not freed yet.
	clientMemoryFraction = 0.4
	// pendingMemoryFraction is the fraction of memory available to the kernel for connections that have not been accepted, defaultPending their maximum
	// number on a host of unknown size.
	pendingMemoryFraction = 0.1
	defaultPending        = 1024
	// requestMemoryFraction is the fraction of memory available to requests, without their large bodies and headers.
	requestMemoryFraction = 0.3
	// bodyMemoryFraction is the fraction of memory available to large request bodies, all requests together.
	bodyMemoryFraction = 0.25
	// answerMemoryFraction is the fraction of memory available to large events and answers, all requests together.
	answerMemoryFraction = 0.1
	// initialRequestsPerCore is the initial limit of concurrent streams per core.
	initialRequestsPerCore = 1000
	// minRequests is the minimum of the limits on requests and on connections, which keeps a host of unknown size in service.
	minRequests = 64
	// connMemoryBytes is the memory of an idle connection whose client has read all answers: a stack, two 4 KB buffers and the state of net/http.
	// connMemoryFraction is the fraction of memory available to connections.
	connMemoryBytes    = 20 << 10
	connMemoryFraction = 0.3
	// reservedFDs are the file descriptors reserved for files of the platform; connFDFraction is the fraction of the others available
	// to callers' connections. Each running request uses a second file descriptor for its upstream connection.
	reservedFDs    = 200
	connFDFraction = 0.5
	// nearCapacityFraction is the fraction of the request or the connection limit from which the router reports not ready, until nearCapacityHold
	// after the load has dropped, and the fraction of the connection limit from which it closes callers' connections after their answers.
	nearCapacityFraction = 0.85
	nearCapacityHold     = 2500 * time.Millisecond
	// The request limit follows the processor: each tick later than lateTickThreshold multiplies the limit by limitDecrease; each
	// punctual tick, while the number of requests is close to the limit, multiplies the limit by limitIncrease. The cost of a stream
	// depends on its event rate, so a fixed limit would overload some hosts for seconds and make others refuse requests with idle
	// processors.
	limitDecrease = 0.9
	limitIncrease = 1.02
	// fullRouterRetryAfter is the Retry-After of a full router; another router can accept the request immediately.
	fullRouterRetryAfter = 10 * time.Millisecond
)

// hostLimits are the limits of a router, derived from the size of its host.
type hostLimits struct {
	maxRequests int64
	maxConns    int64
	// maxPending is the maximum number of connections that wait for their acceptance.
	maxPending int
	// initialRequests is the request limit at the start; maxRequests bounds the adapted limit.
	initialRequests int64
}

func hostLimitsOf(s pomelorelay.FleetSettings) hostLimits {
	l := hostLimits{maxRequests: 1 << 20, maxConns: 1 << 20, maxPending: defaultPending}
	if s.MemoryLimit > 0 {
		l.maxPending = max(minRequests, int(pendingMemoryFraction*float64(s.MemoryLimit)/pomelolistener.PendingMemory))
		l.maxRequests = min(l.maxRequests, int64(requestMemoryFraction*float64(s.MemoryLimit)/pomelolistener.RequestMemory))
		l.maxConns = min(l.maxConns, int64(connMemoryFraction*float64(s.MemoryLimit)/connMemoryBytes))
	}
	if s.MaxFDs > reservedFDs {
		l.maxConns = min(l.maxConns, int64(connFDFraction*float64(s.MaxFDs-reservedFDs)))
	}
	l.maxRequests = max(l.maxRequests, minRequests)
	l.initialRequests = l.maxRequests
	if s.Self.CPUSpeed > 0 {
		l.initialRequests = min(l.initialRequests, max(int64(initialRequestsPerCore*s.Self.CPUSpeed), minRequests))
	}
	l.maxConns = max(l.maxConns, minRequests)
	return l
}

const (
	// maxLag is the tick delay from which the handlers report it to the overload control themselves, because the control goroutine may not run.
	maxLag = 100 * time.Millisecond
	// lateTickThreshold is the tick delay from which the router lowers its request limit, and checks before forwarding a request that
	// its caller is still connected.
	lateTickThreshold = 20 * time.Millisecond
	// lateTickHold is how long after a late tick the router keeps checking that callers are still connected; callers give up after
	// waiting 1 s.
	lateTickHold = 1500 * time.Millisecond
	// connOverloadFactor is the multiple of the connection limit above which new connections take the place of others, or are closed unread.
	connOverloadFactor = 1.3
)

// lag returns the delay of the control goroutine, which approximates how long runnable goroutines wait for the processor.
func (e *Router) lag() time.Duration {
	since := time.Duration(e.steady() - e.lastTickAt.Load())
	return max(time.Duration(e.tickLag.Load()), since-tickInterval)
}

// recordTick records a tick of the control goroutine and its delay.
func (e *Router) recordTick() {
	now := e.steady()
	last := e.lastTickAt.Swap(now)
	lag := max(0, now-last-int64(tickInterval))
	e.tickLag.Store(lag)
	if lag >= int64(lateTickThreshold) {
		e.lastLateTickAt.Store(now)
	}
}

// adaptRequestLimit adapts the request limit after a tick.
func (e *Router) adaptRequestLimit() {
	limit, running := float64(e.requestLimit.Load()), float64(e.inFlight.Load())
	switch {
	case e.tickLag.Load() >= int64(lateTickThreshold):
		limit = max(minRequests, limitDecrease*min(limit, max(running, minRequests)))
	case running > nearCapacityFraction*limit:
		limit = min(float64(e.hostLimits.maxRequests), limitIncrease*limit+1)
	}
	e.requestLimit.Store(int64(limit))
}

// recentlyLate reports whether the control goroutine is late, or was late at most lateTickHold ago. Requests that arrived meanwhile
// are read late, and their callers may have given up.
func (e *Router) recentlyLate() bool {
	now := e.steady()
	return e.lag() >= lateTickThreshold || now-e.lastLateTickAt.Load() < int64(lateTickHold)
}

// mustCloseUnread reports whether new connections are closed unread because refusing their requests takes more than the host's processor time.
func (e *Router) mustCloseUnread() bool {
	return e.overload.closeUnread.Load()
}

const (
	// undecidedPerCore is the maximum number, per core, of connections of a limited router on which it has not decided, and minUndecided the least
	// maximum. Their goroutines run before those of the control and of running requests; a host decides on this many within about 50 ms.
	undecidedPerCore = 600
	minUndecided     = 64
	// maxClosedInRow is the number of connections that are closed unread before the others are decided on. The goroutine that accepts connections
	// does not give way by itself while more are waiting, and would close all of them.
	maxClosedInRow = 64
)

// mayScreen reports whether a new connection of a limited router waits for a decision; otherwise it is closed unread. Only the goroutine that accepts
// callers' connections calls it.
func (e *Router) mayScreen() bool {
	o, limit := e.overload, max(minUndecided, int64(undecidedPerCore*e.cfg.Settings.Self.CPUSpeed))
	if o.undecided.Load() >= limit {
		if o.closedInRow < maxClosedInRow {
			o.closedInRow++
			return false
		}
		runtime.Gosched()
	}
	o.closedInRow = 0
	return o.undecided.Load() < limit
}

// loadSheddingListener closes new connections unread as the last resort, without spending a goroutine or a buffer on them; callers then try another
// router. While the router is limited, it returns connections whose first request is decided on before net/http parses it.
type loadSheddingListener struct {
	net.Listener
	e *Router
}

// Accept returns the next connection that the router has capacity for.
func (l loadSheddingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.e.mustCloseUnread() {
			tracked := pomelolistener.Of(conn)
			if tracked == nil || !l.e.overload.limited.Load() {
				return conn, nil
			}
			if l.e.mayScreen() {
				return newScreenedConn(tracked, l.e), nil
			}
		}
		l.e.overload.refused.unreadConns.Add(1)
		// The error of closing is ignored: the connection is unusable either way.
		_ = conn.Close()
	}
}

// countRefused adds the cost of a request that was refused without reading its body to its account's demand. Otherwise an account
// whose callers reach full routers would appear idle and satisfied, and its share would go to others. If the event queue is full,
// the cost is dropped, because request handling must not wait for the control goroutine.
func (e *Router) countRefused(account pomelorelay.AccountID, cost pomelorelay.Cost) {
	if cost <= 0 {
		return
	}
	select {
	case e.events <- &refusedUnread{account, cost}:
	default:
	}
}

// callerGone reports whether the caller closed its connection. On an overloaded processor net/http detects this late, and requests
// of callers that have already given up would be forwarded.
func (e *Router) callerGone(r *http.Request) bool {
	if !e.recentlyLate() && !e.overload.limited.Load() {
		return false
	}
	info := connOf(r.Context())
	if info == nil {
		return false
	}
	conn, ok := info.conn.(syscall.Conn)
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

// nearCapacity reports whether the router is close to its capacity, or was close to it at most nearCapacityHold ago.
func (e *Router) nearCapacity() bool {
	now := e.steady()
	serving := e.inFlight.Load() - e.callers.InPhase(pomelolistener.PhaseBody)
	full := float64(serving) > nearCapacityFraction*float64(e.requestLimit.Load()) || e.connsNearCapacity()
	if full {
		e.nearCapacityAt.Store(now)
	}
	return full || now-e.nearCapacityAt.Load() < int64(nearCapacityHold)
}

// sendsCallersAway reports whether the router closes callers' connections after their responses, so that the load balancer selects another router or
// descriptors become free. A router in rotation keeps them: its callers would come back on a new connection for each request.
func (e *Router) sendsCallersAway() bool {
	return e.overload.away.Load() || float64(e.callers.Conns()) > nearCapacityFraction*float64(e.hostLimits.maxConns)
}

// connsNearCapacity reports whether connections that do not give way to others, because a request runs on them, are close to the limit.
func (e *Router) connsNearCapacity() bool {
	return float64(e.callers.InPhase(pomelolistener.PhaseServing)) > nearCapacityFraction*float64(e.hostLimits.maxConns)
}

// admit reports whether the router can accept the request. When it is overloaded or full, admit answers with a refusal and returns false.
func (e *Router) admit(w http.ResponseWriter, r *http.Request) bool {
	if e.sendsCallersAway() {
		w.Header().Set("Connection", "close")
	}
	if refused := e.decideOn(r); refused.code != 0 {
		if r.ContentLength != 0 {
			// Keeping the connection would take reading the body first.
			w.Header().Set("Connection", "close")
		}
		err := pomelorelay.NewError(refused.code, "", nil)
		err.RetryAfter = refused.retryAfter
		pomeloforward.WriteError(w, err)
		e.logRefusal(refused)
		return false
	}
	conn := connOf(r.Context()).tracked()
	if (e.inFlight.Load() <= e.requestLimit.Load() || e.callers.EvictBody()) && (conn == nil || conn.Begin()) {
		return true
	}
	err := pomelorelay.NewError(pomelorelay.CodeRouterFull, "", nil)
	err.RetryAfter = fullRouterRetryAfter
	pomeloforward.WriteError(w, err)
	e.metrics.ObserveAnswer("None", "full", 0, 0)
	account, cost := e.forward.EstimateCost(r)
	e.countRefused(account, cost)
	e.log(pomelorelay.EventRouterFull, field("Account", string(account)), field("InFlight", e.inFlight.Load()), field("Connections", e.callers.Conns()), field("Most", e.requestLimit.Load()), field("LagMS", e.lag().Milliseconds()))
	return false
}

// decideOn decides on a request that net/http has parsed, unless that was done when the first bytes of its connection were read.
func (e *Router) decideOn(r *http.Request) refusal {
	a := arrival{host: r.Host, path: r.URL.EscapedPath(), head: r.Header}
	info, now := connOf(r.Context()), e.steady()
	if info != nil {
		if info.screened.Swap(false) {
			return refusal{}
		}
		a.first = info.decidedAt.Load() == 0
		a.waited = time.Duration(now - info.acceptedAt)
	}
	refused := e.decide(a)
	if info != nil {
		if a.first {
			e.metrics.ObserveStage(pomelometric.StageAccept, a.waited)
		}
		info.decidedAt.Store(now)
	}
	return refused
}

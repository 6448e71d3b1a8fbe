package pomeloentry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
)

// overload is the router's overload control. Handlers, the listener and the control goroutine use it concurrently.
type overload struct {
	mu      sync.Mutex
	control *pomelooverload.Control
	// unread sums the requests by account that were refused before their body was read, since the last flush.
	unread map[pomelorelay.AccountID]unreadRequests

	// The fields below copy parts of the control's state for readers that must not wait for mu.
	limited, aboveHalf, closeUnread atomic.Bool
	// lagSeenAt is when a handler last observed the lag of the control goroutine.
	lagSeenAt atomic.Int64
	// undecided is the number of screened connections whose first request is not decided on.
	undecided atomic.Int64
	// closedInRow is the number of connections closed unread since the last one that was not.
	closedInRow int
	// away is set while the router is out of the load balancer's rotation because a router of its failure domain is limited.
	away         atomic.Bool
	shares       atomic.Pointer[shareSnapshot]
	fullServices atomic.Pointer[fullServiceTable]
	refused      refusedCounts
	// loggedSecond is the second of the steady clock in which refusals were last logged, loggedRefusals their number.
	loggedSecond, loggedRefusals atomic.Int64
}

// maxRefusalLines is the maximum number of refusals logged in a second. The logger has its own limit, but the fields of a line cost as much as the
// rest of a refusal.
const maxRefusalLines = 5

func newOverload() *overload {
	o := &overload{control: pomelooverload.New(pomelooverload.Config{}), unread: make(map[pomelorelay.AccountID]unreadRequests)}
	o.fullServices.Store(&fullServiceTable{})
	return o
}

// refusedCounts counts refused requests by class.
type refusedCounts struct{ hopeless, overShare, priority, withinShare, noFreeSlot, unreadConns atomic.Int64 }

func (r *refusedCounts) of(class pomelooverload.Class) *atomic.Int64 {
	switch class {
	case pomelooverload.ClassHopeless:
		return &r.hopeless
	case pomelooverload.ClassOverShare:
		return &r.overShare
	case pomelooverload.ClassPriority:
		return &r.priority
	case pomelooverload.ClassWithinShare:
		return &r.withinShare
	}
	return &r.noFreeSlot
}

// shareSnapshot is an immutable view of the control goroutine's state, by which overloaded routers refuse requests before they read the body.
type shareSnapshot struct {
	overShare map[pomelorelay.AccountID]bool
	// expected is the recent mean of the expected time to the answer by route.
	expected map[pomelorelay.RouteID]time.Duration
}

// fullServiceKey identifies an account's requests to a service.
type fullServiceKey struct {
	account pomelorelay.AccountID
	service pomelorelay.ServiceID
}

// fullServiceCell holds until when over-share requests are refused because the last one found no slot, and with which Retry-After in nanoseconds.
type fullServiceCell struct{ until, retryAfter atomic.Int64 }

// fullServiceTable has a cell for each account and service of the configuration; the map itself is immutable.
type fullServiceTable map[fullServiceKey]*fullServiceCell

// fullServiceHold is how long the refusal of an over-share request for want of slots holds for the next ones: a slot that becomes free later may
// serve them.
const fullServiceHold = 20 * time.Millisecond

func newFullServiceTable(config *pomelorelay.FleetConfig) *fullServiceTable {
	t := make(fullServiceTable, len(config.Accounts)*len(config.Services))
	for _, a := range config.Accounts {
		for _, s := range config.Services {
			t[fullServiceKey{a.Name, s.Name}] = &fullServiceCell{}
		}
	}
	return &t
}

// markFullService records that an over-share request was refused for want of slots.
func (o *overload) markFullService(now int64, account pomelorelay.AccountID, service pomelorelay.ServiceID, retryAfter time.Duration) {
	if cell := (*o.fullServices.Load())[fullServiceKey{account, service}]; cell != nil {
		cell.retryAfter.Store(int64(retryAfter))
		cell.until.Store(now + int64(fullServiceHold))
	}
}

// fullServiceRetryAfter returns the Retry-After of an over-share request that would find no slot, and false if none was refused lately.
func (o *overload) fullServiceRetryAfter(now int64, p *pomeloforward.Preview) (time.Duration, bool) {
	cell := (*o.fullServices.Load())[fullServiceKey{p.Account, p.Service}]
	if cell == nil || now > cell.until.Load() {
		return 0, false
	}
	return time.Duration(cell.retryAfter.Load()), true
}

// refusal is why a request is refused before its body is read; the zero value admits it.
type refusal struct {
	code       pomelorelay.ResultCode
	retryAfter time.Duration
	class      pomelooverload.Class
	account    pomelorelay.AccountID
}

// classNoFreeSlot marks over-share requests refused because the last one found no slot.
const classNoFreeSlot pomelooverload.Class = "no_free_slot"

// overloadRetryAfter is the Retry-After of an overloaded router; another router can accept the request immediately.
const overloadRetryAfter = 10 * time.Millisecond

// arrival is a request about whose admission the router decides.
type arrival struct {
	host, path string
	head       http.Header
	// waited is the time since the acceptance of the connection, if first is set: later requests of a connection have no such time.
	waited time.Duration
	first  bool
}

// decide decides on a request from its header. Unless the router is overloaded it only records how long the request waited.
func (e *Router) decide(a arrival) refusal {
	o, now := e.overload, e.steady()
	s := e.observeArrival(now, a)
	if !s.Limited && !s.AboveHalf {
		return refusal{}
	}
	p, known := e.forward.Preview(a.host, a.path, a.head)
	r := pomelooverload.Request{TimeLeft: p.TimeLeft, Priority: p.Priority, OverShare: !known}
	if shares := o.shares.Load(); shares != nil && known {
		r.OverShare, r.Expected = shares.overShare[p.Account], shares.expected[p.Route]
	}
	if known && r.OverShare {
		if wait, ok := o.fullServiceRetryAfter(now, &p); ok {
			o.count(p, classNoFreeSlot)
			return refusal{pomelorelay.CodeShareSpent, wait, classNoFreeSlot, p.Account}
		}
	}
	o.mu.Lock()
	class := o.control.Admit(time.Duration(now), s.Delay, r)
	o.mu.Unlock()
	if class == pomelooverload.ClassNone {
		return refusal{}
	}
	o.count(p, class)
	return refusal{pomelorelay.CodeRouterOverloaded, overloadRetryAfter, class, p.Account}
}

// observeArrival records how long a request waited and returns the state of the control; while nothing needs a decision, it also admits the request.
func (e *Router) observeArrival(now int64, a arrival) pomelooverload.State {
	o := e.overload
	// The lag of the last tick was observed by the control goroutine; counted twice, a single pause of the process would begin the limit.
	lag := time.Duration(now-e.lastTickAt.Load()) - tickInterval
	if lag > maxLag && !o.mayObserveLag(now) {
		lag = 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.first {
		o.control.Observe(time.Duration(now), pomelooverload.StageAccept, a.waited)
	}
	if lag > maxLag {
		// The control goroutine itself may not run.
		o.control.Observe(time.Duration(now), pomelooverload.StageTick, lag)
	}
	s := o.control.State(time.Duration(now))
	if !s.Limited && !s.AboveHalf {
		o.control.Admit(time.Duration(now), a.waited, pomelooverload.Request{})
	}
	o.publish(s)
	return s
}

// mayObserveLag reports whether a handler may observe the lag of the control goroutine now. After a pause of the whole process, which is no overload,
// many handlers run before the control goroutine does; without the minimum time between two observations, their number would begin the limit.
func (o *overload) mayObserveLag(now int64) bool {
	last := o.lagSeenAt.Load()
	return now-last >= int64(tickInterval) && o.lagSeenAt.CompareAndSwap(last, now)
}

// observe records how long something waited on a stage.
func (o *overload) observe(now int64, stage pomelooverload.Stage, waited time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control.Observe(time.Duration(now), stage, waited)
	o.publish(o.control.State(time.Duration(now)))
}

// state returns the state of the control.
func (o *overload) state(now int64) pomelooverload.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.control.State(time.Duration(now))
	o.publish(s)
	return s
}

// publish copies the state for readers without mu; the caller holds mu. A store to an unchanged flag would invalidate the cache lines of its readers.
func (o *overload) publish(s pomelooverload.State) {
	setFlag(&o.limited, s.Limited)
	setFlag(&o.aboveHalf, s.AboveHalf)
	setFlag(&o.closeUnread, s.CloseUnread)
}

func setFlag(flag *atomic.Bool, value bool) {
	if flag.Load() != value {
		flag.Store(value)
	}
}

// count counts a refused request, and sums its cost up for its account's demand. Otherwise an account whose callers reach overloaded routers would
// appear idle and satisfied, and its share would go to others.
func (o *overload) count(p pomeloforward.Preview, class pomelooverload.Class) {
	o.refused.of(class).Add(1)
	if p.Cost <= 0 {
		return
	}
	o.mu.Lock()
	u := o.unread[p.Account]
	u.add(p.Cost, class)
	o.unread[p.Account] = u
	o.mu.Unlock()
}

// mayLogRefusal reports whether a refusal is within the number logged each second.
func (o *overload) mayLogRefusal(now int64) bool {
	second := now / int64(time.Second)
	if o.loggedSecond.Swap(second) != second {
		o.loggedRefusals.Store(0)
	}
	return o.loggedRefusals.Add(1) <= maxRefusalLines
}

// logRefusal logs a refusal, up to maxRefusalLines a second.
func (e *Router) logRefusal(r refusal) {
	if e.overload.mayLogRefusal(e.steady()) {
		e.log(pomelorelay.EventRequestShed, field("Account", string(r.account)), field("Class", string(r.class)), field("Code", int(r.code)), field("RetryAfterMS", r.retryAfter.Milliseconds()))
	}
}

package pomelooverload_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelooverload"
)

const (
	core        = 0.144
	servedCost  = 1500 * time.Microsecond
	refusalCost = 150 * time.Microsecond
	// promptly is the time within which a refusal leaves its caller a useful second attempt, and patience that after which callers leave.
	promptly = 50 * time.Millisecond
	patience = time.Second
)

// arrival is a request that reaches the simulated host.
type arrival struct {
	at      time.Duration
	request pomelooverload.Request
}

// outcome is what callers get. A late request is one answered or refused too late to be of use.
type outcome struct{ served, refused, late int }

// control is what decides in a simulation.
type control interface {
	// admit decides on a request at the time now that has waited so long.
	admit(now, waited time.Duration, r pomelooverload.Request) bool
	// closeUnread reports whether connections are closed unread.
	closeUnread(now, waited time.Duration) bool
}

// simulate runs a host with one first-come-first-served processor queue and returns what callers got by the class of their requests.
func simulate(c control, arrivals []arrival, target time.Duration) map[pomelooverload.Request]*outcome {
	results := make(map[pomelooverload.Request]*outcome)
	free := time.Duration(0)
	for _, a := range arrivals {
		o := results[a.request]
		if o == nil {
			o = &outcome{}
			results[a.request] = o
		}
		now := max(free, a.at)
		waited := now - a.at
		switch {
		case waited > patience || c.closeUnread(now, waited):
			// An abandoned or closed connection costs a tenth of a refusal.
			free = now + scaled(refusalCost/10)
			o.late++
		case c.admit(now, waited, a.request):
			free = now + scaled(servedCost)
			count(free-a.at <= target, &o.served, &o.late)
		default:
			free = now + scaled(refusalCost)
			count(free-a.at <= promptly, &o.refused, &o.late)
		}
	}
	return results
}

func scaled(cost time.Duration) time.Duration { return time.Duration(float64(cost) / core) }

func count(ok bool, yes, no *int) {
	if ok {
		*yes++
	} else {
		*no++
	}
}

// byDelay decides by a Control.
type byDelay struct {
	*pomelooverload.Control
	began, ended []time.Duration
	limited      bool
}

func newByDelay() *byDelay { return &byDelay{Control: pomelooverload.New(pomelooverload.Config{})} }

func (b *byDelay) admit(now, waited time.Duration, r pomelooverload.Request) bool {
	b.Observe(now, pomelooverload.StageAccept, waited)
	class := b.Admit(now, waited, r)
	b.watch(now)
	return class == pomelooverload.ClassNone
}

// watch records when the limit begins and ends.
func (b *byDelay) watch(now time.Duration) {
	limited := b.State(now).Limited
	if limited && !b.limited {
		b.began = append(b.began, now)
	}
	if !limited && b.limited {
		b.ended = append(b.ended, now)
	}
	b.limited = limited
}

func (b *byDelay) closeUnread(now, _ time.Duration) bool { return b.State(now).CloseUnread }

// byTickLag decides as a router does whose only signal is the lag of a timer of 20 ms: above 100 ms it refuses everything and closes connections
// unread. The timer's goroutine waits for the processor behind the requests that arrived before it was due. The request limit is left out, because
// it bounds concurrent streams, and a served request occupies the processor for a short time only.
type byTickLag struct{ tickAt, lag time.Duration }

func (b *byTickLag) closeUnread(now, waited time.Duration) bool {
	const interval, maxLag = 20 * time.Millisecond, 100 * time.Millisecond
	if due := b.tickAt + interval; now-waited >= due {
		b.lag, b.tickAt = now-due, now
	}
	return max(b.lag, now-b.tickAt-interval) > maxLag
}

func (b *byTickLag) admit(time.Duration, time.Duration, pomelooverload.Request) bool { return true }

// constant returns requests at a constant rate per second from one moment to another.
func constant(from, to time.Duration, rate float64, r pomelooverload.Request) []arrival {
	var list []arrival
	gap := time.Duration(float64(time.Second) / rate)
	for at := from; at < to; at += gap {
		list = append(list, arrival{at, r})
	}
	return list
}

// merge joins two ordered lists by time.
func merge(a, b []arrival) []arrival {
	var list []arrival
	for len(a) > 0 && len(b) > 0 {
		if a[0].at <= b[0].at {
			list, a = append(list, a[0]), a[1:]
		} else {
			list, b = append(list, b[0]), b[1:]
		}
	}
	return append(append(list, a...), b...)
}

const (
	floodStart = time.Second
	floodEnd   = 7 * time.Second
	target     = 200 * time.Millisecond
)

// Guards against a flood of 500 requests a second that a host of 0.144 cores reads so late that its callers get nothing in time.
func TestFloodIsServedOrRefusedPromptly(t *testing.T) {
	r := pomelooverload.Request{}
	flood := merge(constant(0, 9*time.Second, 10, r), constant(floodStart, floodEnd, 490, r))
	before := simulate(&byTickLag{}, flood, target)[r]
	b := newByDelay()
	got := simulate(b, flood, target)[r]
	t.Logf("by delay %+v, by tick lag %+v", *got, *before)
	if least := 3 * len(flood) / 100; got.late > least {
		t.Errorf("%d of %d callers got nothing in time, want at most %d", got.late, len(flood), least)
	}
	// Refusing all of 500 requests a second leaves time for 51 served ones.
	if want := 45 * 6; got.served < want {
		t.Errorf("%d callers were answered in time, want at least %d", got.served, want)
	}
	if got.late*4 > before.late {
		t.Errorf("%d callers got nothing in time, want less than a quarter of %d by the tick lag", got.late, before.late)
	}
	if len(b.began) != 1 || b.began[0]-floodStart > 100*time.Millisecond {
		t.Errorf("the limit began at %v, want it once within 100 ms of %v", b.began, floodStart)
	}
	if len(b.ended) != 1 || b.ended[0]-floodEnd > 500*time.Millisecond {
		t.Errorf("the limit ended at %v, want it once within 500 ms of %v", b.ended, floodEnd)
	}
}

// Guards against refusing requests in a burst that the router absorbs: clumps wait for up to 80 ms, but the queue empties in each interval.
func TestBurstIsNotLimited(t *testing.T) {
	b := newByDelay()
	var burst []arrival
	for at := time.Duration(0); at < 300*time.Millisecond; at += 100 * time.Millisecond {
		for range 8 {
			burst = append(burst, arrival{at: at})
		}
	}
	got := simulate(b, burst, target)[pomelooverload.Request{}]
	if got.served != len(burst) || len(b.began) > 0 {
		t.Errorf("%+v of %d requests, limited at %v; want all served and no limit", *got, len(burst), b.began)
	}
}

// Guards against a flood of one account that takes the processor from requests within their share, and of a low priority from a high one.
func TestFloodLeavesTheProcessorToMoreImportantRequests(t *testing.T) {
	for name, flood := range map[string]pomelooverload.Request{"over share": {OverShare: true}, "low priority": {Priority: 2}} {
		t.Run(name, func(t *testing.T) {
			important := pomelooverload.Request{}
			arrivals := merge(constant(0, floodEnd, 20, important), constant(floodStart, floodEnd, 480, flood))
			got := simulate(newByDelay(), arrivals, target)
			t.Logf("important %+v, flood %+v", *got[important], *got[flood])
			if o := got[important]; o.served < (o.served+o.refused+o.late)*95/100 {
				t.Errorf("%+v of the important requests, want 95 of 100 served", *o)
			}
			if got[flood].served == 0 {
				t.Error("no request of the flood was served beside the important ones, although the processor had time")
			}
		})
	}
}

// Guards against spending the processor on requests whose answers come too late, while others could be answered in time.
func TestHopelessRequestsAreRefusedFirst(t *testing.T) {
	hopeless := pomelooverload.Request{TimeLeft: 30 * time.Millisecond, Expected: 50 * time.Millisecond}
	arrivals := constant(0, floodEnd, 500, hopeless)
	b := newByDelay()
	simulate(b, arrivals, target)
	if class := b.Admit(floodEnd, 0, hopeless); class != pomelooverload.ClassHopeless {
		t.Errorf("class %q in a flood, want %q", class, pomelooverload.ClassHopeless)
	}
	if class := newByDelay().Admit(0, 0, hopeless); class != pomelooverload.ClassNone {
		t.Errorf("class %q without overload, want the request admitted", class)
	}
}

// Guards against a limit caused by callers that connect long before they send their requests, at a rate so low that they are all requests of an
// interval.
func TestSlowCallersAtALowRateAreNotLimited(t *testing.T) {
	c := pomelooverload.New(pomelooverload.Config{})
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		c.Observe(now, pomelooverload.StageAccept, 300*time.Millisecond)
		c.Tick(now + 50*time.Millisecond)
		if c.State(now).Limited {
			t.Fatalf("limited at %v by callers that send late, one each 100 ms", now)
		}
	}
}

// Guards against a limit that stays far below the capacity after a stall of the process: the router would refuse most of its usual requests for many
// seconds although its processor is idle.
func TestLimitRecoversAfterAStall(t *testing.T) {
	const gap, stall, end = 5 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second
	b := newByDelay()
	lastRefused := time.Duration(0)
	for at := time.Duration(0); at < end; at += gap {
		waited := time.Duration(0)
		if at >= time.Second && at < time.Second+stall {
			waited = time.Second + stall - at
		}
		if !b.admit(at+waited, waited, pomelooverload.Request{}) {
			lastRefused = at
		}
	}
	if lastRefused > 5*time.Second {
		t.Errorf("still refused at %v at 200 requests/s, stalled from 1 s to 1.5 s, want none after 5 s", lastRefused)
	}
}

// Guards against callers with hopeless deadlines that keep an idle router limited.
func TestHopelessRequestsDoNotProlongTheLimit(t *testing.T) {
	c := pomelooverload.New(pomelooverload.Config{})
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		c.Observe(at, pomelooverload.StageAccept, 200*time.Millisecond)
	}
	if !c.State(time.Second).Limited {
		t.Fatal("not limited after 1 s of late requests")
	}
	hopeless := pomelooverload.Request{TimeLeft: time.Millisecond, Expected: time.Second}
	for at := time.Second; at < 4*time.Second; at += 100 * time.Millisecond {
		c.Admit(at, 0, hopeless)
	}
	if c.State(4 * time.Second).Limited {
		t.Error("limited 3 s after the last late request, want the limit ended")
	}
}

// Guards against a caller that connects long before it sends its request: its wait alone must not make the router close connections unread.
func TestOneEarlyConnectionClosesNoOthers(t *testing.T) {
	c := pomelooverload.New(pomelooverload.Config{})
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		c.Observe(at, pomelooverload.StageAccept, 200*time.Millisecond)
	}
	c.Observe(1200*time.Millisecond, pomelooverload.StageAccept, time.Millisecond)
	c.Observe(1310*time.Millisecond, pomelooverload.StageAccept, 2*time.Second)
	if c.State(1310 * time.Millisecond).CloseUnread {
		t.Error("connections are closed unread after a single late request")
	}
}

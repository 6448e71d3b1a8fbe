package pomeloplace_test

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomeloshare"
)

const (
	overloadAccounts = 30
	floodAccounts    = 14
	floodFactor      = 9
	overloadSlots    = 12
	// calmRate is the rate at which engines run four requests each.
	calmRate = 620
)

// share counts what the callers of an account, or of several, got.
type share struct{ requested, onTime, late int }

func (o share) fraction() float64 { return float64(o.onTime) / float64(max(1, o.requested)) }

// overload is a simulation of a fleet of small engines whose accounts have fair shares. All routers use the same shares, without the delay of
// reports of usage.
type overload struct {
	*simulation
	shares *pomeloshare.Shares
	// weights are the relative rates of the accounts.
	weights  []float64
	accounts [overloadAccounts]share
	// accountOf and beyond hold the account of each request by the hash of its own prompt part, and whether it was beyond the account's share.
	accountOf                map[uint64]int
	beyond                   map[uint64]bool
	withinShare, beyondShare share
	// busy sums the running requests of all engines over steps samples.
	busy, steps int
	reserves    float64
	reserved    int
}

// newOverload returns an overload of 72 routers and 140 engines of 12 slots, with reports 20 to 300 ms old.
func newOverload(seed uint64, disabled pomeloplace.Mechanisms) *overload {
	o := &overload{
		simulation: newSimulation(seed, 0, 140), shares: pomeloshare.New(pomeloshare.Config{Window: 4 * time.Second}),
		accountOf: make(map[uint64]int), beyond: make(map[uint64]bool),
	}
	config := &pomelorelay.FleetConfig{
		Routes:   []pomelorelay.Route{{TargetLatency: 800 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}},
		Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: overloadSlots, KVCapacity: 403_914, TokensPerEvent: 11}}},
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 2_800_000},
	}
	o.shares.SetCapacity(config.Limits.TokensPerSecond)
	for range 72 {
		p := newPlacerWithout(disabled)
		p.SetConfig(config)
		for i := range 140 {
			p.PutUpstream(start, engine(pomelorelay.UpstreamID(fmt.Sprint("e", i))))
		}
		o.routers = append(o.routers, p)
	}
	o.slots, o.eventTokens, o.prefillRate, o.sessionFactor, o.maxPause = overloadSlots, 11, 55, 2, 600*time.Millisecond
	o.reportDelay, o.maxExtraDelay = 20*time.Millisecond, 180*time.Millisecond
	o.targets = []time.Duration{800 * time.Millisecond, time.Second, 1500 * time.Millisecond}
	o.estimateSigma, o.retryRefused = 0.3, true
	o.weights = make([]float64, overloadAccounts)
	for i := range o.weights {
		o.weights[i] = 1
	}
	o.weights[0], o.weights[1], o.weights[2] = 5, 3, 3
	o.choose, o.onEnd = o.place, o.recordEnd
	return o
}

// runAt simulates the load; in a flood, every second account requests nine times its usual load.
func (o *overload) runAt(flood bool, length time.Duration) {
	weights := slices.Clone(o.weights)
	total, usual := 0.0, 0.0
	for i := range weights {
		usual += weights[i]
		if flood && i%2 == 1 && i/2 < floodAccounts {
			weights[i] *= floodFactor
		}
		total += weights[i]
	}
	o.account = func(own uint64) {
		at, i := o.random.Float64()*total, 0
		for ; i < len(weights)-1 && at > weights[i]; i++ {
			at -= weights[i]
		}
		o.accountOf[own] = i
		o.accounts[i].requested++
	}
	o.run(calmRate*total/usual, length)
}

// place places a request as pomeloentry does.
func (o *overload) place(_ *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
	o.shares.Tick(o.now)
	own := r.Parts[1].Hash
	id, cost := pomelorelay.AccountID(fmt.Sprint(o.accountOf[own])), pomelorelay.Cost(r.PromptTokens+2*r.OutputTokens)
	o.shares.RecordRequest(id, cost)
	r.WithinShare, r.Standing, r.Owed = o.shares.WithinShare(id, cost), o.shares.Standing(id), o.shares.Owed(id)
	o.beyond[own] = !r.WithinShare
	d := o.routers[router].Place(o.now, r)
	if d.Reason == pomeloplace.ReasonNone {
		o.shares.RecordServed(id, cost)
	}
	if d.Reserve.Slots > 0 {
		o.reserves, o.reserved = o.reserves+d.Reserve.Slots, o.reserved+1
	}
	for _, e := range o.engines {
		o.busy += len(e.running)
	}
	o.steps++
	return d
}

func (o *overload) recordEnd(j *job, late bool, result pomeloplace.Result) {
	own := j.request.Parts[1].Hash
	class := &o.withinShare
	if o.beyond[own] {
		class = &o.beyondShare
	}
	for _, c := range []*share{class, &o.accounts[o.accountOf[own]]} {
		switch {
		case late:
			c.late++
		case result == pomeloplace.ResultCompleted:
			c.onTime++
		}
	}
}

// worstTenth returns the mean fraction in time of the three worst served accounts.
func (o *overload) worstTenth() float64 {
	fractions := make([]float64, 0, overloadAccounts)
	for _, a := range o.accounts {
		fractions = append(fractions, a.fraction())
	}
	slices.Sort(fractions)
	return (fractions[0] + fractions[1] + fractions[2]) / 3
}

// usualAndFlooding returns the shares of the accounts that request their usual load, and of those that flood.
func (o *overload) usualAndFlooding() (usual, flooding share) {
	for i, a := range o.accounts {
		c := &usual
		if i%2 == 1 && i/2 < floodAccounts {
			c = &flooding
		}
		c.requested, c.onTime, c.late = c.requested+a.requested, c.onTime+a.onTime, c.late+a.late
	}
	return usual, flooding
}

func (o *overload) utilisation() float64 {
	return float64(o.busy) / float64(max(1, o.steps)) / float64(overloadSlots*len(o.engines))
}

func (o *overload) reset() {
	o.accounts, o.withinShare, o.beyondShare, o.busy, o.steps = [overloadAccounts]share{}, share{}, share{}, 0, 0
	o.requested, o.refused, o.onTime, o.lateFirstTokens, o.longPauses = 0, 0, 0, 0, 0
	o.reserves, o.reserved = 0, 0
}

func (o *overload) String() string {
	usual, flooding := o.usualAndFlooding()
	return fmt.Sprintf("requested %d, on time %d, late %d, paused %d, refused %d; within share on time %d late %d, beyond on time %d late %d; usual accounts %.3f, flooding %.3f, worst tenth %.3f; utilisation %.3f; reserve %.2f; prefilled %d copied %d",
		o.requested, o.onTime, o.lateFirstTokens, o.longPauses, o.refused, o.withinShare.onTime, o.withinShare.late, o.beyondShare.onTime, o.beyondShare.late, usual.fraction(), flooding.fraction(), o.worstTenth(), o.utilisation(),
		o.reserves/math.Max(1, float64(o.reserved)), o.prefilledShared, o.copied)
}

// overloadSeeds is the number of runs whose sums TestMeasuredReserveUnderFlood compares.
const overloadSeeds = 4

// overloadTotals are sums over runs of a phase.
type overloadTotals struct {
	requested, onTime, late int
	beyondShare, usual      share
}

func (o *share) add(other share) {
	o.requested, o.onTime, o.late = o.requested+other.requested, o.onTime+other.onTime, o.late+other.late
}

func (t *overloadTotals) add(o *overload) {
	usual, _ := o.usualAndFlooding()
	t.requested, t.onTime, t.late = t.requested+o.requested, t.onTime+o.onTime, t.late+o.lateFirstTokens
	t.beyondShare.add(o.beyondShare)
	t.usual.add(usual)
}

// fraction returns a part of the requests.
func (t *overloadTotals) fraction(n int) float64 { return float64(n) / float64(t.requested) }

// Guards against a reserve that opens small engines to requests beyond their accounts' shares at the price of the others: 14 of 30 accounts
// request nine times their usual load at 140 engines of 12 slots, from 72 routers whose reports are 20 to 300 ms old. Compares with the fixed reserve
// in a calm load, in the first 4 s of the flood, and later, over several runs: single ones vary by a tenth.
func TestMeasuredReserveUnderFlood(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var runs sync.WaitGroup
	phases := func(name string, seed uint64, disabled pomeloplace.Mechanisms, totals *[3]overloadTotals) {
		o := newOverload(seed, disabled)
		o.runAt(false, 3*time.Second)
		for i, flood := range []bool{false, true, true} {
			o.reset()
			o.runAt(flood, 4*time.Second)
			mu.Lock()
			totals[i].add(o)
			mu.Unlock()
			t.Logf("%s, seed %d, phase %d: %s", name, seed, i, o)
		}
		for _, s := range o.routers[0].SlotTimes(o.now) {
			t.Logf("%s, seed %d: %+v", name, seed, s)
		}
	}
	var fixed, measured [3]overloadTotals
	for seed := range uint64(overloadSeeds) {
		runs.Go(func() { phases("fixed", seed+1, pomeloplace.Mechanisms{MeasuredReserve: true, SlotTime: true}, &fixed) })
		runs.Go(func() { phases("measured", seed+1, pomeloplace.Mechanisms{}, &measured) })
	}
	runs.Wait()
	calm, begin, flood := &measured[0], &measured[1], &measured[2]
	if got, want := calm.fraction(calm.onTime), fixed[0].fraction(fixed[0].onTime); got < want-0.03 {
		t.Errorf("calm: %.3f on time, want %.3f as with the fixed reserve", got, want)
	}
	if calm.beyondShare != (share{}) {
		t.Errorf("calm: requests beyond their shares %+v, want none", calm.beyondShare)
	}
	if got, limit := begin.fraction(begin.late), 2*calm.fraction(calm.late); got > limit {
		t.Errorf("beginning of the flood: %.4f late, want at most %.4f, twice the calm fraction", got, limit)
	}
	if got, want := flood.fraction(flood.onTime), fixed[2].fraction(fixed[2].onTime); got < 0.95*want {
		t.Errorf("flood: %.3f on time, %.3f with the fixed reserve", got, want)
	}
	if got, limit := flood.fraction(flood.late), 1.5*fixed[2].fraction(fixed[2].late); got > limit {
		t.Errorf("flood: %.4f late, want at most %.4f", got, limit)
	}
	if got, want := flood.usual.fraction(), fixed[2].usual.fraction(); got < 0.9*want {
		t.Errorf("flood: %.3f of the requests of usual accounts on time, %.3f with the fixed reserve", got, want)
	}
}

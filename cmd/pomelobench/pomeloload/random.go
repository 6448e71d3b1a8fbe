package pomeloload

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// The time between two drawn faults and how long one lasts; on average more than one lasts at a time.
const (
	faultEvery    = 2 * time.Second
	faultShortest = time.Second
	faultLongest  = 5 * time.Second
	// quietEnd is left without faults, so that what they did can come to its end.
	quietEnd = 5 * time.Second
)

// drawnFault is a fault at an admin address and the one that takes it back.
type drawnFault struct {
	admin netip.AddrPort
	on    pomelofake.Fault
	off   pomelofake.Fault
}

// RandomSteps draws faults of the stand-ins over the plan's duration from its seed; two may fall together, and the same twice.
func RandomSteps(p Plan) ([]Step, error) {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var steps []Step
	at := time.Duration(random.Int64N(int64(faultEvery)))
	for at < p.Duration-quietEnd {
		lasts := faultShortest + time.Duration(random.Int64N(int64(faultLongest-faultShortest)))
		f := drawFault(p, random)
		on, err := f.step(at, f.on)
		if err != nil {
			return nil, err
		}
		off, err := f.step(min(at+lasts, p.Duration-quietEnd), f.off)
		if err != nil {
			return nil, err
		}
		steps = append(steps, on, off)
		at += time.Duration(random.Int64N(int64(2 * faultEvery)))
	}
	return steps, nil
}

func (f drawnFault) step(after time.Duration, fault pomelofake.Fault) (Step, error) {
	body, err := json.Marshal(fault)
	if err != nil {
		return Step{}, err
	}
	return Step{After: after, Fault: string(body), Admin: f.admin}, nil
}

func drawFault(p Plan, random *rand.Rand) drawnFault {
	if p.HostAdmin.IsValid() && random.IntN(3) == 0 {
		return drawPlatform(p.HostAdmin, random)
	}
	u := p.Upstreams[random.IntN(len(p.Upstreams))]
	if p.service(u.Service).Kind == Plain {
		return drawPlain(u, random)
	}
	return drawEngine(u, random)
}

func drawPlatform(admin netip.AddrPort, random *rand.Rand) drawnFault {
	faults := []pomelofake.Fault{
		{Store: &pomelofake.StoreFaults{Outage: true}},
		{Store: &pomelofake.StoreFaults{Slow: time.Second}},
		{Store: &pomelofake.StoreFaults{SlowAnswer: time.Second}},
		{Store: &pomelofake.StoreFaults{LoseAnswers: 3}},
		{Store: &pomelofake.StoreFaults{Throttle: true}},
		{HostList: &pomelofake.HostListFaults{Outage: true}},
		{HostList: &pomelofake.HostListFaults{Slow: time.Second}},
	}
	off := pomelofake.Fault{Store: &pomelofake.StoreFaults{}, HostList: &pomelofake.HostListFaults{}}
	return drawnFault{admin: admin, on: faults[random.IntN(len(faults))], off: off}
}

func drawPlain(u Upstream, random *rand.Rand) drawnFault {
	every := 1 + random.IntN(10)
	faults := []pomelofake.PlainFaults{
		{Every: every, Refuse: true},
		{Every: every, Late: time.Second},
		{Every: every, Crossed: true},
		{Every: every, Short: 1 + random.IntN(20)},
		{Every: every, Repeat: true},
		{Every: every, Cut: true, CutAt: random.IntN(300)},
		{Every: every, CutEarly: true},
		{Every: every, IdleClose: time.Millisecond},
	}
	drawn := faults[random.IntN(len(faults))]
	return drawnFault{
		admin: u.Admin,
		on:    pomelofake.Fault{Target: string(u.Name), Plain: &drawn},
		off:   pomelofake.Fault{Target: string(u.Name), Plain: &pomelofake.PlainFaults{}},
	}
}

func drawEngine(u Upstream, random *rand.Rand) drawnFault {
	faults := []pomelofake.EngineFaults{
		{Refuse: true},
		{Late: time.Second},
		{Cuts: 1 + random.IntN(20), CutAfter: random.IntN(10)},
		{NoEnd: true},
		{Stalled: true},
	}
	f := drawnFault{admin: u.Admin, off: pomelofake.Fault{Target: string(u.Name), Engine: &pomelofake.EngineFaults{}}}
	n := random.IntN(len(faults) + 1)
	if n == len(faults) {
		f.on = pomelofake.Fault{Target: string(u.Name), Crash: true}
		return f
	}
	f.on = pomelofake.Fault{Target: string(u.Name), Engine: &faults[n]}
	return f
}

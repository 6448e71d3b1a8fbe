package pomeloload

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// With these values more than one random fault is active at a time on average.
const (
	meanFaultInterval = 2 * time.Second
	minFaultDuration  = time.Second
	maxFaultDuration  = 5 * time.Second
	// faultFreeEnd is the time without faults at the end of a run, in which the effects of earlier faults can end.
	faultFreeEnd = 5 * time.Second
)

// drawnFault is a random fault to post to an admin address, with the request body that clears it again.
type drawnFault struct {
	admin netip.AddrPort
	set   pomelofake.Fault
	clear pomelofake.Fault
}

// RandomSteps returns steps that set and clear random faults of the stand-ins over the plan's duration. They depend on the plan
// and its seed only; faults may overlap and repeat.
func RandomSteps(p Plan) ([]Step, error) {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var steps []Step
	at := time.Duration(rng.Int64N(int64(meanFaultInterval)))
	for at < p.Duration-faultFreeEnd {
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f := drawFault(p, rng)
		on, err := f.newStep(at, f.set)
		if err != nil {
			return nil, err
		}
		off, err := f.newStep(min(at+duration, p.Duration-faultFreeEnd), f.clear)
		if err != nil {
			return nil, err
		}
		steps = append(steps, on, off)
		at += time.Duration(rng.Int64N(int64(2 * meanFaultInterval)))
	}
	return steps, nil
}

func (f drawnFault) newStep(after time.Duration, fault pomelofake.Fault) (Step, error) {
	body, err := json.Marshal(fault)
	if err != nil {
		return Step{}, err
	}
	return Step{After: after, Fault: string(body), FaultAdmin: f.admin}, nil
}

func drawFault(p Plan, rng *rand.Rand) drawnFault {
	if p.HostListAdmin.IsValid() && rng.IntN(3) == 0 {
		return drawPlatformFault(p.HostListAdmin, rng)
	}
	u := p.Upstreams[rng.IntN(len(p.Upstreams))]
	if p.service(u.Service).Kind == Plain {
		return drawPlainFault(u, rng)
	}
	return drawEngineFault(u, rng)
}

func drawPlatformFault(admin netip.AddrPort, rng *rand.Rand) drawnFault {
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
	return drawnFault{admin: admin, set: faults[rng.IntN(len(faults))], clear: off}
}

func drawPlainFault(u Upstream, rng *rand.Rand) drawnFault {
	every := 1 + rng.IntN(10)
	faults := []pomelofake.PlainFaults{
		{Every: every, Refuse: true},
		{Every: every, Late: time.Second},
		{Every: every, Crossed: true},
		{Every: every, Short: 1 + rng.IntN(20)},
		{Every: every, Repeat: true},
		{Every: every, Cut: true, CutAt: rng.IntN(300)},
		{Every: every, CutEarly: true},
		{Every: every, IdleClose: time.Millisecond},
	}
	drawn := faults[rng.IntN(len(faults))]
	return drawnFault{
		admin: u.Admin,
		set:   pomelofake.Fault{Target: string(u.Name), Plain: &drawn},
		clear: pomelofake.Fault{Target: string(u.Name), Plain: &pomelofake.PlainFaults{}},
	}
}

func drawEngineFault(u Upstream, rng *rand.Rand) drawnFault {
	faults := []pomelofake.EngineFaults{
		{Refuse: true},
		{Late: time.Second},
		{Cuts: 1 + rng.IntN(20), CutAfter: rng.IntN(10)},
		{NoEnd: true},
		{Stalled: true},
	}
	f := drawnFault{admin: u.Admin, clear: pomelofake.Fault{Target: string(u.Name), Engine: &pomelofake.EngineFaults{}}}
	n := rng.IntN(len(faults) + 1)
	if n == len(faults) {
		f.set = pomelofake.Fault{Target: string(u.Name), Crash: true}
		return f
	}
	f.set = pomelofake.Fault{Target: string(u.Name), Engine: &faults[n]}
	return f
}

package pomeloplace_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// hostSlowness returns how much slower a host is at a time: 2.5 times in a tenth of the intervals of 0.3 s, at random.
func hostSlowness(id pomelorelay.UpstreamID, now time.Time) float64 {
	interval := now.Sub(start) / (300 * time.Millisecond)
	if rand.New(rand.NewPCG(xxhash.Sum64String(string(id)), uint64(interval))).IntN(10) == 0 {
		return 2.5
	}
	return 1
}

// kinds are the kinds of requests of the uneven fleet with their rates.
var kinds = []struct {
	name             string
	perSecond        int
	prompt, shared   pomelorelay.Tokens
	events, sessions int
	target           time.Duration
}{
	{"long", 468, 11_992, 5_382, 38, 400, 500 * time.Millisecond},
	{"short", 201, 826, 200, 29, 400, 300 * time.Millisecond},
	{"tagging", 976, 2_368, 570, 2, 400, 300 * time.Millisecond},
}

// unevenFleet is a fleet of 90 routers and 90 engines of which a quarter run at half of the others' speed.
type unevenFleet struct {
	*simulation
	requested, inTime, refusals map[string]int
	// errors are the logarithms of the measured over the expected times until answers began.
	errors []float64
	// busiest is the sum over intervals of 50 ms of the largest number of requests sent to one engine.
	busiest, intervals int
}

func newUnevenFleet(seed uint64, disabled pomeloplace.Mechanisms) *unevenFleet {
	const size = 90
	s := newSimulation(seed, 0, size)
	f := &unevenFleet{simulation: s, requested: make(map[string]int), inTime: make(map[string]int), refusals: make(map[string]int)}
	s.slots, s.eventTokens, s.reportInterval, s.reportDelay = 12, 10, 40*time.Millisecond, 40*time.Millisecond
	routes := []pomelorelay.Route{{TargetLatency: 300 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}}
	for range size {
		p := pomeloplace.New(pomeloplace.Config{Self: pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"}, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra"}, DisabledMechanisms: disabled})
		p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 12, KVCapacity: 599_512, TokensPerEvent: 10}}}})
		for i := range size {
			up := engine(pomelorelay.UpstreamID(fmt.Sprintf("e%d", i)))
			up.Slots = 12
			p.PutUpstream(start, up)
		}
		s.routers = append(s.routers, p)
	}
	s.overShare = 0.3
	s.draw = f.request
	s.slowness = func(id pomelorelay.UpstreamID) float64 {
		lasting := 0.64
		if xxhash.Sum64String("slow/"+string(id))%4 == 0 {
			lasting *= 2
		}
		return lasting * hostSlowness(id, s.now)
	}
	s.announced = func(id pomelorelay.UpstreamID) pomelorelay.UpstreamFigures {
		e := s.engines[id]
		return pomelorelay.UpstreamFigures{Running: len(e.running), Waiting: len(e.waiting), Slots: 12, SlownessPercent: int(100 * hostSlowness(id, s.now))}
	}
	s.began = func(j *job) {
		name := kindOf(&j.request)
		if f.measuring() {
			f.errors = append(f.errors, math.Log(float64(j.firstToken)/float64(j.expected)))
		}
		if j.firstToken <= 300*time.Millisecond && f.measuring() {
			f.inTime[name]++
		}
	}
	sent, intervalEnd := make(map[pomelorelay.UpstreamID]int), start
	s.choose = func(s *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
		d := s.routers[router].Place(s.now, r)
		if s.now.After(intervalEnd) {
			if f.measuring() {
				f.intervals++
				f.busiest += slices.Max(append(slices.Collect(maps.Values(sent)), 0))
			}
			clear(sent)
			intervalEnd = s.now.Add(50 * time.Millisecond)
		}
		if d.Run == nil && f.measuring() {
			f.refusals[string(d.Bound)+"/"+kindOf(&r)]++
		}
		if d.Run != nil {
			sent[d.Upstream.ID]++
		}
		return d
	}
	return f
}

func (f *unevenFleet) busiestMean() float64 { return float64(f.busiest) / float64(max(1, f.intervals)) }

// spread returns the ratio of the 90th to the 10th percentile of measured over expected times until answers began.
func (f *unevenFleet) spread() float64 {
	slices.Sort(f.errors)
	n := len(f.errors)
	return math.Exp(f.errors[n*9/10] - f.errors[n/10])
}

// measuring reports whether the learning of speeds at the start is over.
func (f *unevenFleet) measuring() bool { return f.now.Sub(start) >= 3*time.Second }

func kindOf(r *pomeloplace.Request) string {
	for _, k := range kinds {
		if k.prompt == r.PromptTokens {
			return k.name
		}
	}
	return ""
}

func (f *unevenFleet) request() (pomeloplace.Request, int) {
	n := f.random.IntN(468 + 201 + 976)
	i := 0
	for n >= kinds[i].perSecond {
		n -= kinds[i].perSecond
		i++
	}
	k := kinds[i]
	if f.measuring() {
		f.requested[k.name]++
	}
	output := k.events * 10
	return pomeloplace.Request{
		Service: engines, PromptTokens: k.prompt, OutputTokens: pomelorelay.Tokens(output), Target: k.target, MaxWait: 10 * time.Second,
		Parts: []pomelorelay.PromptPart{{Hash: uint64(k.shared)<<32 | f.random.Uint64N(uint64(k.sessions)), Tokens: k.shared}, {Hash: f.random.Uint64(), Tokens: k.prompt - k.shared}},
	}, output
}

func (f *unevenFleet) String() string {
	text := fmt.Sprintf("%s; late %d, most requests to an engine in 50 ms %.2f", f.simulation, f.lateFirstTokens, f.busiestMean())
	text += fmt.Sprintf("; within their share %d requested, %d on time; refusals %v", f.inShareRequested, f.inShareOnTime, f.refusals)
	for _, k := range kinds {
		text += fmt.Sprintf("; %s: %d requested, %d within 300 ms", k.name, f.requested[k.name], f.inTime[k.name])
	}
	return text
}

// A quarter of the engines are slow for good, and hosts are slow for moments. Guards against placing requests as if all engines were equally fast,
// and against routers that all send to the same fast engine by reports that are 60 ms old.
func TestUnevenFleetBeginsMoreAnswersInTime(t *testing.T) {
	t.Parallel()
	const seeds, perSecond, length = 1, 700, 6 * time.Second
	total := func(disabled pomeloplace.Mechanisms) (inTime map[string]int, busiest, spread float64) {
		inTime = make(map[string]int)
		for seed := range uint64(seeds) {
			f := newUnevenFleet(seed+1, disabled)
			f.run(perSecond, length)
			t.Logf("Feedback disabled %v: %s", disabled.Feedback, f)
			for name, n := range f.inTime {
				inTime[name] += n
			}
			busiest, spread = busiest+f.busiestMean()/seeds, spread+f.spread()/seeds
		}
		return inTime, busiest, spread
	}
	before, busiestBefore, spreadBefore := total(pomeloplace.Mechanisms{Feedback: true})
	after, busiestAfter, spreadAfter := total(pomeloplace.Mechanisms{})
	for _, k := range kinds {
		if after[k.name] < before[k.name] {
			t.Errorf("%s: %d answers within 300 ms, %d without announcements: want no fewer", k.name, after[k.name], before[k.name])
		}
	}
	t.Logf("p90 over p10 of measured over expected times %.2f, without announcements %.2f", spreadAfter, spreadBefore)
	if busiestAfter > 1.25*busiestBefore {
		t.Errorf("%.2f requests to the busiest engine in 50 ms, %.2f without announcements: want at most a quarter more", busiestAfter, busiestBefore)
	}
}

// Guards against figures that make an upstream unusable: a false one on all upstreams would refuse every request.
func TestFalseFiguresRefuseNothing(t *testing.T) {
	p := withEngines(3)
	now := start
	for i := range 300 {
		now = now.Add(30 * time.Millisecond)
		d := place(t, p, now, prompt(uint64(i), 5000, 3000))
		figures := pomelorelay.UpstreamFigures{Running: 1 << 20, Waiting: 1 << 20, Slots: 1, SlownessPercent: 100 + 9900*(i/20%2)}
		p.RecordAnnounced(now, d.Run, now, figures)
		p.RecordAnswerStart(now.Add(20*time.Millisecond), d.Run)
		p.RecordEnd(now.Add(25*time.Millisecond), d.Run, pomeloplace.ResultCompleted)
	}
}

// plainFleet is a fleet of routers and six plain upstreams of six slots, of which one is four times slower half of the time, by intervals of 0.3 s.
type plainFleet struct {
	routers []*pomeloplace.Placer
	random  *rand.Rand
	// ends holds the end of each running and waiting request by upstream and slot.
	ends map[pomelorelay.UpstreamID][]time.Time
	due  []plainRun
}

type plainRun struct {
	router int
	sent   time.Time
	at     time.Time
	d      pomeloplace.Decision
}

func newPlainFleet(disabled pomeloplace.Mechanisms) *plainFleet {
	f := &plainFleet{random: rand.New(rand.NewPCG(1, 9)), ends: make(map[pomelorelay.UpstreamID][]time.Time)}
	for range 12 {
		p := pomeloplace.New(pomeloplace.Config{Self: pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"}, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra"}, DisabledMechanisms: disabled})
		p.SetConfig(&pomelorelay.FleetConfig{Services: []pomelorelay.ServiceSpec{{Name: plain}}})
		for i := range 6 {
			id := pomelorelay.UpstreamID(fmt.Sprint("p", i))
			p.PutUpstream(start, pomelorelay.FleetUpstream{ID: id, Service: plain, Domain: "a", Slots: 6})
			f.ends[id] = make([]time.Time, 6)
		}
		f.routers = append(f.routers, p)
	}
	return f
}

func plainSlowness(id pomelorelay.UpstreamID, now time.Time) float64 {
	interval := uint64(now.Sub(start) / (300 * time.Millisecond))
	if id == "p0" && rand.New(rand.NewPCG(interval, 5)).IntN(2) == 0 {
		return 4
	}
	return 1
}

// run returns how many answers ended within 100 ms, and how many requests there were.
func (f *plainFleet) run(perSecond float64, length time.Duration) (inTime, requests int) {
	arrival, report := start, start
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		f.endRuns(now, &inTime)
		for ; arrival.Before(now); requests++ {
			arrival = arrival.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
			f.send(now)
		}
		if now.Sub(report) >= 60*time.Millisecond {
			report = now
			f.exchangeReports(now)
		}
	}
	return inTime, requests
}

func (f *plainFleet) send(now time.Time) {
	router := f.random.IntN(len(f.routers))
	d := f.routers[router].Place(now, pomeloplace.Request{Service: plain, WithinShare: true, Target: 200 * time.Millisecond, MaxWait: time.Second})
	if d.Run == nil {
		return
	}
	slots := f.ends[d.Upstream.ID]
	slot := slices.IndexFunc(slots, func(at time.Time) bool { return at.Equal(slices.MinFunc(slots, time.Time.Compare)) })
	begun := now
	if slots[slot].After(now) {
		begun = slots[slot]
	}
	slots[slot] = begun.Add(time.Duration(30 * plainSlowness(d.Upstream.ID, begun) * (0.5 + f.random.Float64()) * float64(time.Millisecond)))
	f.due = append(f.due, plainRun{router: router, sent: now, at: slots[slot], d: d})
}

func (f *plainFleet) endRuns(now time.Time, inTime *int) {
	f.due = slices.DeleteFunc(f.due, func(r plainRun) bool {
		if r.at.After(now) {
			return false
		}
		p, id := f.routers[r.router], r.d.Upstream.ID
		running := 0
		for _, at := range f.ends[id] {
			if at.After(now) {
				running++
			}
		}
		p.RecordAnnounced(now, r.d.Run, now, pomelorelay.UpstreamFigures{Running: running, Slots: 6, SlownessPercent: int(100 * plainSlowness(id, now))})
		p.RecordAnswerStart(now, r.d.Run)
		p.RecordEnd(now, r.d.Run, pomeloplace.ResultCompleted)
		if now.Sub(r.sent) <= 100*time.Millisecond {
			*inTime++
		}
		return true
	})
}

func (f *plainFleet) exchangeReports(now time.Time) {
	for i, from := range f.routers {
		m := &pomelorelay.LoadReport{}
		from.FillReport(m)
		from.FillAnnounced(now, m)
		for k, to := range f.routers {
			if k != i {
				to.ApplyReport(now, pomelorelay.NodeID(fmt.Sprint("r", i)), 1, m)
			}
		}
	}
}

// Guards against sending requests to a plain upstream while its host is slow, where they wait for each other.
func TestSlowPlainUpstreamGetsFewerRequests(t *testing.T) {
	with, requests := newPlainFleet(pomeloplace.Mechanisms{}).run(700, 20*time.Second)
	without, _ := newPlainFleet(pomeloplace.Mechanisms{Feedback: true}).run(700, 20*time.Second)
	t.Logf("%d of %d answers within 100 ms, %d without announcements", with, requests, without)
	if with <= without {
		t.Errorf("%d answers within 100 ms, %d without announcements: want more", with, without)
	}
}

// Guards against a factor for upstreams that announce no slowness, and against old counts: both would change the results of deployments with three
// figures.
func TestThreeFiguresCountForAMoment(t *testing.T) {
	p := withEngines(1)
	d := place(t, p, start, prompt(1, 100, 100))
	p.RecordAnnounced(start, d.Run, start, pomelorelay.UpstreamFigures{Running: 66, Waiting: 4, Slots: 64})
	for _, c := range []struct {
		age     time.Duration
		waiting bool
	}{{10 * time.Millisecond, true}, {290 * time.Millisecond, true}, {310 * time.Millisecond, false}} {
		got := place(t, p, start.Add(c.age), prompt(1, 100, 100))
		if (got.QueueDelay >= 400*time.Millisecond) != c.waiting || got.Slowness != 1 || got.AnnouncedAge != c.age {
			t.Errorf("age %v: delay %v, factor %v, logged age %v; want a wait for slots: %v, factor 1", c.age, got.QueueDelay, got.Slowness, got.AnnouncedAge, c.waiting)
		}
		p.RecordEnd(start.Add(c.age), got.Run, pomeloplace.ResultCancelled)
	}
}

// Guards against a stream at a host that is slow now, where the next long prefill makes it pause for longer than its caller accepts, although an equal
// engine is usual.
func TestStreamAvoidsHostWhereItWouldPause(t *testing.T) {
	p := withEngines(2)
	now := start
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		// Both engines announce in turn; e0 is slow in intervals of 0.3 s.
		r := prompt(uint64(i), 0, 25_000)
		r.Target = time.Hour
		avoided := pomelorelay.UpstreamID(fmt.Sprint("e", i%2))
		r.Avoid = []pomelorelay.UpstreamID{avoided}
		d := place(t, p, now, r)
		percent := 100
		if d.Upstream.ID == "e0" && now.Sub(start)/(300*time.Millisecond)%3 == 0 {
			percent = 250
		}
		p.RecordAnnounced(now, d.Run, now, pomelorelay.UpstreamFigures{Running: 1, Slots: 64, SlownessPercent: percent})
		p.RecordEnd(now, d.Run, pomeloplace.ResultCancelled)
		if percent == 250 && i > 300 {
			stream := prompt(uint64(i)<<20, 0, 10)
			stream.OutputTokens = 400
			got := place(t, p, now, stream)
			p.RecordEnd(now, got.Run, pomeloplace.ResultCancelled)
			if got.Upstream.ID != "e1" {
				t.Fatalf("request %d: stream sent to %s with a factor of %.2f, want e1", i, got.Upstream.ID, got.Slowness)
			}
		}
	}
}

// Guards against a plain upstream of few slots whose false counts are so large that the cost of its occupancy overflows: it would be negative and the
// upstream would get every request.
func TestFalseCountsAttractNoRequests(t *testing.T) {
	p := newPlacer()
	for _, id := range []pomelorelay.UpstreamID{"p0", "p1"} {
		p.PutUpstream(start, pomelorelay.FleetUpstream{ID: id, Service: plain, Domain: "a", Slots: 4})
	}
	figures := pomelorelay.UpstreamFigures{Running: 1 << 20, Waiting: 1 << 20, Slots: 4}
	p.ApplyReport(start, "other", 1, &pomelorelay.LoadReport{Full: true, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "p0", Announced: figures}}})
	r := pomeloplace.Request{Service: plain, WithinShare: true, Target: 400 * time.Millisecond, MaxWait: 10 * time.Second}
	for n := range 3 {
		if d := place(t, p, start, r); d.Upstream.ID != "p1" {
			t.Errorf("request %d was sent to %s, want p1", n, d.Upstream.ID)
		}
	}
}

// Guards against a draining engine that keeps the factor of a slow moment, since no placement considers it: its queue would drain too slowly.
func TestSlownessOfUnusedEngineExpires(t *testing.T) {
	p := withEngines(1)
	now := start
	for i := range 300 {
		now = now.Add(30 * time.Millisecond)
		d := place(t, p, now, prompt(uint64(i), 100, 100))
		p.RecordAnnounced(now, d.Run, now, pomelorelay.UpstreamFigures{Slots: 64, SlownessPercent: 100 + 300*(i/20%2)})
		p.RecordEnd(now, d.Run, pomeloplace.ResultCancelled)
	}
	for range 2 {
		now = now.Add(30 * time.Millisecond)
		d := place(t, p, now, prompt(1, 100, 100))
		p.RecordAnnounced(now, d.Run, now, pomelorelay.UpstreamFigures{Slots: 64, SlownessPercent: 400})
	}
	if got := p.Momentary("e0"); got <= 1 {
		t.Fatalf("factor %v in a slow moment, want more than 1", got)
	}
	draining := engine("e0")
	draining.Draining = true
	p.PutUpstream(now, draining)
	now = now.Add(2 * time.Second)
	p.Tick(now)
	if got := p.Momentary("e0"); got != 1 {
		t.Errorf("factor %v after 2 s without announcements, want 1", got)
	}
}

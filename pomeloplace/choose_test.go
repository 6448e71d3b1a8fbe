package pomeloplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"

	"pgregory.net/rapid"
)

// twins are two placers that go through the same events; one of them evaluates every upstream completely.
type twins struct {
	now              time.Time
	fast, exhaustive *pomeloplace.Placer
	// runs holds the runs of both placers.
	runs [][2]*pomeloplace.Run
	sent pomelorelay.Tokens
}

func newTwins(t *rapid.T, service pomelorelay.ServiceSpec, count int) *twins {
	config := pomeloplace.Config{
		Self:       pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"},
		Regions:    map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "rb"},
		ColdBounds: pomelorelay.ColdBounds{Ratio: 1.5, Slack: 5},
	}
	disabled := rapid.SliceOfN(rapid.SampledFrom(pomeloplace.MechanismNames()), 0, 2).Draw(t, "disabled")
	// Without copies, requests beyond their share are refused where they would prefill cached parts again.
	if rapid.Bool().Draw(t, "no copies") {
		disabled = append(disabled, "Copies")
	}
	config.DisabledMechanisms, _ = pomeloplace.ParseMechanisms(disabled)
	w := &twins{now: start, fast: pomeloplace.New(config), exhaustive: pomeloplace.New(config)}
	w.both(func(p *pomeloplace.Placer) {
		p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{service}})
		p.SetRouters(nil)
		for i := range count {
			p.PutUpstream(w.now, twinUpstream(i, false))
		}
	})
	return w
}

func twinUpstream(i int, draining bool) pomelorelay.FleetUpstream {
	return pomelorelay.FleetUpstream{ID: pomelorelay.UpstreamID(fmt.Sprint("e", i)), Service: engines, Domain: []pomelorelay.DomainID{"a", "b"}[i%2], Slots: 4, Draining: draining}
}

func (w *twins) both(do func(p *pomeloplace.Placer)) {
	do(w.fast)
	do(w.exhaustive)
}

func (w *twins) place(t *rapid.T) {
	shared := rapid.Uint64Range(1, 6)
	tokens := rapid.SampledFrom([]pomelorelay.Tokens{0, 1, 100, 300, 5000, 40_000})
	r := pomeloplace.Request{
		Service: engines, OutputTokens: tokens.Draw(t, "output"), Target: 400 * time.Millisecond, MaxWait: 10 * time.Second,
		WithinShare: rapid.Bool().Draw(t, "within share"), Standing: pomelorelay.Standing{Withheld: rapid.Float64Range(0, 1).Draw(t, "withheld"), Behind: rapid.SampledFrom([]pomelorelay.AccountID{"", "", "other"}).Draw(t, "behind")},
	}
	for range rapid.IntRange(0, 3).Draw(t, "parts") {
		hash := shared.Draw(t, "hash")
		part := pomelorelay.PromptPart{Hash: hash, Tokens: pomelorelay.Tokens(hash * hash * 150)}
		r.Parts, r.PromptTokens = append(r.Parts, part), r.PromptTokens+part.Tokens
	}
	r.PromptTokens += tokens.Draw(t, "own")
	if rapid.IntRange(0, 9).Draw(t, "avoid") == 0 {
		r.Avoid = []pomelorelay.UpstreamID{"e0", "e1"}
	}
	got, want := w.fast.Place(w.now, r), w.exhaustive.PlaceExhaustively(w.now, r)
	if got.Run != nil {
		w.runs = append(w.runs, [2]*pomeloplace.Run{got.Run, want.Run})
	}
	if (got.Run == nil) != (want.Run == nil) {
		t.Fatalf("admitted %v, want %v", got.Run != nil, want.Run != nil)
	}
	got.Run, want.Run = nil, nil
	if g, w := fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want); g != w {
		t.Fatalf("decision\n%s, want\n%s", g, w)
	}
}

// advance answers or ends one of the runs.
func (w *twins) advance(t *rapid.T) {
	if len(w.runs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.runs)-1).Draw(t, "run")
	result := rapid.SampledFrom([]pomeloplace.Result{-1, pomeloplace.ResultCompleted, pomeloplace.ResultLongPause, pomeloplace.ResultFailed, pomeloplace.ResultUnreachable}).Draw(t, "result")
	for k, p := range []*pomeloplace.Placer{w.fast, w.exhaustive} {
		if result < 0 {
			p.RecordAnswerStart(w.now, w.runs[i][k])
		} else {
			p.RecordEnd(w.now, w.runs[i][k], result)
		}
	}
	if result >= 0 {
		w.runs = append(w.runs[:i], w.runs[i+1:]...)
	}
}

// report applies a report of another router.
func (w *twins) report(t *rapid.T) {
	id := pomelorelay.UpstreamID(fmt.Sprint("e", rapid.IntRange(0, 8).Draw(t, "upstream")))
	pending := pomelorelay.Tokens(rapid.IntRange(0, 9000).Draw(t, "pending"))
	w.sent += pending
	m := pomelorelay.LoadReport{
		Upstreams: []pomelorelay.UpstreamLoad{{Upstream: id, Running: uint32(rapid.IntRange(0, 5).Draw(t, "running")), PendingPrefill: pending, KVTokens: 2 * pending, PromptTokensSent: w.sent}},
		Parts:     []pomelorelay.PromptPartPlaced{{Upstream: id, Hash: rapid.Uint64Range(1, 6).Draw(t, "hash"), Tokens: 800}},
	}
	if l := &m.Upstreams[0]; rapid.Bool().Draw(t, "announced") {
		l.Announced = pomelorelay.UpstreamFigures{
			Running: rapid.IntRange(0, 6).Draw(t, "announced running"), Slots: 4, SlownessPercent: rapid.SampledFrom([]int{0, 80, 100, 250, 400}).Draw(t, "slowness"),
		}
		l.AnnouncedAge = time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "age"))
	}
	w.both(func(p *pomeloplace.Placer) { p.ApplyReport(w.now, "r2", 1, &m) })
}

// Guards against a different decision by the search that evaluates only some upstreams: a lower bound above the actual cost, an index of cached
// parts that does not follow evictions and removals, or a queue estimate that is updated at other times.
func TestDecisionsEqualThoseOfExhaustiveEvaluation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := pomelorelay.ServiceSpec{Name: engines, ColdPeriod: coldFor, ColdRate: coldRate, Engine: &pomelorelay.EngineSpec{Slots: 4, KVCapacity: 20_000, TokensPerEvent: 7}}
		if rapid.IntRange(0, 4).Draw(t, "plain") == 0 {
			service.Engine = nil
		}
		w := newTwins(t, service, rapid.IntRange(1, 12).Draw(t, "upstreams"))
		t.Repeat(map[string]func(*rapid.T){
			"place": w.place, "place another": w.place, "run": w.advance, "report": w.report,
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "passed")))
				w.both(func(p *pomeloplace.Placer) { p.Tick(w.now) })
			},
			"list": func(t *rapid.T) {
				u := twinUpstream(rapid.IntRange(0, 12).Draw(t, "upstream"), rapid.IntRange(0, 3).Draw(t, "draining") == 0)
				u.StartUnixMilli = int64(rapid.IntRange(0, 2).Draw(t, "start"))
				w.both(func(p *pomeloplace.Placer) { p.PutUpstream(w.now, u) })
			},
			"remove": func(t *rapid.T) {
				id := twinUpstream(rapid.IntRange(0, 8).Draw(t, "upstream"), false).ID
				w.both(func(p *pomeloplace.Placer) { p.RemoveUpstream(id) })
			},
			"evacuate": func(t *rapid.T) {
				evacuated := rapid.Bool().Draw(t, "evacuated")
				w.both(func(p *pomeloplace.Placer) { p.SetEvacuated(w.now, "b", evacuated) })
			},
		})
	})
}

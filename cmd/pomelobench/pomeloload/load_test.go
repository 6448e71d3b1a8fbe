package pomeloload_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

func TestLoadWithoutFaultsHasNoViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := runPlan(t, newTestNetwork(t), directPlan())
		if failures := report.Result.Failures(); len(failures) > 0 {
			t.Errorf("got violations %v: %v, want none", failures, report.Violations)
		}
		r := report.Result
		if r.Answers != r.Requests || r.Runs != r.Requests || r.Requests < 1000 {
			t.Errorf("%d requests, %d answers, %d runs, want at least 1000 and equal numbers", r.Requests, r.Answers, r.Runs)
		}
		// Eight callers keep the four slots busy throughout.
		if r.Utilisation < 0.95 || r.Utilisation > 1 {
			t.Errorf("utilisation %v, want 0.95 to 1", r.Utilisation)
		}
		if len(report.Samples) != 10 {
			t.Errorf("%d samples, want 10", len(report.Samples))
		}
	})
}

// Guards against checks that miss faults: callers use faulty upstreams without a router between, so each fault must appear in the
// result. A check that misses a fault here would also miss it behind a router that does not handle the fault.
func TestFaultsWithoutRouterAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		plain  pomelofake.PlainFaults
		engine pomelofake.EngineFaults
		want   string
	}{
		{"crossed answers", pomelofake.PlainFaults{Crossed: true, Every: 5}, pomelofake.EngineFaults{}, "WrongAnswers"},
		{"streams without an end", pomelofake.PlainFaults{}, pomelofake.EngineFaults{NoEnd: true}, "WrongAnswers"},
		{"connections cut after the run", pomelofake.PlainFaults{Cut: true, Every: 5}, pomelofake.EngineFaults{}, "DoubleRuns"},
		{"answers past the deadline", pomelofake.PlainFaults{Late: 7 * time.Second, Every: 50}, pomelofake.EngineFaults{}, "HeldBack"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(t)
				network.plain.SetFaults(tc.plain)
				network.engine.SetFaults(tc.engine)
				p := directPlan()
				p.Duration = 4 * time.Second
				report := runPlan(t, network, p)
				if !slices.Contains(report.Result.Failures(), tc.want) {
					t.Errorf("got %v, want %s", report.Result.Failures(), tc.want)
				}
			})
		})
	}
}

// testRouter simulates a faulty router: it passes requests on until it is drained, and then cuts every connection.
type testRouter struct {
	plain    *pomelofake.PlainService
	stopping atomic.Bool
	// falseNotRunEvery is n if the router refuses every n-th request as not run although it ran; zero disables these refusals.
	falseNotRunEvery int64
	requests         atomic.Int64
	vars             func() string
}

func (f *testRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.stopping.Load() {
		panic(http.ErrAbortHandler)
	}
	n := f.requests.Add(1)
	if f.falseNotRunEvery > 0 && n%f.falseNotRunEvery == 0 {
		f.plain.ServeHTTP(discardResponse{http.Header{}}, r)
		w.Header().Set("Ran", "No")
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"Code":1001,"Ran":"No"}`)
		return
	}
	f.plain.ServeHTTP(w, r)
}

type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}

func (f *testRouter) operator() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/drain", func(http.ResponseWriter, *http.Request) { f.stopping.Store(true) })
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, f.vars()) })
	return mux
}

const (
	callerAddr   = "127.0.2.1:80"
	operatorAddr = "127.0.2.1:81"
)

// routedPlan starts the router and returns a plan whose requests go through it.
func routedPlan(t *testing.T, network *testNetwork, f *testRouter) pomeloload.Plan {
	t.Helper()
	f.plain = network.plain
	if f.vars == nil {
		f.vars = func() string { return "{}" }
	}
	network.serve(t, callerAddr, f)
	network.serve(t, operatorAddr, f.operator())
	p := directPlan()
	p.Direct = false
	p.Routers = []pomeloload.Router{{
		Name: "r1", CallerAddr: netip.MustParseAddrPort(callerAddr), OperatorAddr: netip.MustParseAddrPort(operatorAddr),
	}}
	for i := range p.Accounts {
		p.Accounts[i].Loads = p.Accounts[i].Loads[:1]
	}
	return p
}

// A router refuses a booking as not run although the service ran the booking. The caller resends the booking, which runs twice.
func TestFalseNotRunIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		report := runPlan(t, network, routedPlan(t, network, &testRouter{falseNotRunEvery: 10}))
		if report.Result.FalseNotRun == 0 || report.Result.DoubleRuns == 0 {
			t.Errorf("got %+v, want FalseNotRun and DoubleRuns above zero", report.Result)
		}
	})
}

// A planned stop cuts requests in progress, so callers get broken answers although nothing failed.
func TestRequestsCutByPlannedStopAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		p := routedPlan(t, network, &testRouter{})
		p.Steps = []pomeloload.Step{{After: 5 * time.Second, DrainRouter: "r1"}}
		report := runPlan(t, network, p)
		if report.Result.CutOff == 0 || len(report.Faults) != 1 {
			t.Errorf("%d requests cut off, want at least one; faults %v, want one", report.Result.CutOff, report.Faults)
		}
	})
}

// A router keeps sending requests to an upstream that the host list shows as leaving.
func TestNewWorkAfterLeaveIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		p := routedPlan(t, network, &testRouter{})
		p.Steps = []pomeloload.Step{{After: 4 * time.Second, LeavingUpstream: "p1"}}
		report := runPlan(t, network, p)
		if report.Result.NewWorkAfterLeave == 0 {
			t.Errorf("got %+v, want NewWorkAfterLeave above zero", report.Result)
		}
	})
}

// An upstream stops decoding and its requests are not refused, so an account's callers wait without any service.
func TestStarvationIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		network.engine.SetFaults(pomelofake.EngineFaults{Stalled: true})
		p := directPlan()
		p.Duration = 12 * time.Second
		report := runPlan(t, network, p)
		if report.Result.Starved == 0 {
			t.Errorf("got %+v, want Starved above zero", report.Result)
		}
	})
}

// A router restarts with an older configuration: the lower generation must be detected, and the router's control traffic must be
// counted although its byte counters restart at zero.
func TestRouterCountersAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		began := time.Now()
		p := routedPlan(t, network, &testRouter{vars: func() string {
			second := int(time.Since(began).Seconds())
			generation, bytes := 5, 1000*second
			if second >= 5 {
				generation, bytes = 4, 1000*(second-5)
			}
			return fmt.Sprintf(`{"Pomelo":{"Generation":%d,"ControlBytes":{"DomainSent":%d,"CrossSent":%d}}}`, generation, bytes, bytes)
		}})
		report := runPlan(t, network, p)
		if report.Result.GenerationFell == 0 || report.Result.GenerationReadings == 0 {
			t.Errorf("the generation fell %d times in %d readings, want at least once", report.Result.GenerationFell, report.Result.GenerationReadings)
		}
		if b := report.Result.ControlBytesPerNodeSecond; b < 1500 || b > 2200 {
			t.Errorf("%v control bytes a second, want 1,500 to 2,200: about 2,000 less those lost at the restart", b)
		}
		if report.Result.ControlBytesCrossRegion < 7000 || report.Result.ControlBytesCrossRegion > 11000 {
			t.Errorf("%v control bytes between regions, want 7,000 to 11,000", report.Result.ControlBytesCrossRegion)
		}
	})
}

// Callers send a booking twice concurrently. Without a router nothing prevents the second run, which must be counted.
func TestOverlappingSendsAndMarkedRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := directPlan()
		for i := range p.Accounts {
			loads := slices.Clone(p.Accounts[i].Loads)
			loads[0].OverlapFraction = 0.5
			loads[1].Callers, loads[1].MaxRequestsPerCaller, loads[1].PromptMarker = 1, 2, "marked"
			p.Accounts[i].Loads = loads
		}
		r := runPlan(t, newTestNetwork(t), p).Result
		if r.DoubleRuns == 0 || r.MaxMarkedRuns != 1 || r.MinAnswers != 2 {
			t.Errorf("%d double runs, at most %d runs of a marked request, at least %d answers per account and pool; want at least 1, exactly 1 and exactly 2", r.DoubleRuns, r.MaxMarkedRuns, r.MinAnswers)
		}
	})
}

// The same unfair load is checked once over its whole time and once over its last 100 ms only: service before GapCheckFrom must not
// count toward the fairness gap.
func TestGapIsCheckedFromGapCheckFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := directPlan()
		p.Accounts[0].Weight = 8
		p.Services[1].GapBound = 300
		full := runPlan(t, newTestNetwork(t), p).Result
		p.GapCheckFrom = p.Duration - 100*time.Millisecond
		tail := runPlan(t, newTestNetwork(t), p).Result
		if full.GapOverBound == 0 || tail.GapOverBound != 0 {
			t.Errorf("violations of the gap bound: %d in the full run, want at least 1; %d in its last 100 ms, want 0", full.GapOverBound, tail.GapOverBound)
		}
	})
}

func TestRecordRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		network.plain.SetFaults(pomelofake.PlainFaults{Crossed: true, Every: 5})
		p := directPlan()
		p.Duration = 2 * time.Second
		report := runPlan(t, network, p)
		path := filepath.Join(t.TempDir(), "record")
		if err := pomeloload.WriteRecord(path, report); err != nil {
			t.Fatal(err)
		}
		back, err := pomeloload.ReadRecord(path)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back.Result, report.Result) || len(back.Samples) != len(report.Samples) || len(back.Violations) != len(report.Violations) {
			t.Errorf("got %+v, want %+v", back.Result, report.Result)
		}
	})
}

func TestInconsistentPlansAreRejected(t *testing.T) {
	cases := map[string]func(*pomeloload.Plan){
		"unknown service of a load":      func(p *pomeloload.Plan) { p.Accounts[0].Loads[0].Service = "other" },
		"unknown service of an upstream": func(p *pomeloload.Plan) { p.Upstreams[0].Service = "other" },
		"unknown router of a load":       func(p *pomeloload.Plan) { p.Accounts[0].Loads[0].Routers = []pomelorelay.NodeID{"r9"} },
		"no routers":                     func(p *pomeloload.Plan) { p.Direct = false },
	}
	for name, breakPlan := range cases {
		t.Run(name, func(t *testing.T) {
			p := directPlan()
			breakPlan(&p)
			if err := p.Validate(); !pomelorelay.IsErrCode(err, pomelorelay.CodeBenchPlan) || !strings.Contains(err.Error(), "BenchPlan") {
				t.Errorf("got %v, want an error with CodeBenchPlan", err)
			}
		})
	}
}

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

func TestUndisturbedLoadHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := runPlan(t, newWorld(t), directPlan())
		if failures := j.Result.Failures(); len(failures) > 0 {
			t.Errorf("%v: %v", failures, j.Violations)
		}
		r := j.Result
		if r.Answers != r.Requests || r.Runs != r.Requests || r.Requests < 1000 {
			t.Errorf("%d requests, %d answers, %d runs", r.Requests, r.Answers, r.Runs)
		}
		// Eight callers keep four slots busy all the time.
		if r.Utilisation < 0.95 || r.Utilisation > 1 {
			t.Errorf("utilisation %v", r.Utilisation)
		}
		if len(j.Samples) != 10 {
			t.Errorf("%d samples", len(j.Samples))
		}
	})
}

// A router without the guard would pass on what a disturbed upstream sends. Here callers meet the upstream with no router
// between, and each fault must show in the result, or the checks would also miss it behind a router.
func TestFaultsWithoutRouterAreSeen(t *testing.T) {
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
				w := newWorld(t)
				w.plain.SetFaults(tc.plain)
				w.engine.SetFaults(tc.engine)
				p := directPlan()
				p.Duration = 4 * time.Second
				j := runPlan(t, w, p)
				if !slices.Contains(j.Result.Failures(), tc.want) {
					t.Errorf("got %v, want %s", j.Result.Failures(), tc.want)
				}
			})
		})
	}
}

// front stands in a router's place: it passes everything on until it is told to stop, and then does what a careless one does.
type front struct {
	plain    *pomelofake.PlainService
	stopping atomic.Bool
	// lie answers "not run" to every such many requests after it ran them.
	lie      int64
	requests atomic.Int64
	vars     func() string
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.stopping.Load() {
		panic(http.ErrAbortHandler)
	}
	n := f.requests.Add(1)
	if f.lie > 0 && n%f.lie == 0 {
		f.plain.ServeHTTP(discard{http.Header{}}, r)
		w.Header().Set("Ran", "No")
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"Code":1001,"Ran":"No"}`)
		return
	}
	f.plain.ServeHTTP(w, r)
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func (f *front) operator() http.Handler {
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

// routed starts the front and returns the plan that goes through it.
func routed(t *testing.T, w *world, f *front) pomeloload.Plan {
	t.Helper()
	f.plain = w.plain
	if f.vars == nil {
		f.vars = func() string { return "{}" }
	}
	w.serve(t, callerAddr, f)
	w.serve(t, operatorAddr, f.operator())
	p := directPlan()
	p.Direct = false
	p.Routers = []pomeloload.Router{{
		Name: "r1", Caller: netip.MustParseAddrPort(callerAddr), Operator: netip.MustParseAddrPort(operatorAddr),
	}}
	for i := range p.Accounts {
		p.Accounts[i].Loads = p.Accounts[i].Loads[:1]
	}
	return p
}

// A router says "not run" of a booking that ran; its caller sends it again and pays twice.
func TestLyingRefusalIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		j := runPlan(t, w, routed(t, w, &front{lie: 10}))
		if j.Result.FalseNotRun == 0 || j.Result.DoubleRuns == 0 {
			t.Errorf("got %+v", j.Result)
		}
	})
}

// A planned stop drops what is in progress. Callers see broken answers although nothing has failed.
func TestCarelessStopIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		p := routed(t, w, &front{})
		p.Steps = []pomeloload.Step{{After: 5 * time.Second, Drain: "r1"}}
		j := runPlan(t, w, p)
		if j.Result.CutOff == 0 || len(j.Faults) != 1 {
			t.Errorf("cut off %d, faults %v", j.Result.CutOff, j.Faults)
		}
	})
}

// A router goes on sending to an upstream that the host list shows as leaving.
func TestNewWorkAfterLeaveIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		p := routed(t, w, &front{})
		p.Steps = []pomeloload.Step{{After: 4 * time.Second, Leave: "p1"}}
		j := runPlan(t, w, p)
		if j.Result.NewWorkAfterLeave == 0 {
			t.Errorf("got %+v", j.Result)
		}
	})
}

// An upstream stops decoding and its router never says so. An account's callers wait, and wait again, without any service.
func TestStarvationIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.engine.SetFaults(pomelofake.EngineFaults{Stalled: true})
		p := directPlan()
		p.Duration = 12 * time.Second
		j := runPlan(t, w, p)
		if j.Result.Starved == 0 {
			t.Errorf("got %+v", j.Result)
		}
	})
}

// A router goes back to an old configuration, and its control bytes are counted across a restart.
func TestRoutersFiguresAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		began := time.Now()
		p := routed(t, w, &front{vars: func() string {
			second := int(time.Since(began).Seconds())
			generation, bytes := 5, 1000*second
			if second >= 5 {
				generation, bytes = 4, 1000*(second-5)
			}
			return fmt.Sprintf(`{"Pomelo":{"Generation":%d,"ControlBytes":{"DomainSent":%d,"CrossSent":%d}}}`, generation, bytes, bytes)
		}})
		j := runPlan(t, w, p)
		if j.Result.GenerationFell == 0 || j.Result.GenerationsSeen == 0 {
			t.Errorf("fell %d of %d seen", j.Result.GenerationFell, j.Result.GenerationsSeen)
		}
		if b := j.Result.ControlBytesPerNodeSecond; b < 1500 || b > 2200 {
			t.Errorf("%v control bytes a second, want about 2,000 less those lost at the restart", b)
		}
		if j.Result.ControlBytesCrossRegion < 7000 || j.Result.ControlBytesCrossRegion > 11000 {
			t.Errorf("%v bytes between regions", j.Result.ControlBytesCrossRegion)
		}
	})
}

// Callers send a booking twice at the same time and no router keeps the second from running.
func TestOverlappingSendsAndMarkersAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := directPlan()
		for i := range p.Accounts {
			loads := slices.Clone(p.Accounts[i].Loads)
			loads[0].Overlap = 0.5
			loads[1].Callers, loads[1].Requests, loads[1].Marker = 1, 2, "marked"
			p.Accounts[i].Loads = loads
		}
		r := runPlan(t, newWorld(t), p).Result
		if r.DoubleRuns == 0 || r.MostMarkedRuns != 1 || r.LeastAnswers != 2 {
			t.Errorf("%d double runs, %d runs of a marked request, %d answers to the least", r.DoubleRuns, r.MostMarkedRuns, r.LeastAnswers)
		}
	})
}

// The same unfair load is judged from its start and from its last moment on: what came before that must not count.
func TestGapIsJudgedFromTheTimeGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := directPlan()
		p.Accounts[0].Weight = 8
		p.Services[1].GapBound = 300
		whole := runPlan(t, newWorld(t), p).Result
		p.GapFrom = p.Duration - 100*time.Millisecond
		end := runPlan(t, newWorld(t), p).Result
		if whole.GapOverBound == 0 || end.GapOverBound != 0 {
			t.Errorf("over the bound: %d in the whole, %d at the end", whole.GapOverBound, end.GapOverBound)
		}
	})
}

func TestRecordReadsBackAsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.plain.SetFaults(pomelofake.PlainFaults{Crossed: true, Every: 5})
		p := directPlan()
		p.Duration = 2 * time.Second
		j := runPlan(t, w, p)
		path := filepath.Join(t.TempDir(), "record")
		if err := pomeloload.WriteRecord(path, j); err != nil {
			t.Fatal(err)
		}
		back, err := pomeloload.ReadRecord(path)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back.Result, j.Result) || len(back.Samples) != len(j.Samples) || len(back.Violations) != len(j.Violations) {
			t.Errorf("got %+v, want %+v", back.Result, j.Result)
		}
	})
}

func TestPlansThatDoNotFitAreRefused(t *testing.T) {
	cases := map[string]func(*pomeloload.Plan){
		"unknown service":  func(p *pomeloload.Plan) { p.Accounts[0].Loads[0].Service = "other" },
		"unknown upstream": func(p *pomeloload.Plan) { p.Upstreams[0].Service = "other" },
		"unknown router":   func(p *pomeloload.Plan) { p.Accounts[0].Loads[0].Routers = []pomelorelay.NodeID{"r9"} },
		"no routers":       func(p *pomeloload.Plan) { p.Direct = false },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			p := directPlan()
			spoil(&p)
			if err := p.Check(); !pomelorelay.IsErrCode(err, pomelorelay.CodeBenchPlan) || !strings.Contains(err.Error(), "BenchPlan") {
				t.Errorf("got %v", err)
			}
		})
	}
}

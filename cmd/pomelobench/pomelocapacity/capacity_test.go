package pomelocapacity_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelocapacity"
)

func TestFit(t *testing.T) {
	s := pomelocapacity.Fit([]pomelocapacity.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	if math.Abs(s.Intercept-3) > 1e-9 || math.Abs(s.PerUnit-2) > 1e-9 || s.Residual > 1e-9 {
		t.Errorf("a straight line: %+v", s)
	}
	s = pomelocapacity.Fit([]pomelocapacity.Point{{Size: 0, Value: 0}, {Size: 1, Value: 2}, {Size: 2, Value: 0}})
	if math.Abs(s.At(1)-2.0/3) > 1e-9 || math.Abs(s.Residual-math.Sqrt(8.0/9)) > 1e-9 {
		t.Errorf("a tent: %+v", s)
	}
	if s := pomelocapacity.Fit([]pomelocapacity.Point{{Size: 9, Value: 4}}); s.At(100) != 4 {
		t.Errorf("one point: %+v", s)
	}
}

func TestExchangeServesWhatTheUpstreamsRun(t *testing.T) {
	// The figures of the page are worth nothing when the domain that is measured stands still or loses slots. Eight upstreams of four
	// slots and requests of 2 s run 16 requests a second, 2 a router.
	messages, requests := pomelocapacity.ExchangeOf(8, 8)
	if requests < 1.8 || requests > 2.2 {
		t.Errorf("%.2f requests a second and router, want 2", requests)
	}
	// A grant and two replies each, but for the fifth or so that a router grants itself.
	if messages < 2.3*requests {
		t.Errorf("%.1f messages for %.2f requests", messages, requests)
	}
	again, _ := pomelocapacity.ExchangeOf(8, 8)
	if again != messages {
		t.Errorf("%v messages, then %v: counts must not differ from run to run", messages, again)
	}
}

func TestTarget(t *testing.T) {
	size := pomelocapacity.Size()
	if size.Routers() != 60 || size.DomainUpstreams() != 100 || size.Slots() != 68 || size.Duration() != 12750*time.Millisecond {
		t.Errorf("%d routers and %d upstreams a domain, %d slots, %v", size.Routers(), size.DomainUpstreams(), size.Slots(), size.Duration())
	}
	if s, err := pomelocapacity.Defaults(); err != nil || s.Control.Shards == 0 {
		t.Errorf("%+v, %v", s.Control, err)
	}
}

func TestPageNamesEveryRole(t *testing.T) {
	f, err := pomelocapacity.MeasureQuickly()
	if err != nil {
		t.Fatal(err)
	}
	page, err := pomelocapacity.PageOf(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range f.Lines() {
		if !strings.Contains(page, "| "+l.Role+" |") {
			t.Errorf("%s is missing", l.Role)
		}
	}
	for _, wrong := range []string{"NaN", "Inf", "%!", "<no value>"} {
		if strings.Contains(page, wrong) {
			t.Errorf("the page has %s", wrong)
		}
	}
}

package pomeloresidency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloresidency"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const overlap = 4 * time.Second

func config(route, account []pomelorelay.RegionID) *pomelorelay.FleetConfig {
	return &pomelorelay.FleetConfig{
		Routes:   []pomelorelay.Route{{Name: "route", Regions: route}, {Name: "anywhere"}},
		Accounts: []pomelorelay.AccountSpec{{Name: "account", Regions: account}, {Name: "free"}},
	}
}

func regions(names ...pomelorelay.RegionID) []pomelorelay.RegionID { return names }

func TestRegionsOfRouteAndAccountAreIntersected(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []pomelorelay.RegionID
		allowed        []pomelorelay.RegionID
		limited        bool
	}{
		{"neither limited", nil, nil, nil, false},
		{"route limited", regions("a", "b"), nil, regions("a", "b"), true},
		{"account limited", nil, regions("b"), regions("b"), true},
		{"both limited", regions("a", "b"), regions("b", "c"), regions("b"), true},
		{"nothing in common", regions("a"), regions("c"), nil, true},
	} {
		p := pomeloresidency.New(pomeloresidency.Config{Overlap: overlap})
		p.SetConfig(start, config(c.route, c.account))
		got := p.Residency(start.Add(overlap), "route", "account")
		if got.Restricted != c.limited || !slices.Equal(got.Regions, c.allowed) || got.Empty() != (c.limited && len(c.allowed) == 0) {
			t.Errorf("%s: residency %+v", c.name, got)
		}
		if other := p.Residency(start.Add(overlap), "anywhere", "free"); other.Restricted {
			t.Errorf("%s: a route and an account without regions are limited to %v", c.name, other.Regions)
		}
	}
}

// Guards against serving a request in a region that one of two configuration versions forbids while some routers still apply the older one.
func TestStricterVersionAppliesDuringAChange(t *testing.T) {
	for _, c := range []struct {
		name                        string
		before, after               []pomelorelay.RegionID
		during, final               []pomelorelay.RegionID
		limitedDuring, limitedFinal bool
	}{
		{"narrowed", regions("a", "b"), regions("b"), regions("b"), regions("b"), true, true},
		{"widened", regions("a"), regions("a", "b"), regions("a"), regions("a", "b"), true, true},
		{"moved", regions("a"), regions("b"), regions("b"), regions("b"), true, true},
		{"limit added", nil, regions("b"), regions("b"), regions("b"), true, true},
		{"limit removed", regions("a"), nil, regions("a"), nil, true, false},
	} {
		p := pomeloresidency.New(pomeloresidency.Config{Overlap: overlap})
		p.SetConfig(start, config(c.before, nil))
		changed := start.Add(time.Minute)
		p.SetConfig(changed, config(c.after, nil))
		during, after := p.Residency(changed, "route", "free"), p.Residency(changed.Add(overlap), "route", "free")
		if during.Restricted != c.limitedDuring || !slices.Equal(during.Regions, c.during) {
			t.Errorf("%s: residency %+v during the change", c.name, during)
		}
		if after.Restricted != c.limitedFinal || !slices.Equal(after.Regions, c.final) {
			t.Errorf("%s: residency %+v after the change", c.name, after)
		}
	}
}

// Guards against allowing a region that the current configuration version does not allow, whatever earlier versions allowed.
func TestOnlyRegionsOfTheNewestVersionAreAllowed(t *testing.T) {
	all := regions("a", "b", "c", "")
	draw := rapid.SliceOfDistinct(rapid.SampledFrom(all[:3]), func(r pomelorelay.RegionID) pomelorelay.RegionID { return r })
	rapid.Check(t, func(t *rapid.T) {
		p := pomeloresidency.New(pomeloresidency.Config{Overlap: overlap})
		now := start
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			route, account := draw.Draw(t, "route"), draw.Draw(t, "account")
			p.SetConfig(now, config(route, account))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*overlap)).Draw(t, "passed")))
			got := p.Residency(now, "route", "account")
			for _, region := range all {
				allowed := pomelorelay.NewResidency(route).Allows(region) && pomelorelay.NewResidency(account).Allows(region)
				if got.Allows(region) && !allowed {
					t.Fatalf("%q is allowed by %+v, not by %v and %v", region, got, route, account)
				}
			}
		}
	})
}

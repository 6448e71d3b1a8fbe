package pomeloconfig_test

import (
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

func TestEvacuateRejectsInvalidChanges(t *testing.T) {
	c := pomeloconfig.Configuration{Regions: []pomeloconfig.Region{
		{Name: "recife", FailureDomains: []pomelorelay.DomainID{"recife-a", "recife-b"}}, {Name: "salvador", FailureDomains: []pomelorelay.DomainID{"salvador-a"}},
	}}
	for _, step := range []struct {
		domain pomelorelay.DomainID
		cancel bool
		fault  string
		left   int
	}{
		{"recife-b", false, "", 1},
		{"recife-b", false, "already", 1},
		{"nowhere", false, "no region has", 1},
		{"recife-a", true, "not under evacuation", 1},
		{"recife-b", true, "", 0},
	} {
		err := c.Evacuate(step.domain, step.cancel)
		if (err == nil) != (step.fault == "") || (err != nil && (!pomelorelay.IsErrCode(err, pomelorelay.CodeConfigInvalid) || !strings.Contains(err.Error(), step.fault))) {
			t.Errorf("%+v: got error %v", step, err)
		}
		if got := len(c.Evacuated); got != step.left {
			t.Errorf("%+v: %d failure domains under evacuation", step, got)
		}
	}
	c.Evacuated = []pomelorelay.DomainID{"recife-a", "nowhere"}
	found := false
	for _, p := range pomeloconfig.Check(c) {
		found = found || strings.Contains(p.Path, "Evacuated[1]")
	}
	if !found {
		t.Error("an unknown domain was accepted")
	}
}

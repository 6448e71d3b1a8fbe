package pomeloconfig_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

func TestPeriodicIntervalGrowsWithFailureDomain(t *testing.T) {
	for _, c := range []struct {
		routers int
		want    time.Duration
	}{{1, 250 * time.Millisecond}, {13, 250 * time.Millisecond}, {22, 400 * time.Millisecond}, {55, time.Second}, {110, 2 * time.Second}} {
		if got := pomeloconfig.RateLimitedInterval(250*time.Millisecond, c.routers); got != c.want {
			t.Errorf("%d routers: %v, want %v", c.routers, got, c.want)
		}
	}
}

func TestHostListIntervalGrowsWithFleet(t *testing.T) {
	list := pomeloconfig.HostListSettings{Interval: pomeloconfig.DefaultHostListInterval}
	for _, c := range []struct {
		routers int
		want    time.Duration
	}{{0, time.Second}, {24, time.Second}, {360, 15 * time.Second}} {
		if got := list.ReadInterval(c.routers); got != c.want {
			t.Errorf("%d routers: %v, want %v", c.routers, got, c.want)
		}
	}
}

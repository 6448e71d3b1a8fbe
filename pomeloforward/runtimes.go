package pomeloforward

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// runTimeCount is the number of recent run times that are kept for a route, minRunTimes the number from which they are used.
	runTimeCount = 64
	minRunTimes  = 8
	// runTimeMargin is the ratio of the time that a request is given to the longest recent run time.
	runTimeMargin = 1.5
)

// runTimes keeps the recent times from the reading of requests to the ends of their answers, by route. The zero value is empty.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[pomelorelay.RouteID]*recentTimes
}

// recentTimes is a ring of times.
type recentTimes struct {
	times [runTimeCount]time.Duration
	count int
}

// add adds the time of a request. If there are more routes than the configuration has, it removes those that are not among them.
func (r *runTimes) add(configured []pomelorelay.Route, route pomelorelay.RouteID, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.byRoute[route]
	if recent == nil {
		if r.byRoute == nil || len(r.byRoute) >= len(configured) {
			r.keepOnly(configured)
		}
		recent = &recentTimes{}
		r.byRoute[route] = recent
	}
	recent.times[recent.count%runTimeCount] = took
	recent.count++
}

// keepOnly removes all routes but the configured ones.
func (r *runTimes) keepOnly(configured []pomelorelay.Route) {
	kept := make(map[pomelorelay.RouteID]*recentTimes, len(configured))
	for i := range configured {
		if recent := r.byRoute[configured[i].Name]; recent != nil {
			kept[configured[i].Name] = recent
		}
	}
	r.byRoute = kept
}

// longest returns the longest recent time of a route, and false while few are known.
func (r *runTimes) longest(route pomelorelay.RouteID) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.byRoute[route]
	if recent == nil || recent.count < minRunTimes {
		return 0, false
	}
	return slices.Max(recent.times[:min(recent.count, runTimeCount)]), true
}

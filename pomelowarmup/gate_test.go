package pomelowarmup_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

// Guards against a cold upstream that receives more requests in a second than its limit, from routers that learn of it at different times,
// restart meanwhile, or disagree on which routers may send to it. Guards also against one that receives hardly any requests.
func TestFleetStaysWithinTheBoundOfAColdUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(f *fleet, now time.Time, tick int)
	}{
		{"no disturbance", func(*fleet, time.Time, int) {}},
		{"routers restart", func(f *fleet, now time.Time, tick int) {
			if tick%10 == 0 {
				f.restart(now, f.rng.IntN(len(f.peers)), coldFor)
			}
		}},
		{"half of the routers miss a tenth of the registrations", func(f *fleet, _ time.Time, tick int) {
			if tick == 0 {
				for i := 0; i < len(f.gates); i += 2 {
					f.gates[i].SetRouters(f.peers[len(f.peers)/10:])
				}
			}
		}},
		{"routers of one region see only their own region", func(f *fleet, _ time.Time, tick int) {
			if tick > 0 {
				return
			}
			for i, p := range f.peers {
				if p.Region == "r1" {
					var own []pomelorelay.Peer
					for _, o := range f.peers {
						if o.Region == "r1" && o.Node != p.Node {
							own = append(own, o)
						}
					}
					f.gates[i].SetRouters(own)
				}
			}
		}},
	} {
		for seed := range uint64(20) {
			f := newFleet(seed, 78, pomelowarmup.DefaultHolders)
			now := start
			for _, s := range f.states {
				s.MarkCold(now.Add(time.Duration(f.rng.IntN(300))*time.Millisecond), coldFor)
			}
			for tick := range 250 {
				c.disturb(f, now, tick)
				f.send(now)
				now = now.Add(10 * time.Millisecond)
			}
			if peak := f.peakPerSecond(); float64(peak) > bound {
				t.Errorf("%s, seed %d: %d requests in a second, the bound is %.1f", c.name, seed, peak, bound)
			}
			if len(f.sent) < 5 {
				t.Errorf("%s, seed %d: %d requests in all, want at least 5", c.name, seed, len(f.sent))
			}
		}
	}
}

// Guards against so many holders (routers that may send to a cold upstream) that their bursts together exceed the limit, such as all routers of
// a large region.
func TestTooManyHoldersExceedTheBound(t *testing.T) {
	for _, c := range []struct {
		holders int
		within  bool
	}{{1, true}, {2, true}, {4, true}, {300, false}} {
		f := newFleet(1, 300, c.holders)
		now := start
		for _, s := range f.states {
			s.MarkCold(now, time.Minute)
		}
		for range 6000 {
			f.send(now)
			now = now.Add(10 * time.Millisecond)
		}
		peak := f.peakPerSecond()
		t.Logf("%d holders: %.1f a second, %d in the busiest second", c.holders, float64(len(f.sent))/60, peak)
		if within := float64(peak) <= bound; within != c.within {
			t.Errorf("%d holders: %d requests in a second, the bound is %.1f", c.holders, peak, bound)
		}
	}
}

func TestUpstreamIsColdForTheExpectedTime(t *testing.T) {
	entry := func(left time.Duration) pomelorelay.FleetUpstream {
		u := upstreamEntry("u")
		u.ColdRemaining = left
		return u
	}
	neverCold := func(u pomelorelay.FleetUpstream) pomelorelay.FleetUpstream {
		u.Service = "never cold"
		return u
	}
	far := entry(0)
	far.Domain = "f"
	near := newPeers(1)[0]
	for _, c := range []struct {
		name        string
		newUpstream func(g *pomelowarmup.Gate) *pomelowarmup.Upstream
		// cold is the time for which the upstream counts as cold after newUpstream.
		cold time.Duration
	}{
		{"listed as warm", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream { return g.NewUpstream(start, entry(0)) }, 0},
		{"listed as cold", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream { return g.NewUpstream(start, entry(time.Second)) }, time.Second},
		{"listed without a cold period", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			return g.NewUpstream(start, entry(pomelorelay.ColdUnknown))
		}, coldFor},
		{"listed without a cold period, of a service that is never cold", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			return g.NewUpstream(start, neverCold(entry(pomelorelay.ColdUnknown)))
		}, 0},
		{"restarted", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream { return g.NewRestartedUpstream(start, entry(0)) }, coldFor},
		{"restarted with a shorter cold period", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			return g.NewRestartedUpstream(start, entry(time.Second))
		}, time.Second},
		{"cold again by its newest entry", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, entry(0))
			u.UpdateEntry(start, entry(2*time.Second))
			return u
		}, 2 * time.Second},
		{"warm by its newest entry", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, entry(2*time.Second))
			u.UpdateEntry(start, entry(0))
			return u
		}, 0},
		{"back from an evacuation", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, entry(0))
			u.MarkMaybeCold(start)
			return u
		}, coldFor},
		{"reported cold by another router", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, entry(0))
			u.MarkCold(start, 2*time.Second)
			return u
		}, 2 * time.Second},
		{"unreachable, then answering a new request", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start.Add(-time.Second), entry(0))
			u.RecordConnectFailure(start.Add(-time.Second))
			u.RecordAnswer(start, start.Add(-time.Millisecond))
			return u
		}, coldFor},
		{"unreachable, then answering an earlier request", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start.Add(-time.Second), entry(0))
			u.RecordConnectFailure(start)
			u.RecordAnswer(start, start.Add(-time.Millisecond))
			return u
		}, 4 * time.Second},
		{"unreachable from another region", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, far)
			u.RecordConnectFailure(start)
			return u
		}, 0},
		{"unreachable, of a service that is never cold", func(g *pomelowarmup.Gate) *pomelowarmup.Upstream {
			u := g.NewUpstream(start, neverCold(entry(0)))
			u.RecordConnectFailure(start)
			return u
		}, 0},
	} {
		u := c.newUpstream(newGate(near, nil, pomelowarmup.DefaultHolders))
		if c.cold > 0 && !u.Cold(start.Add(c.cold-time.Millisecond)) {
			t.Errorf("%s: warm before %v", c.name, c.cold)
		}
		if u.Cold(start.Add(c.cold)) {
			t.Errorf("%s: cold after %v", c.name, c.cold)
		}
	}
}

// Guards against an upstream that no router tries again after a failed connection, and against one that every router tries again.
func TestOnlyHoldersSendToASuspectUpstream(t *testing.T) {
	f := newFleet(3, 78, pomelowarmup.DefaultHolders)
	senders := 0
	for _, s := range f.states {
		s.MarkSuspect(start)
		if s.Admission(start.Add(time.Second)) == pomelowarmup.AdmissionOpen {
			senders++
		}
	}
	if senders != pomelowarmup.DefaultHolders {
		t.Errorf("%d routers may send to the suspect upstream, want %d", senders, pomelowarmup.DefaultHolders)
	}
}

// Guards against a RetryAfter after which the router may still not send a request.
func TestRouterMaySendAfterRetryAfter(t *testing.T) {
	f := newFleet(5, 12, pomelowarmup.DefaultHolders)
	for i, s := range f.states {
		s.MarkCold(start, coldFor)
		wait := s.RetryAfter(start)
		if wait <= 0 || wait > coldFor {
			t.Errorf("router %d: wait of %v, want more than 0 and at most the cold period", i, wait)
		}
		if s.Admission(start.Add(wait+time.Millisecond)) == pomelowarmup.AdmissionClosed {
			t.Errorf("router %d may not send after its wait of %v", i, wait)
		}
	}
}

package pomelomember_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

func TestKilledRouterIsDetected(t *testing.T) {
	// The host of a router loses power. Until the other routers detect the failure, the upstreams whose slots the lost router granted get
	// no requests, and accounts wait.
	var slowest, total time.Duration
	const seeds = 20
	for seed := range uint64(seeds) {
		f := newFleet(t, 1, 30, seed)
		f.startAll()
		f.converge(10 * time.Second)
		f.run(2*time.Second + time.Duration(seed)*tick)
		f.routers[7].up = false
		took := f.converge(10 * time.Second)
		total += took
		slowest = max(slowest, took)
	}
	t.Logf("detection by all of 30 routers, %d seeds: mean %v, slowest %v", seeds, total/seeds, slowest)
	if slowest > 3*time.Second {
		t.Errorf("slowest detection took %v, want at most 3s", slowest)
	}
}

func TestLossAndPausesCauseNoFalseDeaths(t *testing.T) {
	// One message in a hundred is lost and routers pause for up to a second, as in garbage collection or a live migration. A router
	// that is wrongly declared dead loses the slots and shards assigned to it needlessly.
	f := newFleet(t, 1, 30, 3)
	f.startAll()
	f.converge(10 * time.Second)
	f.loss = 0.01
	pauses := 0
	for second := range 600 {
		if second%10 == 0 {
			f.routers[f.random.IntN(len(f.routers))].pausedUntil = f.now.Add(time.Second)
			pauses++
		}
		f.run(time.Second)
	}
	t.Logf("10 min, 30 routers, 1%% loss, %d pauses of 1 s: %d declared dead", pauses, len(f.deaths))
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
}

func TestPausedRouterDeclaresNoneDead(t *testing.T) {
	// A router suspects another router and then pauses for 20 s. After the pause, the suspected router's time to refute appears to have
	// expired, although no refutation could have been received meanwhile.
	f := newFleet(t, 1, 3, 4)
	f.startAll()
	f.converge(10 * time.Second)
	f.routers[1].up = false
	for steps := 0; f.suspicions == 0; steps++ {
		if steps == 100 {
			t.Fatal("stopped router was never suspected")
		}
		f.run(tick)
	}
	v := f.routers[0].view
	later := f.now.Add(20 * time.Second)
	v.Tick(later, nil)
	if changes := v.TakeChanges(nil); len(changes) != 0 {
		t.Errorf("changes immediately after the pause: %+v", changes)
	}
	v.RecordMessage(later.Add(tick), "r0-01", f.routers[1].incarnation)
	v.Tick(later.Add(2*time.Second), nil)
	if members := v.Snapshot().Members("domain-0"); len(members) != 3 {
		t.Errorf("members %v, want 3", members)
	}
}

func TestUnlistedRouterRejoins(t *testing.T) {
	// A running router is missing from the host list and is declared dead while its network is down. Since routers that are not listed
	// are not contacted, it must learn from the replies to its own messages that it has to refute.
	f := newFleet(t, 1, 6, 15)
	f.startAll()
	f.converge(10 * time.Second)
	for _, r := range f.routers {
		r.view.SetHosts(f.now, f.hosts()[:5], nil)
	}
	f.routers[5].up = false
	f.run(9 * time.Second)
	f.routers[5].up = true
	if f.deaths["r0-05"].IsZero() {
		t.Fatal("not declared dead while disconnected")
	}
	f.converge(5 * time.Second)
}

func TestSlotsOfDeadDomainAreNotRelayed(t *testing.T) {
	// A failure domain fails completely. If gateways kept relaying the SlotDigests (slot states) of that domain to each other, routers
	// would go on registering demand for slots that are gone.
	f := newFleet(t, 2, 6, 16)
	f.startAll()
	for _, r := range f.routers {
		r.view.SetSlots([]pomelorelay.SlotDigest{{Upstream: pomelorelay.UpstreamID("u-" + r.peer.Node), Pool: "p", Owner: r.peer.Node, Domain: r.peer.Domain, Idle: 1}})
	}
	f.run(10 * time.Second)
	if f.foreignSlots == 0 {
		t.Fatal("no slots of the other domain were relayed")
	}
	for _, r := range f.routers[6:] {
		r.up = false
	}
	f.run(20 * time.Second)
	f.foreignSlots = 0
	f.run(20 * time.Second)
	if f.foreignSlots != 0 {
		t.Errorf("%d slots of the dead domain relayed", f.foreignSlots)
	}
}

func TestOneWayLinkFailureCausesNoFalseDeaths(t *testing.T) {
	// A network fault drops packets from one router to another in that direction only. Both routers can still exchange packets with all
	// others, so neither may be suspected or declared dead.
	f := newFleet(t, 1, 10, 5)
	f.startAll()
	f.converge(10 * time.Second)
	f.blocked = func(from, to pomelorelay.Peer) bool { return from.Node == "r0-01" && to.Node == "r0-02" }
	f.run(5 * time.Minute)
	if len(f.deaths) != 0 || f.suspicions != 0 {
		t.Errorf("declared dead: %v; %d suspicions", f.deaths, f.suspicions)
	}
}

func TestHealedPartitionRejoins(t *testing.T) {
	// The platform returns an empty host list. Then a failure domain is partitioned into halves for a minute, and each half declares the
	// routers of the other half dead. After the heal all routers must rejoin although no process has restarted.
	f := newFleet(t, 1, 20, 6)
	f.startAll()
	f.converge(10 * time.Second)
	for _, r := range f.routers {
		r.view.SetHosts(f.now, f.hosts(), nil)
		r.view.SetHosts(f.now, []pomelorelay.Host{}, nil)
	}
	f.blocked = func(from, to pomelorelay.Peer) bool { return (from.Node < "r0-10") != (to.Node < "r0-10") }
	f.run(time.Minute)
	if len(f.deaths) != 20 {
		t.Fatalf("%d routers declared dead by the other half, want 20", len(f.deaths))
	}
	f.blocked = nil
	t.Logf("20 routers converge %v after the heal", f.converge(20*time.Second))
}

func TestDomainPartitionAndHeal(t *testing.T) {
	// Messages from a failure domain to the others are lost. The domain must count as unreachable rather than each of its routers as
	// dead, and must become reachable again soon after the heal.
	f := newFleet(t, 3, 6, 7)
	f.startAll()
	f.converge(20 * time.Second)
	f.blocked = func(from, _ pomelorelay.Peer) bool { return from.Domain == "domain-2" }
	f.run(30 * time.Second)
	for _, r := range f.routers[:12] {
		if got := r.view.ReachableDomains(f.now, nil); len(got) != 2 {
			if r.peer.Domain != "domain-2" {
				t.Errorf("%s reaches the domains %v", r.peer.Node, got)
			}
		}
	}
	if len(f.deaths) > 6 {
		t.Errorf("%d routers declared dead, want at most 6", len(f.deaths))
	}
	f.blocked = nil
	f.converge(30 * time.Second)
	f.run(5 * time.Second)
	for _, r := range f.routers {
		if got := r.view.ReachableDomains(f.now, nil); len(got) != 3 {
			t.Errorf("%s reaches the domains %v", r.peer.Node, got)
		}
	}
}

func TestFarewellTakesEffectImmediately(t *testing.T) {
	f := newFleet(t, 2, 6, 8)
	f.startAll()
	f.converge(20 * time.Second)
	r := f.routers[2]
	f.send(r, r.view.Leave(f.now, nil))
	f.run(tick)
	r.up = false
	if !f.viewsAgree("domain-0", "domain-0") {
		t.Error("still a member after announcing that it stops")
	}
	f.converge(10 * time.Second)
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
	f.start(r, f.hosts())
	f.converge(20 * time.Second)
}

// Hosts are replaced one after another, and each router stops while the previous one still finishes its requests. A stopping router
// that gets no digests would report the outcomes of claimed requests to routers that are gone, and its stop would run into the time
// limit.
func TestStoppingRouterLearnsOfOtherDepartures(t *testing.T) {
	f := newFleet(t, 3, 2, 11)
	f.startAll()
	f.converge(20 * time.Second)
	slow := f.routers[0]
	f.send(slow, slow.view.Leave(f.now, nil))
	f.run(time.Second)
	for _, i := range []int{1, 2} {
		r := f.routers[i]
		f.send(r, r.view.Leave(f.now, nil))
		f.run(time.Second)
		r.up = false
	}
	f.run(10 * time.Second)
	for _, i := range []int{1, 2} {
		if _, known := slow.view.Snapshot().Peer(f.routers[i].peer.Node); known {
			t.Errorf("%s is gone but still a member in the view of the stopping router", f.routers[i].peer.Node)
		}
	}
	if got := slow.view.ReachableDomains(f.now, nil); len(got) != 2 {
		t.Errorf("the stopping router reaches the domains %v, want 2", got)
	}
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
}

func TestViewsConvergeAfterHalfTheFleetRestarts(t *testing.T) {
	// A faulty image is rolled back: every second router restarts without state at the same time, some of them before the other routers
	// detected the stop.
	f := newFleet(t, 3, 20, 9)
	f.startAll()
	f.converge(20 * time.Second)
	for i, r := range f.routers {
		if i%2 == 0 {
			r.up = false
		}
	}
	f.run(700 * time.Millisecond)
	for i, r := range f.routers {
		if i%2 == 0 {
			f.start(r, f.hosts())
		}
	}
	t.Logf("60 routers converge %v after half of them restarted", f.converge(30*time.Second))
}

func TestRollingRestartsUnderLoss(t *testing.T) {
	// 190 of 360 hosts are restarted or replaced on an ordinary day; here 19 of 36 are restarted, one per minute, with 1% message loss.
	f := newFleet(t, 3, 12, 10)
	f.startAll()
	f.converge(20 * time.Second)
	f.loss = 0.01
	for i := range 19 {
		r := f.routers[(i*7)%len(f.routers)]
		r.up = false
		f.run(10 * time.Second)
		f.start(r, f.hosts())
		f.run(50 * time.Second)
	}
	f.converge(20 * time.Second)
	if len(f.deaths) > 19 {
		t.Errorf("%d declared dead for 19 restarts", len(f.deaths))
	}
}

func TestColdStartWithoutHostList(t *testing.T) {
	// The platform is down while a failure domain starts. The settings name two routers; the others are found once the host list is
	// available again.
	f := newFleet(t, 1, 6, 11)
	seeds := []pomelorelay.Peer{f.routers[0].peer, f.routers[1].peer}
	for _, r := range f.routers {
		f.start(r, nil, seeds...)
	}
	f.run(5 * time.Second)
	for _, r := range f.routers {
		members := r.view.Snapshot().Members("domain-0")
		if len(members) < 2 || members[0] != "r0-00" || members[1] != "r0-01" {
			t.Errorf("members in the view of %s: %v", r.peer.Node, members)
		}
	}
	for _, r := range f.routers {
		f.send(r, r.view.SetHosts(f.now, f.hosts(), nil))
	}
	f.converge(5 * time.Second)
}

func TestMessagesOverrideStaleHostList(t *testing.T) {
	// The host list still has a dead host, lacks a running one, and is then returned empty. Routers from which messages arrive must stay
	// members, and the dead one must not be a member.
	f := newFleet(t, 1, 8, 12)
	all := f.hosts()
	for _, r := range f.routers[1:] {
		f.start(r, all[:7])
	}
	f.run(10 * time.Second)
	for _, r := range f.routers[1:7] {
		if members := r.view.Snapshot().Members("domain-0"); len(members) != 6 {
			t.Errorf("members in the view of %s: %v", r.peer.Node, members)
		}
		r.view.SetHosts(f.now, all, nil)
		r.view.SetHosts(f.now, nil, nil)
	}
	f.converge(5 * time.Second)
}

func TestMessagesOfFormerProcessAreIgnored(t *testing.T) {
	// Messages of a router's former process arrive after its new process is known. They must neither mark the running process as
	// leaving nor keep it alive once it has stopped.
	f := newFleet(t, 1, 3, 13)
	f.startAll()
	f.converge(10 * time.Second)
	former := f.routers[1].incarnation
	f.start(f.routers[1], f.hosts())
	f.run(3 * time.Second)
	v := f.routers[0].view
	v.HandleFarewell(f.now, "r0-01", former, &pomelorelay.Farewell{Incarnation: former}, nil)
	if members := v.Snapshot().Members("domain-0"); len(members) != 3 {
		t.Errorf("members %v, want 3", members)
	}
	f.routers[1].up = false
	for range 100 {
		f.run(tick)
		v.RecordMessage(f.now, "r0-01", former)
	}
	if members := v.Snapshot().Members("domain-0"); len(members) != 2 {
		t.Errorf("messages of the former process keep the stopped one alive: %v", members)
	}
}

func TestControlBytesAtTargetFleetSize(t *testing.T) {
	// Control traffic costs money and is limited. The digests that each of the sixty routers of a domain sends to all others grow
	// fastest with the fleet.
	f := newFleet(t, 6, 60, 14)
	f.startAll()
	f.run(5 * time.Second)
	for _, r := range f.routers {
		r.sentBytes = 0
		r.view.SetSlots([]pomelorelay.SlotDigest{
			{Upstream: pomelorelay.UpstreamID("u1-" + r.peer.Node), Pool: "assistant/small", Owner: r.peer.Node, Domain: r.peer.Domain, LastTag: 12345.5, Idle: 1, Limit: 8},
			{Upstream: pomelorelay.UpstreamID("u2-" + r.peer.Node), Pool: "assistant/large", Owner: r.peer.Node, Domain: r.peer.Domain, LastTag: 12345.5, Limit: 8},
		})
	}
	const seconds = 10
	f.run(seconds * time.Second)
	total, maximum := 0, 0
	for _, r := range f.routers {
		total += r.sentBytes
		maximum = max(maximum, r.sentBytes)
	}
	t.Logf("360 routers, 2 slots each: %d B/s sent per router, %d by the busiest gateway", total/len(f.routers)/seconds, maximum/seconds)
	if maximum/seconds > 24_000 {
		t.Errorf("busiest router sends %d B/s, want at most 24000", maximum/seconds)
	}
}

func TestRemovedNodeMovesOnlyItsOwnKeys(t *testing.T) {
	var nodes []pomelorelay.NodeID
	for i := range 60 {
		nodes = append(nodes, newFleet(t, 1, 60, 1).routers[i].peer.Node)
	}
	removed := nodes[17]
	remaining := append(append([]pomelorelay.NodeID{}, nodes[:17]...), nodes[18:]...)
	counts := make(map[pomelorelay.NodeID]int)
	const keys = 6000
	for i := range keys {
		key := "shard/" + string(rune('a'+i%26)) + time.Duration(i).String()
		before, _ := pomelomember.Owner(key, nodes)
		after, _ := pomelomember.Owner(key, remaining)
		if before != removed && before != after {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
		if ranked := pomelomember.Rank(key, nodes); ranked[0] != before {
			t.Fatalf("%s: rank %s, owner %s", key, ranked[0], before)
		}
		counts[before]++
	}
	for node, n := range counts {
		if n < keys/60/2 || n > keys/60*2 {
			t.Errorf("%s has %d of %d keys", node, n, keys)
		}
	}
}

package pomelomember_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

func TestKilledRouterIsNoticed(t *testing.T) {
	// A host loses its power. Until the others notice, what it owned stands idle and its accounts wait.
	var slowest, total time.Duration
	const seeds = 20
	for seed := range uint64(seeds) {
		f := newFleet(t, 1, 30, seed)
		f.startAll()
		f.settle(10 * time.Second)
		f.run(2*time.Second + time.Duration(seed)*tick)
		f.routers[7].up = false
		took := f.settle(10 * time.Second)
		total += took
		slowest = max(slowest, took)
	}
	t.Logf("detection by all of 30 routers, %d seeds: mean %v, slowest %v", seeds, total/seeds, slowest)
	if slowest > 3*time.Second {
		t.Errorf("slowest detection %v", slowest)
	}
}

func TestLossAndPausesKillNobody(t *testing.T) {
	// One message in a hundred is lost and routers stand still for up to a second, as when memory is collected or a host is moved. A router wrongly declared dead loses its jobs for nothing.
	f := newFleet(t, 1, 30, 3)
	f.startAll()
	f.settle(10 * time.Second)
	f.loss = 0.01
	pauses := 0
	for second := range 600 {
		if second%10 == 0 {
			f.routers[f.random.IntN(len(f.routers))].paused = f.now.Add(time.Second)
			pauses++
		}
		f.run(time.Second)
	}
	t.Logf("10 min, 30 routers, 1%% loss, %d pauses of 1 s: %d declared dead", pauses, len(f.deaths))
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
}

func TestPausedRouterKillsNobody(t *testing.T) {
	// A router suspects another that was slow, then stands still itself for 20 s. When it goes on, the time to refute seems long over, but nothing could have reached it.
	f := newFleet(t, 1, 3, 4)
	f.startAll()
	f.settle(10 * time.Second)
	f.routers[1].up = false
	for steps := 0; f.suspicions == 0; steps++ {
		if steps == 100 {
			t.Fatal("never suspected")
		}
		f.run(tick)
	}
	v := f.routers[0].view
	later := f.now.Add(20 * time.Second)
	v.Tick(later, nil)
	if changes := v.TakeChanges(nil); len(changes) != 0 {
		t.Errorf("declared at once: %+v", changes)
	}
	v.RecordMessage(later.Add(tick), "r0-01", f.routers[1].inc)
	v.Tick(later.Add(2*time.Second), nil)
	if members := v.Snapshot().Members("domain-0"); len(members) != 3 {
		t.Errorf("members %v", members)
	}
}

func TestUnlistedRouterComesBack(t *testing.T) {
	// A running router has fallen off the host list, and while its switch is down it seems dead. Nobody asks for it any more, so it must learn from the answers that it has to refute.
	f := newFleet(t, 1, 6, 15)
	f.startAll()
	f.settle(10 * time.Second)
	for _, r := range f.routers {
		r.view.SetHosts(f.now, f.hosts()[:5], nil)
	}
	f.routers[5].up = false
	f.run(9 * time.Second)
	f.routers[5].up = true
	if f.deaths["r0-05"].IsZero() {
		t.Fatal("not declared dead while it was away")
	}
	f.settle(5 * time.Second)
}

func TestSlotsOfADeadDomainAreNotPassedOn(t *testing.T) {
	// A failure domain goes dark. If gateways repeated each other's word of it, routers would go on registering at slots that are gone.
	f := newFleet(t, 2, 6, 16)
	f.startAll()
	for _, r := range f.routers {
		r.view.SetSlots([]pomelorelay.SlotDigest{{Upstream: pomelorelay.UpstreamID("u-" + r.peer.Node), Pool: "p", Owner: r.peer.Node, Domain: r.peer.Domain, Idle: 1}})
	}
	f.run(10 * time.Second)
	if f.foreign == 0 {
		t.Fatal("no slots of the other domain were passed on")
	}
	for _, r := range f.routers[6:] {
		r.up = false
	}
	f.run(20 * time.Second)
	f.foreign = 0
	f.run(20 * time.Second)
	if f.foreign != 0 {
		t.Errorf("%d slots passed on", f.foreign)
	}
}

func TestOneWayCutBetweenTwoKillsNobody(t *testing.T) {
	// A faulty route drops packets from one router to one other, in that direction only. Both still work for everybody else.
	f := newFleet(t, 1, 10, 5)
	f.startAll()
	f.settle(10 * time.Second)
	f.cut = func(from, to pomelorelay.Peer) bool { return from.Node == "r0-01" && to.Node == "r0-02" }
	f.run(5 * time.Minute)
	if len(f.deaths) != 0 || f.suspicions != 0 {
		t.Errorf("declared dead: %v; %d words of suspicion", f.deaths, f.suspicions)
	}
}

func TestHealedPartitionRejoins(t *testing.T) {
	// Half a failure domain is cut off for a minute, so each half keeps the other for dead, and the platform's list comes back empty meanwhile. After the heal both come back, though no process restarted.
	f := newFleet(t, 1, 20, 6)
	f.startAll()
	f.settle(10 * time.Second)
	for _, r := range f.routers {
		r.view.SetHosts(f.now, f.hosts(), nil)
		r.view.SetHosts(f.now, []pomelorelay.Host{}, nil)
	}
	f.cut = func(from, to pomelorelay.Peer) bool { return (from.Node < "r0-10") != (to.Node < "r0-10") }
	f.run(time.Minute)
	if len(f.deaths) != 20 {
		t.Fatalf("%d declared dead on one side or the other", len(f.deaths))
	}
	f.cut = nil
	t.Logf("20 routers agree %v after the heal", f.settle(20*time.Second))
}

func TestDomainCutOffAndBack(t *testing.T) {
	// A failure domain is cut off from the others, one way at first. It must be seen as unreachable, not as sixty dead routers, and be back soon after.
	f := newFleet(t, 3, 6, 7)
	f.startAll()
	f.settle(20 * time.Second)
	f.cut = func(from, _ pomelorelay.Peer) bool { return from.Domain == "domain-2" }
	f.run(30 * time.Second)
	for _, r := range f.routers[:12] {
		if got := r.view.ReachableDomains(f.now, nil); len(got) != 2 {
			if r.peer.Domain != "domain-2" {
				t.Errorf("%s reaches %v", r.peer.Node, got)
			}
		}
	}
	if len(f.deaths) > 6 {
		t.Errorf("%d declared dead", len(f.deaths))
	}
	f.cut = nil
	f.settle(30 * time.Second)
	f.run(5 * time.Second)
	for _, r := range f.routers {
		if got := r.view.ReachableDomains(f.now, nil); len(got) != 3 {
			t.Errorf("%s reaches %v", r.peer.Node, got)
		}
	}
}

func TestFarewellIsTakenAtOnce(t *testing.T) {
	f := newFleet(t, 2, 6, 8)
	f.startAll()
	f.settle(20 * time.Second)
	r := f.routers[2]
	f.send(r, r.view.Leave(f.now, nil))
	f.run(tick)
	r.up = false
	if !f.agreed("domain-0", "domain-0") {
		t.Error("still a member after its farewell")
	}
	f.settle(10 * time.Second)
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
	f.start(r, f.hosts())
	f.settle(20 * time.Second)
}

// Hosts are replaced one after another, each router stopping while the one before still ends its requests. A router that hears nothing
// more once it stops would send what it has to settle to routers that have gone; one would notice stops that run into their time limit.
func TestStoppingRouterHearsOfOthersThatStop(t *testing.T) {
	f := newFleet(t, 3, 2, 11)
	f.startAll()
	f.settle(20 * time.Second)
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
			t.Errorf("%s has gone and is still a member for the stopping router", f.routers[i].peer.Node)
		}
	}
	if got := slow.view.ReachableDomains(f.now, nil); len(got) != 2 {
		t.Errorf("the stopping router reaches %v", got)
	}
	if len(f.deaths) != 0 {
		t.Errorf("declared dead: %v", f.deaths)
	}
}

func TestHalfTheFleetRestartsAtOnce(t *testing.T) {
	// A faulty image is rolled back: every second router comes up empty within the same moment, some before the others saw them die.
	f := newFleet(t, 3, 20, 9)
	f.startAll()
	f.settle(20 * time.Second)
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
	t.Logf("60 routers agree %v after half restarted", f.settle(30*time.Second))
}

func TestRestartsOfADay(t *testing.T) {
	// 190 hosts of 360 are restarted or replaced on an ordinary day; here 19 of 36, one each minute, under 1% loss.
	f := newFleet(t, 3, 12, 10)
	f.startAll()
	f.settle(20 * time.Second)
	f.loss = 0.01
	for i := range 19 {
		r := f.routers[(i*7)%len(f.routers)]
		r.up = false
		f.run(10 * time.Second)
		f.start(r, f.hosts())
		f.run(50 * time.Second)
	}
	f.settle(20 * time.Second)
	if len(f.deaths) > 19 {
		t.Errorf("%d declared dead for 19 restarts", len(f.deaths))
	}
}

func TestColdStartWithoutHostList(t *testing.T) {
	// The platform is down while a whole failure domain comes up. The settings name two routers; the rest is learnt once the list is back.
	f := newFleet(t, 1, 6, 11)
	seeds := []pomelorelay.Peer{f.routers[0].peer, f.routers[1].peer}
	for _, r := range f.routers {
		f.start(r, nil, seeds...)
	}
	f.run(5 * time.Second)
	for _, r := range f.routers {
		members := r.view.Snapshot().Members("domain-0")
		if len(members) < 2 || members[0] != "r0-00" || members[1] != "r0-01" {
			t.Errorf("%s sees %v", r.peer.Node, members)
		}
	}
	for _, r := range f.routers {
		f.send(r, r.view.SetHosts(f.now, f.hosts(), nil))
	}
	f.settle(5 * time.Second)
}

func TestHostListThatLags(t *testing.T) {
	// The list still names a host that is dead, does not yet name one that runs, and then comes back empty. Views follow what is heard.
	f := newFleet(t, 1, 8, 12)
	all := f.hosts()
	for _, r := range f.routers[1:] {
		f.start(r, all[:7])
	}
	f.run(10 * time.Second)
	for _, r := range f.routers[1:7] {
		if members := r.view.Snapshot().Members("domain-0"); len(members) != 6 {
			t.Errorf("%s sees %v", r.peer.Node, members)
		}
		r.view.SetHosts(f.now, all, nil)
		r.view.SetHosts(f.now, nil, nil)
	}
	f.settle(5 * time.Second)
}

func TestStaleProcessIsNotTakenBack(t *testing.T) {
	// A message of a router's former process arrives after its successor is known; it must not revive the former or hide the latter.
	f := newFleet(t, 1, 3, 13)
	f.startAll()
	f.settle(10 * time.Second)
	former := f.routers[1].inc
	f.start(f.routers[1], f.hosts())
	f.run(3 * time.Second)
	v := f.routers[0].view
	v.HandleFarewell(f.now, "r0-01", former, &pomelorelay.Farewell{Incarnation: former}, nil)
	if members := v.Snapshot().Members("domain-0"); len(members) != 3 {
		t.Errorf("members %v", members)
	}
	f.routers[1].up = false
	for range 100 {
		f.run(tick)
		v.RecordMessage(f.now, "r0-01", former)
	}
	if members := v.Snapshot().Members("domain-0"); len(members) != 2 {
		t.Errorf("the former process keeps its dead successor alive: %v", members)
	}
}

func TestBytesAtTheTargetSize(t *testing.T) {
	// Control traffic is paid for and bounded; the digests of sixty routers that tell everybody everything are where it grows.
	f := newFleet(t, 6, 60, 14)
	f.startAll()
	f.run(5 * time.Second)
	for _, r := range f.routers {
		r.sent = 0
		r.view.SetSlots([]pomelorelay.SlotDigest{
			{Upstream: pomelorelay.UpstreamID("u1-" + r.peer.Node), Pool: "assistant/small", Owner: r.peer.Node, Domain: r.peer.Domain, LastTag: 12345.5, Idle: 1, Limit: 8},
			{Upstream: pomelorelay.UpstreamID("u2-" + r.peer.Node), Pool: "assistant/large", Owner: r.peer.Node, Domain: r.peer.Domain, LastTag: 12345.5, Limit: 8},
		})
	}
	const seconds = 10
	f.run(seconds * time.Second)
	total, most := 0, 0
	for _, r := range f.routers {
		total += r.sent
		most = max(most, r.sent)
	}
	t.Logf("360 routers, 2 slots each: %d B/s sent a router, %d at the busiest gateway", total/len(f.routers)/seconds, most/seconds)
	if most/seconds > 24_000 {
		t.Errorf("%d B/s", most/seconds)
	}
}

func TestPlacementMovesLittle(t *testing.T) {
	var nodes []pomelorelay.NodeID
	for i := range 60 {
		nodes = append(nodes, newFleet(t, 1, 60, 1).routers[i].peer.Node)
	}
	gone := nodes[17]
	left := append(append([]pomelorelay.NodeID{}, nodes[:17]...), nodes[18:]...)
	counts := make(map[pomelorelay.NodeID]int)
	const keys = 6000
	for i := range keys {
		key := "shard/" + string(rune('a'+i%26)) + time.Duration(i).String()
		before, _ := pomelomember.Owner(key, nodes)
		after, _ := pomelomember.Owner(key, left)
		if before != gone && before != after {
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

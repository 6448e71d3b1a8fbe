package pomeloconfig_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// generation is a configuration as it was accepted.
type generation struct {
	root  []byte
	parts map[pomelorelay.Hash][]byte
}

func makeGeneration(t testing.TB, number pomelorelay.Generation, c pomeloconfig.Configuration) generation {
	t.Helper()
	hashes, byHash := mustParts(t, c)
	root := pomeloconfig.Root{Format: pomeloconfig.Format, Generation: number, Parts: hashes, Why: fmt.Sprint(number)}
	data, err := pomeloconfig.EncodeRoot(root)
	if err != nil {
		t.Fatal(err)
	}
	return generation{root: data, parts: byHash}
}

type eventList struct{ ids []pomelorelay.EventID }

func (l *eventList) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) { l.ids = append(l.ids, id) }

func (l *eventList) count(id pomelorelay.EventID) int {
	n := 0
	for _, got := range l.ids {
		if got == id {
			n++
		}
	}
	return n
}

// install makes the spreader hold the generation in force, as if read from the store.
func install(t testing.TB, s *pomeloconfig.Syncer, g generation) {
	t.Helper()
	s.HandleStoredRoot(epoch, g.root)
	for _, part := range g.parts {
		s.HandleStoredPart(epoch, part)
	}
	candidate, ok := s.Candidate()
	if !ok {
		t.Fatal("the generation is not whole")
	}
	s.MarkInForce(candidate.Root.Generation)
}

// The store is restored from an old copy while the fleet has generation 3 in force. Followed, it would take two accepted changes
// back; unsaid, nobody would know that the next change is in danger.
func TestRestoredStoreRaisesAnAlarmAndChangesNothing(t *testing.T) {
	events := &eventList{}
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Logger: events})
	one, three := makeGeneration(t, 1, sample(10)), makeGeneration(t, 3, sample(12))
	other := makeGeneration(t, 3, sample(13))
	install(t, s, three)
	for range 5 {
		s.HandleStoredRoot(epoch, one.root)
	}
	s.HandleStoredRoot(epoch, three.root)
	s.HandleStoredRoot(epoch, other.root)
	if _, ok := s.Candidate(); ok || s.Generation() != 3 {
		t.Fatalf("generation %d, and another to come", s.Generation())
	}
	if older, forked := events.count(pomelorelay.EventConfigStoreOlder), events.count(pomelorelay.EventConfigForked); older != 1 || forked != 1 {
		t.Fatalf("%d alarms of an older store and %d of a fork, want 1 and 1", older, forked)
	}
}

// A router has neither the store nor a peer. It must go on asking both and never count as ready, for it would answer every
// caller with "unknown token".
func TestColdRouterIsNotReady(t *testing.T) {
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{})
	s.SetPeers([]pomelorelay.NodeID{"peer"})
	pulls, reads := 0, 0
	for step := range 100 {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		pulls += len(s.Tick(now, nil))
		if s.PendingStoreReads(now).Root {
			reads++
		}
		s.HandleStoredRoot(now, nil)
	}
	if s.Generation() != 0 || pulls != 20 || reads != 10 {
		t.Fatalf("generation %d, %d pulls, %d reads in 10 s, want 0, 20 and 10", s.Generation(), pulls, reads)
	}
}

// A router cannot apply the newest configuration. It must keep the last, tell the others, and take the next one.
func TestRouterThatCannotApplyKeepsTheLast(t *testing.T) {
	events := &eventList{}
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Logger: events})
	s.SetPeers([]pomelorelay.NodeID{"a", "b"})
	install(t, s, makeGeneration(t, 1, sample(10)))
	two := makeGeneration(t, 2, sample(11))
	s.HandleStoredRoot(epoch, two.root)
	for _, part := range two.parts {
		s.HandleStoredPart(epoch, part)
	}
	out := s.MarkRefused(2, pomelorelay.CodeConfigInvalid, nil)
	if len(out) != 2 || s.Generation() != 1 || events.count(pomelorelay.EventConfigRefused) != 1 {
		t.Fatalf("%d messages, generation %d", len(out), s.Generation())
	}
	s.HandleStoredRoot(epoch, two.root)
	for _, part := range two.parts {
		s.HandleStoredPart(epoch, part)
	}
	if _, ok := s.Candidate(); ok {
		t.Fatal("the refused generation came again")
	}
	install(t, s, makeGeneration(t, 3, sample(12)))
	peer := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{})
	peer.SetPeers([]pomelorelay.NodeID{"r"})
	peer.HandleApplied(epoch, "r", out[0].Message.(*pomelorelay.ConfigApplied))
	if got := peer.Refusals()["r"]; got.Refused != 2 || got.Code != pomelorelay.CodeConfigInvalid {
		t.Fatalf("the peer knows %+v", got)
	}
	peer.HandleGeneration(epoch, "r", 3, nil)
	if len(peer.Refusals()) != 0 {
		t.Fatal("the refusal outlived its end")
	}
}

// Every router of a failure domain pulls from the one that has a large new configuration first. Unbounded, a push would be larger than
// a message may be, and 59 answers would queue behind each other until all of them are too late.
func TestPushesAreBounded(t *testing.T) {
	const maxPush = 64 << 10
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{MaxPush: maxPush})
	g := makeGeneration(t, 1, sample(targetAccounts))
	install(t, s, g)
	var hashes []pomelorelay.Hash
	for hash := range g.parts {
		hashes = append(hashes, hash)
	}
	answered := 0
	for i := range 59 {
		from := pomelorelay.NodeID(fmt.Sprint(i))
		out := s.HandlePull(epoch, from, &pomelorelay.ConfigPull{Parts: hashes}, nil)
		if len(out) > 0 {
			answered++
		}
		for _, o := range out {
			size := 0
			for _, part := range o.Message.(*pomelorelay.ConfigPush).Parts {
				size += len(part)
			}
			if size > maxPush {
				t.Fatalf("a push has %d bytes", size)
			}
		}
	}
	if answered != pomeloconfig.DefaultMaxServes {
		t.Fatalf("%d of 59 pulls were answered at once, want %d", answered, pomeloconfig.DefaultMaxServes)
	}
	if out := s.HandlePull(epoch.Add(time.Second), "58", &pomelorelay.ConfigPull{Parts: hashes}, nil); len(out) == 0 {
		t.Fatal("a later pull is not answered")
	}
}

// A peer sends a root of a far generation whose parts nobody has. The router must not wait for it for good, deaf to the true ones.
func TestRootWithoutPartsIsGivenUp(t *testing.T) {
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{})
	s.SetPeers([]pomelorelay.NodeID{"good", "bad"})
	install(t, s, makeGeneration(t, 1, sample(10)))
	far, two := makeGeneration(t, 1<<40, sample(11)), makeGeneration(t, 2, sample(12))
	s.HandleGeneration(epoch, "bad", 1<<40, nil)
	s.HandlePush(epoch, "bad", &pomelorelay.ConfigPush{Root: far.root}, nil)
	s.HandleGeneration(epoch, "bad", 1, nil)
	s.HandleGeneration(epoch, "good", 2, nil)
	for step := 1; step <= 1000; step++ {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		for _, out := range s.Tick(now, nil) {
			if pull := out.Message.(*pomelorelay.ConfigPull); out.To == "good" && pull.Above < 2 {
				s.HandlePush(now, "good", &pomelorelay.ConfigPush{Root: two.root}, nil)
				for _, part := range two.parts {
					s.HandlePush(now, "good", &pomelorelay.ConfigPush{Parts: [][]byte{part}}, nil)
				}
			}
		}
		if candidate, ok := s.Candidate(); ok {
			s.MarkInForce(candidate.Root.Generation)
		}
	}
	if s.Generation() != 2 {
		t.Fatalf("generation %d, want 2", s.Generation())
	}
}

// Messages are lost, late and doubled; the store is down, restored from an old copy, and up again; routers start anew; operators go on
// changing the configuration. No router may ever go to a lower generation or put something in force that was not accepted, and when the
// faults end all must meet.
func TestGenerationsNeverFallAndMeet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 8).Draw(rt, "routers"), rapid.Uint64().Draw(rt, "seed"))
		f.loss = rapid.IntRange(0, 50).Draw(rt, "percent lost")
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"change", "wait", "wait", "store", "restore", "restart", "refuse"}).Draw(rt, "step") {
			case "change":
				f.change(rt)
			case "store":
				f.storeUp = !f.storeUp
			case "restore":
				f.stored = min(f.stored, 1)
			case "restart":
				f.restart(rapid.IntRange(0, len(f.routers)-1).Draw(rt, "router"))
			case "refuse":
				f.refusing = (f.refusing + 1) % (len(f.routers) + 1)
			}
			f.run(rt, rapid.IntRange(1, 30).Draw(rt, "ticks"))
		}
		f.loss, f.storeUp, f.refusing = 0, true, 0
		f.change(rt)
		f.run(rt, 400)
		for i, r := range f.routers {
			if r.spreader.Generation() != f.newest() {
				rt.Fatalf("router %d has generation %d, the newest is %d", i, r.spreader.Generation(), f.newest())
			}
		}
	})
}

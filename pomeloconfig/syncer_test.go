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

// generation is the encoded root and parts of a published configuration.
type generation struct {
	root  []byte
	parts map[pomelorelay.Hash][]byte
}

func makeGeneration(t testing.TB, number pomelorelay.Generation, c pomeloconfig.Configuration) generation {
	t.Helper()
	hashes, byHash := mustParts(t, c)
	root := pomeloconfig.Root{Format: pomeloconfig.FormatVersion, Generation: number, Parts: hashes, Why: fmt.Sprint(number)}
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

// applyGeneration puts the generation in force, as if it had been read from the store.
func applyGeneration(t testing.TB, s *pomeloconfig.Syncer, g generation) {
	t.Helper()
	s.HandleStoredRoot(epoch, g.root)
	for _, part := range g.parts {
		s.HandleStoredPart(epoch, part)
	}
	candidate, ok := s.Candidate()
	if !ok {
		t.Fatal("there is no candidate after all parts were read")
	}
	s.MarkInForce(candidate.Root.Generation)
}

// The store is restored from an old copy while the fleet has generation 3 in force. The old root must not be applied, because that would
// revert two accepted changes. It must be logged, since the next change may get a generation that routers ignore.
func TestRestoredStoreIsReportedAndNotApplied(t *testing.T) {
	events := &eventList{}
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Logger: events})
	one, three := makeGeneration(t, 1, sample(10)), makeGeneration(t, 3, sample(12))
	other := makeGeneration(t, 3, sample(13))
	applyGeneration(t, s, three)
	for range 5 {
		s.HandleStoredRoot(epoch, one.root)
	}
	s.HandleStoredRoot(epoch, three.root)
	s.HandleStoredRoot(epoch, other.root)
	if _, ok := s.Candidate(); ok || s.Generation() != 3 {
		t.Fatalf("generation %d, want 3 and no candidate", s.Generation())
	}
	if older, forked := events.count(pomelorelay.EventConfigStoreOlder), events.count(pomelorelay.EventConfigForked); older != 1 || forked != 1 {
		t.Fatalf("%d events of an older store and %d of a fork, want 1 and 1", older, forked)
	}
}

// Neither the store nor a peer has a configuration. The router must keep asking the store and the peer and must not become ready,
// because it would reject every caller's token as unknown.
func TestRouterWithoutConfigurationIsNotReady(t *testing.T) {
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

// A router cannot apply the newest configuration. It must keep the previous one, notify its peers and accept the next one.
func TestRefusedConfigurationKeepsPreviousInForce(t *testing.T) {
	events := &eventList{}
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Logger: events})
	s.SetPeers([]pomelorelay.NodeID{"a", "b"})
	applyGeneration(t, s, makeGeneration(t, 1, sample(10)))
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
		t.Fatal("the refused generation is a candidate again")
	}
	applyGeneration(t, s, makeGeneration(t, 3, sample(12)))
	peer := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{})
	peer.SetPeers([]pomelorelay.NodeID{"r"})
	peer.HandleApplied(epoch, "r", out[0].Message.(*pomelorelay.ConfigApplied))
	if got := peer.Refusals()["r"]; got.RefusedGeneration != 2 || got.RefusalCode != pomelorelay.CodeConfigInvalid {
		t.Fatalf("the peer recorded the refusal %+v", got)
	}
	peer.HandleGeneration(epoch, "r", 3, nil)
	if len(peer.Refusals()) != 0 {
		t.Fatal("the refusal is still reported after a newer generation is in force")
	}
}

// All routers of a failure domain pull from the first one with a large new configuration. Without limits a push would exceed the
// maximum message size, and 59 answers would queue until all of them are too late.
func TestPushSizeAndServedPeersAreBounded(t *testing.T) {
	const maxPush = 64 << 10
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{MaxPushBytes: maxPush})
	g := makeGeneration(t, 1, sample(targetAccounts))
	applyGeneration(t, s, g)
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
				t.Fatalf("a push has %d bytes, which is over the limit", size)
			}
		}
	}
	if answered != pomeloconfig.DefaultMaxServedPeers {
		t.Fatalf("%d of 59 pulls were answered at once, want %d", answered, pomeloconfig.DefaultMaxServedPeers)
	}
	if out := s.HandlePull(epoch.Add(time.Second), "58", &pomelorelay.ConfigPull{Parts: hashes}, nil); len(out) == 0 {
		t.Fatal("a later pull is not answered")
	}
}

// A peer sends a root with a very high generation whose parts no router has. The router must drop it; otherwise it would ignore
// the valid lower generations forever.
func TestRootWithoutPartsIsDropped(t *testing.T) {
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{})
	s.SetPeers([]pomelorelay.NodeID{"good", "bad"})
	applyGeneration(t, s, makeGeneration(t, 1, sample(10)))
	far, two := makeGeneration(t, 1<<40, sample(11)), makeGeneration(t, 2, sample(12))
	s.HandleGeneration(epoch, "bad", 1<<40, nil)
	s.HandlePush(epoch, "bad", &pomelorelay.ConfigPush{Root: far.root}, nil)
	s.HandleGeneration(epoch, "bad", 1, nil)
	s.HandleGeneration(epoch, "good", 2, nil)
	for step := 1; step <= 1000; step++ {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		for _, out := range s.Tick(now, nil) {
			if pull := out.Message.(*pomelorelay.ConfigPull); out.To == "good" && pull.AboveGeneration < 2 {
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

// Messages are lost, delayed and duplicated, the store fails and is restored from an old copy, routers restart, and operators
// publish changes. No router may go to a lower generation or apply a configuration that was not published, and after the faults
// all routers must converge on the newest generation.
func TestGenerationsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 8).Draw(rt, "routers"), rapid.Uint64().Draw(rt, "seed"))
		f.lossPercent = rapid.IntRange(0, 50).Draw(rt, "percent lost")
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"change", "wait", "wait", "store", "restore", "restart", "refuse"}).Draw(rt, "step") {
			case "change":
				f.publishNext(rt)
			case "store":
				f.storeUp = !f.storeUp
			case "restore":
				f.storedGeneration = min(f.storedGeneration, 1)
			case "restart":
				f.restart(rapid.IntRange(0, len(f.routers)-1).Draw(rt, "router"))
			case "refuse":
				f.refusingRouter = (f.refusingRouter + 1) % (len(f.routers) + 1)
			}
			f.run(rt, rapid.IntRange(1, 30).Draw(rt, "ticks"))
		}
		f.lossPercent, f.storeUp, f.refusingRouter = 0, true, 0
		f.publishNext(rt)
		f.run(rt, 400)
		for i, r := range f.routers {
			if r.syncer.Generation() != f.newest() {
				rt.Fatalf("router %d has generation %d, the newest is %d", i, r.syncer.Generation(), f.newest())
			}
		}
	})
}

package pomeloconfig_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// fleet simulates routers that exchange messages on a simulated clock.
type fleet struct {
	tb        testing.TB
	now       time.Time
	tick      time.Duration
	random    *rand.Rand
	routers   []*fleetRouter
	peers     []pomelorelay.NodeID
	published []generation
	// storedGeneration is the generation in the store; its index in published is one lower. Zero means none.
	storedGeneration int
	storeUp          bool
	watchers         int
	lossPercent      int
	refusingRouter   int
	queue            []fleetMessage
	sentBytes        pomelorelay.Bytes
}

type fleetRouter struct {
	syncer         *pomeloconfig.Syncer
	lastGeneration pomelorelay.Generation
	reachedAt      time.Time
	withoutStore   bool
}

type fleetMessage struct {
	due  time.Time
	from int
	to   int
	m    pomelorelay.Message
}

func newFleet(tb testing.TB, routers int, seed uint64) *fleet {
	f := &fleet{tb: tb, now: epoch, tick: 20 * time.Millisecond, random: rand.New(rand.NewPCG(seed, seed)), storeUp: true, watchers: 2}
	for i := range routers {
		f.peers = append(f.peers, pomelorelay.NodeID(fmt.Sprintf("router-%03d", i)))
		f.routers = append(f.routers, nil)
	}
	for i := range routers {
		f.restart(i)
	}
	return f
}

// restart replaces the router by one without a configuration.
func (f *fleet) restart(i int) {
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Seed: f.random.Uint64()})
	s.SetPeers(slices.Concat(f.peers[:i], f.peers[i+1:]))
	f.routers[i] = &fleetRouter{syncer: s}
}

func (f *fleet) newest() pomelorelay.Generation { return pomelorelay.Generation(len(f.published)) }

// generationCache holds the encoded generations, which are the same for every fleet; the tests that use it do not run concurrently.
var generationCache = make(map[pomelorelay.Generation]generation)

// failTester is implemented by testing.TB and by *rapid.T.
type failTester interface {
	Fatalf(format string, args ...any)
}

// publishNext publishes a configuration with a generation above all previous ones, like a publisher that knows the generations
// of the routers.
func (f *fleet) publishNext(failTester) {
	number := f.newest() + 1
	if _, ok := generationCache[number]; !ok {
		generationCache[number] = makeGeneration(f.tb, number, withShare(int(number)))
	}
	f.published = append(f.published, generationCache[number])
	f.storedGeneration = len(f.published)
}

func (f *fleet) run(t failTester, ticks int) {
	for range ticks {
		f.now = f.now.Add(f.tick)
		f.deliver()
		for i := range f.routers {
			f.step(t, i)
		}
	}
}

func (f *fleet) step(t failTester, i int) {
	r := f.routers[i]
	f.send(i, r.syncer.Tick(f.now, nil))
	f.readStore(i)
	if candidate, ok := r.syncer.Candidate(); ok {
		f.apply(t, i, candidate)
	}
	if got := r.syncer.Generation(); got < r.lastGeneration {
		t.Fatalf("router %d went from generation %d back to %d", i, r.lastGeneration, got)
	}
	if got := r.syncer.Generation(); got > r.lastGeneration {
		r.lastGeneration, r.reachedAt = got, f.now
	}
	if f.random.IntN(5) == 0 && len(f.routers) > 1 {
		f.announceGeneration(i)
	}
}

// apply puts the candidate in force and checks that it is a published one.
func (f *fleet) apply(t failTester, i int, candidate pomeloconfig.Candidate) {
	if f.refusingRouter == i+1 {
		f.send(i, f.routers[i].syncer.MarkRefused(candidate.Root.Generation, pomelorelay.CodeConfigInvalid, nil))
		return
	}
	data, err := pomeloconfig.EncodeRoot(candidate.Root)
	if err != nil || !bytes.Equal(data, f.published[candidate.Root.Generation-1].root) {
		t.Fatalf("router %d got a candidate that was not published: %v", i, err)
	}
	if _, err := pomeloconfig.Assemble(candidate.Root, candidate.Parts); err != nil {
		t.Fatalf("router %d: %v", i, err)
	}
	f.routers[i].syncer.MarkInForce(candidate.Root.Generation)
}

// announceGeneration sends the router's generation to all others, as message envelopes do.
func (f *fleet) announceGeneration(i int) {
	for to := range f.routers {
		if to != i {
			f.enqueue(i, to, nil)
		}
	}
}

func (f *fleet) send(from int, out []pomelorelay.Outgoing) {
	for _, o := range out {
		f.enqueue(from, slices.Index(f.peers, o.To), o.Message)
	}
}

func (f *fleet) enqueue(from, to int, m pomelorelay.Message) {
	if push, ok := m.(*pomelorelay.ConfigPush); ok {
		f.sentBytes += pomelorelay.Bytes(len(push.Root))
		for _, part := range push.Parts {
			f.sentBytes += pomelorelay.Bytes(len(part))
		}
	}
	for copies := 1 + f.random.IntN(20)/19; copies > 0; copies-- {
		if f.random.IntN(100) >= f.lossPercent {
			delay := time.Duration(1+f.random.IntN(1+3*min(f.lossPercent, 10))) * f.tick
			f.queue = append(f.queue, fleetMessage{due: f.now.Add(delay), from: from, to: to, m: m})
		}
	}
}

func (f *fleet) deliver() {
	queue := f.queue
	f.queue = nil
	for _, message := range queue {
		if message.due.After(f.now) {
			f.queue = append(f.queue, message)
			continue
		}
		f.receive(message)
	}
}

func (f *fleet) receive(message fleetMessage) {
	from, s := f.peers[message.from], f.routers[message.to].syncer
	out := s.HandleGeneration(f.now, from, f.routers[message.from].syncer.Generation(), nil)
	switch m := message.m.(type) {
	case *pomelorelay.ConfigPull:
		out = s.HandlePull(f.now, from, m, out)
	case *pomelorelay.ConfigPush:
		out = s.HandlePush(f.now, from, m, out)
	case *pomelorelay.ConfigApplied:
		s.HandleApplied(f.now, from, m)
	}
	f.send(message.to, out)
}

// readStore performs the store reads that the router requests; a router that watches the store also gets its current root.
func (f *fleet) readStore(i int) {
	s := f.routers[i].syncer
	reads := s.PendingStoreReads(f.now)
	if !f.storeUp || f.routers[i].withoutStore {
		return
	}
	if reads.Root || i < f.watchers {
		if f.storedGeneration == 0 {
			s.HandleStoredRoot(f.now, nil)
		} else {
			s.HandleStoredRoot(f.now, f.published[f.storedGeneration-1].root)
		}
	}
	for _, hash := range reads.Parts {
		for _, g := range f.published[:f.storedGeneration] {
			if data, ok := g.parts[hash]; ok {
				s.HandleStoredPart(f.now, data)
				break
			}
		}
	}
}

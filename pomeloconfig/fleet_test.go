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

// fleet passes messages between spreaders on a clock of its own.
type fleet struct {
	tb       testing.TB
	now      time.Time
	tick     time.Duration
	random   *rand.Rand
	routers  []*fleetRouter
	peers    []pomelorelay.NodeID
	accepted []generation
	// stored is the generation that the store holds, one above its place in accepted; zero is none.
	stored   int
	storeUp  bool
	watchers int
	loss     int
	refusing int
	queue    []fleetMessage
	sent     pomelorelay.Bytes
}

type fleetRouter struct {
	spreader  *pomeloconfig.Syncer
	last      pomelorelay.Generation
	reached   time.Time
	storeless bool
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

// restart makes the router cold.
func (f *fleet) restart(i int) {
	s := pomeloconfig.NewSyncer(pomeloconfig.SyncerConfig{Seed: f.random.Uint64()})
	s.SetPeers(slices.Concat(f.peers[:i], f.peers[i+1:]))
	f.routers[i] = &fleetRouter{spreader: s}
}

func (f *fleet) newest() pomelorelay.Generation { return pomelorelay.Generation(len(f.accepted)) }

// made keeps the generations, which are the same for every fleet; the tests that use it do not run at the same time.
var made = make(map[pomelorelay.Generation]generation)

// failer is what a test and a rapid check have in common.
type failer interface {
	Fatalf(format string, args ...any)
}

// change accepts a configuration above every one before, as a publisher does that was told of the routers.
func (f *fleet) change(failer) {
	number := f.newest() + 1
	if _, ok := made[number]; !ok {
		made[number] = makeGeneration(f.tb, number, withShare(int(number)))
	}
	f.accepted = append(f.accepted, made[number])
	f.stored = len(f.accepted)
}

func (f *fleet) run(t failer, ticks int) {
	for range ticks {
		f.now = f.now.Add(f.tick)
		f.deliver()
		for i := range f.routers {
			f.step(t, i)
		}
	}
}

func (f *fleet) step(t failer, i int) {
	r := f.routers[i]
	f.post(i, r.spreader.Tick(f.now, nil))
	f.readStore(i)
	if candidate, ok := r.spreader.Candidate(); ok {
		f.apply(t, i, candidate)
	}
	if got := r.spreader.Generation(); got < r.last {
		t.Fatalf("router %d fell from generation %d to %d", i, r.last, got)
	}
	if got := r.spreader.Generation(); got > r.last {
		r.last, r.reached = got, f.now
	}
	if f.random.IntN(5) == 0 && len(f.routers) > 1 {
		f.digest(i)
	}
}

// apply checks that the candidate is one that was accepted.
func (f *fleet) apply(t failer, i int, candidate pomeloconfig.Candidate) {
	if f.refusing == i+1 {
		f.post(i, f.routers[i].spreader.MarkRefused(candidate.Root.Generation, pomelorelay.CodeConfigInvalid, nil))
		return
	}
	data, err := pomeloconfig.EncodeRoot(candidate.Root)
	if err != nil || !bytes.Equal(data, f.accepted[candidate.Root.Generation-1].root) {
		t.Fatalf("router %d puts something in force that was not accepted: %v", i, err)
	}
	if _, err := pomeloconfig.Assemble(candidate.Root, candidate.Parts); err != nil {
		t.Fatalf("router %d: %v", i, err)
	}
	f.routers[i].spreader.MarkInForce(candidate.Root.Generation)
}

// digest sends the router's generation to the others, as it rides on their envelopes.
func (f *fleet) digest(i int) {
	for to := range f.routers {
		if to != i {
			f.enqueue(i, to, nil)
		}
	}
}

func (f *fleet) post(from int, out []pomelorelay.Outgoing) {
	for _, o := range out {
		f.enqueue(from, slices.Index(f.peers, o.To), o.Message)
	}
}

func (f *fleet) enqueue(from, to int, m pomelorelay.Message) {
	if push, ok := m.(*pomelorelay.ConfigPush); ok {
		f.sent += pomelorelay.Bytes(len(push.Root))
		for _, part := range push.Parts {
			f.sent += pomelorelay.Bytes(len(part))
		}
	}
	for copies := 1 + f.random.IntN(20)/19; copies > 0; copies-- {
		if f.random.IntN(100) >= f.loss {
			delay := time.Duration(1+f.random.IntN(1+3*min(f.loss, 10))) * f.tick
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
	from, s := f.peers[message.from], f.routers[message.to].spreader
	out := s.HandleGeneration(f.now, from, f.routers[message.from].spreader.Generation(), nil)
	switch m := message.m.(type) {
	case *pomelorelay.ConfigPull:
		out = s.HandlePull(f.now, from, m, out)
	case *pomelorelay.ConfigPush:
		out = s.HandlePush(f.now, from, m, out)
	case *pomelorelay.ConfigApplied:
		s.HandleApplied(f.now, from, m)
	}
	f.post(message.to, out)
}

// readStore answers what the router wants, and reports changes to the watchers.
func (f *fleet) readStore(i int) {
	s := f.routers[i].spreader
	wants := s.PendingStoreReads(f.now)
	if !f.storeUp || f.routers[i].storeless {
		return
	}
	if wants.Root || i < f.watchers {
		if f.stored == 0 {
			s.HandleStoredRoot(f.now, nil)
		} else {
			s.HandleStoredRoot(f.now, f.accepted[f.stored-1].root)
		}
	}
	for _, hash := range wants.Parts {
		for _, g := range f.accepted[:f.stored] {
			if data, ok := g.parts[hash]; ok {
				s.HandleStoredPart(f.now, data)
				break
			}
		}
	}
}

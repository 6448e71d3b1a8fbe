package pomelonode_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

const (
	randomRouters = 4
	randomCallers = 8
	// randomFaults is the number of faults drawn per run; at most two are active at once.
	randomFaults  = 10
	faultInterval = 400 * time.Millisecond
)

// fault is an injected fault; begin starts it at router i and returns the function that ends it.
type fault struct {
	name  string
	begin func(i int) (end func())
}

// faults returns the faults that can be injected into a fleet in one process.
func (f *fleet) faults() []fault {
	return []fault{
		{"failure domains partitioned", func(int) func() {
			f.network.SetPartition(crossesDomains)
			return func() { f.network.SetPartition(nil) }
		}},
		{"router partitioned one way", func(i int) func() {
			node := f.routers[i].settings.Host.Name
			f.network.SetPartition(func(from, _ pomelorelay.Peer) bool { return from.Node == node })
			return func() { f.network.SetPartition(nil) }
		}},
		{"store down", func(int) func() { return f.storeFault(pomelofake.StoreFaults{Outage: true}) }},
		{"store slow", func(int) func() { return f.storeFault(pomelofake.StoreFaults{SlowAnswer: 300 * time.Millisecond}) }},
		{"store loses answers", func(int) func() { return f.storeFault(pomelofake.StoreFaults{LoseAnswers: 8}) }},
		{"router partitioned from the store", func(i int) func() {
			store := f.routers[i].store
			store.unreachable.Store(true)
			return func() { store.unreachable.Store(false) }
		}},
		{"router killed", func(i int) func() {
			f.routers[i].node.Close()
			return func() { f.start(i) }
		}},
		{"booking answers late", func(int) func() { return f.plainFault(pomelofake.PlainFaults{Every: 3, Late: 200 * time.Millisecond}) }},
		{"booking answers truncated", func(int) func() { return f.plainFault(pomelofake.PlainFaults{Every: 4, Cut: true, CutAt: 40}) }},
		{"booking answers swapped", func(int) func() { return f.plainFault(pomelofake.PlainFaults{Every: 2, Crossed: true}) }},
	}
}

func (f *fleet) storeFault(faults pomelofake.StoreFaults) func() {
	f.store.SetFaults(faults)
	return func() { f.store.SetFaults(pomelofake.StoreFaults{}) }
}

func (f *fleet) plainFault(faults pomelofake.PlainFaults) func() {
	for _, d := range domains {
		f.bookings[d].SetFaults(faults)
	}
	return func() {
		for _, d := range domains {
			f.bookings[d].SetFaults(pomelofake.PlainFaults{})
		}
	}
}

// injectFaults injects random faults, at most two at once: before a third begins, the older one ends.
func (f *fleet) injectFaults(t *testing.T, random *rand.Rand) {
	kinds := f.faults()
	var ends []func()
	last := -1
	for range randomFaults {
		k := random.IntN(len(kinds))
		if k == last {
			continue
		}
		last = k
		i := random.IntN(randomRouters)
		t.Logf("%s, router %d", kinds[k].name, i)
		if len(ends) == 2 {
			ends[0]()
			ends = ends[1:]
		}
		ends = append(ends, kinds[k].begin(i))
		time.Sleep(faultInterval)
	}
	for _, end := range ends {
		end()
	}
}

// booking is one booking request and the answers that its caller got.
type booking struct {
	key, body string
	answers   []answer
}

// sendBookings sends bookings, each up to three times through random routers, until done is closed.
func (f *fleet) sendBookings(caller int, random *rand.Rand, done <-chan struct{}) []booking {
	var all []booking
	for n := 0; ; n++ {
		select {
		case <-done:
			return all
		default:
		}
		b := booking{key: fmt.Sprintf("c%d-%d", caller, n), body: fmt.Sprintf(`{"caller":%d,"job":%d}`, caller, n)}
		for range 3 {
			a := f.routers[random.IntN(randomRouters)].call(http.MethodPost, "/booking/jobs", b.key, b.body)
			b.answers = append(b.answers, a)
			if a.err == nil && a.status == http.StatusOK {
				break
			}
		}
		all = append(all, b)
	}
}

// checkBooking compares a booking's answers with what the services ran, and reports whether it was answered.
func (f *fleet) checkBooking(t *testing.T, b booking) (answered bool) {
	t.Helper()
	runs := f.bookingRuns(b.key)
	notRun := true
	for _, a := range b.answers {
		notRun = notRun && a.err == nil && a.header.Get("Ran") == "No"
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		answered = true
		var got pomelofake.PlainAnswer
		if err := json.Unmarshal([]byte(a.body), &got); err != nil || got.Proof != pomelofake.DigestBody([]byte(b.body)) {
			t.Errorf("%s got a wrong or truncated answer: %s", b.key, a.body)
		}
	}
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", b.key, runs)
	case notRun && runs != 0:
		t.Errorf("%s ran although every answer stated that it did not", b.key)
	case answered && runs != 1:
		t.Errorf("%s was answered but ran %d times, want 1", b.key, runs)
	}
	return answered
}

func TestBookingGuaranteesUnderRandomFaults(t *testing.T) {
	// Faults overlap: for example, the store loses an answer while a router dies, or domains are partitioned while a service answers late.
	// Callers resend their bookings through other routers. No booking may run twice, no caller may get the answer to another request or a
	// false "not run", and the fleet must serve again afterwards.
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, randomRouters)
			f.awaitReady()
			done := make(chan struct{})
			seen := make([][]booking, randomCallers)
			var callers sync.WaitGroup
			for i := range randomCallers {
				callers.Go(func() { seen[i] = f.sendBookings(i, rand.New(rand.NewPCG(seed, uint64(i))), done) })
			}
			f.injectFaults(t, rand.New(rand.NewPCG(seed, 99)))
			close(done)
			callers.Wait()
			answered := 0
			for _, bookings := range seen {
				for _, b := range bookings {
					if f.checkBooking(t, b) {
						answered++
					}
				}
			}
			t.Logf("%d bookings answered", answered)
			if answered == 0 {
				t.Error("no booking was answered")
			}
			f.awaitReady()
			await(t, "the fleet serves again", func() bool {
				a := f.routers[0].call(http.MethodPost, "/booking/jobs", fmt.Sprintf("after-%d", time.Now().UnixNano()), "{}")
				return a.status == http.StatusOK && strings.Contains(a.body, "Proof")
			})
		})
	}
}

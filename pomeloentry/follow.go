package pomeloentry

import (
	"context"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// followPause and followMost bound the pause after a failed call to the store: it answers in 4 ms when it is well, and after an
	// outage a router should hear from it long before its peers call it out of touch, 4 s.
	followPause = 100 * time.Millisecond
	followMost  = 400 * time.Millisecond
	// followApart is what each router adds to the bound, up to followFar: a large fleet would spend the store's rate on calls that fail.
	followApart = 50 * time.Millisecond
	followFar   = 1200 * time.Millisecond
	// followIdle bounds the pause of what waits for the watch of the upstreams to succeed again, as a last resort: each of the four loops
	// trying by itself would spend calls on a store that is away.
	followIdle = 5 * time.Second
)

// watch is one watch of the store: where it stands, and how to make it begin anew.
type watch struct {
	mu     sync.Mutex
	after  pomelorelay.Revision
	cancel context.CancelFunc
}

// begin returns the revision to watch from, and a context that restart ends.
func (w *watch) begin(ctx context.Context) (context.Context, pomelorelay.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.after
}

// begun reports whether the watch has read everything once.
func (w *watch) begun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.after > 0
}

// reached notes the revision from which to watch on; it reports whether the watch had been going on, and whether the answer is newer
// than what a neighbour told meanwhile.
func (w *watch) reached(at pomelorelay.Revision) (went, fresh bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	if at < w.after {
		return true, false
	}
	went = w.after > 0
	w.after = at
	return went, true
}

// advance notes what a neighbour's watch brought; it reports false when that is old, or begins after what this watch has seen.
func (w *watch) advance(after, at pomelorelay.Revision, whole bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.after == 0 || at < w.after || (!whole && after > w.after) {
		return false
	}
	w.after = at
	return true
}

// adopt makes a watch that has read nothing go on from a revision at which a peer knew everything; it reports false when it has.
func (w *watch) adopt(at pomelorelay.Revision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.after > 0 {
		return false
	}
	w.after = at
	return true
}

// restart makes the watch read everything anew. A store that dropped its history may also have lost changes for watches that go on
// waiting; a router would be seen to use an old configuration until the next change.
func (w *watch) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.after = 0
	if w.cancel != nil {
		w.cancel()
	}
}

// watchWait is how long a watch of what seldom changes waits: a store that lost a change for it tells at the next call. The routers'
// calls are out of step, and the first that learns of a configuration tells the others. So it may wait longer where there are more
// routers: every half second one of them asks.
const (
	watchWait  = 4 * time.Second
	watchMost  = 25 * time.Second
	watchApart = 500 * time.Millisecond
)

func (e *Entry) watchWait() time.Duration {
	return min(max(watchWait, time.Duration(e.peerCount.Load())*watchApart), watchMost)
}

// dropped restarts the watches beside the one that found the history dropped.
func (e *Entry) dropped(by *watch) {
	for _, w := range []*watch{&e.configWatch, &e.peersWatch} {
		if w != by {
			w.restart()
		}
	}
}

// followMost bounds the pause after failures. Only one of a router's loops goes on trying; its success wakes the others. Routers whose
// relay goes on trying can wait: all of a large fleet at once would spend the store's rate on calls that fail, and the relay's news wake
// them.
func (e *Entry) followMost(f *followed) time.Duration {
	if !f.probes {
		return followIdle
	}
	if e.relaying.Load() {
		return followMost
	}
	return min(max(followMost, time.Duration(e.peerCount.Load())*followApart), followFar)
}

// followed is something in the store that is watched.
type followed struct {
	name string
	// call makes one call; failed tells that the one before failed.
	call func(failed bool) error
	// pace is the least time between two calls.
	pace time.Duration
	// probes tells that it goes on trying while the store is away.
	probes bool
}

// follow calls again and again until ctx ends, and pauses longer after each failure in a row.
func (e *Entry) follow(ctx context.Context, f followed) {
	pause := followPause
	failed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.call(failed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failed {
				failed = false
				e.log(pomelorelay.EventPlatformBack, field("What", f.name))
				e.storeBack.signal()
			}
			pause = followPause
			sleep(ctx, f.pace-time.Since(began))
			continue
		}
		if !failed {
			failed = true
			e.log(pomelorelay.EventPlatformLost, field("What", f.name), field("Code", int(pomelorelay.CodeOf(err))), field("Fault", err.Error()))
		}
		e.storeBack.await(ctx, pause)
		pause = min(2*pause, e.followMost(&f))
	}
}

// bell wakes all who wait for it; its zero value is ready for use.
type bell struct {
	mu   sync.Mutex
	next chan struct{}
}

func (b *bell) channel() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// signal wakes everybody who waits now.
func (b *bell) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// await waits for the signal, at most for the time. The first call that the store answers again wakes the others: each waiting for its
// own time, a router that starts in an outage would refuse requests for most of a second longer.
func (b *bell) await(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.channel():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

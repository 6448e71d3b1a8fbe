package pomeloentry

import (
	"context"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// followPause and followMost bound the pause after a failed call to the store: it answers in 4 ms when it is well, and after an
	// outage a router should have its answer well within the time to a configuration's being in force.
	followPause = 100 * time.Millisecond
	followMost  = 400 * time.Millisecond
	// followIdle bounds the pause of what waits for the store to answer this router's reader again.
	followIdle = 5 * time.Second
)

// followMost bounds the pause after failures. Only a router's reader goes on trying; its success wakes the rest. The later a router's
// turn to read the store is, the longer it may pause: a large fleet would spend the store's rate on calls that fail.
func (e *Router) followMost(f *followed) time.Duration {
	if !f.probes {
		return followIdle
	}
	return min(followMost+time.Duration(e.turn.Load())/turnPause, followIdle)
}

// turnPause is how many times as long as its turn takes to come a router pauses more between two tries.
const turnPause = 4

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
func (e *Router) follow(ctx context.Context, f followed) {
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
		e.storeBack.wait(ctx, pause)
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

// wait waits for the signal, at most for the time. The first call that the store answers again wakes the others: each waiting for its
// own time, a router that starts in an outage would refuse requests for most of a second longer.
func (b *bell) wait(ctx context.Context, most time.Duration) {
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

package pomeloentry

import (
	"context"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// minRetryPause and followMost bound the pause after a failed call to the store: it answers in 4 ms when it is well, and after an
	// outage a router should have its answer well within the time to a configuration's being in force.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// maxPassiveRetryPause bounds the pause of what waits for the store to answer this router's reader again.
	maxPassiveRetryPause = 5 * time.Second
)

// maxPauseOf bounds the pause after failures. Only a router's reader goes on trying; its success wakes the rest. The later a router's
// turn to read the store is, the longer it may pause: a large fleet would spend the store's rate on calls that fail.
func (e *Entry) maxPauseOf(f *storeTask) time.Duration {
	if !f.probesStore {
		return maxPassiveRetryPause
	}
	return min(maxRetryPause+time.Duration(e.readDelay.Load())/readDelayPerPause, maxPassiveRetryPause)
}

// readDelayPerPause is how many times as long as its turn takes to come a router pauses more between two tries.
const readDelayPerPause = 4

// storeTask is something in the store that is watched.
type storeTask struct {
	name string
	// call makes one call; failed tells that the one before failed.
	call func(failed bool) error
	// minInterval is the least time between two calls.
	minInterval time.Duration
	// probesStore tells that it goes on trying while the store is away.
	probesStore bool
}

// runStoreTask calls again and again until ctx ends, and pauses longer after each failure in a row.
func (e *Entry) runStoreTask(ctx context.Context, f storeTask) {
	pause := minRetryPause
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
				e.storeRecovered.signal()
			}
			pause = minRetryPause
			sleep(ctx, f.minInterval-time.Since(began))
			continue
		}
		if !failed {
			failed = true
			e.log(pomelorelay.EventPlatformLost, field("What", f.name), field("Code", int(pomelorelay.CodeOf(err))), field("Fault", err.Error()))
		}
		e.storeRecovered.wait(ctx, pause)
		pause = min(2*pause, e.maxPauseOf(&f))
	}
}

// broadcast wakes all who wait for it; its zero value is ready for use.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

func (b *broadcast) channel() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// signal wakes everybody who waits now.
func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// wait waits for the signal, at most for the time. The first call that the store answers again wakes the others: each waiting for its
// own time, a router that starts in an outage would refuse requests for most of a second longer.
func (b *broadcast) wait(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
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

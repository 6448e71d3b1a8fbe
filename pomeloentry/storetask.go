package pomeloentry

import (
	"context"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed store call. A healthy store answers in 4 ms, and after an outage a
	// router should have its answer well within the time in which a configuration must be in force.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// maxPassiveRetryPause bounds all pauses. Tasks that do not probe an unreachable store may pause this long, because they are woken
	// when another task of this router reaches the store.
	maxPassiveRetryPause = 5 * time.Second
)

// maxPauseOf returns the longest pause of a task between retries. Only the task that reads the store probes it while it is
// unreachable; the success of that task wakes the others. The bound grows with the router's read delay, because failing calls of a
// large fleet would use up the store's rate limit.
func (e *Router) maxPauseOf(t *storeTask) time.Duration {
	if !t.probesStore {
		return maxPassiveRetryPause
	}
	return min(maxRetryPause+time.Duration(e.readDelay.Load())/readDelayDivisor, maxPassiveRetryPause)
}

// readDelayDivisor divides the router's read delay; the quotient is added to the longest retry pause.
const readDelayDivisor = 4

// storeTask is a repeated call to the store.
type storeTask struct {
	name string
	// call makes one store call; failed reports whether the previous call failed.
	call func(failed bool) error
	// minInterval is the minimum time between the starts of two calls.
	minInterval time.Duration
	// probesStore keeps the task retrying at short intervals while the store is unreachable.
	probesStore bool
}

// runStoreTask repeats the task until ctx ends and doubles the pause after each consecutive failure, up to a bound.
func (e *Router) runStoreTask(ctx context.Context, t storeTask) {
	pause := minRetryPause
	failed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := t.call(failed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failed {
				failed = false
				e.log(pomelorelay.EventPlatformBack, field("What", t.name))
				e.storeRecovered.signal()
			}
			pause = minRetryPause
			sleep(ctx, t.minInterval-time.Since(began))
			continue
		}
		if !failed {
			failed = true
			e.log(pomelorelay.EventPlatformLost, field("What", t.name), field("Code", int(pomelorelay.CodeOf(err))), field("Fault", err.Error()))
		}
		e.storeRecovered.wait(ctx, pause)
		pause = min(2*pause, e.maxPauseOf(&t))
	}
}

// broadcast wakes all goroutines waiting for it; its zero value is ready to use.
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

// signal wakes all current waiters.
func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// wait returns on the next signal, after the timeout or when ctx ends. The first task to reach the store again wakes the others;
// with independent pauses, a router starting in an outage would refuse requests for most of a second longer.
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

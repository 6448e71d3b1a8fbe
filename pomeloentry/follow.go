package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// followPause and followMost bound the pause after a failed call to the store: it answers in 4 ms when it is well, and after an
	// outage a router should hear from it long before its peers call it out of touch, 4 s.
	followPause = 100 * time.Millisecond
	followMost  = 800 * time.Millisecond
)

// followed is something in the store that is watched.
type followed struct {
	name string
	call func() error
	// pace is the least time between two calls.
	pace time.Duration
	// lost and back are called when the store stops answering and when it answers again; nil for neither.
	back func()
}

// follow calls again and again until ctx ends, and pauses longer after each failure in a row.
func (e *Entry) follow(ctx context.Context, f followed) {
	pause := followPause
	failed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.call()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failed {
				failed = false
				e.log(pomelorelay.EventPlatformBack, field("What", f.name))
				if f.back != nil {
					f.back()
				}
			}
			pause = followPause
			sleep(ctx, f.pace-time.Since(began))
			continue
		}
		if !failed {
			failed = true
			e.log(pomelorelay.EventPlatformLost, field("What", f.name), field("Code", int(pomelorelay.CodeOf(err))), field("Fault", err.Error()))
		}
		sleep(ctx, pause)
		pause = min(2*pause, followMost)
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

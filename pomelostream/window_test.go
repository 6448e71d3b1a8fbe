package pomelostream_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Guards against a window that is shorter than the time of a stream which may still be resumed, and against one that stays after its streams.
func TestLongestWindowFollowsTheStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	o := pomelostream.NewOrigins(now)
	o.Record(now, pomelorelay.StreamOrigin{Stream: 1, Version: "v1", TimeLeft: 4 * time.Second})
	o.Merge(now, []pomelorelay.StreamOrigin{{Stream: 2, Version: "v1", TimeLeft: 12 * time.Second}})
	for _, c := range []struct{ after, want time.Duration }{{0, 12 * time.Second}, {12 * time.Second, 12 * time.Second}, {14 * time.Second, 0}} {
		o.Expire(now.Add(c.after))
		if got := o.LongestWindow(); got != c.want {
			t.Errorf("after %v: window %v, want %v", c.after, got, c.want)
		}
	}
}

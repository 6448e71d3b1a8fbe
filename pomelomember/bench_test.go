package pomelomember_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// BenchmarkSecond measures the work of one router in a fleet of 360 during one second: ten ticks and the digests received.
func BenchmarkSecond(b *testing.B) {
	f := newFleet(nil, 6, 60, 1)
	f.startAll()
	f.run(3 * time.Second)
	r := f.routers[0]
	var got []pomelorelay.Message
	for _, other := range f.routers[1:60] {
		for _, o := range other.view.Tick(f.now.Add(time.Second), nil) {
			if _, ok := o.Message.(*pomelorelay.Digest); ok && o.To == r.peer.Node {
				got = append(got, o.Message)
			}
		}
	}
	var out []pomelorelay.Outgoing
	now := f.now
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			out = r.view.Tick(now, out[:0])
		}
		for i, m := range got {
			from := f.routers[1+i]
			out = r.view.HandleDigest(now, from.peer.Node, from.incarnation, m.(*pomelorelay.Digest), out[:0])
		}
	}
	b.ReportMetric(float64(len(got)), "digests")
}

package pomelostream_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Guards against a router that counts the versions as known across changes of the store that neither it nor the router whose span it adopts has read.
func TestCoverageHasNoGap(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(time.Minute)
	for _, c := range []struct {
		name string
		do   func(c *pomelostream.Coverage)
		want time.Duration
		upTo uint64
	}{
		{"first state", func(c *pomelostream.Coverage) { c.Begin(start, 10) }, time.Minute, 10},
		{"a second state leaves a gap", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Begin(later, 20) }, time.Minute, 10},
		{"changes in order", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Advance(10, 12); c.Advance(12, 15) }, time.Minute, 15},
		{"a change is missing", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Advance(12, 15) }, time.Minute, 10},
		{"repeated changes", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Advance(10, 15); c.Advance(8, 12) }, time.Minute, 15},
		{"compacted history", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Restart(later.Add(-time.Second), 20) }, time.Second, 20},
		{"adopted up to the first state", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Adopt(start.Add(-time.Hour), 10) }, time.Hour + time.Minute, 10},
		{"adopted before the first state", func(c *pomelostream.Coverage) { c.Adopt(start.Add(-time.Hour), 11); c.Begin(start, 10) }, time.Hour + time.Minute, 10},
		{"adopted from a router that is behind", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Adopt(start.Add(-time.Hour), 9) }, time.Minute, 10},
		{"adopted from one with a shorter span", func(c *pomelostream.Coverage) { c.Begin(start, 10); c.Adopt(later.Add(-time.Second), 12) }, time.Minute, 10},
	} {
		coverage := pomelostream.NewCoverage(start)
		c.do(coverage)
		if got := coverage.KnownFor(later); got != c.want || uint64(coverage.UpTo()) != c.upTo {
			t.Errorf("%s: known for %v up to %d, want %v, %d", c.name, got, coverage.UpTo(), c.want, c.upTo)
		}
	}
}

// Guards against a router that starts, or skips changes, and counts the versions as known while another router may use one that left before.
func TestVersionsAreKnownOnceAllRoutersKnowWhatLeftBefore(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name string
		do   func(c *pomelostream.Coverage)
		want time.Duration
	}{
		{"all know", func(c *pomelostream.Coverage) { c.SetApplied(at(2), 10) }, 58 * time.Second},
		{"one does not", func(c *pomelostream.Coverage) { c.SetApplied(at(2), 9) }, 0},
		{"one does later", func(c *pomelostream.Coverage) { c.SetApplied(at(2), 9); c.SetApplied(at(50), 10) }, 10 * time.Second},
		{"one joins later", func(c *pomelostream.Coverage) { c.SetApplied(at(2), 10); c.SetApplied(at(50), 1) }, 58 * time.Second},
		{"one does not, and changes were skipped", func(c *pomelostream.Coverage) {
			c.SetApplied(at(2), 10)
			c.Restart(at(30), 20)
			c.SetApplied(at(31), 19)
		}, 0},
		{"one does not, and the span of another router is adopted", func(c *pomelostream.Coverage) {
			c.SetApplied(at(2), 9)
			c.Adopt(at(-40), 12)
			c.SetApplied(at(3), 9)
		}, 100 * time.Second},
		{"one does not, and a shorter span is adopted", func(c *pomelostream.Coverage) { c.SetApplied(at(40), 9); c.Adopt(at(50), 12) }, 10 * time.Second},
	} {
		coverage := pomelostream.NewCoverage(start)
		coverage.SetApplied(start, 1)
		coverage.Begin(start, 10)
		c.do(coverage)
		if got := coverage.KnownFor(at(60)); got != c.want {
			t.Errorf("%s: known for %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a request that is decided on by a read of the store that began before it came.
func TestCoverageIncludesOnlyLaterReads(t *testing.T) {
	c := pomelostream.NewCoverage(time.Unix(1000, 0))
	if c.Includes(0) {
		t.Error("a read is included before there was any")
	}
	c.Read(5 * time.Second)
	c.Read(3 * time.Second)
	if !c.Includes(5*time.Second) || c.Includes(5*time.Second+1) {
		t.Error("a read that began at 5 s includes requests until then, and no later one")
	}
}

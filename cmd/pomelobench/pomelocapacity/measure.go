package pomelocapacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

// repeats is how often a cost is measured; the smallest counts, since other work on the machine only adds.
const repeats = 3

// start is where passed-in clocks begin.
var start = time.Unix(1_800_000_000, 0)

// processorTime returns what the process has used, garbage collection and system calls included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timed returns the smallest processor time of several runs of f; each prepares itself anew and returns what is to be measured.
func timed(prepare func() func()) time.Duration {
	best := time.Duration(1<<63 - 1)
	for range repeats {
		f := prepare()
		runtime.GC()
		before := processorTime()
		f()
		best = min(best, processorTime()-before)
	}
	return best
}

// micros returns a time in microseconds.
func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// held returns the heap that what build returns holds.
func held(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// allocated returns the bytes that f allocates, whether it keeps them or not.
func allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// size returns the encoded size of a message, without what the link adds.
func size(m pomelorelay.Message) float64 {
	data, err := pomelomesh.EncodeMessage(m)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

// flow is what a role sends: messages and their encoded bytes.
type flow struct {
	messages float64
	bytes    float64
}

func (f *flow) add(m pomelorelay.Message) {
	f.messages++
	f.bytes += size(m)
}

func (f flow) per(n float64) flow { return flow{f.messages / n, f.bytes / n} }

func (f flow) plus(g flow) flow { return flow{f.messages + g.messages, f.bytes + g.bytes} }

// classed is what a role sends by link class.
type classed [pomelorelay.LinkClasses]flow

func (c *classed) add(class pomelorelay.LinkClass, m pomelorelay.Message) { c[class].add(m) }

func (c classed) per(n float64) classed {
	for i := range c {
		c[i] = c[i].per(n)
	}
	return c
}

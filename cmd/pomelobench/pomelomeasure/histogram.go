package pomelomeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyNanos   = int64(time.Microsecond)
	maxLatencyNanos   = int64(10 * time.Minute)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyNanos, maxLatencyNanos, significantDigits)
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / float64(time.Millisecond)
}

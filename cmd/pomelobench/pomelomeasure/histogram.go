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

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

package pomelomeasure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowest  = int64(time.Microsecond)
	highest = int64(10 * time.Minute)
	digits  = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

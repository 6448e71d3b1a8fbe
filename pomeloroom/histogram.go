package pomeloroom

import "math"

const (
	// bucketsPerOctave is the number of histogram buckets for each doubling, so that a quantile is exact to 2%.
	bucketsPerOctave = 16
	// octaves is the number of doublings above and below 1 that the histogram covers.
	octaves = 6
)

// ratioHistogram holds decayed counts of ratios by their logarithm.
type ratioHistogram struct {
	counts [2*octaves*bucketsPerOctave + 1]float64
	total  float64
}

func (h *ratioHistogram) add(ratio float64) {
	at := octaves*bucketsPerOctave + int(math.Round(bucketsPerOctave*math.Log2(ratio)))
	h.counts[min(max(at, 0), len(h.counts)-1)]++
	h.total++
}

func (h *ratioHistogram) scale(factor float64) {
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
}

// quantile returns the ratio below which the given fraction of the counts lies; zero without counts.
func (h *ratioHistogram) quantile(fraction float64) float64 {
	if h.total == 0 {
		return 0
	}
	below := 0.0
	for i, n := range h.counts {
		if below += n; below >= fraction*h.total {
			return math.Exp2(float64(i-octaves*bucketsPerOctave) / bucketsPerOctave)
		}
	}
	return math.Exp2(octaves)
}

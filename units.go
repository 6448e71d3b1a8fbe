package pomelorelay

// Cost is an amount of service: weighted tokens for a model engine, slot seconds for a plain service.
type Cost float64

// Weight is an account's share of a pool relative to the pool's other accounts; it is positive.
type Weight float64

// Tag is normalised service, that is, cost divided by weight; backlogged accounts are served in ascending order of their tags.
type Tag float64

// Bytes is a size in bytes.
type Bytes int64

// Tokens is a number of tokens that an engine reads, caches or generates.
type Tokens int64

// Slots is a number of requests that an upstream runs concurrently.
type Slots int32

// Normalise returns the cost divided by the weight; a weight that is not positive counts as one.
func (c Cost) Normalise(w Weight) Tag {
	if w <= 0 {
		return Tag(c)
	}
	return Tag(float64(c) / float64(w))
}

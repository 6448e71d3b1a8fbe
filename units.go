package pomelorelay

// Cost is the amount of service that a request used: weighted tokens for a model engine, slot seconds for a plain service.
type Cost float64

// Weight is the share that an account is owed relative to other accounts of a pool; it is above zero.
type Weight float64

// Tag is normalised service: cost divided by weight, the order in which waiting accounts are served.
type Tag float64

// Bytes counts bytes.
type Bytes int64

// Tokens counts tokens that an engine reads, keeps or generates.
type Tokens int64

// Slots counts requests that an upstream runs at once.
type Slots int32

// Normalise returns the cost divided by the weight; a weight that is not above zero counts as one.
func (c Cost) Normalise(w Weight) Tag {
	if w <= 0 {
		return Tag(c)
	}
	return Tag(float64(c) / float64(w))
}

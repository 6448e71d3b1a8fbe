package pomelobudget

import "sync"

// Config holds what a Budget starts with.
type Config struct {
	// Initial is the number of retries that may be made before any request was counted.
	Initial float64
	// Max bounds the retries that a quiet time saves up.
	Max float64
}

// Budget keeps retries to a fraction of a service's requests. Without it, upstreams that fail under load get
// each request several times and never recover; one would notice load rising while answers fall.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// New returns a Budget that may spend what it starts with.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Initial} }

// Earn adds the fraction of a retry that one request allows.
func (b *Budget) Earn(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+fraction, b.cfg.Max)
}

// Spend takes one retry, or reports that none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package pomelobudget

import "sync"

// Config holds the settings of a RetryBudget.
type Config struct {
	// Initial is the initial number of retries, available before any request is counted.
	Initial float64
	// Max is the maximum number of retries that accumulate while few are used.
	Max float64
}

// RetryBudget limits retries to a fraction of a service's requests; it is safe for concurrent use. Without it, upstreams that fail under load
// would receive each request several times and never recover: load would rise while the number of answers falls.
type RetryBudget struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// New returns a RetryBudget with the initial number of retries.
func New(cfg Config) *RetryBudget { return &RetryBudget{cfg: cfg, tokens: cfg.Initial} }

// Earn adds the fraction of a retry that one request allows, up to the maximum.
func (b *RetryBudget) Earn(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+fraction, b.cfg.Max)
}

// SetMax changes the maximum; retries saved beyond it are dropped.
func (b *RetryBudget) SetMax(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Max = n
	b.tokens = min(b.tokens, n)
}

// Spend takes one retry from the budget; it reports false if none is left.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

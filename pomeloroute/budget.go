package pomeloroute

import "sync"

const (
	// budgetFloor lets a service with little traffic retry a few times.
	budgetFloor = 3
	// budgetCap bounds the retries that a quiet time saves up.
	budgetCap = 100
)

// retryBudget keeps retries to a fraction of a service's requests. Without it, upstreams that fail under load get
// each request several times and never recover; one would notice load rising while answers fall.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *retryBudget) earn(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+fraction, budgetCap)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Arbiter lets one suspect at a time run on an upstream, and a fingerprint on one upstream at a time.
type Arbiter struct {
	cfg Config
}

// New returns an Arbiter.
func New(cfg Config) *Arbiter { return &Arbiter{cfg: cfg} }

// Ask takes a router's question whether a suspect may run now, or its renewal.
func (a *Arbiter) Ask(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk, out *Output) {}

// Cleared takes the end of a suspect's run.
func (a *Arbiter) Cleared(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectCleared) {}

// MemberGone frees the places that a dead router held.
func (a *Arbiter) MemberGone(node pomelorelay.NodeID) {}

package pomeloclaim

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Asker asks keepers for claims on behalf of one router's requests.
type Asker struct {
	cfg AskerConfig
}

// NewAsker returns an Asker.
func NewAsker(cfg AskerConfig) *Asker { return &Asker{cfg: cfg} }

// Claim asks for a claim and returns its nonce; the verdict follows in an Output.
func (a *Asker) Claim(now time.Time, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint, out *Output) pomelorelay.ClaimNonce {
	return pomelorelay.ClaimNonce{}
}

// Cancel gives up a claim whose verdict has not come; no verdict follows.
func (a *Asker) Cancel(now time.Time, nonce pomelorelay.ClaimNonce, out *Output) {}

// Answer takes a keeper's answer.
func (a *Asker) Answer(now time.Time, m *pomelorelay.ClaimAnswer, out *Output) {}

// Settle tells how the request of a fresh claim ended: released, done or unknown.
func (a *Asker) Settle(now time.Time, nonce pomelorelay.ClaimNonce, released bool, state pomelorelay.ClaimState, outcome pomelorelay.ClaimOutcome, out *Output) {
}

// Settled takes a keeper's acknowledgement.
func (a *Asker) Settled(m *pomelorelay.ClaimSettled) {}

// Tick sends again what is due and gives up what waited too long; call it about each 50 ms.
func (a *Asker) Tick(now time.Time, out *Output) {}

// Open returns how many claims wait for a verdict, run, or wait for an acknowledgement; a planned stop waits until it is zero.
func (a *Asker) Open() int { return 0 }

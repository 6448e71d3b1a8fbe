package pomeloclaim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxBackoffShift limits the exponential backoff of resends to ResendAfter << maxBackoffShift.
const maxBackoffShift = 3

// Requester requests claims from keepers for one router and decides whether a claimed request may be sent. A claim that
// it has refused stays refused: if a keeper grants the claim later, the requester releases it.
type Requester struct {
	cfg         RequesterConfig
	process     pomelorelay.ClaimNonce
	lastCounter uint32
	attempts    map[pomelorelay.ClaimNonce]*attempt
	// order holds the attempts in order of creation, so that simulated runs are deterministic.
	order         []*attempt
	settlingCount int
}

type attemptPhase int

const (
	phaseAsking attemptPhase = iota + 1
	phaseRunning
	phaseSettling
	phaseEnded
)

type attempt struct {
	phase     attemptPhase
	ask       pomelorelay.ClaimAsk
	settle    pomelorelay.ClaimSettle
	startedAt time.Time
	resendAt  time.Time
	sends     int
}

// NewRequester returns a requester without open claims.
func NewRequester(cfg RequesterConfig) *Requester {
	cfg = cfg.withDefaults()
	return &Requester{
		cfg:      cfg,
		process:  newProcessNonce(cfg.Node, cfg.Incarnation),
		attempts: make(map[pomelorelay.ClaimNonce]*attempt),
	}
}

// ShardOf returns the shard of a claim key.
func ShardOf(key pomelorelay.ClaimKey, shards uint32) pomelorelay.ShardID {
	return pomelorelay.ShardID(binary.BigEndian.Uint32(key[len(key)-4:]) % shards)
}

// Claim requests a claim for a key and the fingerprint of the request's content, and returns the claim's nonce. The
// verdict is added to the Output of a later call.
func (a *Requester) Claim(now time.Time, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint, out *Output) pomelorelay.ClaimNonce {
	a.lastCounter++
	nonce := withCounter(a.process, a.lastCounter)
	shard := ShardOf(key, a.cfg.Shards)
	t := a.addAttempt(now, nonce)
	t.phase = phaseAsking
	t.ask = pomelorelay.ClaimAsk{Shard: shard, Key: key, Nonce: nonce, Content: content}
	a.send(now, t, out)
	return nonce
}

func (a *Requester) addAttempt(now time.Time, nonce pomelorelay.ClaimNonce) *attempt {
	t := &attempt{startedAt: now}
	a.attempts[nonce] = t
	a.order = append(a.order, t)
	return t
}

// Cancel abandons and releases a claim that has no verdict yet; no verdict follows.
func (a *Requester) Cancel(now time.Time, nonce pomelorelay.ClaimNonce, out *Output) {
	if t, ok := a.attempts[nonce]; ok && t.phase == phaseAsking {
		a.release(now, t, out)
	}
}

// HandleAnswer handles a keeper's answer to a claim request.
func (a *Requester) HandleAnswer(now time.Time, m *pomelorelay.ClaimAnswer, out *Output) {
	t, ok := a.attempts[m.Nonce]
	if !ok {
		a.releaseUntracked(now, m, out)
		return
	}
	if t.phase != phaseAsking {
		return
	}
	out.Verdicts = append(out.Verdicts, Verdict{Key: m.Key, Nonce: m.Nonce, State: m.State, Outcome: m.Outcome})
	switch m.State {
	case pomelorelay.ClaimGranted:
		t.phase = phaseRunning
	case pomelorelay.ClaimDone:
		a.endAttempt(m.Nonce, t)
	default:
		if m.State != pomelorelay.ClaimRefused && t.sends == 1 {
			// Only one ClaimAsk was sent for this attempt, and it has been answered, so no claim of the attempt can
			// become durable.
			a.endAttempt(m.Nonce, t)
			return
		}
		// A keeper may still make the claim durable from a resent ClaimAsk, which would block every repeat of the
		// request.
		a.release(now, t, out)
	}
}

// releaseUntracked releases a claim that was granted to this process after the attempt that asked for it had ended. Keepers ignore the release
// of a settled claim, so a duplicate answer is harmless.
func (a *Requester) releaseUntracked(now time.Time, m *pomelorelay.ClaimAnswer, out *Output) {
	if m.State != pomelorelay.ClaimGranted || !a.isOwn(m.Nonce) {
		return
	}
	t := a.addAttempt(now, m.Nonce)
	t.ask = pomelorelay.ClaimAsk{Shard: m.Shard, Key: m.Key, Nonce: m.Nonce}
	a.release(now, t, out)
}

func (a *Requester) isOwn(nonce pomelorelay.ClaimNonce) bool {
	return [counterOffset]byte(nonce[:counterOffset]) == [counterOffset]byte(a.process[:counterOffset])
}

// Settle records how the request of a granted claim ended and sends the settlement to the keeper until it is
// acknowledged: released if the request did not run, otherwise done or unknown. If the outcome exceeds MaxOutcomeBytes,
// only its status is sent, marked Truncated.
func (a *Requester) Settle(now time.Time, nonce pomelorelay.ClaimNonce, released bool, state pomelorelay.ClaimState, outcome pomelorelay.ClaimOutcome, out *Output) {
	t, ok := a.attempts[nonce]
	if !ok || t.phase != phaseRunning {
		return
	}
	if pomelorelay.Bytes(len(outcome.Body)+len(outcome.ContentType)) > a.cfg.MaxOutcomeBytes {
		outcome = pomelorelay.ClaimOutcome{Status: outcome.Status, Truncated: true}
	}
	a.startSettlement(now, t, pomelorelay.ClaimSettle{Released: released, State: state, Outcome: outcome}, out)
}

func (a *Requester) release(now time.Time, t *attempt, out *Output) {
	a.startSettlement(now, t, pomelorelay.ClaimSettle{Released: true}, out)
}

func (a *Requester) startSettlement(now time.Time, t *attempt, s pomelorelay.ClaimSettle, out *Output) {
	s.Shard, s.Key, s.Nonce = t.ask.Shard, t.ask.Key, t.ask.Nonce
	t.phase, t.settle, t.sends = phaseSettling, s, 0
	a.settlingCount++
	a.send(now, t, out)
	a.limitSettlements()
}

// limitSettlements bounds the memory used by unacknowledged settlements while no keeper is reachable.
func (a *Requester) limitSettlements() {
	if a.settlingCount <= a.cfg.MaxSettling/2 {
		return
	}
	for _, t := range a.order {
		if t.phase != phaseSettling {
			continue
		}
		if a.settlingCount > a.cfg.MaxSettling {
			a.endAttempt(t.ask.Nonce, t)
			continue
		}
		if len(t.settle.Outcome.Body) > 0 {
			t.settle.Outcome = pomelorelay.ClaimOutcome{Status: t.settle.Outcome.Status, Truncated: true}
		}
	}
}

// HandleSettled handles a keeper's acknowledgement of a settlement.
func (a *Requester) HandleSettled(m *pomelorelay.ClaimSettled) {
	if t, ok := a.attempts[m.Nonce]; ok && t.phase == phaseSettling {
		a.endAttempt(m.Nonce, t)
	}
}

func (a *Requester) endAttempt(nonce pomelorelay.ClaimNonce, t *attempt) {
	if t.phase == phaseSettling {
		a.settlingCount--
	}
	t.phase = phaseEnded
	delete(a.attempts, nonce)
}

// Tick resends unanswered messages and refuses claims that have reached ClaimTimeout. Call it about every 50 ms.
func (a *Requester) Tick(now time.Time, out *Output) {
	a.order = slices.DeleteFunc(a.order, func(t *attempt) bool { return t.phase == phaseEnded })
	for _, t := range a.order {
		if t.phase == phaseAsking && now.Sub(t.startedAt) >= a.cfg.ClaimTimeout {
			out.Verdicts = append(out.Verdicts, Verdict{Key: t.ask.Key, Nonce: t.ask.Nonce, State: pomelorelay.ClaimRefused})
			a.release(now, t, out)
			continue
		}
		if t.phase != phaseRunning && !now.Before(t.resendAt) {
			a.send(now, t, out)
		}
	}
}

func (a *Requester) send(now time.Time, t *attempt, out *Output) {
	t.resendAt = now.Add(a.cfg.ResendAfter << min(t.sends, maxBackoffShift))
	t.sends++
	keeper, ok := a.cfg.Keeper(t.ask.Shard)
	if !ok {
		return
	}
	if t.phase == phaseAsking {
		ask := t.ask
		out.send(keeper, &ask)
		return
	}
	settle := t.settle
	out.send(keeper, &settle)
}

// Phases counts the open claims by what they wait for: a verdict, the end of the claimed request, or the
// acknowledgement of the settlement.
type Phases struct {
	Asking   int
	Running  int
	Settling int
}

// Total returns the number of open claims.
func (p Phases) Total() int { return p.Asking + p.Running + p.Settling }

// Phases returns the number of open claims in each phase.
func (a *Requester) Phases() Phases {
	var p Phases
	for _, t := range a.attempts {
		switch t.phase {
		case phaseAsking:
			p.Asking++
		case phaseRunning:
			p.Running++
		case phaseSettling:
			p.Settling++
		}
	}
	return p
}

// OpenClaims returns the number of open claims; a graceful shutdown waits until it is zero.
func (a *Requester) OpenClaims() int { return len(a.attempts) }

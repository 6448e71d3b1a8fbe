package pomeloclaim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxBackoff bounds how often the pause before a resend doubles.
const maxBackoff = 3

// Requester asks keepers for claims on behalf of one router's requests. It alone decides whether a claimed request is
// sent: once it has refused a claim it never takes it up again, whatever answer comes late, and has it released.
type Requester struct {
	cfg      RequesterConfig
	process  pomelorelay.ClaimNonce
	last     uint32
	attempts map[pomelorelay.ClaimNonce]*attempt
	// order holds the attempts by age, so that a schedule runs the same way every time.
	order    []*attempt
	settling int
}

type attemptPhase int

const (
	phaseAsking attemptPhase = iota + 1
	phaseRunning
	phaseSettling
	phaseEnded
)

type attempt struct {
	phase  attemptPhase
	ask    pomelorelay.ClaimAsk
	settle pomelorelay.ClaimSettle
	began  time.Time
	resend time.Time
	sends  int
}

// NewRequester returns an Asker.
func NewRequester(cfg RequesterConfig) *Requester {
	cfg = cfg.withDefaults()
	return &Requester{
		cfg:      cfg,
		process:  processNonce(cfg.Node, cfg.Incarnation),
		attempts: make(map[pomelorelay.ClaimNonce]*attempt),
	}
}

// ShardOf returns the shard that keeps a key.
func ShardOf(key pomelorelay.ClaimKey, shards uint32) pomelorelay.ShardID {
	return pomelorelay.ShardID(binary.BigEndian.Uint32(key[len(key)-4:]) % shards)
}

// Claim asks for a claim and returns its nonce; the verdict follows in an Output.
func (a *Requester) Claim(now time.Time, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint, out *Output) pomelorelay.ClaimNonce {
	a.last++
	nonce := numbered(a.process, a.last)
	shard := ShardOf(key, a.cfg.Shards)
	t := a.track(now, nonce)
	t.phase = phaseAsking
	t.ask = pomelorelay.ClaimAsk{Shard: shard, Key: key, Nonce: nonce, Content: content}
	a.send(now, t, out)
	return nonce
}

func (a *Requester) track(now time.Time, nonce pomelorelay.ClaimNonce) *attempt {
	t := &attempt{began: now}
	a.attempts[nonce] = t
	a.order = append(a.order, t)
	return t
}

// Cancel gives up a claim whose verdict has not come; no verdict follows.
func (a *Requester) Cancel(now time.Time, nonce pomelorelay.ClaimNonce, out *Output) {
	if t, ok := a.attempts[nonce]; ok && t.phase == phaseAsking {
		a.release(now, t, out)
	}
}

// HandleAnswer takes a keeper's answer.
func (a *Requester) HandleAnswer(now time.Time, m *pomelorelay.ClaimAnswer, out *Output) {
	t, ok := a.attempts[m.Nonce]
	if !ok {
		a.releaseStray(now, m, out)
		return
	}
	if t.phase != phaseAsking {
		return
	}
	out.Verdicts = append(out.Verdicts, Verdict{Key: m.Key, Nonce: m.Nonce, State: m.State, Outcome: m.Outcome})
	switch m.State {
	case pomelorelay.ClaimFresh:
		t.phase = phaseRunning
	case pomelorelay.ClaimDone:
		a.end(m.Nonce, t)
	default:
		if m.State != pomelorelay.ClaimRefused && t.sends == 1 {
			// The only keeper that was asked has answered, so that nothing of this attempt is under way.
			a.end(m.Nonce, t)
			return
		}
		// A keeper may still make the claim durable; left there it would keep every repeat from running.
		a.release(now, t, out)
	}
}

// releaseStray has a claim released that became durable after everybody had forgotten it. A keeper does not release
// one that was settled, so a repeated answer does no harm.
func (a *Requester) releaseStray(now time.Time, m *pomelorelay.ClaimAnswer, out *Output) {
	if m.State != pomelorelay.ClaimFresh || !a.isOwn(m.Nonce) {
		return
	}
	t := a.track(now, m.Nonce)
	t.ask = pomelorelay.ClaimAsk{Shard: m.Shard, Key: m.Key, Nonce: m.Nonce}
	a.release(now, t, out)
}

func (a *Requester) isOwn(nonce pomelorelay.ClaimNonce) bool {
	return [counterAt]byte(nonce[:counterAt]) == [counterAt]byte(a.process[:counterAt])
}

// Settle tells how the request of a fresh claim ended: released, done or unknown.
func (a *Requester) Settle(now time.Time, nonce pomelorelay.ClaimNonce, released bool, state pomelorelay.ClaimState, outcome pomelorelay.ClaimOutcome, out *Output) {
	t, ok := a.attempts[nonce]
	if !ok || t.phase != phaseRunning {
		return
	}
	if pomelorelay.Bytes(len(outcome.Body)+len(outcome.ContentType)) > a.cfg.MaxOutcome {
		outcome = pomelorelay.ClaimOutcome{Status: outcome.Status, Truncated: true}
	}
	a.beginSettle(now, t, pomelorelay.ClaimSettle{Released: released, State: state, Outcome: outcome}, out)
}

func (a *Requester) release(now time.Time, t *attempt, out *Output) {
	a.beginSettle(now, t, pomelorelay.ClaimSettle{Released: true}, out)
}

func (a *Requester) beginSettle(now time.Time, t *attempt, s pomelorelay.ClaimSettle, out *Output) {
	s.Shard, s.Key, s.Nonce = t.ask.Shard, t.ask.Key, t.ask.Nonce
	t.phase, t.settle, t.sends = phaseSettling, s, 0
	a.settling++
	a.send(now, t, out)
	a.bound()
}

// bound keeps an outage of all keepers from filling memory with settlements.
func (a *Requester) bound() {
	if a.settling <= a.cfg.MaxSettling/2 {
		return
	}
	for _, t := range a.order {
		if t.phase != phaseSettling {
			continue
		}
		if a.settling > a.cfg.MaxSettling {
			a.end(t.ask.Nonce, t)
			continue
		}
		if len(t.settle.Outcome.Body) > 0 {
			t.settle.Outcome = pomelorelay.ClaimOutcome{Status: t.settle.Outcome.Status, Truncated: true}
		}
	}
}

// HandleSettled takes a keeper's acknowledgement.
func (a *Requester) HandleSettled(m *pomelorelay.ClaimSettled) {
	if t, ok := a.attempts[m.Nonce]; ok && t.phase == phaseSettling {
		a.end(m.Nonce, t)
	}
}

func (a *Requester) end(nonce pomelorelay.ClaimNonce, t *attempt) {
	if t.phase == phaseSettling {
		a.settling--
	}
	t.phase = phaseEnded
	delete(a.attempts, nonce)
}

// Tick sends again what is due and gives up what waited too long; call it about each 50 ms.
func (a *Requester) Tick(now time.Time, out *Output) {
	a.order = slices.DeleteFunc(a.order, func(t *attempt) bool { return t.phase == phaseEnded })
	for _, t := range a.order {
		if t.phase == phaseAsking && now.Sub(t.began) >= a.cfg.GiveUpAfter {
			out.Verdicts = append(out.Verdicts, Verdict{Key: t.ask.Key, Nonce: t.ask.Nonce, State: pomelorelay.ClaimRefused})
			a.release(now, t, out)
			continue
		}
		if t.phase != phaseRunning && !now.Before(t.resend) {
			a.send(now, t, out)
		}
	}
}

func (a *Requester) send(now time.Time, t *attempt, out *Output) {
	t.resend = now.Add(a.cfg.ResendAfter << min(t.sends, maxBackoff))
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

// Phases are how many claims wait for a verdict, run, or wait for the acknowledgement of their settlement.
type Phases struct {
	Asking   int
	Running  int
	Settling int
}

// Total returns the sum.
func (p Phases) Total() int { return p.Asking + p.Running + p.Settling }

// Phases counts the open claims by what they wait for.
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

// OpenClaims returns how many claims wait for a verdict, run, or wait for an acknowledgement; a planned stop waits until it is zero.
func (a *Requester) OpenClaims() int { return len(a.attempts) }

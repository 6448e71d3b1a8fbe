package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config holds what a Table and an Arbiter need; zero durations and sizes take the defaults.
type Config struct {
	Self   pomelorelay.NodeID
	Logger pomelorelay.Logger
	// FingerprintArbiter and UpstreamArbiter return the routers that arbitrate now.
	FingerprintArbiter func(pomelorelay.Fingerprint) (pomelorelay.NodeID, bool)
	UpstreamArbiter    func(pomelorelay.UpstreamID) (pomelorelay.NodeID, bool)
	// Members returns every live router; notices go to all but Self.
	Members func() []pomelorelay.NodeID
	// SuspectFor is how long a fingerprint stays a suspect after a crash, 10 min by default.
	SuspectFor time.Duration
	// QuarantineFor is used where a run gives no time of its own, 10 min by default.
	QuarantineFor time.Duration
	// CrashWindow is how far apart reports of one crash may arrive, 3 s by default.
	CrashWindow time.Duration
	// SettleFor is how long after a crash its suspects wait before they ask, so that every router has heard of them and
	// told where they still run, 50 ms by default.
	SettleFor time.Duration
	// LockFor is how long an arbiter keeps a run's place without renewal, 6 s by default.
	LockFor time.Duration
	// AskAgain is the pause before a suspect that must wait asks again, 200 ms by default.
	AskAgain time.Duration
	// MaxWait is how long a suspect may wait for its turn, 10 s by default.
	MaxWait time.Duration
	// MaxSuspects and MaxQuarantined bound the state, 4,096 and 1,024 by default; the oldest go first.
	MaxSuspects    int
	MaxQuarantined int
}

// Run names one attempt of a request at an upstream.
type Run struct {
	Request     pomelorelay.RequestID
	Fingerprint pomelorelay.Fingerprint
	Upstream    pomelorelay.UpstreamID
	// QuarantineFor is how long the fingerprint is refused once it is named, zero for the default.
	QuarantineFor time.Duration
}

// Decision tells whether a run may begin.
type Decision int

// The decisions.
const (
	DecisionRun         Decision = iota + 1 // it may run now
	DecisionWait                            // the decision follows in an Output
	DecisionHeld                            // no turn came in time; refuse it, it did not run
	DecisionQuarantined                     // it is quarantined; refuse it, it did not run
)

// Verdict is a decision that followed.
type Verdict struct {
	Run      Run
	Decision Decision
	// RetryAfter is how long the refusal lasts at most.
	RetryAfter time.Duration
}

// Output collects what a decision part wants done; the caller empties it.
type Output struct {
	Messages []pomelorelay.Outgoing
	Verdicts []Verdict
}

func (o *Output) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	o.Messages = append(o.Messages, pomelorelay.Outgoing{To: to, Message: m})
}

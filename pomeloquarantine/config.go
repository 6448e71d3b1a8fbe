package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config configures a Table or an Arbiter; zero durations and sizes select the defaults.
type Config struct {
	Self   pomelorelay.NodeID
	Logger pomelorelay.Logger
	// FingerprintArbiter and UpstreamArbiter return the router that currently grants the locks of a fingerprint or an
	// upstream, or false when there is none.
	FingerprintArbiter func(pomelorelay.Fingerprint) (pomelorelay.NodeID, bool)
	UpstreamArbiter    func(pomelorelay.UpstreamID) (pomelorelay.NodeID, bool)
	// Members returns all live routers; notices are sent to all of them except Self.
	Members func() []pomelorelay.NodeID
	// SuspectFor is how long a fingerprint stays a suspect after a crash, 10 min by default.
	SuspectFor time.Duration
	// QuarantineFor is the duration of a quarantine when the run specifies none, 10 min by default.
	QuarantineFor time.Duration
	// CrashWindow is the maximum time between reports of the same upstream crash, 3 s by default.
	CrashWindow time.Duration
	// NoticeDelay is how long suspects wait after a crash before they request locks, so that every router has received
	// the notice of the suspects and has locked the upstreams where they still run; 50 ms by default.
	NoticeDelay time.Duration
	// LockTTL is how long an arbiter keeps a lock that is not renewed, 6 s by default.
	LockTTL time.Duration
	// AskInterval is the interval at which a waiting suspect repeats its lock request, 200 ms by default.
	AskInterval time.Duration
	// MaxWait is how long a suspect may wait to be admitted before it is refused, 10 s by default.
	MaxWait time.Duration
	// MaxSuspects limits the number of suspects of a Table and of locks of an Arbiter, MaxQuarantined the number of
	// quarantined fingerprints of a Table; 4,096 and 1,024 by default. A full Table evicts the entry that expires
	// first; a full Arbiter denies further locks.
	MaxSuspects    int
	MaxQuarantined int
}

// Run identifies one attempt to run a request on an upstream.
type Run struct {
	Request     pomelorelay.RequestID
	Fingerprint pomelorelay.Fingerprint
	Upstream    pomelorelay.UpstreamID
	// QuarantineFor is how long the fingerprint is quarantined if it is found to crash upstreams; zero selects the default.
	QuarantineFor time.Duration
}

// Decision is the outcome of checking whether a run may begin.
type Decision int

// The possible decisions.
const (
	DecisionRun         Decision = iota + 1 // the run may begin now
	DecisionWait                            // the verdict is added to a later Output
	DecisionTimedOut                        // the run was not admitted within MaxWait; refuse it as not run
	DecisionQuarantined                     // the fingerprint is quarantined; refuse the run as not run
)

// Verdict is the decision on a run, returned by Check or added to an Output later.
type Verdict struct {
	Run      Run
	Decision Decision
	// RetryAfter is how long a refused run is advised to wait: the remaining quarantine or MaxWait; zero when it is not
	// refused.
	RetryAfter time.Duration
}

// Output collects the messages and verdicts of a call; the caller handles and clears them.
type Output struct {
	Messages []pomelorelay.Outgoing
	Verdicts []Verdict
}

func (o *Output) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	o.Messages = append(o.Messages, pomelorelay.Outgoing{To: to, Message: m})
}

package pomeloforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// Config configures a Handler.
type Config struct {
	Clock     pomelorelay.Clock
	Logger    pomelorelay.Logger
	Wire      pomelorelay.WireFormat
	Tables    TableSource
	Placement Placement
	Crashes   CrashGuard
	Shutdown  ShutdownState
	Fleet     FleetSize
	Meter     Meter
	// CallerGone reports whether a request's caller has disconnected, for servers that can detect this before the request's context
	// ends; nil otherwise.
	CallerGone func(*http.Request) bool
	// ResetOnClose makes the system reset a request's connection when it closes, or end it in order, for servers that can; nil otherwise.
	ResetOnClose func(r *http.Request, reset bool)
	// RetryRatio and RetrySlack bound the fleet's retries for a service: to this ratio of its requests, plus a constant number of retries.
	RetryRatio float64
	RetrySlack float64
	// BodyMemory limits the memory of all request bodies over 64 KiB; zero means no limit.
	BodyMemory pomelorelay.Bytes
	// ChargeBody charges the memory of a request's body over 64 KiB, or releases it if bytes is negative, and reports whether there is enough; nil charges
	// nothing.
	ChargeBody func(r *http.Request, bytes int64) bool
	// AnswerMemory limits the memory of all buffered answers beyond one chunk each; zero means no limit.
	AnswerMemory pomelorelay.Bytes
}

// TableSource provides the route table in force.
type TableSource interface {
	// Current returns the table, or nil while there is none; it never blocks.
	Current() *pomelotable.Table
}

// PlacementRequest is a caller's request for which an upstream is to be selected.
type PlacementRequest struct {
	ID      string
	Route   pomelorelay.RouteID
	Account pomelorelay.AccountID
	// Fingerprint identifies repetitions of the request under other IDs.
	Fingerprint pomelorelay.Fingerprint
	// SharedParts are the fingerprints of the prompt parts that other requests may share.
	SharedParts []pomelorelay.Fingerprint
	// Cost counts towards the account's share; zero for plain services (those without model engines).
	Cost    pomelorelay.Cost
	Request pomeloplace.Request
	Stream  StreamProgress
	// Retry marks a request that was placed before. Charged marks one that may have run and whose cost was charged to its account.
	Retry, Charged bool
}

// StreamProgress is what the caller of a request has received of a resumable stream.
type StreamProgress struct {
	// Resumable is set for requests whose streams may be resumed.
	Resumable bool
	// Resumed is set if the caller had received events before it sent the request.
	Resumed bool
	// Origin is the fingerprint of the RequestID of the attempt that received, or will receive, the first event, if OriginNamed is set.
	Origin      pomelorelay.Fingerprint
	OriginNamed bool
	// TimeLeft is the time within which the caller may resume the stream.
	TimeLeft time.Duration
}

// Placement selects upstreams for requests.
type Placement interface {
	// Place returns a reservation or a refusal immediately; it fails when ctx ends.
	Place(ctx context.Context, r PlacementRequest) (Reservation, pomeloplace.Decision, error)
}

// Reservation is a request's slot at an upstream; Done must be called exactly once.
type Reservation interface {
	// AnswerBegan records the start of the answer and the load that the upstream announced in its header.
	AnswerBegan(load AnnouncedLoad)
	// StreamBegan records that the upstream sent an event of a stream that may be resumed; confirmed is set if its process is known to be the registered
	// one.
	StreamBegan(confirmed bool)
	// AnswerLasts records that the answer has gone on for so long that its prompt does not crash upstreams.
	AnswerLasts()
	// Done records the end of the run and releases the slot.
	Done(end RunEnd)
}

// RunEnd is how a run ended.
type RunEnd struct {
	Result pomeloplace.Result
	// Answered is set if the upstream answered with success, and the answer itself showed that it was complete.
	Answered bool
	// Events is the number of stream events that the upstream sent.
	Events int
	// Load is the load that the upstream announced, unless AnswerBegan has recorded it.
	Load AnnouncedLoad
}

// AnnouncedLoad is the load that an upstream announced in the header of its response.
type AnnouncedLoad struct {
	Figures pomelorelay.UpstreamFigures
	// Invalid states that the announcement was malformed.
	Invalid bool
	// ReadAt is when the header was read.
	ReadAt time.Time
}

// BrokenRun is a run during which the upstream's process may have ended.
type BrokenRun struct {
	SentAt, EndedAt time.Time
	// Crashes holds a crash under the request's fingerprint, and one under each prompt part that may have caused it.
	Crashes []pomelorelay.RequestCrash
}

// CrashGuard decides which requests are refused because they crash upstreams; its methods do not wait for other routers. Fingerprints are those
// of requests and of prompt parts.
type CrashGuard interface {
	// QuarantineRemaining returns how long requests with the fingerprints are refused from now on; zero if they are not.
	QuarantineRemaining(fingerprints []pomelorelay.Fingerprint) time.Duration
	// IsSuspect reports whether an upstream crashed under the fingerprint and none has answered a request with it since.
	IsSuspect(f pomelorelay.Fingerprint) bool
	// MayHaveCrashed reports whether the connection of another attempt with the fingerprint broke lately, or an upstream crashed under it.
	MayHaveCrashed(f pomelorelay.Fingerprint) bool
	// ConnectionBroke reports that the connection of a run broke; the upstream may have crashed.
	ConnectionBroke(run BrokenRun)
	// UpstreamCrashed reports that the upstream of a run whose connection broke refuses connections.
	UpstreamCrashed(run BrokenRun)
	// AnswerMayBeCut reports that only the end of the connection showed that the answer of a run was complete; the upstream may have crashed.
	AnswerMayBeCut(run BrokenRun)
}

// ShutdownState reports a planned stop of the process.
type ShutdownState interface {
	// TimeLeft returns the time until FinalAnswers is done, and false when no stop is planned.
	TimeLeft() (time.Duration, bool)
	// Elapsed returns the time since the stop began; zero when no stop is planned.
	Elapsed() time.Duration
	// FinalAnswers returns a context that is done once requests without an answer must get a final one, because the process is about to end.
	FinalAnswers() context.Context
}

// FleetSize reports the size of the fleet.
type FleetSize interface {
	// Routers returns the number of routers that this router knows, itself included.
	Routers() int
}

// Meter counts answers and retries.
type Meter interface {
	// ObserveAnswer counts an answer by the request's ending, with the times from its arrival to the answer's beginning and end.
	ObserveAnswer(kind pomelorelay.RouteKind, ending string, first, total time.Duration)
	// CountRetry counts a request for the service that is sent again after a failure with the code.
	CountRetry(service pomelorelay.ServiceID, code pomelorelay.ResultCode)
	// CountRetryDenied counts a request that is not sent again because the service's retry budget is spent.
	CountRetryDenied(service pomelorelay.ServiceID)
	// CountBrokenRun counts an attempt whose connection to the upstream broke.
	CountBrokenRun()
	// CountCrash counts an attempt that failed because its upstream crashed.
	CountCrash(evidence pomelorelay.CrashEvidence)
}

const (
	// defaultRetryAfter is the Retry-After of a refusal that gives no time.
	defaultRetryAfter = 500 * time.Millisecond
	// answerGrace is how long after the deadline the router waits for the upstream's own final answer, which takes a one-way trip between regions.
	answerGrace = 100 * time.Millisecond
	// dialTimeout bounds a connection attempt. It allows for a round trip to another region and a lost packet, which costs 200 ms.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long an upstream's host may leave data unacknowledged. It allows for ten one-way trips between regions and two lost
	// packets.
	ackTimeout = 2 * time.Second
	// idleTimeout closes idle connections to upstreams; upstreams may announce shorter times.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the number of idle connections to one upstream; in a burst, an engine runs about as many requests of one router.
	maxIdleConns = 64
	// maxAnswerHeaderBytes bounds the status line and header of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// maxUnreached bounds the number of unreachable upstreams that are tried for one request. With a quarter of all upstreams down, one request
	// in 64 finds three of them in a row, so a bound of three would be too low.
	maxUnreached = 6
	// maxRefused is the number of upstreams that may refuse a request without running it until the request fails.
	maxRefused = 2
	// maxBufferedAnswer is the size in bytes up to which a plain answer is buffered completely.
	maxBufferedAnswer = 64 << 10
	// bufferedAnswerMemory is the memory reserved for a plain answer that exceeds maxSmallAnswer bytes: its buffer grows by doubling.
	bufferedAnswerMemory = 2 * maxBufferedAnswer
	maxSmallAnswer       = 4 << 10
	// maxUnsizedAnswer limits a plain answer that does not state its length, since an upstream may send bytes without end.
	maxUnsizedAnswer = 16 << 20
	// maxHeld limits the bytes of events that are held back until another event follows, for the same reason.
	maxHeld = 4 << 10
	// harmlessAfter is how long after its first event an answer of at least harmlessEvents events shows that its prompt does not crash upstreams:
	// they crash when they begin to answer such a prompt. A slow router may read the first events late.
	harmlessAfter  = 500 * time.Millisecond
	harmlessEvents = 4
	// writeGrace is how long after a request's deadline its caller may still read the answer.
	writeGrace = 2 * time.Second
)

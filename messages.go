package pomelorelay

import "time"

// Urgency is the priority class of a message; when the byte budget of a link class is exhausted, less urgent messages wait and coalesce.
type Urgency int

// Values of Urgency, most urgent first.
const (
	UrgencyHigh   Urgency = iota // grants, claims, load, fleet updates, probes, departures, crash suspects, quarantine
	UrgencyNormal                // demand, configuration, fleet state, ledger queries
	UrgencyLow                   // ledger reports, totals and components, digests
)

// Message is a message between routers; all implementations are in this package.
type Message interface {
	// Urgency returns the priority class of the message.
	Urgency() Urgency
	// CoalesceKey returns a key; a later message with the same key replaces one still queued for the same peer. An empty key
	// disables coalescing.
	CoalesceKey() string
}

// Outgoing is a message to be sent to a router.
type Outgoing struct {
	To      NodeID
	Message Message
}

// Envelope is a received message with its sender.
type Envelope struct {
	From        NodeID
	Incarnation Incarnation
	// Domain and Region are the location that the sender declared when the link was opened.
	Domain     DomainID
	Region     RegionID
	Generation Generation
	Message    Message
}

// Demand describes the requests that the sender has queued for an upstream; it is sent to the router that grants the upstream's slots. A
// higher Seq supersedes a lower one.
type Demand struct {
	Upstream UpstreamID
	Pool     PoolID
	Seq      uint64
	// HeadTag is the fair-queueing tag of the request at the head of the queue, Waiting the number of queued requests.
	HeadTag Tag
	Waiting uint32
	// Prefixes holds hashes of the prompt prefixes of the request at the head of the queue, for cache affinity.
	Prefixes []uint64
}

// Grant allows a router to send one request to an upstream within TTL after the grant arrives.
type Grant struct {
	ID             GrantID
	Upstream       UpstreamID
	Pool           PoolID
	TTL            time.Duration
	LastGrantedTag Tag
}

// GrantState is the outcome of a grant.
type GrantState int

// Values of GrantState.
const (
	GrantUsed                GrantState = iota + 1 // a request is being sent under the grant
	GrantReturned                                  // no request was sent
	GrantFinished                                  // the request finished
	GrantFailed                                    // the response was cut off or the request's outcome is unknown
	GrantUpstreamUnreachable                       // the upstream accepted no connection
)

// GrantReply reports the outcome of a grant to the router that issued it, with the sender's current demand.
type GrantReply struct {
	ID       GrantID
	Upstream UpstreamID
	State    GrantState
	Seq      uint64
	Head     Tag
	Waiting  uint32
	// FirstToken and TokenGap are the measured times to the first token and between tokens; zero if not measured.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// RunningQuery asks a router for a RunningReport about an upstream. A router that takes over granting the upstream's slots sends the
// query to all other routers before it issues grants.
type RunningQuery struct {
	Upstream UpstreamID
}

// RunningReport answers a RunningQuery with the grants that the sender holds for an upstream and the number of the sender's requests
// running on the upstream.
type RunningReport struct {
	Upstream UpstreamID
	Grants   []GrantID
	Running  uint32
}

// SlotDigest is the slot state of an upstream, as published by the router that grants the upstream's slots.
type SlotDigest struct {
	Upstream UpstreamID
	Pool     PoolID
	Owner    NodeID
	Domain   DomainID
	LastTag  Tag
	Idle     Slots
	Limit    Slots
	Leaving  bool
}

// LedgerEntry is the service received by one account in one pool.
type LedgerEntry struct {
	Pool    PoolID
	Account AccountID
	// Served is the cumulative cost of the service that the account received: from the sending router in a LedgerReport, from the whole
	// fleet in LedgerTotals.
	Served Cost
	// Lift is the normalised service credited to an account on its return from idleness; when entries are merged, the highest Lift is kept.
	Lift Tag
	// Waiting states whether the account is backlogged: at the sending router in a LedgerReport, at any router in LedgerTotals.
	Waiting bool
}

// LedgerReport reports a router's cumulative service per account to the router that hosts a ledger shard.
type LedgerReport struct {
	Shard   ShardID
	Seq     uint64
	Full    bool
	Entries []LedgerEntry
	// Interest lists the accounts whose fleet totals of served cost the router requests.
	Interest []LedgerKey
	// Round is the Round of the LedgerQuery that a full report answers.
	Round uint64
}

// LedgerKey identifies an account in a pool.
type LedgerKey struct {
	Pool    PoolID
	Account AccountID
}

// LedgerTotals answers a LedgerReport with the fleet totals of served cost; Ready is false while the sender rebuilds the shard.
type LedgerTotals struct {
	Shard   ShardID
	Ready   bool
	Entries []LedgerEntry
	// Seq is the Seq of the LedgerReport that this message answers.
	Seq uint64
}

// LedgerQuery asks a router for a full LedgerReport; the new host of a ledger shard sends it to rebuild the shard.
type LedgerQuery struct {
	Shard ShardID
	// Round distinguishes the answers to this query from answers to earlier queries.
	Round uint64
}

// LedgerComponent carries one failure domain's part of a ledger shard to the shard's host in another domain.
type LedgerComponent struct {
	Shard   ShardID
	Domain  DomainID
	Full    bool
	Entries []LedgerComponentEntry
}

// LedgerComponentEntry is the cumulative service of an account in one domain; Departed is the part of Served from routers that are gone.
type LedgerComponentEntry struct {
	Pool     PoolID
	Account  AccountID
	Served   Cost
	Departed Cost
	Lift     Tag
	Waiting  bool
}

// LedgerComponentQuery asks the host of a ledger shard in another failure domain for the LedgerComponents of the shard, one for each
// domain.
type LedgerComponentQuery struct {
	Shard ShardID
}

// MemberStatus is the status of a router in the membership protocol.
type MemberStatus int

// Values of MemberStatus; for the same incarnation of a router, a status overrides those listed above it.
const (
	MemberAlive MemberStatus = iota + 1
	MemberSuspect
	MemberLeaving
	MemberDead
)

// MemberState is the status of one incarnation of a router, as disseminated by digests (membership heartbeats).
type MemberState struct {
	Node        NodeID
	Incarnation Incarnation
	Status      MemberStatus
}

// Digest is the periodic heartbeat between routers, with membership changes and the slot states of upstreams.
type Digest struct {
	Seq     uint64
	Members []MemberState
	Slots   []SlotDigest
	// Reached lists the other failure domains from which the sender recently received messages.
	Reached []DomainID
}

// Probe asks a router for a ProbeAck or, if Target is set, asks it to probe Target.
type Probe struct {
	Seq    uint64
	Target NodeID
}

// ProbeAck answers a Probe; for an indirect probe, Target is the router that answered.
type ProbeAck struct {
	Seq    uint64
	Target NodeID
}

// ConfigPull asks a peer for a configuration root (the list of its parts) above AboveGeneration, and for parts by hash.
type ConfigPull struct {
	AboveGeneration Generation
	Parts           []Hash
}

// ConfigPush carries the root and parts of the configuration; the receiver verifies all hashes.
type ConfigPush struct {
	Root  []byte
	Parts [][]byte
}

// ConfigApplied announces the configuration generation in force at a router. If the router refused a newer generation, it also
// announces the refused generation and the result code.
type ConfigApplied struct {
	Generation        Generation
	RefusedGeneration Generation
	RefusalCode       ResultCode
}

// ClaimState is the state of the claim to run a non-idempotent request.
type ClaimState int

// Values of ClaimState.
const (
	ClaimGranted  ClaimState = iota + 1 // the requesting router holds the claim and may send the request once
	ClaimRunning                        // another router holds the claim and may have sent the request
	ClaimDone                           // the request ran and its outcome is stored
	ClaimUnknown                        // the request may have run; its outcome is unknown
	ClaimRefused                        // the claim could not be made durable; the request was not sent
	ClaimConflict                       // the key was used before with another request body
)

// ClaimKey identifies a non-idempotent request: the SHA-256 of account, service and idempotency key.
type ClaimKey Hash

// ClaimNonce identifies one attempt to claim, so that the attempt is recognised when the stored claim is read back.
type ClaimNonce [16]byte

// ClaimOutcome is the stored response to a request, returned when the request is repeated.
type ClaimOutcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated states that the body exceeded the size limit and was not stored.
	Truncated bool
}

// ClaimAsk asks the router in charge of a claim shard for a durable claim to run a non-idempotent request.
type ClaimAsk struct {
	Shard   ShardID
	Key     ClaimKey
	Nonce   ClaimNonce
	Content Fingerprint
}

// ClaimAnswer answers a ClaimAsk.
type ClaimAnswer struct {
	Shard   ShardID
	Key     ClaimKey
	Nonce   ClaimNonce
	State   ClaimState
	Outcome ClaimOutcome
}

// ClaimSettle reports how a claimed request ended; Released states that the request was never sent, otherwise State is ClaimDone or
// ClaimUnknown.
type ClaimSettle struct {
	Shard    ShardID
	Key      ClaimKey
	Nonce    ClaimNonce
	Released bool
	State    ClaimState
	Outcome  ClaimOutcome
}

// ClaimSettled acknowledges a ClaimSettle once the reported outcome is stored.
type ClaimSettled struct {
	Shard ShardID
	Key   ClaimKey
	Nonce ClaimNonce
}

// SuspectNotice reports that an upstream crashed while requests with the fingerprints ran on it.
type SuspectNotice struct {
	Upstream     UpstreamID
	CrashSeq     uint64
	Fingerprints []Fingerprint
}

// SuspectAsk asks whether a crash suspect, a request that may have crashed an upstream, may run on Upstream. The message is sent to the
// router that decides about the fingerprint. If Running is set, the message reports that the request already runs on Upstream.
type SuspectAsk struct {
	Request     RequestID
	Fingerprint Fingerprint
	Upstream    UpstreamID
	Running     bool
}

// SuspectAnswer answers a SuspectAsk.
type SuspectAnswer struct {
	Request     RequestID
	Fingerprint Fingerprint
	Allowed     bool
	Quarantined bool
	Wait        time.Duration
	Upstream    UpstreamID
}

// SuspectCleared reports that a crash suspect has finished; Clean states that its response was complete and its upstream did not crash.
type SuspectCleared struct {
	Fingerprint Fingerprint
	Upstream    UpstreamID
	Clean       bool
}

// QuarantineNotice announces a quarantined fingerprint, or the end of its quarantine if the duration is zero. Upstream is the upstream
// whose crash identified the fingerprint; other suspects of that crash are cleared.
type QuarantineNotice struct {
	Fingerprint Fingerprint
	Seq         uint64
	Duration    time.Duration
	Upstream    UpstreamID
}

// LeavingNotice announces that an upstream is draining and must get no new requests.
type LeavingNotice struct {
	Upstream UpstreamID
}

// Farewell announces that a router is stopping. The other routers take over its fleet-wide jobs (slot ownership, ledger and claim
// shards) at once.
type Farewell struct {
	Incarnation Incarnation
}

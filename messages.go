package pomelorelay

import "time"

// Urgency orders messages when a node is over its control byte budget; the least urgent wait and coalesce.
type Urgency int

// The urgencies, most urgent first.
const (
	UrgencyHigh   Urgency = iota // grants, claims, leaving, quarantine
	UrgencyNormal                 // demand, configuration, membership changes
	UrgencyLow                // totals and digests
)

// Message is what one router sends another; every implementation is in this package.
type Message interface {
	// Urgency returns how soon the message must leave.
	Urgency() Urgency
	// CoalesceKey returns the key under which a later message replaces one still queued for the same peer; empty when none may.
	CoalesceKey() string
}

// Outgoing is a message that a decision part wants sent.
type Outgoing struct {
	To      NodeID
	Message Message
}

// Envelope is a message as it arrived.
type Envelope struct {
	From        NodeID
	Incarnation Incarnation
	// Domain and Region are where the router said it is when its link was opened.
	Domain     DomainID
	Region     RegionID
	Generation Generation
	Message    Message
}

// Demand registers at a slot owner what a router has waiting for one upstream; a higher Seq replaces a lower one.
type Demand struct {
	Upstream UpstreamID
	Pool     PoolID
	Seq      uint64
	Head     Tag
	Waiting  uint32
	// Prefixes holds hashes of the prompt prefixes at the head, for cache affinity.
	Prefixes []uint64
}

// Grant lets a router send one request to an upstream before TTL has passed since its arrival.
type Grant struct {
	ID       GrantID
	Upstream UpstreamID
	Pool     PoolID
	TTL      time.Duration
	LastTag  Tag
}

// GrantState is what became of a grant.
type GrantState int

// The states of a grant.
const (
	GrantUsed GrantState = iota + 1
	GrantReturned
	GrantFinished
	GrantFailed
	GrantUpstreamUnreachable
)

// GrantReply tells a slot owner what became of a grant and the router's fresh demand.
type GrantReply struct {
	ID       GrantID
	Upstream UpstreamID
	State    GrantState
	Seq      uint64
	Head     Tag
	Waiting  uint32
	// FirstToken and TokenGap are measured latencies, zero when there are none.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// RunningQuery asks every router what it runs on an upstream; a new slot owner sends it first.
type RunningQuery struct {
	Upstream UpstreamID
}

// RunningReport tells a slot owner which grants a router holds on an upstream and how many requests it runs there.
type RunningReport struct {
	Upstream UpstreamID
	Grants   []GrantID
	Running  uint32
}

// SlotDigest is what an owner publishes of one upstream.
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

// LedgerEntry is the service of one account in one pool.
type LedgerEntry struct {
	Pool    PoolID
	Account AccountID
	// Served is cumulative; a report holds the origin's own, totals hold the fleet's.
	Served Cost
	// Lift is the normalised service granted to an account that came back from idleness; it merges by maximum.
	Lift Tag
	// Waiting tells whether the account is backlogged at the origin, or anywhere in totals.
	Waiting bool
}

// LedgerReport carries a router's cumulative service to a shard's host.
type LedgerReport struct {
	Shard   ShardID
	Seq     uint64
	Full    bool
	Entries []LedgerEntry
	// Interest lists the accounts whose fleet totals the router wants back.
	Interest []LedgerKey
	// Round is that of the query which a full report answers.
	Round uint64
}

// LedgerKey names an account in a pool.
type LedgerKey struct {
	Pool    PoolID
	Account AccountID
}

// LedgerTotals answers a report with fleet totals; Ready is false while the host is still rebuilding.
type LedgerTotals struct {
	Shard   ShardID
	Ready   bool
	Entries []LedgerEntry
	// Seq is that of the report which this answers.
	Seq uint64
}

// LedgerQuery asks a router for a full report; a new host of a shard sends it.
type LedgerQuery struct {
	Shard ShardID
	// Round tells answers to this query from those to an earlier one.
	Round uint64
}

// LedgerComponent carries one failure domain's part of a shard to another domain's host of it.
type LedgerComponent struct {
	Shard   ShardID
	Domain  DomainID
	Full    bool
	Entries []LedgerComponentEntry
}

// LedgerComponentEntry is one domain's cumulative service of an account; Departed is the part of Sum that came from routers now gone.
type LedgerComponentEntry struct {
	Pool     PoolID
	Account  AccountID
	Sum      Cost
	Departed Cost
	Lift     Tag
	Waiting  bool
}

// LedgerComponentQuery asks another domain's host of a shard for every component it knows.
type LedgerComponentQuery struct {
	Shard ShardID
}

// MemberStatus is what a router believes of another.
type MemberStatus int

// The member statuses, in the order in which one overrides another of the same incarnation.
const (
	MemberAlive MemberStatus = iota + 1
	MemberSuspect
	MemberLeaving
	MemberDead
)

// MemberState is a belief about a router that spreads by digests.
type MemberState struct {
	Node        NodeID
	Incarnation Incarnation
	Status      MemberStatus
}

// Digest is the periodic message between routers: liveness, membership changes, slots.
type Digest struct {
	Seq     uint64
	Members []MemberState
	Slots   []SlotDigest
	// Reached lists the other failure domains that the sender heard lately.
	Reached []DomainID
}

// Probe asks a router to answer, or through Target asks it to probe another.
type Probe struct {
	Seq    uint64
	Target NodeID
}

// ProbeAck answers a probe; Target is the router that was heard when it was probed for another.
type ProbeAck struct {
	Seq    uint64
	Target NodeID
}

// ConfigPull asks a peer for a newer root and for parts by hash.
type ConfigPull struct {
	Above Generation
	Parts []Hash
}

// ConfigPush carries the root and parts of the configuration; the receiver checks every hash.
type ConfigPush struct {
	Root  []byte
	Parts [][]byte
}

// ConfigApplied tells the peers which generation a router has in force and the code that kept it from a newer one.
type ConfigApplied struct {
	Generation Generation
	Refused    Generation
	Code       ResultCode
}

// ClaimState is what is known of a non-idempotent request.
type ClaimState int

// The states of a claim.
const (
	ClaimFresh    ClaimState = iota + 1 // the asker holds it and may send once
	ClaimRunning                        // another holds it and may have sent
	ClaimDone                           // it ran and its outcome is kept
	ClaimUnknown                        // it may have run and its outcome is not known
	ClaimRefused                        // it could not be made durable; nothing was sent
	ClaimConflict                       // the same key was used with another request body
)

// ClaimKey identifies a non-idempotent request: SHA-256 of account, service and idempotency key.
type ClaimKey Hash

// ClaimNonce marks one attempt to claim, so that it is recognised when read back.
type ClaimNonce [16]byte

// ClaimOutcome is the answer kept for repeats of a request.
type ClaimOutcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated tells that the body was over the bound and is not kept.
	Truncated bool
}

// ClaimAsk asks a shard's keeper for a durable claim.
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

// ClaimSettle tells a shard's keeper how a claimed request ended: released when it surely never left, done, or unknown.
type ClaimSettle struct {
	Shard    ShardID
	Key      ClaimKey
	Nonce    ClaimNonce
	Released bool
	State    ClaimState
	Outcome  ClaimOutcome
}

// ClaimSettled acknowledges a ClaimSettle that the store holds.
type ClaimSettled struct {
	Shard ShardID
	Key   ClaimKey
	Nonce ClaimNonce
}

// SuspectNotice tells that an upstream crashed while the fingerprints ran on it.
type SuspectNotice struct {
	Upstream     UpstreamID
	CrashSeq        uint64
	Fingerprints []Fingerprint
}

// SuspectAsk asks the suspects' arbiter whether a suspect may run on an upstream now, or with Running tells that it runs there already.
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

// SuspectCleared tells that a suspect runs no more; Clean tells that its answer was whole and its upstream lived.
type SuspectCleared struct {
	Fingerprint Fingerprint
	Upstream    UpstreamID
	Clean       bool
}

// QuarantineNotice spreads a fingerprint that crashes upstreams; For is zero when it is lifted. Upstream is the one
// whose crash named it, so that what else ran there is cleared.
type QuarantineNotice struct {
	Fingerprint Fingerprint
	Seq         uint64
	Duration         time.Duration
	Upstream    UpstreamID
}

// LeavingNotice tells that an upstream leaves and must get nothing new.
type LeavingNotice struct {
	Upstream UpstreamID
}

// Farewell tells that a router stops; its shared jobs are taken over at once.
type Farewell struct {
	Incarnation Incarnation
}

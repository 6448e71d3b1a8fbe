package pomelorelay

// RequestCrash reports that a process of an upstream crashed while it ran requests with a fingerprint, that of a request or of a prompt part.
// Fingerprint, Upstream and StartUnixMilli identify the crash; reports of the same crash are merged.
type RequestCrash struct {
	Fingerprint Fingerprint
	// Part states that the fingerprint is that of a prompt part.
	Part     bool
	Upstream UpstreamID
	// StartUnixMilli is the start time of the upstream's process in Unix milliseconds; zero if the upstream does not report it.
	StartUnixMilli int64
	// UnixMilli is the time of the crash in Unix milliseconds, by the clock of the router that saw it.
	UnixMilli int64
	// Runs has a bit for each request with the fingerprint that ran then, by RunBit; zero if unknown.
	Runs uint64
	// Repeated states that a request was sent although its router knew of an earlier crash under the fingerprint, confirmed or pending.
	Repeated bool
	// Cleared states that an upstream has answered another request with the fingerprint, so that the fingerprint did not cause the crash.
	Cleared bool
}

// Process returns the process that crashed.
func (c *RequestCrash) Process() UpstreamProcess {
	return UpstreamProcess{c.Upstream, c.StartUnixMilli}
}

// UpstreamProcess identifies one process of an upstream; a process crashes at most once.
type UpstreamProcess struct {
	Upstream       UpstreamID
	StartUnixMilli int64
}

// bitsPerRunSet is the number of bits in RequestCrash.Runs.
const bitsPerRunSet = 64

// RunBit returns the bit of RequestCrash.Runs that stands for a request.
func RunBit(request Fingerprint) uint64 { return 1 << (request % bitsPerRunSet) }

// CrashEvidence is what showed that an upstream crashed.
type CrashEvidence string

// Evidence of crashes.
const (
	// EvidenceRefused means that the upstream refused connections.
	EvidenceRefused CrashEvidence = "Refused"
	// EvidenceRemoved means that the upstream's entry was removed although it had not drained.
	EvidenceRemoved CrashEvidence = "Removed"
	// EvidenceRestarted means that the upstream's entry was that of a later start.
	EvidenceRestarted CrashEvidence = "Restarted"
)

// CrashNotice reports crashes to the other routers, directly or through the relays of their failure domains.
type CrashNotice struct {
	Crashes []RequestCrash
	// Pending are runs whose connection broke; it is not known yet whether their upstreams crashed.
	Pending []RequestCrash
}

// Urgency implements Message; crashes are urgent because the requests that cause them may return at any router.
func (*CrashNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: a notice holds only changes, so none may be replaced.
func (*CrashNotice) CoalesceKey() string { return "" }

package pomeloshare

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// windowSteps is the number of steps in which the window slides; each step drops the oldest tenth.
const windowSteps = 10

// Config holds the settings of Shares.
type Config struct {
	// Window is the length of the sliding window over which shares are computed.
	Window time.Duration
}

// usage is the requested and the served cost, in tokens.
type usage struct {
	requested, served pomelorelay.Cost
}

// account holds the usage of one client account: this router's sums since its start, and the fleet's within the window.
type account struct {
	local   usage
	changed bool
	window  usage
	steps   [windowSteps]usage
}

// peer is another router's last report, from which the increments of its next report are computed.
type peer struct {
	incarnation pomelorelay.Incarnation
	reported    map[pomelorelay.AccountID]usage
}

// Shares tracks the fleet's usage by account and computes fair shares from it.
type Shares struct {
	cfg         Config
	capacity    pomelorelay.Cost // tokens per second
	accounts    map[pomelorelay.AccountID]*account
	peers       map[pomelorelay.NodeID]*peer
	currentStep int
	stepStart   time.Time
	startedAt   time.Time
	// level is the max-min fair level (see computeLevel) as of the last Tick, in tokens per window; zero when the capacity is unknown or covers all
	// requests.
	level pomelorelay.Cost
	// minServedShort is the lowest served cost among short accounts, those with much unserved demand (see minUnmetFraction); zero when no
	// account is short.
	minServedShort pomelorelay.Cost
	// minServedFarShort is the lowest served cost among short accounts with at least minFarUnmetTokens of unserved demand; zero when there is
	// none.
	minServedFarShort pomelorelay.Cost
	// totalServed is the cost served to all accounts within the window, as of the last Tick.
	totalServed pomelorelay.Cost
	demands     []pomelorelay.Cost
}

// New returns Shares of an unknown capacity, which do not limit any account.
func New(cfg Config) *Shares {
	return &Shares{cfg: cfg, accounts: make(map[pomelorelay.AccountID]*account), peers: make(map[pomelorelay.NodeID]*peer)}
}

// SetCapacity sets the number of tokens per second that all engines together produce; zero means that it is unknown.
func (s *Shares) SetCapacity(perSecond pomelorelay.Cost) { s.capacity = perSecond }

func (s *Shares) account(id pomelorelay.AccountID) *account {
	a := s.accounts[id]
	if a == nil {
		a = &account{}
		s.accounts[id] = a
	}
	return a
}

func (a *account) add(step int, u usage) {
	a.window.requested += u.requested
	a.window.served += u.served
	a.steps[step].requested += u.requested
	a.steps[step].served += u.served
}

// RecordRequest records a request that this router received.
func (s *Shares) RecordRequest(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.record(id, usage{requested: cost})
}

// RecordServed records a request that this router sent to an engine.
func (s *Shares) RecordServed(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.record(id, usage{served: cost})
}

// Refund subtracts a request that was recorded as served although no engine ran it.
func (s *Shares) Refund(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.record(id, usage{served: -cost})
}

func (s *Shares) record(id pomelorelay.AccountID, u usage) {
	a := s.account(id)
	a.local.requested += u.requested
	a.local.served += u.served
	a.changed = true
	a.add(s.currentStep, u)
}

// MergeReport merges a report of another router, which holds what the router has counted since it started. Reports must be passed in the order
// in which they were sent, and may be lost or repeated: only the difference from the previous report counts. It is negative where requests
// were refunded because they did not run.
func (s *Shares) MergeReport(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
	p := s.peers[from]
	firstReport := p == nil
	if firstReport || p.incarnation < incarnation {
		p = &peer{incarnation: incarnation, reported: make(map[pomelorelay.AccountID]usage)}
		s.peers[from] = p
	}
	if p.incarnation > incarnation {
		return
	}
	for _, e := range entries {
		current := usage{requested: e.Requested, served: e.Served}
		previous := p.reported[e.Account]
		p.reported[e.Account] = current
		// A peer's sums cover all of its requests since its start. A router in its first window has no earlier sums to compare with, so the
		// first report of each peer only sets the baseline.
		if firstReport && s.inFirstWindow() {
			continue
		}
		s.account(e.Account).add(s.currentStep, usage{requested: current.requested - previous.requested, served: current.served - previous.served})
	}
}

// SetBaseline sets another router's sums as the baseline of its next reports, for sums that were already counted through a third router.
func (s *Shares) SetBaseline(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
	p := &peer{incarnation: incarnation, reported: make(map[pomelorelay.AccountID]usage, len(entries))}
	for _, e := range entries {
		p.reported[e.Account] = usage{requested: e.Requested, served: e.Served}
	}
	s.peers[from] = p
}

func (s *Shares) inFirstWindow() bool { return s.stepStart.Sub(s.startedAt) < s.cfg.Window }

// AppendReport appends this router's sums to out: those that changed since the last call, or all.
func (s *Shares) AppendReport(all bool, out []pomelorelay.AccountUse) []pomelorelay.AccountUse {
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		if a.local == (usage{}) || (!all && !a.changed) {
			continue
		}
		a.changed = false
		out = append(out, pomelorelay.AccountUse{Account: id, Requested: a.local.requested, Served: a.local.served})
	}
	return out
}

// Tick advances the window to now and recomputes the fair level and the lowest served costs of short accounts.
func (s *Shares) Tick(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt, s.stepStart = now, now
	}
	stepLength := s.cfg.Window / windowSteps
	for n := 0; n < windowSteps && now.Sub(s.stepStart) >= stepLength; n++ {
		s.stepStart = s.stepStart.Add(stepLength)
		s.advanceWindow()
	}
	if now.Sub(s.stepStart) >= stepLength {
		s.stepStart = now
	}
	s.totalServed = 0
	for _, a := range s.accounts {
		s.totalServed += a.window.served
	}
	s.level = s.computeLevel()
	s.minServedShort = s.minServed(minUnmetTokens)
	s.minServedFarShort = s.minServed(minFarUnmetTokens)
}

const (
	// minUnmetFraction is the minimum unserved fraction of a short account's demand. Users consider it unfair when half is unserved; with a lower
	// threshold, an account with one large unserved request would lower the limits of all others while engines are idle.
	minUnmetFraction = 0.35
	// minUnmetTokens is the minimum unserved cost of a short account, in tokens: that of two large requests.
	minUnmetTokens = 25000
	// leadTolerance is the maximum cost served to an account beyond its share while another account is short, as a multiple of the fair level or of
	// the cost served to the least served short account, whichever is higher. Users consider a ratio of 2 unfair; the margin allows for the delay
	// of other routers' reports.
	leadTolerance = 1.25
	// farLeadTolerance is the ratio of an account's served cost to that of the least served far-short account above which the account's limits
	// should be lowered, even within its share; users consider a ratio of 2 unfair. A short account is far short when at least minFarUnmetTokens of
	// its demand are unserved.
	farLeadTolerance  = 1.7
	minFarUnmetTokens = 3 * minUnmetTokens
)

// minServed returns the lowest served cost among the short accounts with at least minUnmet of unserved demand; zero when there is none.
func (s *Shares) minServed(minUnmet pomelorelay.Cost) pomelorelay.Cost {
	lowest := pomelorelay.Cost(0)
	for _, a := range s.accounts {
		unmet := a.window.requested - a.window.served
		if unmet < minUnmet || unmet < minUnmetFraction*a.window.requested {
			continue
		}
		if served := max(a.window.served, 1); lowest == 0 || served < lowest {
			lowest = served
		}
	}
	return lowest
}

// LeadOverLevel returns the ratio of the account's served cost to the maximum that an account beyond its share is allowed while another account
// is short of its demand. Above 1, the account's limits should be lowered; the ratio is 0 when no account is short, or when the capacity is
// unknown or covers all requests.
func (s *Shares) LeadOverLevel(id pomelorelay.AccountID) float64 {
	if s.level == 0 || s.minServedShort == 0 {
		return 0
	}
	return float64(s.account(id).window.served / (leadTolerance * s.effectiveLevel()))
}

func (s *Shares) advanceWindow() {
	s.currentStep = (s.currentStep + 1) % windowSteps
	for _, a := range s.accounts {
		old := a.steps[s.currentStep]
		a.steps[s.currentStep] = usage{}
		a.window.requested -= old.requested
		// The served cost may fall below zero: a refund can be recorded in a later step than the request that it refunds. If it were kept at
		// zero, the refunded cost would stay in the window for good.
		a.window.served -= old.served
	}
}

// computeLevel returns the max-min fair level per window: accounts that request less than the level are served in full, and the others get the
// level. It is zero when the capacity is unknown or covers all requests.
func (s *Shares) computeLevel() pomelorelay.Cost {
	remaining := s.capacity * pomelorelay.Cost(s.cfg.Window.Seconds())
	if remaining <= 0 {
		return 0
	}
	s.demands = s.demands[:0]
	for _, a := range s.accounts {
		if a.window.requested > 0 {
			s.demands = append(s.demands, a.window.requested)
		}
	}
	slices.Sort(s.demands)
	for i, demand := range s.demands {
		evenSplit := remaining / pomelorelay.Cost(len(s.demands)-i)
		if demand > evenSplit {
			return evenSplit
		}
		remaining -= demand
	}
	return 0
}

// WithinShare reports whether a request of the given cost is within the account's share; always true when the capacity is unknown or covers all
// requests.
func (s *Shares) WithinShare(id pomelorelay.AccountID, cost pomelorelay.Cost) bool {
	if s.level == 0 {
		return true
	}
	served := s.account(id).window.served
	// Half of the cost is counted, so that about every second request that would cross the level is served.
	return served+cost/2 <= s.level || served <= s.minServedShort
}

// LeadOverLeastServed returns the ratio of the account's served cost to the maximum that any account is allowed, even within its share, while
// another account is far short of its demand. Above 1, the account's limits should be lowered; the ratio is 0 when no account is far short.
func (s *Shares) LeadOverLeastServed(id pomelorelay.AccountID) float64 {
	if s.minServedFarShort == 0 {
		return 0
	}
	return float64(s.account(id).window.served / (farLeadTolerance * s.minServedFarShort))
}

// effectiveLevel returns the level up to which accounts are served. Engines often produce more than the configured capacity; the surplus goes to
// the least served short account. If the surplus went to whichever requests come first, a flood would take most of it, and an account slightly
// above the configured level would get less than half of what the flood gets.
func (s *Shares) effectiveLevel() pomelorelay.Cost { return max(s.level, s.minServedShort) }

// Usage returns the cost that the account requested and that it was served within the window, and the cost up to which every account is served.
func (s *Shares) Usage(id pomelorelay.AccountID) (requested, served, level pomelorelay.Cost) {
	a := s.account(id)
	return a.window.requested, a.window.served, s.effectiveLevel()
}

// TotalServed returns the cost served to all accounts within the window, as of the last Tick.
func (s *Shares) TotalServed() pomelorelay.Cost { return s.totalServed }

// RetryAfter returns the estimated time until a request of the given cost is within the account's share again, at most the window;
// zero when no account is limited.
func (s *Shares) RetryAfter(id pomelorelay.AccountID, cost pomelorelay.Cost) time.Duration {
	if s.level == 0 {
		return 0
	}
	excess := s.account(id).window.served + cost/2 - s.effectiveLevel()
	perSecond := s.effectiveLevel() / pomelorelay.Cost(s.cfg.Window.Seconds())
	return min(s.cfg.Window, max(0, time.Duration(float64(excess/perSecond)*float64(time.Second))))
}

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
	id      pomelorelay.AccountID
	local   usage
	changed bool
	window  usage
	steps   [windowSteps]usage
	// residency is the set of regions that the account's requests may use.
	residency pomelorelay.Residency
	// recent and last are the fleet's usage with exponential decay.
	recent, last usage
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
	// level is the max-min fair level of the configured capacity, or, if several accounts send requests, of the cost served within the window where that is
	// lower, as of the last Tick, in tokens per window; zero when the capacity is unknown or covers all requests.
	level pomelorelay.Cost
	// fleet compares the recent service of all accounts, regions that of the accounts allowed in each region; regions is empty while no account is
	// restricted. They are as of the last Tick.
	fleet       comparison
	regions     map[pomelorelay.RegionID]*comparison
	residencies map[pomelorelay.AccountID]pomelorelay.Residency
	decayedAt   time.Time
	// peakRemaining is what remains of the comparisons' peaks since the Tick before the last one, as a fraction.
	peakRemaining pomelorelay.Cost
	// servedLevel is the max-min fair level of the cost served within the window, as of the last Tick; zero when all requests were served.
	servedLevel pomelorelay.Cost
	// totalServed is the cost served to all accounts within the window, as of the last Tick.
	totalServed pomelorelay.Cost
	demands     []pomelorelay.Cost
}

// New returns Shares of an unknown capacity, for which every request is within its account's share.
func New(cfg Config) *Shares {
	return &Shares{cfg: cfg, accounts: make(map[pomelorelay.AccountID]*account), peers: make(map[pomelorelay.NodeID]*peer)}
}

// SetCapacity sets the number of tokens per second that all engines together produce; zero means that it is unknown.
func (s *Shares) SetCapacity(perSecond pomelorelay.Cost) { s.capacity = perSecond }

func (s *Shares) account(id pomelorelay.AccountID) *account {
	a := s.accounts[id]
	if a == nil {
		a = &account{id: id, residency: s.residencies[id]}
		s.accounts[id] = a
	}
	return a
}

func (a *account) add(step int, u usage) {
	a.window.requested += u.requested
	a.window.served += u.served
	a.steps[step].requested += u.requested
	a.steps[step].served += u.served
	for _, decayed := range []*usage{&a.recent, &a.last} {
		decayed.requested += u.requested
		decayed.served += u.served
	}
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

// Tick advances the window to now and recomputes the fair levels.
func (s *Shares) Tick(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt, s.stepStart, s.decayedAt = now, now, now
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
	s.windowDemands()
	s.level = maxMinLevel(s.capacity*pomelorelay.Cost(s.cfg.Window.Seconds()), s.demands)
	s.servedLevel = maxMinLevel(s.totalServed, s.demands)
	if s.servedLevel > 0 && len(s.demands) > 1 {
		// Engines that produce less than is configured would leave all requests of a flood within its share.
		s.level = min(s.level, s.servedLevel)
	}
	s.decay(now)
	s.updateComparisons()
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

// windowDemands collects the costs that accounts requested within the window.
func (s *Shares) windowDemands() {
	s.demands = s.demands[:0]
	for _, a := range s.accounts {
		if a.window.requested > 0 {
			s.demands = append(s.demands, a.window.requested)
		}
	}
}

// maxMinLevel returns the max-min fair level of a capacity: demands below the level are served in full, and the others get the level. It is zero when
// the capacity is zero or covers all demands. It sorts the demands in place.
func maxMinLevel(capacity pomelorelay.Cost, demands []pomelorelay.Cost) pomelorelay.Cost {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	for i, demand := range demands {
		evenSplit := capacity / pomelorelay.Cost(len(demands)-i)
		if demand > evenSplit {
			return evenSplit
		}
		capacity -= demand
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
	return served+cost/2 <= s.level || s.mostOwed(id)
}

// effectiveLevel returns the level up to which accounts are served: engines often produce more than the configured capacity.
func (s *Shares) effectiveLevel() pomelorelay.Cost { return max(s.level, s.servedLevel) }

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

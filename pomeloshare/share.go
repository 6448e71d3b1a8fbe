package pomeloshare

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// windowSteps is the number of steps in which the window slides; a tenth of it is forgotten at a time.
const windowSteps = 10

// Config holds what Shares need.
type Config struct {
	// Window is the time over which shares are reckoned.
	Window time.Duration
}

// usage is what was asked for and what was served, in tokens.
type usage struct {
	requested, served pomelorelay.Cost
}

// account is one client account: this router's own sums since its start, and the fleet's within the window.
type account struct {
	local     usage
	changed bool
	window  usage
	steps   [windowSteps]usage
}

// peer is a router's last report, so that its next report counts only by what it added.
type peer struct {
	incarnation pomelorelay.Incarnation
	reported        map[pomelorelay.AccountID]usage
}

// Shares keeps the fleet's use by account.
type Shares struct {
	cfg      Config
	capacity pomelorelay.Cost // a second
	accounts map[pomelorelay.AccountID]*account
	peers    map[pomelorelay.NodeID]*peer
	currentStep     int
	stepStart  time.Time
	startedAt    time.Time
	level    pomelorelay.Cost
	// minServedShort is the least that an account was served which asked for more; zero when nobody did.
	minServedShort pomelorelay.Cost
	// minServedFarShort is the same of accounts that are short by far.
	minServedFarShort pomelorelay.Cost
	demands    []pomelorelay.Cost
}

// New returns Shares of an unknown capacity, of which no account is owed less than it asks.
func New(cfg Config) *Shares {
	return &Shares{cfg: cfg, accounts: make(map[pomelorelay.AccountID]*account), peers: make(map[pomelorelay.NodeID]*peer)}
}

// SetCapacity sets what all engines together produce in a second; zero when unknown.
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

// Asked notes a request of this router's.
func (s *Shares) Asked(id pomelorelay.AccountID, cost pomelorelay.Cost) { s.record(id, usage{requested: cost}) }

// Served notes a request that this router sent to an engine.
func (s *Shares) Served(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.record(id, usage{served: cost})
}

// Returned takes back a request that Served noted and that no engine ran.
func (s *Shares) Returned(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.record(id, usage{served: -cost})
}

func (s *Shares) record(id pomelorelay.AccountID, u usage) {
	a := s.account(id)
	a.local.requested += u.requested
	a.local.served += u.served
	a.changed = true
	a.add(s.currentStep, u)
}

// TakeReport takes another router's sums since its start, in the order in which they were sent. They may be lost or repeated: only what changed
// since the last ones counts, up or, by requests that did not run, down.
func (s *Shares) TakeReport(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
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
		current := usage{requested: e.Asked, served: e.Served}
		previous := p.reported[e.Account]
		p.reported[e.Account] = current
		// A router that has just started has no earlier sums of its peers: it takes these as a mark to count from.
		if firstReport && s.inFirstWindow() {
			continue
		}
		s.account(e.Account).add(s.currentStep, usage{requested: current.requested - previous.requested, served: current.served - previous.served})
	}
}

// Mark takes another router's sums as a mark from which its next ones count: what they hold has been counted by another router's.
func (s *Shares) Mark(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
	p := &peer{incarnation: incarnation, reported: make(map[pomelorelay.AccountID]usage, len(entries))}
	for _, e := range entries {
		p.reported[e.Account] = usage{requested: e.Asked, served: e.Served}
	}
	s.peers[from] = p
}

func (s *Shares) inFirstWindow() bool { return s.stepStart.Sub(s.startedAt) < s.cfg.Window }

// Report appends this router's own sums: those that changed since the last call, or all.
func (s *Shares) Report(all bool, out []pomelorelay.AccountUse) []pomelorelay.AccountUse {
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		if a.local == (usage{}) || (!all && !a.changed) {
			continue
		}
		a.changed = false
		out = append(out, pomelorelay.AccountUse{Account: id, Asked: a.local.requested, Served: a.local.served})
	}
	return out
}

// Tick slides the window and reckons the level anew.
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
	s.level = s.computeLevel()
	s.minServedShort = s.minServed(minUnmetTokens)
	s.minServedFarShort = s.minServed(minFarUnmetTokens)
}

const (
	// minUnmetFraction is the part of what an account asked for that must be missing before it counts as short. Callers call it unfair from half on;
	// counted sooner, an account that misses one large request would hold back the others beside idle engines.
	minUnmetFraction = 0.35
	// minUnmetTokens is the least that must be missing, two large requests.
	minUnmetTokens = 25000
	// leadTolerance is how far ahead of the shortest account one may be that gets more than its share. Twice would be unfair by the
	// users' word; the reports of the other routers are a moment old.
	leadTolerance = 1.25
	// farLeadTolerance is how many times as much as the account that is shortest by far one may have had and still go first, within its share too:
	// twice would be unfair by the users' word. shortLeast is the least that must be missing for an account to be short by far.
	farLeadTolerance   = 1.7
	minFarUnmetTokens = 3 * minUnmetTokens
)

// minServed returns the least that an account was served which misses so much of what it asked for; zero when none does.
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

// Lead returns how many times as much an account beyond its share has had as it may have beside another that is short; up to one it is
// not ahead.
func (s *Shares) Lead(id pomelorelay.AccountID) float64 {
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
		// Not bounded: what was given back in a later step than it was noted in would stay in the window for ever.
		a.window.served -= old.served
	}
}

// computeLevel returns the level up to which every account is owed what it asks for, so that all of the capacity is given out; zero
// means that everybody is owed everything.
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

// Owed reports whether a request of the cost is within the account's share.
func (s *Shares) Owed(id pomelorelay.AccountID, cost pomelorelay.Cost) bool {
	if s.level == 0 {
		return true
	}
	served := s.account(id).window.served
	// Half of the request's cost lies beyond: of requests that straddle the level every second one is served.
	return served+cost/2 <= s.level || served <= s.minServedShort
}

// Ahead returns how many times as much as it may an account has had beside another one that is short by far, also of what it is owed itself; up
// to one it leaves no room for the other.
func (s *Shares) Ahead(id pomelorelay.AccountID) float64 {
	if s.minServedFarShort == 0 {
		return 0
	}
	return float64(s.account(id).window.served / (farLeadTolerance * s.minServedFarShort))
}

// effectiveLevel is up to where accounts are owed. Engines often produce more than the operators' figure; what is above it goes to whoever is
// short and has had least. Given to whoever comes first, a flood takes most of it, and an account that is over the figure by little
// is seen to get less than half of what the flood gets.
func (s *Shares) effectiveLevel() pomelorelay.Cost { return max(s.level, s.minServedShort) }

// State returns what the account asked for and was served in the window, and the level up to which accounts are owed.
func (s *Shares) State(id pomelorelay.AccountID) (asked, served, level pomelorelay.Cost) {
	a := s.account(id)
	return a.window.requested, a.window.served, s.effectiveLevel()
}

// Wait returns about how long the account must wait until it is owed a request of the cost again.
func (s *Shares) Wait(id pomelorelay.AccountID, cost pomelorelay.Cost) time.Duration {
	if s.level == 0 {
		return 0
	}
	excess := s.account(id).window.served + cost/2 - s.effectiveLevel()
	perSecond := s.effectiveLevel() / pomelorelay.Cost(s.cfg.Window.Seconds())
	return min(s.cfg.Window, max(0, time.Duration(float64(excess/perSecond)*float64(time.Second))))
}

package pomeloshare

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// buckets is the number of steps in which the window slides; a tenth of it is forgotten at a time.
const buckets = 10

// Config holds what Shares need.
type Config struct {
	// Window is the time over which shares are reckoned.
	Window time.Duration
}

// use is what was asked for and what was served, in tokens.
type use struct {
	asked, served pomelorelay.Cost
}

// account is one client account: this router's own sums since its start, and the fleet's within the window.
type account struct {
	own     use
	changed bool
	window  use
	steps   [buckets]use
}

// peer is a router's last report, so that its next report counts only by what it added.
type peer struct {
	incarnation pomelorelay.Incarnation
	told        map[pomelorelay.AccountID]use
}

// Shares keeps the fleet's use by account.
type Shares struct {
	cfg      Config
	capacity pomelorelay.Cost // a second
	accounts map[pomelorelay.AccountID]*account
	peers    map[pomelorelay.NodeID]*peer
	step     int
	stepped  time.Time
	began    time.Time
	level    pomelorelay.Cost
	// least is the least that an account was served which asked for more; zero when nobody did.
	least pomelorelay.Cost
	// shortest is the same of accounts that are short by far.
	shortest pomelorelay.Cost
	asked    []pomelorelay.Cost
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

func (a *account) add(step int, u use) {
	a.window.asked += u.asked
	a.window.served += u.served
	a.steps[step].asked += u.asked
	a.steps[step].served += u.served
}

// RecordRequest notes a request of this router's.
func (s *Shares) RecordRequest(id pomelorelay.AccountID, cost pomelorelay.Cost) { s.note(id, use{asked: cost}) }

// RecordServed notes a request that this router sent to an engine.
func (s *Shares) RecordServed(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.note(id, use{served: cost})
}

// Refund takes back a request that Served noted and that no engine ran.
func (s *Shares) Refund(id pomelorelay.AccountID, cost pomelorelay.Cost) {
	s.note(id, use{served: -cost})
}

func (s *Shares) note(id pomelorelay.AccountID, u use) {
	a := s.account(id)
	a.own.asked += u.asked
	a.own.served += u.served
	a.changed = true
	a.add(s.step, u)
}

// MergeReport takes another router's sums since its start, in the order in which they were sent. They may be lost or repeated: only what changed
// since the last ones counts, up or, by requests that did not run, down.
func (s *Shares) MergeReport(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
	p := s.peers[from]
	first := p == nil
	if first || p.incarnation < incarnation {
		p = &peer{incarnation: incarnation, told: make(map[pomelorelay.AccountID]use)}
		s.peers[from] = p
	}
	if p.incarnation > incarnation {
		return
	}
	for _, e := range entries {
		now := use{asked: e.Asked, served: e.Served}
		before := p.told[e.Account]
		p.told[e.Account] = now
		// A router that has just started has no earlier sums of its peers: it takes these as a mark to count from.
		if first && s.young() {
			continue
		}
		s.account(e.Account).add(s.step, use{asked: now.asked - before.asked, served: now.served - before.served})
	}
}

// SetBaseline takes another router's sums as a mark from which its next ones count: what they hold has been counted by another router's.
func (s *Shares) SetBaseline(from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.AccountUse) {
	p := &peer{incarnation: incarnation, told: make(map[pomelorelay.AccountID]use, len(entries))}
	for _, e := range entries {
		p.told[e.Account] = use{asked: e.Asked, served: e.Served}
	}
	s.peers[from] = p
}

func (s *Shares) young() bool { return s.stepped.Sub(s.began) < s.cfg.Window }

// AppendReport appends this router's own sums: those that changed since the last call, or all.
func (s *Shares) AppendReport(all bool, out []pomelorelay.AccountUse) []pomelorelay.AccountUse {
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		if a.own == (use{}) || (!all && !a.changed) {
			continue
		}
		a.changed = false
		out = append(out, pomelorelay.AccountUse{Account: id, Asked: a.own.asked, Served: a.own.served})
	}
	return out
}

// Tick slides the window and reckons the level anew.
func (s *Shares) Tick(now time.Time) {
	if s.began.IsZero() {
		s.began, s.stepped = now, now
	}
	every := s.cfg.Window / buckets
	for n := 0; n < buckets && now.Sub(s.stepped) >= every; n++ {
		s.stepped = s.stepped.Add(every)
		s.slide()
	}
	if now.Sub(s.stepped) >= every {
		s.stepped = now
	}
	s.level = s.fill()
	s.least = s.leastServed(unmetLeast)
	s.shortest = s.leastServed(shortLeast)
}

const (
	// unmetShare is the part of what an account asked for that must be missing before it counts as short. Callers call it unfair from half on;
	// counted sooner, an account that misses one large request would hold back the others beside idle engines.
	unmetShare = 0.35
	// unmetLeast is the least that must be missing, two large requests.
	unmetLeast = 25000
	// evenShare is how far ahead of the shortest account one may be that gets more than its share. Twice would be unfair by the
	// users' word; the reports of the other routers are a moment old.
	evenShare = 1.25
	// farAhead is how many times as much as the account that is shortest by far one may have had and still go first, within its share too:
	// twice would be unfair by the users' word. shortLeast is the least that must be missing for an account to be short by far.
	farAhead   = 1.7
	shortLeast = 3 * unmetLeast
)

// leastServed returns the least that an account was served which misses so much of what it asked for; zero when none does.
func (s *Shares) leastServed(unmet pomelorelay.Cost) pomelorelay.Cost {
	least := pomelorelay.Cost(0)
	for _, a := range s.accounts {
		missing := a.window.asked - a.window.served
		if missing < unmet || missing < unmetShare*a.window.asked {
			continue
		}
		if served := max(a.window.served, 1); least == 0 || served < least {
			least = served
		}
	}
	return least
}

// LeadOverLevel returns how many times as much an account beyond its share has had as it may have beside another that is short; up to one it is
// not ahead.
func (s *Shares) LeadOverLevel(id pomelorelay.AccountID) float64 {
	if s.level == 0 || s.least == 0 {
		return 0
	}
	return float64(s.account(id).window.served / (evenShare * s.water()))
}

func (s *Shares) slide() {
	s.step = (s.step + 1) % buckets
	for _, a := range s.accounts {
		old := a.steps[s.step]
		a.steps[s.step] = use{}
		a.window.asked -= old.asked
		// Not bounded: what was given back in a later step than it was noted in would stay in the window for ever.
		a.window.served -= old.served
	}
}

// fill returns the level up to which every account is owed what it asks for, so that all of the capacity is given out; zero
// means that everybody is owed everything.
func (s *Shares) fill() pomelorelay.Cost {
	left := s.capacity * pomelorelay.Cost(s.cfg.Window.Seconds())
	if left <= 0 {
		return 0
	}
	s.asked = s.asked[:0]
	for _, a := range s.accounts {
		if a.window.asked > 0 {
			s.asked = append(s.asked, a.window.asked)
		}
	}
	slices.Sort(s.asked)
	for i, asked := range s.asked {
		even := left / pomelorelay.Cost(len(s.asked)-i)
		if asked > even {
			return even
		}
		left -= asked
	}
	return 0
}

// WithinShare reports whether a request of the cost is within the account's share.
func (s *Shares) WithinShare(id pomelorelay.AccountID, cost pomelorelay.Cost) bool {
	if s.level == 0 {
		return true
	}
	served := s.account(id).window.served
	// Half of the request's cost lies beyond: of requests that straddle the level every second one is served.
	return served+cost/2 <= s.level || served <= s.least
}

// LeadOverLeastServed returns how many times as much as it may an account has had beside another one that is short by far, also of what it is owed itself; up
// to one it leaves no room for the other.
func (s *Shares) LeadOverLeastServed(id pomelorelay.AccountID) float64 {
	if s.shortest == 0 {
		return 0
	}
	return float64(s.account(id).window.served / (farAhead * s.shortest))
}

// water is up to where accounts are owed. Engines often produce more than the operators' figure; what is above it goes to whoever is
// short and has had least. Given to whoever comes first, a flood takes most of it, and an account that is over the figure by little
// is seen to get less than half of what the flood gets.
func (s *Shares) water() pomelorelay.Cost { return max(s.level, s.least) }

// Usage returns what the account asked for and was served in the window, and the level up to which accounts are owed.
func (s *Shares) Usage(id pomelorelay.AccountID) (asked, served, level pomelorelay.Cost) {
	a := s.account(id)
	return a.window.asked, a.window.served, s.water()
}

// RetryAfter returns about how long the account must wait until it is owed a request of the cost again.
func (s *Shares) RetryAfter(id pomelorelay.AccountID, cost pomelorelay.Cost) time.Duration {
	if s.level == 0 {
		return 0
	}
	over := s.account(id).window.served + cost/2 - s.water()
	perSecond := s.water() / pomelorelay.Cost(s.cfg.Window.Seconds())
	return min(s.cfg.Window, max(0, time.Duration(float64(over/perSecond)*float64(time.Second))))
}

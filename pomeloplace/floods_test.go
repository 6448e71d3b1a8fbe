package pomeloplace_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomeloshare"

	"pgregory.net/rapid"
)

var (
	floodSeeds = flag.Int("flood-seeds", 24, "number of drawn floods that each test of floods simulates")
	floodFrom  = flag.Int("flood-from", 1, "first seed of these floods")
	largeSeeds = flag.Int("large-flood-seeds", 0, "number of drawn floods of fleets with up to 120 engines that each test of large fleets simulates; with the race detector one takes minutes")
)

// floodSpec is an account that sends several times what the others send.
type floodSpec struct {
	begins   time.Duration
	factor   float64
	priority int
	// routers is the number of routers that its requests reach.
	routers int
}

// floodScenario is a fleet whose engines are overloaded by floods.
type floodScenario struct {
	routers, engines, slots int
	// configured is the configured capacity over that of the engines, roughly.
	configured  float64
	reportDelay time.Duration
	// reportLoss is the fraction of reports that are lost; priorities is set if routes or accounts differ in priority.
	reportLoss float64
	priorities bool
	floods     []floodSpec
	// entryLoad limits what the router that the first flood enters by can place, as a multiple of the mean number of requests that reach a router; it
	// refuses the others unread. Zero means no limit.
	entryLoad float64
	disabled  pomeloplace.Mechanisms
}

// engineCapacity is roughly the cost per second that a simulated engine of 64 slots serves in a flood.
const engineCapacity pomelorelay.Cost = 55_000

// drawnFloods and drawnLargeFloods draw scenarios of small and large fleets.
var (
	drawnFloods      = drawFloods(floodScenario{routers: 12, engines: 9}, floodScenario{routers: 3, engines: 4}, 200)
	drawnLargeFloods = drawFloods(floodScenario{routers: 300, engines: 120}, floodScenario{routers: 40, engines: 40}, 500)
)

// drawFloods returns a generator of scenarios between two sizes, with reports that are delayed up to a number of milliseconds.
func drawFloods(most, least floodScenario, delay int) *rapid.Generator[floodScenario] {
	return rapid.Custom(func(t *rapid.T) floodScenario { return drawFlood(t, most, least, delay) })
}

func drawFlood(t *rapid.T, most, least floodScenario, delay int) floodScenario {
	c := floodScenario{
		routers: rapid.IntRange(least.routers, most.routers).Draw(t, "routers"), engines: rapid.IntRange(least.engines, most.engines).Draw(t, "engines"), slots: rapid.SampledFrom([]int{12, 24, 64}).Draw(t, "slots"),
		configured:  rapid.Float64Range(0.33, 2).Draw(t, "configured"),
		reportDelay: time.Duration(rapid.IntRange(5, delay).Draw(t, "delay")) * time.Millisecond, reportLoss: rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		priorities: rapid.Bool().Draw(t, "priorities"),
	}
	for range rapid.IntRange(2, 10).Draw(t, "floods") {
		c.floods = append(c.floods, floodSpec{
			begins: time.Duration(rapid.IntRange(0, 4000).Draw(t, "begins")) * time.Millisecond, factor: rapid.Float64Range(3, 10).Draw(t, "factor"),
			priority: rapid.IntRange(0, 2).Draw(t, "priority"), routers: rapid.SampledFrom([]int{1, 2, c.routers}).Draw(t, "entered"),
		})
	}
	return c
}

// overloaded draws scenarios in which the router that a flood enters by may place less than the account's share.
func overloaded(scenarios *rapid.Generator[floodScenario]) *rapid.Generator[floodScenario] {
	return rapid.Custom(func(t *rapid.T) floodScenario {
		c := scenarios.Draw(t, "floods")
		c.floods[0].routers, c.entryLoad = 1, rapid.Float64Range(0.3, 1.5).Draw(t, "entry load")
		return c
	})
}

const (
	// floodLength is the length of a simulated flood; calmAccounts send their usual load all the while.
	floodLength  = 14 * time.Second
	floodSeconds = int(floodLength / time.Second)
	calmAccounts = 14
	// maxFloodPrompt is the longest prompt; few long ones would decide what an account gets in a few seconds.
	maxFloodPrompt = 16_000
	// fairSeconds is the time over which accounts are compared, and shareSeconds that of the windows of shares that overlap it.
	fairSeconds  = 6
	shareSeconds = 8
)

// accountSecond is what an account asked and was served in a second, and whether one of its requests was refused or late.
type accountSecond struct {
	asked, served pomelorelay.Cost
	denied        bool
}

// floods simulates a flood scenario in which routers know of each other's accounts by reports.
type floods struct {
	*simulation
	scenario  floodScenario
	shares    []*pomeloshare.Shares
	rates     []float64
	accountOf map[uint64]int
	seconds   [][floodSeconds]accountSecond
	largest   pomelorelay.Cost
	// placeable is the number of requests that the overloaded router could place at placedAt.
	placeable float64
	placedAt  time.Time
	// idle counts the decisions that refused a request although an engine ran nothing.
	idle, decisions int
}

func newFloods(seed uint64, c floodScenario) *floods {
	f := &floods{simulation: newSimulation(seed, 0, c.engines), scenario: c, accountOf: make(map[uint64]int), seconds: make([][floodSeconds]accountSecond, calmAccounts+len(c.floods))}
	config := &pomelorelay.FleetConfig{
		Routes:   []pomelorelay.Route{{TargetLatency: 400 * time.Millisecond, MaxEventGap: maxPause, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}},
		Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: pomelorelay.Slots(c.slots), KVCapacity: 500_000, TokensPerEvent: 7}}},
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: f.configuredCapacity()},
	}
	if c.priorities {
		for priority := range 3 {
			config.Accounts = append(config.Accounts, pomelorelay.AccountSpec{Name: pomelorelay.AccountID(fmt.Sprint("priority", priority)), Priority: &priority})
		}
	}
	for range c.routers {
		p := newPlacerWithout(c.disabled)
		p.SetConfig(config)
		for i := range c.engines {
			p.PutUpstream(start, engine(pomelorelay.UpstreamID(fmt.Sprint("e", i))))
		}
		f.routers = append(f.routers, p)
		s := pomeloshare.New(pomeloshare.Config{Window: 4 * time.Second})
		s.SetCapacity(config.Limits.TokensPerSecond)
		f.shares = append(f.shares, s)
	}
	f.slots, f.reportDelay, f.retryRefused = c.slots, c.reportDelay, true
	f.choose, f.began, f.entry, f.onSend, f.onReceive = f.place, f.recordBegin, f.enter, f.addUse, f.mergeUse
	f.draw = func() (pomeloplace.Request, int) {
		for {
			if r, output := f.randomRequest(); r.PromptTokens <= maxFloodPrompt {
				return r, output
			}
		}
	}
	f.account = func(own uint64) { f.accountOf[own] = f.drawAccount() }
	return f
}

// accountRates returns the relative rates of the accounts now.
func (f *floods) accountRates() []float64 {
	f.rates = f.rates[:0]
	for range calmAccounts {
		f.rates = append(f.rates, 1)
	}
	for _, flood := range f.scenario.floods {
		rate := 1.0
		if f.now.Sub(start) >= flood.begins {
			rate = flood.factor
		}
		f.rates = append(f.rates, 4*rate)
	}
	return f.rates
}

func (f *floods) totalRate() (total float64) {
	for _, r := range f.accountRates() {
		total += r
	}
	return total
}

func (f *floods) drawAccount() int {
	at := f.random.Float64() * f.totalRate()
	for i, r := range f.rates {
		if at -= r; at < 0 {
			return i
		}
	}
	return 0
}

// flood returns the flood of an account, or nil if the account sends its usual load.
func (f *floods) flood(account int) *floodSpec {
	if account < calmAccounts {
		return nil
	}
	return &f.scenario.floods[account-calmAccounts]
}

func (f *floods) enter(r pomeloplace.Request) int {
	account, reached := f.accountOf[r.Parts[1].Hash], len(f.routers)
	if flood := f.flood(account); flood != nil {
		reached = min(reached, flood.routers)
	}
	return (account + f.random.IntN(reached)) % len(f.routers)
}

func (f *floods) addUse(router int, m *pomelorelay.LoadReport) {
	m.Accounts = f.shares[router].AppendReport(m.Full, m.Accounts)
}

func (f *floods) mergeUse(router, from int, m *pomelorelay.LoadReport) {
	if f.random.Float64() >= f.scenario.reportLoss {
		f.shares[router].MergeReport(pomelorelay.NodeID(fmt.Sprint("r", from)), 1, m.Accounts)
	}
}

func requestCost(r pomeloplace.Request) pomelorelay.Cost {
	return pomelorelay.Cost(r.PromptTokens + 2*r.OutputTokens)
}

func (f *floods) second(account int) *accountSecond {
	return &f.seconds[account][min(int(f.now.Sub(start)/time.Second), floodSeconds-1)]
}

// place places a request as pomeloentry does.
func (f *floods) place(_ *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
	account, cost := f.accountOf[r.Parts[1].Hash], requestCost(r)
	id, shares := pomelorelay.AccountID(fmt.Sprint(account)), f.shares[router]
	f.largest = max(f.largest, cost)
	shares.Tick(f.now)
	shares.RecordRequest(id, cost)
	r.WithinShare, r.Standing, r.Owed = shares.WithinShare(id, cost), shares.Standing(id), shares.Owed(id)
	if flood := f.flood(account); flood != nil && f.scenario.priorities {
		r.Priority = flood.priority
	}
	s := f.second(account)
	s.asked += cost
	if f.overloaded(router) {
		s.denied = true
		return pomeloplace.Decision{Reason: pomeloplace.ReasonOverShare, RetryAfter: 10 * time.Millisecond}
	}
	d := f.routers[router].Place(f.now, r)
	f.decisions++
	if d.Reason == pomeloplace.ReasonNone {
		shares.RecordServed(id, cost)
		return d
	}
	s.denied = true
	for _, e := range f.engines {
		if len(e.running)+len(e.waiting) == 0 {
			f.idle++
			break
		}
	}
	return d
}

// overloaded reports whether the router refuses a request unread because it has placed as many as it can.
func (f *floods) overloaded(router int) bool {
	if f.scenario.entryLoad == 0 || router != calmAccounts%len(f.routers) {
		return false
	}
	perSecond := f.scenario.entryLoad * usualRate(f.scenario) * f.totalRate() / float64(len(f.routers))
	f.placeable = min(f.placeable+perSecond*f.now.Sub(f.placedAt).Seconds(), max(1, perSecond/10))
	f.placedAt = f.now
	if f.placeable < 1 {
		return true
	}
	f.placeable--
	return false
}

// recordBegin counts a request as served when its answer begins.
func (f *floods) recordBegin(j *job) {
	s := f.second(f.accountOf[j.request.Parts[1].Hash])
	s.served += requestCost(j.request)
	s.denied = s.denied || j.firstToken > j.request.Target
}

// run simulates the flood; the calm accounts and the floods together send twice what engines serve.
func (f *floods) simulate() {
	for end := start.Add(floodLength); f.now.Before(end); {
		f.run(usualRate(f.scenario)*f.totalRate(), 250*time.Millisecond)
	}
}

// usualRate returns the requests per second of an account with its usual load: with no flood, all together use about three fifths of the engines.
func usualRate(c floodScenario) float64 {
	const meanCost = 4300
	return 0.6 * float64(c.engines) * float64(engineCapacity) / meanCost / float64(calmAccounts+4*len(c.floods))
}

// unfairness returns the lowest service of an account with a denied request in each of six seconds, over the smaller of what it asked and what the
// best served account got, less the largest request. Where a router is overloaded, less three of them, and others keep their shares whatever its
// account gets.
func (f *floods) unfairness() (lowest float64, text string) {
	lowest = 1
	for from := range floodSeconds - fairSeconds {
		best, most := 0, pomelorelay.Cost(0)
		for a := range f.seconds {
			if served := f.servedFrom(a, from); served > most {
				best, most = a, served
			}
		}
		least, slack := pomelorelay.Cost(0), f.largest
		if f.scenario.entryLoad > 0 {
			least, slack = f.share(from)/2, 3*f.largest
		}
		for a := range f.seconds {
			owed, denied := -slack, true
			for i, s := range f.seconds[a][from : from+fairSeconds] {
				owed += min(s.asked, f.seconds[best][from+i].served)
				denied = denied && s.denied
			}
			if got := max(f.servedFrom(a, from), least); denied && owed > 0 && float64(got/owed) < lowest {
				lowest, text = float64(got/owed), fmt.Sprintf("seconds %d to %d: account %d got %.0f, account %d %.0f", from, from+fairSeconds, a, f.servedFrom(a, from), best, most)
			}
		}
	}
	return lowest, text
}

// share returns the max-min share of the configured capacity, or of the most that was served until then where that is less.
func (f *floods) share(from int) pomelorelay.Cost {
	var asked []pomelorelay.Cost
	for a := range f.seconds {
		total := pomelorelay.Cost(0)
		for _, s := range f.seconds[a][from : from+fairSeconds] {
			total += s.asked
		}
		asked = append(asked, total*shareSeconds/fairSeconds)
	}
	most := pomelorelay.Cost(0)
	for earlier := range from + 1 {
		served := pomelorelay.Cost(0)
		for a := range f.seconds {
			served += f.servedFrom(a, earlier)
		}
		most = max(most, served)
	}
	slices.Sort(asked)
	left := min(most*shareSeconds/fairSeconds, f.configuredCapacity()*shareSeconds)
	for i, demand := range asked {
		if share := left / pomelorelay.Cost(len(asked)-i); demand > share {
			return share
		}
		left -= demand
	}
	return asked[len(asked)-1]
}

// configuredCapacity returns the configured capacity in tokens per second.
func (f *floods) configuredCapacity() pomelorelay.Cost {
	return pomelorelay.Cost(f.scenario.configured*float64(f.scenario.engines)) * engineCapacity
}

func (f *floods) servedFrom(account, from int) (total pomelorelay.Cost) {
	for _, s := range f.seconds[account][from : from+fairSeconds] {
		total += s.served
	}
	return total
}

func (f *floods) String() string {
	var all, calmAsked, calmServed pomelorelay.Cost
	text := ""
	for a, seconds := range f.seconds {
		var asked, served pomelorelay.Cost
		for _, s := range seconds {
			asked, served = asked+s.asked, served+s.served
		}
		all += served
		if a < calmAccounts {
			calmAsked, calmServed = calmAsked+asked, calmServed+served
			continue
		}
		text += fmt.Sprintf(" %.0f/%.0f", served/1000, asked/1000)
	}
	return fmt.Sprintf("served %.0f a second and engine; calm accounts %.2f of what they asked; floods%s thousand; %d of %d decisions refused beside an idle engine; on time %d",
		all/pomelorelay.Cost(floodSeconds)/pomelorelay.Cost(f.scenario.engines), calmServed/calmAsked, text, f.idle, f.decisions, f.onTime)
}

// checkFloods simulates a scenario and fails if an account got less than half of what it must get.
func checkFloods(t *testing.T, seed uint64, c floodScenario) {
	t.Parallel()
	f := newFloods(seed, c)
	f.simulate()
	lowest, where := f.unfairness()
	t.Logf("%+v: lowest %.2f; %s", c, lowest, f)
	if lowest < 0.5 {
		t.Errorf("%.2f: %s", lowest, where)
	}
}

func checkFloodsOfSeed(t *testing.T, scenarios *rapid.Generator[floodScenario], seed int) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		checkFloods(t, rand.New(rand.NewPCG(uint64(seed), 0)).Uint64(), scenarios.Example(seed))
	})
}

// brokenSeeds are seeds of floods that broke the bound in an earlier state of the code: by few large requests (148), where engines produce less than is
// configured (483), and by priorities.
var brokenSeeds = []int{90, 148, 213, 226, 483}

// Guards against a flooding account that gets less than half of what another one gets: by its priority, by the routers that it reaches, by when it began,
// or because engines give more than is configured and the surplus goes to whoever comes first.
func TestFloodingAccountsAreServedAlike(t *testing.T) {
	t.Parallel()
	all := 7
	for name, c := range map[string]floodScenario{
		"low priority and two routers": {7, 9, 64, 0.42, 12 * time.Millisecond, 0, true, []floodSpec{{0, 8, 0, all}, {0, 8, 2, 2}}, 0, pomeloplace.Mechanisms{}},
		"one begins later":             {7, 9, 64, 0.42, 12 * time.Millisecond, 0, false, []floodSpec{{0, 8, 0, all}, {3 * time.Second, 8, 0, 1}}, 0, pomeloplace.Mechanisms{}},
		"configured beyond capacity":   {7, 9, 12, 2, 100 * time.Millisecond, 0, false, []floodSpec{{0, 9, 0, all}, {0, 4, 0, 1}, {2 * time.Second, 9, 0, 1}}, 0, pomeloplace.Mechanisms{}},
	} {
		t.Run(name, func(t *testing.T) { checkFloods(t, 1, c) })
	}
	for i := range *floodSeeds {
		checkFloodsOfSeed(t, drawnFloods, *floodFrom+i)
	}
	for _, seed := range brokenSeeds {
		checkFloodsOfSeed(t, drawnFloods, seed)
	}
}

// Guards against eight floods beside calm accounts at engines of 24 slots in which one account gets 0.49 of what another one gets.
func TestEightFloodsAreServedAlike(t *testing.T) { checkFloodsOfSeed(t, drawnFloods, 75) }

// Guards against accounts that go on getting more than their shares, and more than twice as much as one whose callers reach an overloaded router only.
func TestFloodThroughOverloadedRouterIsServedAlike(t *testing.T) {
	t.Parallel()
	for i := range *floodSeeds {
		checkFloodsOfSeed(t, overloaded(drawnFloods), *floodFrom+i)
	}
}

// Guards against flooding accounts of a large fleet that are served unequally, where routers are told by late reports what many others do.
func TestFloodingAccountsOfALargeFleetAreServedAlike(t *testing.T) {
	t.Parallel()
	all := 60
	t.Run("few engines", func(t *testing.T) {
		checkFloods(t, 1, floodScenario{all, 9, 64, 0.42, 300 * time.Millisecond, 0.1, true, []floodSpec{{0, 8, 0, all}, {time.Second, 8, 2, 1}, {0, 4, 1, 2}}, 0, pomeloplace.Mechanisms{}})
	})
	for i := range *largeSeeds {
		checkFloodsOfSeed(t, drawnLargeFloods, *floodFrom+i)
	}
}

// Guards against accounts of a large fleet that get more than their shares, and more than twice as much as one whose callers reach an overloaded router only.
func TestFloodThroughOverloadedRouterOfALargeFleetIsServedAlike(t *testing.T) {
	t.Parallel()
	for i := range *largeSeeds {
		checkFloodsOfSeed(t, overloaded(drawnLargeFloods), *floodFrom+i)
	}
	checkFloodsOfSeed(t, overloaded(drawnLargeFloods), 3)
}

// Guards against limits that leave engines idle while accounts are refused: all accounts together would be served less than nine tenths of what they are
// without these limits.
func TestLimitsOfFloodsKeepEnginesBusy(t *testing.T) {
	t.Parallel()
	served := func(seed int, disabled pomeloplace.Mechanisms) (total pomelorelay.Cost) {
		c := drawnFloods.Example(seed)
		c.disabled = disabled
		f := newFloods(uint64(seed), c)
		f.simulate()
		for a := range f.seconds {
			for _, s := range f.seconds[a] {
				total += s.served
			}
		}
		return total
	}
	var limited, unlimited pomelorelay.Cost
	for seed := range 8 {
		limited += served(seed+1, pomeloplace.Mechanisms{})
		unlimited += served(seed+1, pomeloplace.Mechanisms{AheadLimits: true})
	}
	if share := limited / unlimited; share < 0.9 {
		t.Errorf("%.3f of what is served without limits, want at least 0.9", share)
	} else {
		t.Logf("%.3f of what is served without limits", share)
	}
}

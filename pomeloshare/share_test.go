package pomeloshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloshare"

	"pgregory.net/rapid"
)

const window = 4 * time.Second

var start = time.Unix(1000, 0)

// newSharesWithDemand returns Shares with a capacity of 100 tokens per second in which each account has just requested its cost.
func newSharesWithDemand(requested map[pomelorelay.AccountID]pomelorelay.Cost) *pomeloshare.Shares {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(100)
	s.Tick(start)
	for id, cost := range requested {
		s.RecordRequest(id, cost)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	return s
}

func TestLevelIsMaxMinFair(t *testing.T) {
	for _, c := range []struct {
		name      string
		requested map[pomelorelay.AccountID]pomelorelay.Cost
		want      pomelorelay.Cost
	}{
		{"enough for all", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 200}, 0},
		{"one asks for more", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 1000}, 300},
		{"two ask for more", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 1000, "c": 2000}, 150},
		{"even", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 1000, "b": 1000, "c": 1000, "d": 1000}, 100},
	} {
		if _, _, level := newSharesWithDemand(c.requested).Usage("a"); level != c.want {
			t.Errorf("%s: level %v, want %v", c.name, level, c.want)
		}
	}
}

func TestRequestsAreWithinShareUpToTheLevel(t *testing.T) {
	s := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"small": 100, "large": 1000})
	for range 6 {
		if !s.WithinShare("large", 50) {
			t.Fatal("a request below the level of 300 is not within the share")
		}
		s.RecordServed("large", 50)
	}
	if s.WithinShare("large", 50) {
		t.Error("within the share beyond the level")
	}
	if !s.WithinShare("small", 50) {
		t.Error("the small account's request is not within its share")
	}
	if wait := s.RetryAfter("large", 50); wait <= 0 || wait > window {
		t.Errorf("wait of %v is not within the window", wait)
	}
}

// Guards against a flood from which no slot is kept free for small accounts, because engines produce less than the configured capacity.
func TestShareFollowsWhatEnginesProduce(t *testing.T) {
	s := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"small": 20, "large": 1000})
	s.RecordServed("small", 10)
	s.RecordServed("large", 130)
	s.Tick(start.Add(200 * time.Millisecond))
	if s.WithinShare("large", 20) {
		t.Error("a request is within the share although its account was served 130 of 140, where the level is 120")
	}
	if !s.WithinShare("small", 10) {
		t.Error("the small account's request is not within its share")
	}
}

// Guards against slots that are kept free from the only account that sends requests, because engines produce less than the configured capacity.
func TestAccountAloneIsLimitedByNoOther(t *testing.T) {
	s := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"alone": 1000})
	s.RecordServed("alone", 140)
	s.Tick(start.Add(200 * time.Millisecond))
	if !s.WithinShare("alone", 20) {
		t.Error("a request is beyond the share although no other account sends any and the configured capacity of 400 is not used up")
	}
	if got := s.Lead("alone"); got != 0 {
		t.Errorf("lead %.2f, want 0", got)
	}
}

func TestUsageLeavesTheWindow(t *testing.T) {
	s := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000})
	s.RecordServed("large", 400)
	if s.WithinShare("large", 50) {
		t.Fatal("within the share beyond the level")
	}
	for at := time.Duration(0); at <= window+window/5; at += 100 * time.Millisecond {
		s.Tick(start.Add(at))
	}
	if requested, served, _ := s.Usage("large"); requested != 0 || served != 0 {
		t.Errorf("%v requested and %v served are still in the window", requested, served)
	}
}

// Guards against a flood that takes all free capacity: one account sends many times its usual load through every router and is served far more
// than an account that is short of its demand and has half of its requests refused.
func TestFloodLeadsAnAccountWithUnmetDemand(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	s.RecordRequest("flood", 20*tokens)
	s.RecordServed("flood", 5*tokens)
	s.RecordRequest("short", 4*tokens)
	s.RecordServed("short", tokens)
	s.Tick(start.Add(100 * time.Millisecond))
	if got := s.Lead("flood"); got < 0.5 {
		t.Errorf("lead of the flooding account %.2f, want at least 0.5: the other account lacks half of what the flood got", got)
	}
	if got := s.Lead("short"); got != 0 {
		t.Errorf("lead of the account that is short of its demand %.2f, want 0", got)
	}
	s.RecordServed("short", 3*tokens)
	s.Tick(start.Add(200 * time.Millisecond))
	if got := s.Lead("flood"); got != 0 {
		t.Errorf("lead of the flooding account %.2f although the demand of the other account is met, want 0", got)
	}
}

// Guards against reports that are counted twice or not at all, which would refuse an account's requests for usage that it never had. Reports
// are lost with a broken link and repeated after it recovers, and a restarted router counts from zero.
func TestReportsCountOnce(t *testing.T) {
	s := newSharesWithDemand(nil)
	for at := time.Duration(0); at < 2*window; at += 100 * time.Millisecond {
		s.Tick(start.Add(at))
	}
	report := func(incarnation pomelorelay.Incarnation, requested pomelorelay.Cost) {
		s.MergeReport("r1", incarnation, []pomelorelay.AccountUse{{Account: "a", Requested: requested}})
	}
	report(1, 10)
	report(1, 10)
	report(1, 30)
	report(2, 5)
	report(1, 1000)
	if requested, _, _ := s.Usage("a"); requested != 35 {
		t.Errorf("%v requested, want 35", requested)
	}
}

func TestFullReportRecoversLostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := newSharesWithDemand(nil), newSharesWithDemand(nil)
		for at := time.Duration(0); at < 2*window; at += 100 * time.Millisecond {
			receiver.Tick(start.Add(at))
		}
		var total pomelorelay.Cost
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			cost := pomelorelay.Cost(rapid.IntRange(1, 1000).Draw(t, "cost"))
			sender.RecordRequest("x", cost)
			total += cost
			if rapid.Bool().Draw(t, "lost") {
				sender.AppendReport(false, nil)
				continue
			}
			receiver.MergeReport("a", 1, sender.AppendReport(false, nil))
		}
		receiver.MergeReport("a", 1, sender.AppendReport(true, nil))
		if requested, _, _ := receiver.Usage("x"); requested != total {
			t.Fatalf("%v requested after the full report, want %v", requested, total)
		}
	})
}

// Guards against a flood that takes the surplus when engines produce more than the configured capacity: an account that requests a little more
// than its share of the configured capacity would have half of its requests refused.
func TestSpareCapacityGoesToTheLeastServedAccount(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	s.RecordRequest("flood", 20*tokens)
	s.RecordServed("flood", 6*tokens)
	s.RecordRequest("short", 4*tokens)
	s.RecordServed("short", 2*tokens)
	s.RecordRequest("shortest", 4*tokens)
	s.RecordServed("shortest", 1.9*tokens)
	s.Tick(start.Add(100 * time.Millisecond))
	if s.WithinShare("flood", tokens/10) || !s.WithinShare("shortest", tokens/10) || s.WithinShare("short", tokens/2) {
		t.Error("the surplus does not go to the least served account first")
	}
}

// Guards against equal limits for two accounts that have been served more than a third one, which is short of its demand, by different amounts:
// the less served of the two would get less than half of what the other one gets.
func TestLeadGrowsWithServedTokens(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	for id, served := range map[pomelorelay.AccountID]pomelorelay.Cost{"first": 18 * tokens, "second": 10 * tokens, "short": 5 * tokens} {
		s.RecordRequest(id, 20*tokens)
		s.RecordServed(id, served)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	if first, second := s.Lead("first"), s.Lead("second"); first < 0.9 || first <= second || second <= 0 {
		t.Errorf("leads of %.2f and %.2f, want the first above 0.9 and above the second, and both above 0", first, second)
	}
}

// Guards against a lead that shrinks with the number of accounts that are served all they request, as they are on a large fleet.
func TestSmallAccountsDoNotReduceALead(t *testing.T) {
	lead := func(small int) float64 {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.Tick(start)
		s.RecordRequest("ahead", 2_000_000)
		s.RecordServed("ahead", 750_000)
		s.RecordRequest("behind", 2_000_000)
		s.RecordServed("behind", 250_000)
		for i := range small {
			id := pomelorelay.AccountID(fmt.Sprint("small", i))
			s.RecordRequest(id, 50_000)
			s.RecordServed(id, 50_000)
		}
		s.Tick(start.Add(100 * time.Millisecond))
		return s.Lead("ahead")
	}
	alone, among := lead(0), lead(100)
	if alone < 0.8 || among < 0.95*alone {
		t.Errorf("the account that got three times as much leads by %.2f, beside 100 accounts that are served all they request by %.2f; want at least 0.8, and the same", alone, among)
	}
}

// Guards against requests that never ran but count as served: when a quarter of the engines crash, an account's requests are placed there, fail,
// and are placed again or refused. The failed requests would use up the account's share, and its callers would be refused while others are
// served.
func TestRequestsThatDidNotRunAreRefunded(t *testing.T) {
	sender, receiver := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000}), newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000})
	for at := time.Duration(0); at < window/2; at += 100 * time.Millisecond {
		sender.Tick(start.Add(at))
		receiver.Tick(start.Add(at))
	}
	receiver.MergeReport("here", 1, sender.AppendReport(true, nil))
	sender.RecordServed("large", 400)
	receiver.MergeReport("here", 1, sender.AppendReport(false, nil))
	sender.Refund("large", 400)
	receiver.MergeReport("here", 1, sender.AppendReport(false, nil))
	for name, s := range map[string]*pomeloshare.Shares{"sender": sender, "receiver": receiver} {
		if _, served, _ := s.Usage("large"); served != 0 {
			t.Errorf("%s: %v counts as served, want 0", name, served)
		}
		for at := window / 2; at <= 2*window; at += 100 * time.Millisecond {
			s.Tick(start.Add(at))
		}
		if _, served, _ := s.Usage("large"); served != 0 {
			t.Errorf("%s: %v counts as served after the window, want 0", name, served)
		}
	}
}

// Guards against an account that gets more than twice as much as another one with constant unserved demand. If the engines produce less than the
// configured capacity, the requests of both accounts are within their shares, so the share check alone does not limit the first account.
func TestAccountFarAheadYieldsToAShortAccount(t *testing.T) {
	for _, c := range []struct {
		name                     string
		aheadServed, shortServed pomelorelay.Cost
		shortRequested           pomelorelay.Cost
		least, most              float64
	}{
		{"more than twice as much", 900_000, 400_000, 1_000_000, 0.5, 1},
		{"six times as much", 1_500_000, 250_000, 1_000_000, 1, 2},
		{"a little more", 600_000, 400_000, 1_000_000, 0.2, 0.4},
		{"few tokens unserved", 900_000, 10_000, 60_000, 0, 0.2},
		{"a small fraction unserved", 1_900_000, 900_000, 1_000_000, 0, 0.1},
	} {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.SetCapacity(1_000_000)
		s.Tick(start)
		s.RecordRequest("ahead", 2_000_000)
		s.RecordServed("ahead", c.aheadServed)
		s.RecordRequest("short", c.shortRequested)
		s.RecordServed("short", c.shortServed)
		s.Tick(start.Add(100 * time.Millisecond))
		if got := s.Lead("ahead"); got < c.least || got > c.most {
			t.Errorf("%s: lead %.2f, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
		if got := s.Lead("short"); got != 0 {
			t.Errorf("%s: lead of the short account %.2f, want 0", c.name, got)
		}
	}
}

// Guards against double counting when a relay stops reporting and returns: the sums that another relay reported meanwhile would count
// twice, and shares would be wrong for a window.
func TestSumsOfAReturningRelayCountOnce(t *testing.T) {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(1000)
	s.Tick(start)
	at := start
	for range 3 * int(window/time.Second) {
		at = at.Add(time.Second)
		s.Tick(at)
	}
	sums := func(tokens pomelorelay.Cost) []pomelorelay.AccountUse {
		return []pomelorelay.AccountUse{{Account: "a", Requested: tokens, Served: tokens}}
	}
	s.MergeReport("first", 1, sums(0))
	s.SetBaseline("second", 1, sums(0))
	s.MergeReport("second", 1, sums(700))
	s.SetBaseline("first", 1, sums(700))
	s.MergeReport("first", 1, sums(800))
	if requested, served, _ := s.Usage("a"); requested != 800 || served != 800 {
		t.Errorf("%v requested and %v served, want 800", requested, served)
	}
}

// Guards against an account that leads in the whole fleet and is limited for the sake of an account that its upstreams cannot serve: the engines of its
// region would stand idle while it is refused.
func TestAccountsOfOtherRegionsAreNotCompared(t *testing.T) {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetResidencies(map[pomelorelay.AccountID]pomelorelay.Residency{
		"here": pomelorelay.NewResidency([]pomelorelay.RegionID{"ra"}), "there": pomelorelay.NewResidency([]pomelorelay.RegionID{"rb"}),
	}, []pomelorelay.RegionID{"ra", "rb"})
	s.Tick(start)
	for id, served := range map[pomelorelay.AccountID]pomelorelay.Cost{"here": 100_000, "there": 800_000, "anywhere": 800_000} {
		s.RecordRequest(id, 2_000_000)
		s.RecordServed(id, served)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	if got := s.Lead("there"); got < 0.9 {
		t.Errorf("lead over all accounts %.2f, want at least 0.9", got)
	}
	if got := s.RegionLeads("there")["rb"]; got > 0.01 {
		t.Errorf("lead where the account that is owed most may not run: %.2f, want 0", got)
	}
	if leads := s.RegionLeads("anywhere"); leads["ra"] < 1 || leads["rb"] > 0.01 {
		t.Errorf("leads of an unrestricted account by region: %v, want at least 1 in ra and 0 in rb", leads)
	}
	s.SetResidencies(nil, []pomelorelay.RegionID{"ra", "rb"})
	if leads := s.RegionLeads("anywhere"); leads != nil {
		t.Errorf("leads by region %v while no account is restricted, want none", leads)
	}
}

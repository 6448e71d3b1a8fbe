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
	if got := s.Standing("alone"); got.Limited() {
		t.Errorf("standing %+v, want no limit", got)
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
func TestFloodIsLimitedBesideAnAccountWithUnmetDemand(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	s.RecordRequest("flood", 20*tokens)
	s.RecordServed("flood", 5*tokens)
	s.RecordRequest("short", 4*tokens)
	s.RecordServed("short", tokens)
	s.Tick(start.Add(100 * time.Millisecond))
	if got := s.Standing("flood"); got.Behind != "short" || got.Wait <= 0 {
		t.Errorf("standing of the flooding account %+v, want the other account behind it, which got a fifth as much", got)
	}
	if got := s.Standing("short"); got.Limited() {
		t.Errorf("standing of the account that is short of its demand %+v, want no limit", got)
	}
	s.RecordServed("short", 3*tokens)
	s.Tick(start.Add(200 * time.Millisecond))
	if got := s.Standing("flood"); got.Limited() {
		t.Errorf("standing of the flooding account %+v although the demand of the other account is met, want no limit", got)
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

// Guards against accounts that wait equally long although they have been served more than a third one by different amounts: the less served of the two
// would get less than half of what the other one gets.
func TestWaitGrowsWithServedTokens(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	for id, served := range map[pomelorelay.AccountID]pomelorelay.Cost{"first": 18 * tokens, "second": 10 * tokens, "short": 5 * tokens} {
		s.RecordRequest(id, 20*tokens)
		s.RecordServed(id, served)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	if first, second := s.Standing("first"), s.Standing("second"); first.Behind != "short" || second.Behind != "short" || first.Wait <= second.Wait || second.Wait <= 0 {
		t.Errorf("standings %+v and %+v, want the least served account behind both, and the first to wait longer", first, second)
	}
}

// Guards against a bound that moves with the number of accounts that are served all they request, as they are on a large fleet.
func TestSatisfiedAccountsDoNotMoveTheBound(t *testing.T) {
	standing := func(satisfied int) pomelorelay.Standing {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.Tick(start)
		s.RecordRequest("ahead", 2_000_000)
		s.RecordServed("ahead", 750_000)
		s.RecordRequest("behind", 2_000_000)
		s.RecordServed("behind", 250_000)
		for i := range satisfied {
			id := pomelorelay.AccountID(fmt.Sprint("small", i))
			s.RecordRequest(id, 50_000)
			s.RecordServed(id, 50_000)
		}
		s.Tick(start.Add(100 * time.Millisecond))
		return s.Standing("ahead")
	}
	alone, among := standing(0), standing(100)
	if alone.Behind != "behind" || alone.Wait <= 0 || among.Behind != "behind" || among.Wait < alone.Wait*95/100 || among.Wait > alone.Wait*105/100 {
		t.Errorf("standing of the account that got three times as much: %+v, beside 100 accounts that are served all they request %+v; want the same, with the other account behind", alone, among)
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

// Guards against an account that gets more than twice as much as another one with constant unserved demand, also if the engines produce less than the
// configured capacity, so that the requests of both accounts are within their shares; and against one that is limited for the sake of an account that is
// served nearly all it requests, or of few tokens.
func TestAccountFarAheadIsLimited(t *testing.T) {
	for _, c := range []struct {
		name                     string
		aheadServed, shortServed pomelorelay.Cost
		shortRequested           pomelorelay.Cost
		behind                   pomelorelay.AccountID
	}{
		{"more than twice as much", 900_000, 400_000, 1_000_000, "short"},
		{"six times as much", 1_500_000, 250_000, 1_000_000, "short"},
		{"a little more", 590_000, 400_000, 1_000_000, ""},
		{"few tokens unserved", 900_000, 10_000, 60_000, ""},
		{"a small fraction unserved", 1_900_000, 900_000, 1_000_000, ""},
		{"all served", 1_900_000, 1_000_000, 1_000_000, ""},
	} {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.SetCapacity(1_000_000)
		s.Tick(start)
		s.RecordRequest("ahead", 2_000_000)
		s.RecordServed("ahead", c.aheadServed)
		s.RecordRequest("short", c.shortRequested)
		s.RecordServed("short", c.shortServed)
		s.Tick(start.Add(100 * time.Millisecond))
		if got := s.Standing("ahead"); got.Behind != c.behind || got.Withheld > 0.04 {
			t.Errorf("%s: standing %+v, want behind it %q, and at most 0.04 withheld", c.name, got, c.behind)
		}
		if got := s.Standing("short"); got.Limited() {
			t.Errorf("%s: standing of the short account %+v, want no limit", c.name, got)
		}
	}
}

// Guards against slots that are filled by accounts that request much while many small accounts are refused: together these are owed what the others
// get beyond their shares.
func TestShortfallOfSmallAccountsIsWithheld(t *testing.T) {
	withheld := func(served pomelorelay.Cost) float64 {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.Tick(start)
		s.RecordRequest("flood", 4_000_000)
		s.RecordServed("flood", 1_000_000)
		for i := range 10 {
			id := pomelorelay.AccountID(fmt.Sprint("small", i))
			s.RecordRequest(id, 50_000)
			s.RecordServed(id, served)
		}
		s.Tick(start.Add(100 * time.Millisecond))
		if got := s.Standing("small0"); got.Limited() {
			t.Errorf("standing of a small account that was served %v of 50000: %+v, want no limit", served, got)
		}
		return s.Standing("flood").Withheld
	}
	if all, most, few := withheld(50_000), withheld(45_000), withheld(10_000); all != 0 || most > 0.01 || few < 0.3 {
		t.Errorf("withheld %.2f, %.2f and %.2f while small accounts get all, nine tenths and a fifth of what they request; want 0, less than 0.01, and more than 0.3", all, most, few)
	}
}

// Guards against a share that shrinks with what is withheld beyond it, until an account whose callers reach an overloaded router takes from the others what
// is theirs.
func TestShareIsKeptWhileTheSurplusIsWithheld(t *testing.T) {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(1000)
	s.Tick(start)
	now := start
	serve := func(length time.Duration, ahead, behind pomelorelay.Cost) {
		for end := now.Add(length); now.Before(end); s.Tick(now) {
			for id, served := range map[pomelorelay.AccountID]pomelorelay.Cost{"ahead": ahead, "behind": behind} {
				s.RecordRequest(id, 300)
				s.RecordServed(id, served)
			}
			now = now.Add(100 * time.Millisecond)
		}
	}
	serve(2*window, 75, 75)
	serve(2*window, 40, 5)
	if got := s.Standing("ahead"); got.Limited() {
		t.Errorf("standing %+v of an account that gets 400 tokens a second, want no limit: its share of the configured capacity is 500", got)
	}
	serve(2*window, 70, 5)
	if got := s.Standing("ahead"); got.Behind != "behind" {
		t.Errorf("standing %+v of an account that gets 700 tokens a second, want the other one behind", got)
	}
}

// Guards against a limit that is no number: an account that requests much at once is compared before the accounts have been compared again.
func TestAccountThatBeginsToFloodHasAStanding(t *testing.T) {
	s := newSharesWithDemand(map[pomelorelay.AccountID]pomelorelay.Cost{"flood": 10, "short": 10})
	s.RecordServed("flood", 5)
	s.Tick(start.Add(200 * time.Millisecond))
	s.RecordRequest("flood", 10_000)
	s.RecordServed("flood", 10_000)
	if got := s.Standing("flood"); !(got.Withheld >= 0 && got.Withheld <= 1) {
		t.Errorf("standing %+v, want between none and all withheld", got)
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

// Guards against an account that got much in the whole fleet and is limited for the sake of an account that its upstreams cannot serve: the engines of its
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
	if got := s.Standing("there"); got.Behind != "here" {
		t.Errorf("standing among all accounts %+v, want the least served one behind", got)
	}
	if got := s.RegionStandings("there")["rb"]; got.Limited() {
		t.Errorf("standing where the least served account may not run: %+v, want no limit", got)
	}
	if got := s.RegionStandings("anywhere"); got["ra"].Behind != "here" || got["rb"].Limited() {
		t.Errorf("standings of an unrestricted account by region: %v, want a limit in ra only", got)
	}
	s.SetResidencies(nil, []pomelorelay.RegionID{"ra", "rb"})
	if got := s.RegionStandings("anywhere"); got != nil {
		t.Errorf("standings by region %v while no account is restricted, want none", got)
	}
}

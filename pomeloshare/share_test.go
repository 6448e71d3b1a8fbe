package pomeloshare_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloshare"

	"pgregory.net/rapid"
)

const window = 4 * time.Second

var start = time.Unix(1000, 0)

// fill makes shares in which each account asked for its tokens a moment ago, of 100 tokens a second.
func fill(asked map[pomelorelay.AccountID]pomelorelay.Cost) *pomeloshare.Shares {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(100)
	s.Tick(start)
	for id, cost := range asked {
		s.RecordRequest(id, cost)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	return s
}

func TestLevelIsMaxMin(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked map[pomelorelay.AccountID]pomelorelay.Cost
		want  pomelorelay.Cost
	}{
		{"enough for all", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 200}, 0},
		{"one asks for more", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 1000}, 300},
		{"two ask for more", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 100, "b": 1000, "c": 2000}, 150},
		{"even", map[pomelorelay.AccountID]pomelorelay.Cost{"a": 1000, "b": 1000, "c": 1000, "d": 1000}, 100},
	} {
		if _, _, level := fill(c.asked).Usage("a"); level != c.want {
			t.Errorf("%s: level %v, want %v", c.name, level, c.want)
		}
	}
}

func TestOwedUpToTheLevel(t *testing.T) {
	s := fill(map[pomelorelay.AccountID]pomelorelay.Cost{"small": 100, "large": 1000})
	for range 6 {
		if !s.WithinShare("large", 50) {
			t.Fatal("refused below the level of 300")
		}
		s.RecordServed("large", 50)
	}
	if s.WithinShare("large", 50) {
		t.Error("owed beyond the level")
	}
	if !s.WithinShare("small", 50) {
		t.Error("the small account is not owed what it asked for")
	}
	if wait := s.RetryAfter("large", 50); wait <= 0 || wait > window {
		t.Errorf("told to wait %v", wait)
	}
}

func TestWindowForgets(t *testing.T) {
	s := fill(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000})
	s.RecordServed("large", 400)
	if s.WithinShare("large", 50) {
		t.Fatal("owed beyond the level")
	}
	for at := time.Duration(0); at <= window+window/5; at += 100 * time.Millisecond {
		s.Tick(start.Add(at))
	}
	if asked, served, _ := s.Usage("large"); asked != 0 || served != 0 {
		t.Errorf("%v asked and %v served are still in the window", asked, served)
	}
}

// One account sends many times its usual through every router and is served much more than another that is short. Without a look at
// who is short the flood gets whatever becomes free first, and the other account's callers see half of their requests refused.
func TestAheadOfAnAccountThatIsShort(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	s.RecordRequest("flood", 20*tokens)
	s.RecordServed("flood", 5*tokens)
	s.RecordRequest("short", 4*tokens)
	s.RecordServed("short", tokens)
	s.Tick(start.Add(100 * time.Millisecond))
	if s.LeadOverLevel("flood") <= 1 {
		t.Error("the flood is not ahead")
	}
	if s.LeadOverLevel("short") > 1 {
		t.Error("the short account is ahead of itself")
	}
	s.RecordServed("short", 3*tokens)
	s.Tick(start.Add(200 * time.Millisecond))
	if s.LeadOverLevel("flood") > 1 {
		t.Error("the flood waits for an account that got everything")
	}
}

// Reports between routers are lost with a broken link and come twice after it is back; a router that starts anew counts from zero.
// Counted wrongly, an account would be refused for service that it never had.
func TestReportsCountOnce(t *testing.T) {
	s := fill(nil)
	for at := time.Duration(0); at < 2*window; at += 100 * time.Millisecond {
		s.Tick(start.Add(at))
	}
	report := func(incarnation pomelorelay.Incarnation, asked pomelorelay.Cost) {
		s.MergeReport("r1", incarnation, []pomelorelay.AccountUse{{Account: "a", Asked: asked}})
	}
	report(1, 10)
	report(1, 10)
	report(1, 30)
	report(2, 5)
	report(1, 1000)
	if asked, _, _ := s.Usage("a"); asked != 35 {
		t.Errorf("%v asked, want 35", asked)
	}
}

func TestReportsOfManyRoutersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := fill(nil), fill(nil)
		for at := time.Duration(0); at < 2*window; at += 100 * time.Millisecond {
			b.Tick(start.Add(at))
		}
		var total pomelorelay.Cost
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			cost := pomelorelay.Cost(rapid.IntRange(1, 1000).Draw(t, "cost"))
			a.RecordRequest("x", cost)
			total += cost
			if rapid.Bool().Draw(t, "lost") {
				a.AppendReport(false, nil)
				continue
			}
			b.MergeReport("a", 1, a.AppendReport(false, nil))
		}
		b.MergeReport("a", 1, a.AppendReport(true, nil))
		if asked, _, _ := b.Usage("x"); asked != total {
			t.Fatalf("%v arrived of %v", asked, total)
		}
	})
}

// Engines produce more than the operators' figure. An account that asks for a little more than its share of the figure would be
// refused half of that, while a flood takes what is left over.
func TestTheShortestAccountIsOwedWhatIsLeftOver(t *testing.T) {
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
		t.Error("what is left over does not go to the shortest account first")
	}
}

// Two accounts are ahead of a third that is short, one of them by far. Held back alike, the smaller of the two gets less than half of
// what the larger one gets.
func TestTheFurthestAheadIsHeldBackMost(t *testing.T) {
	const tokens = 100_000
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(tokens)
	s.Tick(start)
	for id, served := range map[pomelorelay.AccountID]pomelorelay.Cost{"first": 18 * tokens, "second": 10 * tokens, "short": 5 * tokens} {
		s.RecordRequest(id, 20*tokens)
		s.RecordServed(id, served)
	}
	s.Tick(start.Add(100 * time.Millisecond))
	if first, second := s.LeadOverLevel("first"), s.LeadOverLevel("second"); first <= second || second <= 1 {
		t.Errorf("leads of %.2f and %.2f", first, second)
	}
}

// A quarter of the engines crash, and an account's requests find them first: they are placed, never run, and are placed again or
// refused. Kept as service, what never ran uses up the account's share, and its callers are refused while others get all.
func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	here, there := fill(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000}), fill(map[pomelorelay.AccountID]pomelorelay.Cost{"large": 1000})
	for at := time.Duration(0); at < window/2; at += 100 * time.Millisecond {
		here.Tick(start.Add(at))
		there.Tick(start.Add(at))
	}
	there.MergeReport("here", 1, here.AppendReport(true, nil))
	here.RecordServed("large", 400)
	there.MergeReport("here", 1, here.AppendReport(false, nil))
	here.Refund("large", 400)
	there.MergeReport("here", 1, here.AppendReport(false, nil))
	for name, s := range map[string]*pomeloshare.Shares{"here": here, "there": there} {
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

// Guards against an account that gets more than twice as much as another one that waits all the time, because there is less than the operators'
// figure says and both are owed what they ask for.
func TestAnAccountFarAheadYieldsToOneThatIsShort(t *testing.T) {
	for _, c := range []struct {
		name               string
		aheadGot, shortGot pomelorelay.Cost
		shortAsked         pomelorelay.Cost
		want               bool
	}{
		{"more than twice as much", 900_000, 400_000, 1_000_000, true},
		{"a little more", 600_000, 400_000, 1_000_000, false},
		{"short of little", 900_000, 10_000, 60_000, false},
		{"short of a small part", 1_900_000, 900_000, 1_000_000, false},
	} {
		s := pomeloshare.New(pomeloshare.Config{Window: window})
		s.SetCapacity(1_000_000)
		s.Tick(start)
		s.RecordRequest("ahead", 2_000_000)
		s.RecordServed("ahead", c.aheadGot)
		s.RecordRequest("short", c.shortAsked)
		s.RecordServed("short", c.shortGot)
		s.Tick(start.Add(100 * time.Millisecond))
		if got := s.LeadOverLeastServed("ahead") > 1; got != c.want {
			t.Errorf("%s: yields %v, want %v", c.name, got, c.want)
		}
		if s.LeadOverLeastServed("short") > 1 {
			t.Errorf("%s: the short account yields", c.name)
		}
	}
}

// Guards against a relay that falls silent and returns: what another one summed up meanwhile would count twice, and shares would be wrong for a window.
func TestSumsOfAReturningRelayCountOnce(t *testing.T) {
	s := pomeloshare.New(pomeloshare.Config{Window: window})
	s.SetCapacity(1000)
	s.Tick(start)
	at := start
	for range 3 * int(window/time.Second) {
		at = at.Add(time.Second)
		s.Tick(at)
	}
	sums := func(asked pomelorelay.Cost) []pomelorelay.AccountUse {
		return []pomelorelay.AccountUse{{Account: "a", Asked: asked, Served: asked}}
	}
	s.MergeReport("first", 1, sums(0))
	s.SetBaseline("second", 1, sums(0))
	s.MergeReport("second", 1, sums(700))
	s.SetBaseline("first", 1, sums(700))
	s.MergeReport("first", 1, sums(800))
	if asked, served, _ := s.Usage("a"); asked != 800 || served != 800 {
		t.Errorf("%v asked and %v served, want 800", asked, served)
	}
}

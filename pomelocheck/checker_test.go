package pomelocheck_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// sent is an attempt at a content by a booking caller of router r1.
func sent(attempt, content string, when time.Duration) pomelocheck.RequestSent {
	return pomelocheck.RequestSent{
		Attempt: pomelocheck.AttemptID(attempt), Content: pomelocheck.ContentID(content),
		Account: "recife", Node: "r1", At: at(when), AtMostOnce: true,
	}
}

func answered(attempt string, when time.Duration) pomelocheck.RequestAnswered {
	return pomelocheck.RequestAnswered{Attempt: pomelocheck.AttemptID(attempt), At: at(when), MatchesRequest: true, Complete: true}
}

func refused(attempt string, when time.Duration, ran pomelorelay.Ran) pomelocheck.RequestRefused {
	return pomelocheck.RequestRefused{
		Attempt: pomelocheck.AttemptID(attempt), FirstByteAt: at(when), At: at(when),
		Ran: ran, Code: pomelorelay.CodeStopping, RetryAfter: true,
	}
}

func ran(content string, when time.Duration) pomelocheck.RunStarted {
	return pomelocheck.RunStarted{Content: pomelocheck.ContentID(content), Upstream: "u1", At: at(when)}
}

func served(account string, from, to time.Duration, cost pomelorelay.Cost) pomelocheck.AccountServed {
	return pomelocheck.AccountServed{Pool: "p", Account: pomelorelay.AccountID(account), Weight: 1, From: at(from), To: at(to), Cost: cost}
}

func backlogged(account string, when time.Duration, waiting bool) pomelocheck.BacklogChanged {
	return pomelocheck.BacklogChanged{Pool: "p", Account: pomelorelay.AccountID(account), At: at(when), Waiting: waiting}
}

// checkCase is a history and the violations that it must give, none when Want is empty.
type checkCase struct {
	name   string
	events []pomelocheck.Event
	want   []pomelocheck.Kind
}

func runCases(t *testing.T, cfg pomelocheck.Config, cases []checkCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := pomelocheck.New(cfg)
			for _, e := range tc.events {
				c.Observe(e)
			}
			got := c.Violations(at(100 * time.Second))
			if len(got) != len(tc.want) {
				t.Fatalf("got %v, want kinds %v", got, tc.want)
			}
			for i, kind := range tc.want {
				if got[i].Kind != kind {
					t.Errorf("violation %d is %v, want %s", i, got[i], kind)
				}
			}
		})
	}
}

// A router passes on another caller's late answer, or half of the right one, as if all were well. The caller books the
// wrong bench job or files half a narrative.
func TestWrongAnswersAreFound(t *testing.T) {
	crossed, short := answered("a", time.Second), answered("a", time.Second)
	crossed.MatchesRequest = false
	short.Complete = false
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"own and whole", []pomelocheck.Event{sent("a", "x", 0), answered("a", time.Second)}, nil},
		{"crossed", []pomelocheck.Event{sent("a", "x", 0), crossed}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
		{"short", []pomelocheck.Event{sent("a", "x", 0), short}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
		{"twice", []pomelocheck.Event{sent("a", "x", 0), answered("a", time.Second), answered("a", 2*time.Second)}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
	})
}

// A connection breaks after the request was delivered and the router sends it again, or calls it not run. The caller is
// charged twice, or sends a paid booking again that did run.
func TestDoubleAndFalselyRefusedRunsAreFound(t *testing.T) {
	idempotent := sent("a", "x", 0)
	idempotent.AtMostOnce = false
	no, unknown := pomelorelay.RanNo, pomelorelay.RanUnknown
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"once", []pomelocheck.Event{sent("a", "x", 0), ran("x", time.Second), answered("a", 2*time.Second)}, nil},
		{"twice", []pomelocheck.Event{sent("a", "x", 0), ran("x", time.Second), ran("x", 2*time.Second), answered("a", 3*time.Second)}, []pomelocheck.Kind{pomelocheck.DoubleRun}},
		{"idempotent twice", []pomelocheck.Event{idempotent, ran("x", time.Second), ran("x", 2*time.Second), answered("a", 3*time.Second)}, nil},
		{"refused, ran", []pomelocheck.Event{sent("a", "x", 0), refused("a", 2*time.Second, no), ran("x", time.Second)}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
		{"refused, ran later", []pomelocheck.Event{sent("a", "x", 0), refused("a", time.Second, no), ran("x", 2*time.Second)}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
		{"refused as unknown", []pomelocheck.Event{sent("a", "x", 0), refused("a", time.Second, unknown), ran("x", 2*time.Second)}, nil},
		{"ran by the resend", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", time.Second, no), sent("b", "x", 2*time.Second), ran("x", 3*time.Second), answered("b", 4*time.Second),
		}, nil},
		{"ran before the resend", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", time.Second, no), sent("b", "x", 2*time.Second), ran("x", time.Second), answered("b", 4*time.Second),
		}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
	})
}

// A router keeps a request, or an account's queue, and nobody ever takes it up. The caller sees a connection that hangs.
func TestEndlessWaitsAreFound(t *testing.T) {
	quarantined := func(attempt string, when time.Duration) pomelocheck.RequestRefused {
		r := refused(attempt, when, pomelorelay.RanNo)
		r.Code = pomelorelay.CodeQuarantined
		return r
	}
	runCases(t, pomelocheck.Config{MaxWait: 30 * time.Second}, []checkCase{
		{"no end", []pomelocheck.Event{sent("a", "x", 0)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"late end", []pomelocheck.Event{sent("a", "x", 0), answered("a", 31*time.Second)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"turned away again and again", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", 20*time.Second, pomelorelay.RanNo), sent("b", "x", 21*time.Second), refused("b", 40*time.Second, pomelorelay.RanNo),
		}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"quarantined, then repeated", []pomelocheck.Event{
			sent("a", "x", 0), quarantined("a", 20*time.Second), sent("b", "x", 21*time.Second), quarantined("b", 40*time.Second),
		}, nil},
		{"quarantined late", []pomelocheck.Event{sent("a", "x", 0), quarantined("a", 31*time.Second)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"answered, then repeated", []pomelocheck.Event{
			sent("a", "x", 0), answered("a", time.Second), sent("b", "x", 40*time.Second), answered("b", 41*time.Second),
		}, nil},
		{"account without service", []pomelocheck.Event{
			backlogged("recife", 0, true), served("recife", 0, time.Second, 1), served("recife", 40*time.Second, 95*time.Second, 1),
		}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"account served in time", []pomelocheck.Event{
			backlogged("recife", 0, true), served("recife", 0, 60*time.Second, 1), served("recife", 10*time.Second, 12*time.Second, 1), backlogged("recife", 80*time.Second, false),
		}, nil},
	})
}

// A router knows that it cannot serve a request and keeps the caller quiet meanwhile, with silence or with drops of an
// answer. The caller waits where it could have gone elsewhere.
func TestRefusalsHeldBackAreFound(t *testing.T) {
	late, drip, mute := refused("a", 10*time.Second, pomelorelay.RanNo), refused("a", 10*time.Second, pomelorelay.RanNo), refused("a", 10*time.Second, pomelorelay.RanNo)
	late.DecidedAt = at(8 * time.Second)
	drip.FirstByteAt = at(5 * time.Second)
	mute.RetryAfter = false
	bounded := sent("a", "x", 0)
	bounded.Deadline = at(5 * time.Second)
	halted, on := pomelocheck.RouterSuspended{Node: bounded.Node, At: at(time.Second)}, pomelocheck.RouterResumed{Node: bounded.Node, At: at(6 * time.Second)}
	other := pomelocheck.RouterSuspended{Node: "elsewhere", At: at(time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"at once", []pomelocheck.Event{sent("a", "x", 0), refused("a", 10*time.Second, pomelorelay.RanNo)}, nil},
		{"late", []pomelocheck.Event{sent("a", "x", 0), late}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"dripping", []pomelocheck.Event{sent("a", "x", 0), drip}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"no time to come back", []pomelocheck.Event{sent("a", "x", 0), mute}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"past the deadline", []pomelocheck.Event{bounded, refused("a", 10*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"as late as the router stood still", []pomelocheck.Event{bounded, halted, on, refused("a", 10*time.Second, pomelorelay.RanNo)}, nil},
		{"later than that", []pomelocheck.Event{bounded, halted, on, refused("a", 12*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"while another stood still", []pomelocheck.Event{bounded, other, on, refused("a", 10*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
	})
}

// A grant or a list of upstreams outlives the news that an upstream leaves. The work started there dies with the host.
func TestNewWorkAfterLeaveIsFound(t *testing.T) {
	leaving := pomelocheck.UpstreamLeaving{Upstream: "u1", At: at(10 * time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"within the time", []pomelocheck.Event{leaving, sent("a", "x", 0), ran("x", 13*time.Second), answered("a", 14*time.Second)}, nil},
		{"after it", []pomelocheck.Event{leaving, sent("a", "x", 0), ran("x", 13100*time.Millisecond), answered("a", 14*time.Second)}, []pomelocheck.Kind{pomelocheck.NewWorkAfterLeave}},
	})
}

// A router that is stopped by plan closes its callers' connections. They see a broken answer on an ordinary working day.
func TestPlannedStopThatCutsOffIsFound(t *testing.T) {
	stopping := pomelocheck.RouterStopping{Node: "r1", At: at(5 * time.Second)}
	broken := pomelocheck.RequestBroken{Attempt: "a", At: at(6 * time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"ended by itself", []pomelocheck.Event{stopping, sent("a", "x", 0), answered("a", 6*time.Second)}, nil},
		{"cut off", []pomelocheck.Event{stopping, sent("a", "x", 0), broken}, []pomelocheck.Kind{pomelocheck.CutOff}},
		{"broken before", []pomelocheck.Event{pomelocheck.RouterStopping{Node: "r1", At: at(7 * time.Second)}, sent("a", "x", 0), broken}, nil},
		{"another router", []pomelocheck.Event{pomelocheck.RouterStopping{Node: "r2", At: at(5 * time.Second)}, sent("a", "x", 0), broken}, nil},
		{"killed meanwhile", []pomelocheck.Event{stopping, pomelocheck.RouterKilled{Node: "r1", At: at(6 * time.Second)}, sent("a", "x", 0), broken}, nil},
	})
}

// The store is brought back from an old copy, or a router hears an old peer, and the old configuration is in force again.
// The operators see a removed account served again.
func TestFallingAndLateGenerationsAreFound(t *testing.T) {
	inForce := func(generation pomelorelay.Generation, when time.Duration) pomelocheck.ConfigInForce {
		return pomelocheck.ConfigInForce{Node: "r1", Generation: generation, At: at(when)}
	}
	accepted := pomelocheck.ConfigAccepted{Generation: 2, At: at(time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"rising", []pomelocheck.Event{inForce(1, 0), accepted, inForce(2, 2*time.Second)}, nil},
		{"falling", []pomelocheck.Event{inForce(2, 0), inForce(1, time.Second)}, []pomelocheck.Kind{pomelocheck.GenerationFell}},
		{"just in time", []pomelocheck.Event{accepted, inForce(1, 17*time.Second), inForce(1, 18*time.Second)}, nil},
		{"too late", []pomelocheck.Event{accepted, inForce(1, 19*time.Second), inForce(1, 20*time.Second)}, []pomelocheck.Kind{pomelocheck.GenerationLate}},
	})
}

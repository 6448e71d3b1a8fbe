package pomelocheck_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// sent returns the event of a caller sending an attempt to router r1; the request may run at most once.
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

// checkCase is a sequence of events and the kinds of violations expected for it.
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

// A router forwards the late answer to another request, or a truncated answer, as a success. The caller would act on a wrong
// or incomplete result.
func TestDetectsWrongAnswers(t *testing.T) {
	crossed, truncated := answered("a", time.Second), answered("a", time.Second)
	crossed.MatchesRequest = false
	truncated.Complete = false
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"own and complete", []pomelocheck.Event{sent("a", "x", 0), answered("a", time.Second)}, nil},
		{"answer to another request", []pomelocheck.Event{sent("a", "x", 0), crossed}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
		{"truncated", []pomelocheck.Event{sent("a", "x", 0), truncated}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
		{"answered twice", []pomelocheck.Event{sent("a", "x", 0), answered("a", time.Second), answered("a", 2*time.Second)}, []pomelocheck.Kind{pomelocheck.WrongAnswer}},
	})
}

// Guards against a router that sends a request again, or reports it as not run, after a connection broke on which it had been delivered: the
// caller would be charged twice, or would repeat a booking that has been made.
func TestDetectsDoubleRunsAndRunsReportedAsNotRun(t *testing.T) {
	idempotent := sent("a", "x", 0)
	idempotent.AtMostOnce = false
	no, unknown := pomelorelay.RanNo, pomelorelay.RanUnknown
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"ran once", []pomelocheck.Event{sent("a", "x", 0), ran("x", time.Second), answered("a", 2*time.Second)}, nil},
		{"ran twice", []pomelocheck.Event{sent("a", "x", 0), ran("x", time.Second), ran("x", 2*time.Second), answered("a", 3*time.Second)}, []pomelocheck.Kind{pomelocheck.DoubleRun}},
		{"idempotent, ran twice", []pomelocheck.Event{idempotent, ran("x", time.Second), ran("x", 2*time.Second), answered("a", 3*time.Second)}, nil},
		{"ran before the refusal", []pomelocheck.Event{sent("a", "x", 0), refused("a", 2*time.Second, no), ran("x", time.Second)}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
		{"ran after the refusal", []pomelocheck.Event{sent("a", "x", 0), refused("a", time.Second, no), ran("x", 2*time.Second)}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
		{"refused as unknown", []pomelocheck.Event{sent("a", "x", 0), refused("a", time.Second, unknown), ran("x", 2*time.Second)}, nil},
		{"ran after the resend", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", time.Second, no), sent("b", "x", 2*time.Second), ran("x", 3*time.Second), answered("b", 4*time.Second),
		}, nil},
		{"ran before the resend", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", time.Second, no), sent("b", "x", 2*time.Second), ran("x", time.Second), answered("b", 4*time.Second),
		}, []pomelocheck.Kind{pomelocheck.FalseNotRun}},
	})
}

// A router never serves a queued request, or any request of an account. The caller sees a hanging connection.
func TestDetectsStarvation(t *testing.T) {
	quarantined := func(attempt string, when time.Duration) pomelocheck.RequestRefused {
		r := refused(attempt, when, pomelorelay.RanNo)
		r.Code = pomelorelay.CodeQuarantined
		return r
	}
	runCases(t, pomelocheck.Config{MaxWait: 30 * time.Second}, []checkCase{
		{"never ended", []pomelocheck.Event{sent("a", "x", 0)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"ended late", []pomelocheck.Event{sent("a", "x", 0), answered("a", 31*time.Second)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"refused repeatedly", []pomelocheck.Event{
			sent("a", "x", 0), refused("a", 20*time.Second, pomelorelay.RanNo), sent("b", "x", 21*time.Second), refused("b", 40*time.Second, pomelorelay.RanNo),
		}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"quarantined, then resent", []pomelocheck.Event{
			sent("a", "x", 0), quarantined("a", 20*time.Second), sent("b", "x", 21*time.Second), quarantined("b", 40*time.Second),
		}, nil},
		{"quarantined late", []pomelocheck.Event{sent("a", "x", 0), quarantined("a", 31*time.Second)}, []pomelocheck.Kind{pomelocheck.Starved}},
		{"answered, then resent", []pomelocheck.Event{
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

// A router has decided to refuse a request, but sends the refusal late or a few bytes at a time. The caller waits for the
// refusal although another router could have served the request in the meantime.
func TestDetectsDelayedRefusals(t *testing.T) {
	late, slow, noRetryAfter := refused("a", 10*time.Second, pomelorelay.RanNo), refused("a", 10*time.Second, pomelorelay.RanNo), refused("a", 10*time.Second, pomelorelay.RanNo)
	late.DecidedAt = at(8 * time.Second)
	slow.FirstByteAt = at(5 * time.Second)
	noRetryAfter.RetryAfter = false
	withDeadline := sent("a", "x", 0)
	withDeadline.Deadline = at(5 * time.Second)
	suspended, resumed := pomelocheck.RouterSuspended{Node: withDeadline.Node, At: at(time.Second)}, pomelocheck.RouterResumed{Node: withDeadline.Node, At: at(6 * time.Second)}
	other := pomelocheck.RouterSuspended{Node: "elsewhere", At: at(time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"in time", []pomelocheck.Event{sent("a", "x", 0), refused("a", 10*time.Second, pomelorelay.RanNo)}, nil},
		{"late", []pomelocheck.Event{sent("a", "x", 0), late}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"sent slowly", []pomelocheck.Event{sent("a", "x", 0), slow}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"no Retry-After", []pomelocheck.Event{sent("a", "x", 0), noRetryAfter}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"past the deadline", []pomelocheck.Event{withDeadline, refused("a", 10*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"late by no more than the suspension", []pomelocheck.Event{withDeadline, suspended, resumed, refused("a", 10*time.Second, pomelorelay.RanNo)}, nil},
		{"late by more than the suspension", []pomelocheck.Event{withDeadline, suspended, resumed, refused("a", 12*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
		{"while another router was suspended", []pomelocheck.Event{withDeadline, other, resumed, refused("a", 10*time.Second, pomelorelay.RanNo)}, []pomelocheck.Kind{pomelocheck.HeldBack}},
	})
}

// A router starts requests on a leaving upstream, because the router's list of upstreams or its grant of upstream capacity is stale.
// These requests are lost with the upstream's host.
func TestDetectsNewWorkAfterLeave(t *testing.T) {
	leaving := pomelocheck.UpstreamLeaving{Upstream: "u1", At: at(10 * time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"within the grace period", []pomelocheck.Event{leaving, sent("a", "x", 0), ran("x", 13*time.Second), answered("a", 14*time.Second)}, nil},
		{"after the grace period", []pomelocheck.Event{leaving, sent("a", "x", 0), ran("x", 13100*time.Millisecond), answered("a", 14*time.Second)}, []pomelocheck.Kind{pomelocheck.NewWorkAfterLeave}},
	})
}

// A router closes its callers' connections during a planned stop. Callers see broken answers without any failure in the fleet.
func TestDetectsConnectionsCutByPlannedStop(t *testing.T) {
	stopping := pomelocheck.RouterStopping{Node: "r1", At: at(5 * time.Second)}
	broken := pomelocheck.RequestBroken{Attempt: "a", At: at(6 * time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"finished during the stop", []pomelocheck.Event{stopping, sent("a", "x", 0), answered("a", 6*time.Second)}, nil},
		{"broken during the stop", []pomelocheck.Event{stopping, sent("a", "x", 0), broken}, []pomelocheck.Kind{pomelocheck.CutOff}},
		{"broken before the stop", []pomelocheck.Event{pomelocheck.RouterStopping{Node: "r1", At: at(7 * time.Second)}, sent("a", "x", 0), broken}, nil},
		{"stop of another router", []pomelocheck.Event{pomelocheck.RouterStopping{Node: "r2", At: at(5 * time.Second)}, sent("a", "x", 0), broken}, nil},
		{"killed during the stop", []pomelocheck.Event{stopping, pomelocheck.RouterKilled{Node: "r1", At: at(6 * time.Second)}, sent("a", "x", 0), broken}, nil},
	})
}

// A router applies an old configuration, which it reads from a store restored from a backup or receives from a peer. An account
// that was removed would be served again.
func TestDetectsRegressedAndLateGenerations(t *testing.T) {
	inForce := func(generation pomelorelay.Generation, when time.Duration) pomelocheck.ConfigInForce {
		return pomelocheck.ConfigInForce{Node: "r1", Generation: generation, At: at(when)}
	}
	accepted := pomelocheck.ConfigAccepted{Generation: 2, At: at(time.Second)}
	runCases(t, pomelocheck.Config{}, []checkCase{
		{"rising", []pomelocheck.Event{inForce(1, 0), accepted, inForce(2, 2*time.Second)}, nil},
		{"falling", []pomelocheck.Event{inForce(2, 0), inForce(1, time.Second)}, []pomelocheck.Kind{pomelocheck.GenerationFell}},
		{"within the maximum delay", []pomelocheck.Event{accepted, inForce(1, 17*time.Second), inForce(1, 18*time.Second)}, nil},
		{"after the maximum delay", []pomelocheck.Event{accepted, inForce(1, 19*time.Second), inForce(1, 20*time.Second)}, []pomelocheck.Kind{pomelocheck.GenerationLate}},
	})
}

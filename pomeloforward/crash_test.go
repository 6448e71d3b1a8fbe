package pomeloforward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// Guards against taking a lost answer for a crash, and a crash for a lost answer.
func TestCrashIsDistinguishedFromLostAnswer(t *testing.T) {
	for name, crashes := range map[string]bool{"crash": true, "lost answer": false} {
		t.Run(name, func(t *testing.T) {
			var u *upstream
			u = newUpstream(t, func(conn net.Conn, _ *http.Request) {
				if crashes {
					u.l.Close()
				}
				reset(conn)
			})
			h := newHarness(t, u.entry("u1"))
			h.call("POST", "/book/", "x")
			checked := func() bool { return len(h.reportedCrashes()) > 0 || u.accepted.Load() == 3 }
			for end := time.Now().Add(5 * time.Second); !checked() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			h.handler.Close()
			if got := len(h.reportedCrashes()) == 1; got != crashes {
				t.Errorf("reported as a crash: %t, want %t", got, crashes)
			}
		})
	}
}

// Guards against sending a quarantined request, and against a refusal without a true Retry-After.
func TestQuarantinedRequestIsRefusedUnsent(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "read")) })
	h := newHarness(t, u.entry("u1"))
	h.quarantine = 90 * time.Second
	got := h.call("GET", "/read/", "x")
	if got.status != 503 || got.head.Get("Retry-After") != "90.000" || u.requests() != 0 {
		t.Errorf("status %d with Retry-After %q after %d sends, want 503 with 90.000 after none", got.status, got.head.Get("Retry-After"), u.requests())
	}
}

// Guards against crashing another upstream with the retry of a suspect, while an innocent request is retried.
func TestSuspectWhoseConnectionBrokeIsNotRetried(t *testing.T) {
	for name, suspected := range map[string]bool{"suspect": true, "other request": false} {
		t.Run(name, func(t *testing.T) {
			broken := newUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
			sound := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "read")) })
			h := newHarness(t, broken.entry("u1"), sound.entry("u2"))
			h.suspected = suspected
			want := 200
			if suspected {
				want = 502
			}
			if got := h.call("GET", "/read/", "x"); got.status != want {
				t.Errorf("status %d after %d and %d sends, want %d", got.status, broken.requests(), sound.requests(), want)
			}
		})
	}
}

// Guards against repetitions that are not recognised, and against different requests that are taken for repetitions.
func TestFingerprintIdentifiesRepetitions(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "read")) })
	fingerprint := func(method, path, body string, fields ...string) pomelorelay.Fingerprint {
		h := newHarness(t, u.entry("u1"))
		h.call(method, path, body, fields...)
		return h.requests[0].Fingerprint
	}
	first := fingerprint("POST", "/read/a?x=1", "x")
	if fingerprint("POST", "/read/a?x=1", "x", pomelofake.TestHeaderRequestID, "req-2") != first {
		t.Error("a repetition under another ID has another fingerprint")
	}
	for _, other := range [][3]string{{"PUT", "/read/a?x=1", "x"}, {"POST", "/read/b?x=1", "x"}, {"POST", "/read/a?x=2", "x"}, {"POST", "/read/a?x=1", "y"}} {
		if fingerprint(other[0], other[1], other[2]) == first {
			t.Errorf("%v has the same fingerprint", other)
		}
	}
}

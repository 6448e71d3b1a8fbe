package pomelofake_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

func postBooking(t *testing.T, client *http.Client, key, body string) (int, pomelofake.PlainAnswer) {
	t.Helper()
	status, text, _ := call(t, client, http.MethodPost, "/bookings", body, "Idempotency-Key", key, "X-Request-Id", "id-"+key)
	var answer pomelofake.PlainAnswer
	if status == http.StatusOK {
		if err := json.Unmarshal([]byte(text), &answer); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	}
	return status, answer
}

func TestPlainServiceRunsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{Slots: 1})
		client, _ := serve(t, plain)
		began := time.Now()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { postBooking(t, client, "k1", `{"SlotTime":"100ms"}`) })
		}
		wg.Wait()
		if took := time.Since(began); took != 300*time.Millisecond {
			t.Errorf("one slot took %s for three runs, want 300ms", took)
		}
		status, answer := postBooking(t, client, "k1", "resolder")
		if status != http.StatusOK || answer.Run != 4 || plain.RunsByKey("k1") != 4 {
			t.Errorf("got status %d, answer %+v and %d counted runs, want 200 and 4 runs in both", status, answer, plain.RunsByKey("k1"))
		}
		if answer.Proof != pomelofake.DigestBody([]byte("resolder")) || answer.RequestID != "id-k1" {
			t.Errorf("the answer %+v does not identify its request", answer)
		}
	})
}

// The connection is closed after each possible byte of the answer; only the complete answer may be seen as successful.
func TestPlainServiceCutsAnswerAtEveryByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		for at := 0; ; at++ {
			plain.SetFaults(pomelofake.PlainFaults{Cut: true, CutAt: at})
			status, _ := postBooking(t, client, fmt.Sprint("k", at), "resolder")
			if status == http.StatusOK {
				if at < 100 {
					t.Errorf("the answer is complete after %d bytes, want at least 100", at)
				}
				break
			}
		}
		plain.SetFaults(pomelofake.PlainFaults{Short: 1})
		if status, _ := postBooking(t, client, "short", "resolder"); status != 0 {
			t.Errorf("an answer without its last byte has status %d, want an error", status)
		}
		plain.SetFaults(pomelofake.PlainFaults{CutEarly: true})
		if status, _ := postBooking(t, client, "early", "resolder"); status != 0 || plain.RunsByKey("early") != 0 {
			t.Errorf("cut before the run: status %d, ran %d times, want a broken connection and no run", status, plain.RunsByKey("early"))
		}
	})
}

// Each of two concurrent requests must receive the complete answer to the other one.
func TestPlainServiceSwapsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		plain.SetFaults(pomelofake.PlainFaults{Crossed: true})
		var wg sync.WaitGroup
		for _, key := range []string{"k1", "k2"} {
			wg.Go(func() {
				if _, answer := postBooking(t, client, key, key); answer.Key == key {
					t.Errorf("%s received its own answer, want that of the other request", key)
				}
			})
		}
		wg.Wait()
		if _, answer := postBooking(t, client, "k3", "k3"); answer.Key != "k3" {
			t.Errorf("without a concurrent request the answer is %+v, want that of k3", answer)
		}
	})
}

// The stand-in must imitate a service that repeats an answer on a kept-alive connection, refuses a request without running it, or
// closes an idle connection.
func TestPlainServiceRepeatsRefusesAndClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		plain.SetFaults(pomelofake.PlainFaults{Repeat: true})
		if status, answer := postBooking(t, client, "k1", "k1"); status != http.StatusOK || answer.Key != "k1" {
			t.Errorf("repeated answer: status %d, %+v, want 200 and the answer to k1", status, answer)
		}
		plain.SetFaults(pomelofake.PlainFaults{IdleClose: time.Second, Every: 2})
		for _, key := range []string{"k2", "k3"} {
			if status, _ := postBooking(t, client, key, key); status != http.StatusOK {
				t.Errorf("%s: status %d, want 200", key, status)
			}
		}
		plain.SetFaults(pomelofake.PlainFaults{Refuse: true})
		status, _, header := call(t, client, http.MethodPost, "/bookings", "x", "Idempotency-Key", "k4")
		if status != http.StatusServiceUnavailable || header.Get("Ran") != "No" || plain.RunsByKey("k4") != 0 {
			t.Errorf("refused with status %d and Ran %q, ran %d times, want 503, \"No\" and no run", status, header.Get("Ran"), plain.RunsByKey("k4"))
		}
	})
}

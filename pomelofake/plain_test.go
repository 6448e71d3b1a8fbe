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

func book(t *testing.T, client *http.Client, key, body string) (int, pomelofake.PlainAnswer) {
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

func TestPlainRunsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{Slots: 1})
		client, _ := serve(t, plain)
		began := time.Now()
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() { book(t, client, "k1", `{"SlotTime":"100ms"}`) })
		}
		all.Wait()
		if took := time.Since(began); took != 300*time.Millisecond {
			t.Errorf("one slot took %s for three runs, want 300ms", took)
		}
		status, answer := book(t, client, "k1", "resolder")
		if status != http.StatusOK || answer.Run != 4 || plain.RunsByKey("k1") != 4 {
			t.Errorf("got %d %+v, counted %d", status, answer, plain.RunsByKey("k1"))
		}
		if answer.Proof != pomelofake.DigestBody([]byte("resolder")) || answer.RequestID != "id-k1" {
			t.Errorf("the answer %+v does not prove its request", answer)
		}
	})
}

// A connection breaks after any byte of the answer. The caller must never see a whole answer before the last one.
func TestPlainCutsAtEveryByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		for at := 0; ; at++ {
			plain.SetFaults(pomelofake.PlainFaults{Cut: true, CutAt: at})
			status, _ := book(t, client, fmt.Sprint("k", at), "resolder")
			if status == http.StatusOK {
				if at < 100 {
					t.Errorf("whole after %d bytes", at)
				}
				break
			}
		}
		plain.SetFaults(pomelofake.PlainFaults{Short: 1})
		if status, _ := book(t, client, "short", "resolder"); status != 0 {
			t.Errorf("an answer without its last byte is answered %d", status)
		}
		plain.SetFaults(pomelofake.PlainFaults{CutEarly: true})
		if status, _ := book(t, client, "early", "resolder"); status != 0 || plain.RunsByKey("early") != 0 {
			t.Errorf("cut before the run: status %d, ran %d times", status, plain.RunsByKey("early"))
		}
	})
}

// Two answers change places on their way; each caller gets a whole answer that is the other's.
func TestPlainCrossesAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		plain.SetFaults(pomelofake.PlainFaults{Crossed: true})
		var all sync.WaitGroup
		for _, key := range []string{"k1", "k2"} {
			all.Go(func() {
				if _, answer := book(t, client, key, key); answer.Key == key {
					t.Errorf("%s got its own answer", key)
				}
			})
		}
		all.Wait()
		if _, answer := book(t, client, "k3", "k3"); answer.Key != "k3" {
			t.Errorf("without a partner the answer is %+v", answer)
		}
	})
}

// A service repeats an answer on a connection that its caller keeps, or closes one just as it is reused.
func TestPlainRepeatsRefusesAndClosesIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		client, _ := serve(t, plain)
		plain.SetFaults(pomelofake.PlainFaults{Repeat: true})
		if status, answer := book(t, client, "k1", "k1"); status != http.StatusOK || answer.Key != "k1" {
			t.Errorf("repeated: %d %+v", status, answer)
		}
		plain.SetFaults(pomelofake.PlainFaults{IdleClose: time.Second, Every: 2})
		for _, key := range []string{"k2", "k3"} {
			if status, _ := book(t, client, key, key); status != http.StatusOK {
				t.Errorf("%s: status %d", key, status)
			}
		}
		plain.SetFaults(pomelofake.PlainFaults{Refuse: true})
		status, _, header := call(t, client, http.MethodPost, "/bookings", "x", "Idempotency-Key", "k4")
		if status != http.StatusServiceUnavailable || header.Get("Ran") != "No" || plain.RunsByKey("k4") != 0 {
			t.Errorf("refused with %d, Ran %q, ran %d times", status, header.Get("Ran"), plain.RunsByKey("k4"))
		}
	})
}

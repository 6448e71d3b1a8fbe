package pomelofake_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

const chatPath = "/v1/chat/completions"

func chatBody(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"ignore_eos":true,"stream":%t}`, text, tokens, stream)
}

// expectedText returns the text of a complete answer to the body.
func expectedText(body string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(pomelofake.DigestBody([]byte(body)).AnswerToken(n))
	}
	return text.String()
}

// streamText returns the text of a stream's events and whether the stream ended with [DONE].
func streamText(t *testing.T, raw string) (string, bool) {
	t.Helper()
	var text strings.Builder
	done := false
	lines := bufio.NewScanner(strings.NewReader(raw))
	for lines.Scan() {
		line := lines.Text()
		done = done || line == "data: [DONE]"
		if _, after, ok := strings.Cut(line, `"content":"`); ok {
			content, _, _ := strings.Cut(after, `"`)
			text.WriteString(content)
		}
	}
	return text.String(), done
}

func newTestEngine(t *testing.T, cfg pomelofake.EngineConfig) (*pomelofake.Engine, *http.Client) {
	t.Helper()
	cfg.Model = "m"
	var host *pomelofake.Host
	cfg.Crash = func(d time.Duration) { host.Crash(d) }
	engine := pomelofake.NewEngine(cfg)
	client, h := serve(t, engine)
	host = h
	t.Cleanup(func() { _ = engine.Close() })
	return engine, client
}

func TestEngineAnswersWithDigestAndUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client := newTestEngine(t, pomelofake.EngineConfig{})
		for _, stream := range []bool{false, true} {
			body := chatBody("a clasp", 5, stream)
			id := fmt.Sprint("r", stream)
			status, text, header := call(t, client, http.MethodPost, chatPath, body, "X-Request-Id", id)
			if status != http.StatusOK || header.Get("X-Request-Id") != id {
				t.Fatalf("got status %d and X-Request-Id %q, want 200 and that of the request", status, header.Get("X-Request-Id"))
			}
			got, done := streamText(t, text)
			if got != expectedText(body, 5) || done != stream {
				t.Errorf("stream %v: got text %q, end marker %v, want the complete answer, with an end marker only in a stream", stream, got, done)
			}
			if !strings.Contains(text, `"completion_tokens":5`) {
				t.Errorf("no usage in %s", text)
			}
			if engine.RunsByRequestID(id) != 1 {
				t.Errorf("%s ran %d times, want once", id, engine.RunsByRequestID(id))
			}
		}
	})
}

func TestEngineBatchesAndReportsDelayedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := pomelofake.EngineConfig{Slots: 2, StepTime: 10 * time.Millisecond, LoadLag: 100 * time.Millisecond}
		engine, client := newTestEngine(t, cfg)
		began := time.Now()
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { call(t, client, http.MethodPost, chatPath, chatBody(fmt.Sprint(i), 9, false)) })
		}
		time.Sleep(50 * time.Millisecond)
		if load := engine.Load(); load.Running != 0 {
			t.Errorf("the load is %+v before the lag, want no running requests", load)
		}
		time.Sleep(100 * time.Millisecond)
		if load := engine.Load(); load != (pomelofake.Load{Running: 2, Waiting: 2, Slots: 2}) {
			t.Errorf("the load is %+v after the lag, want 2 running and 2 waiting", load)
		}
		wg.Wait()
		// Two batches, each with one prefill step and nine decode steps.
		if took := time.Since(began); took != 200*time.Millisecond {
			t.Errorf("took %s, want 200ms", took)
		}
	})
}

func TestEnginePrefixCacheShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client := newTestEngine(t, pomelofake.EngineConfig{PrefixBlocks: 20, PrefillPerStep: 10})
		long := strings.Repeat("narrative ", 100)
		for range 2 {
			call(t, client, http.MethodPost, chatPath, chatBody(long, 1, false))
		}
		call(t, client, http.MethodPost, chatPath, chatBody(strings.Repeat("other text ", 200), 1, false))
		call(t, client, http.MethodPost, chatPath, chatBody(long, 1, false))
		var cached []int
		for _, run := range engine.Runs(0) {
			cached = append(cached, run.Cached)
		}
		if cached[0] != 0 || cached[1] < 200 || cached[3] != 0 {
			t.Errorf("cached tokens %v, want the second request to find the prefix and the fourth to find it evicted", cached)
		}
	})
}

// Guards against a resume that loses or repeats tokens: the connection breaks within a stream and the caller resumes after its last event.
func TestEngineResumesBrokenStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client := newTestEngine(t, pomelofake.EngineConfig{})
		engine.SetFaults(pomelofake.EngineFaults{Cuts: 1, CutAfter: 3})
		body := chatBody("a long grant narrative", 10, true)
		status, first, _ := call(t, client, http.MethodPost, chatPath, body, "X-Request-Id", "r1")
		if status != 0 {
			t.Fatal("the stream was not cut")
		}
		status, rest, _ := call(t, client, http.MethodPost, "/v1/streams/r1", "", "Last-Event-ID", "3")
		firstText, _ := streamText(t, first)
		restText, done := streamText(t, rest)
		if status != http.StatusOK || firstText+restText != expectedText(body, 10) || !done {
			t.Errorf("got %q before and %q after the resume, end marker %v, want the complete answer and an end marker", firstText, restText, done)
		}
		if engine.RunsByRequestID("r1") != 1 {
			t.Errorf("ran %d times, want once", engine.RunsByRequestID("r1"))
		}
		if status, _, _ := call(t, client, http.MethodPost, "/v1/streams/r2", ""); status != http.StatusNotFound {
			t.Errorf("resuming an unknown stream is answered %d, want 404", status)
		}
	})
}

// A disconnected caller must not keep the engine decoding, but the stream must stay resumable for the grace period.
func TestEngineCancelsAbandonedStreamAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine, client := newTestEngine(t, pomelofake.EngineConfig{StepTime: 10 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://stand.in"+chatPath, strings.NewReader(chatBody("gone", 10000, true)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		<-ctx.Done()
		_ = resp.Body.Close()
		time.Sleep(1900 * time.Millisecond)
		if runs := engine.Runs(0); len(runs) != 0 {
			t.Errorf("runs ended within the grace period: %+v, want none", runs)
		}
		time.Sleep(200 * time.Millisecond)
		runs := engine.Runs(0)
		if len(runs) != 1 || !runs[0].Cancelled {
			t.Errorf("got %+v, want one cancelled run", runs)
		}
	})
}

// A marked request crashes the engine: all connections must break and new ones must be refused until the engine is back.
func TestEngineCrashesOnMarkedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := pomelofake.EngineConfig{CrashMarker: "poison", CrashDowntime: time.Second}
		engine, client := newTestEngine(t, cfg)
		var wg sync.WaitGroup
		wg.Go(func() {
			if status, _, _ := call(t, client, http.MethodPost, chatPath, chatBody("good", 1000, false)); status != 0 {
				t.Errorf("the concurrent request was answered %d, want a broken connection", status)
			}
		})
		time.Sleep(100 * time.Millisecond)
		if status, _, _ := call(t, client, http.MethodPost, chatPath, chatBody("poison", 5, false)); status != 0 {
			t.Errorf("the marked request was answered %d, want a broken connection", status)
		}
		wg.Wait()
		if status, text, _ := call(t, client, http.MethodGet, "/load", ""); status != 0 {
			t.Errorf("answered %d %s during the downtime, want a refused connection", status, text)
		}
		time.Sleep(1100 * time.Millisecond)
		if status, text, _ := call(t, client, http.MethodGet, "/load", ""); status != http.StatusOK {
			t.Errorf("answered %d %s after the downtime, want 200", status, text)
		}
		if runs := engine.Runs(0); len(runs) != 2 {
			t.Errorf("counted %d runs, want 2", len(runs))
		}
	})
}

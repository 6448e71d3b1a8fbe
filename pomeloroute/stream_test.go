package pomeloroute_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloroute"

	"pgregory.net/rapid"
)

const streamEvents = 6

// engineEvents returns the events of a stream after the event with the given id.
func engineEvents(after int) []string {
	var events []string
	for n := after + 1; n <= streamEvents; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", n, n))
	}
	if after <= streamEvents {
		events = append(events, fmt.Sprintf("id: %d\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":%d}}\n\n", streamEvents+1, streamEvents))
	}
	return append(events, "data: [DONE]\n\n")
}

func completeStream() string { return strings.Join(engineEvents(0), "") }

// chunkedStream returns the bytes of an answer with each event as a chunk.
func chunkedStream(id string, events []string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(e), e)
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

// newTruncatingEngine returns a model engine whose n-th answer ends after cuts[n] bytes; answers beyond the list are complete. A
// resumed stream repeats the given number of events. It also returns the number of streams started without a resume.
func newTruncatingEngine(t testing.TB, cuts []int, repeats int, resumable bool) (*scriptedUpstream, *atomic.Int64) {
	var fresh atomic.Int64
	w := newScriptedUpstream(t, func(w *scriptedUpstream, _ int64, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		n := int(w.requests.Add(1)) - 1
		id := req.Header.Get("X-Request-Id")
		after := 0
		if strings.HasPrefix(req.URL.Path, "/v1/streams/") {
			if !resumable || req.URL.Path != "/v1/streams/"+id {
				io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nX-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
				return
			}
			after, _ = strconv.Atoi(req.Header.Get("Last-Event-ID"))
			after = max(0, after-repeats)
		} else {
			fresh.Add(1)
		}
		text := chunkedStream(id, engineEvents(after))
		if n < len(cuts) {
			text = text[:min(cuts[n], len(text))]
		}
		io.WriteString(conn, text)
	})
	return w, &fresh
}

const streamBody = `{"model":"large","stream":true,"prompt":"a long narrative"}`

// A stream breaks at any byte, and again while it is resumed. The caller must get every event once and in order.
func TestStreamCutAtEveryByteIsResumed(t *testing.T) {
	complete := chunkedStream("router-1-7-1", engineEvents(0))
	size, head := len(complete), strings.Index(complete, "\r\n\r\n")+len("\r\n\r\n")
	wrong := 0
	// The long timeout avoids dial failures on an overloaded machine, which would end the request with CodeNoUpstream.
	options := pomeloroute.Options{DialTimeout: 30 * time.Second}
	for cut := 1; cut < size; cut++ {
		b := newHarness(t, options)
		engine, fresh := newTruncatingEngine(t, []int{cut, cut}, 2, true)
		b.addUpstream(engine.addr()).Resumes = true
		a := b.call("POST", "/drafter/v1/completions", streamBody)
		right := a.err == nil && a.status == http.StatusOK && a.body == completeStream()
		if cut < head {
			// Without a complete header the answer is not known to be a stream that can be resumed, and there is no other engine to retry
			// at, so RanUnknown is the correct answer.
			right = a.err == nil && a.problem(t).Ran == pomelorelay.RanUnknown
		}
		if !right {
			wrong++
			t.Logf("cut at %d of %d: %d starts, %v %q", cut, size, fresh.Load(), a.err, a.body)
		}
	}
	if wrong != 0 {
		t.Errorf("%d of %d truncated streams were not forwarded completely", wrong, size-1)
	}
}

// A stream breaks and its engine cannot resume it. The caller must be able to distinguish that from a complete stream.
func TestBrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	size := len(chunkedStream("router-1-7-1", engineEvents(0)))
	for _, resumes := range []bool{false, true} {
		for cut := 120; cut < size-len("0\r\n\r\n"); cut += 7 {
			b := newHarness(t, pomeloroute.Options{MaxAttempts: 1})
			engine, _ := newTruncatingEngine(t, []int{cut}, 0, false)
			b.addUpstream(engine.addr()).Resumes = resumes
			a := b.call("POST", "/drafter/v1/completions", streamBody)
			if a.status == http.StatusBadGateway && a.problem(t).Ran == pomelorelay.RanUnknown {
				continue
			}
			passed, _, broken := strings.Cut(a.body, "event: error\ndata: ")
			if a.err != nil || !broken || !strings.HasPrefix(completeStream(), passed) || strings.Contains(a.body, "[DONE]") || !strings.Contains(a.body, `"Code":1208`) {
				t.Errorf("cut at %d: got %d %v %q", cut, a.status, a.err, a.body)
			}
			if r := b.lastResult(); r.Outcome != pomelolink.OutcomeTruncated {
				t.Errorf("cut at %d: result %+v", cut, r)
			}
		}
	}
}

// An engine ends its stream with correct framing but without the usage event or [DONE]. More events may be missing, so the
// stream must not count as complete.
func TestStreamWithoutUsageOrDoneIsIncomplete(t *testing.T) {
	events := engineEvents(0)
	usage := len(events) - 2
	for name, sent := range map[string][]string{"no [DONE]": events[:usage+1], "no usage": append(append([]string{}, events[:usage]...), events[usage+1]), "nothing": nil} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, pomeloroute.Options{MaxAttempts: 1})
			b.addUpstream(newScriptedUpstream(t, func(w *scriptedUpstream, _ int64, conn net.Conn, r *bufio.Reader) {
				id, _ := w.read(r)
				io.WriteString(conn, chunkedStream(id, sent))
			}).addr())
			a := b.call("POST", "/drafter/v1/completions", streamBody)
			if strings.Contains(a.body, "[DONE]") || (a.status == http.StatusOK) != strings.Contains(a.body, "event: error") {
				t.Errorf("got %d %q", a.status, a.body)
			}
		})
	}
}

// Each event must be flushed as it arrives: the caller reads it before the engine sends the next.
func TestStreamIsFlushedPerEvent(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	next := make(chan struct{})
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range engineEvents(0) {
			io.WriteString(w, e)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	req, _ := http.NewRequest("POST", b.url+"/drafter/v1/completions", strings.NewReader(streamBody))
	req.Header.Set("Authorization", "Bearer "+workshopToken)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for _, want := range engineEvents(0) {
		got := make([]byte, len(want))
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != want {
			t.Fatalf("got %q %v, want %q", got, err, want)
		}
		next <- struct{}{}
	}
	waitFor(t, "the slot was released", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.results) == 1
	})
	r := b.lastResult()
	if r.Outcome != pomelolink.OutcomeComplete || r.Cost != 10+2*streamEvents || r.FirstToken <= 0 || r.TokenGap <= 0 {
		t.Errorf("result %+v", r)
	}
}

// Concurrent callers share an upstream whose answers are truncated at random. No caller may get another caller's stream, or a truncated
// stream that looks complete.
func TestConcurrentStreamsAreNotMixed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cuts := rapid.SliceOfN(rapid.IntRange(0, 700), 0, 12).Draw(rt, "cuts")
		repeats := rapid.IntRange(0, 4).Draw(rt, "repeats")
		b := newHarness(t, pomeloroute.Options{})
		engine, _ := newTruncatingEngine(t, cuts, repeats, rapid.Bool().Draw(rt, "keeps"))
		b.addUpstream(engine.addr()).Resumes = true
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				a := b.call("POST", "/drafter/v1/completions", streamBody)
				done := strings.HasSuffix(a.body, "data: [DONE]\n\n")
				if a.err == nil && done && a.body != completeStream() {
					rt.Errorf("a truncated stream was forwarded as complete: %q", a.body)
				}
				if a.err == nil && !done && a.status == http.StatusOK && !strings.Contains(a.body, "event: error") {
					rt.Errorf("a stream ended without [DONE] and without an error: %q", a.body)
				}
			})
		}
		wg.Wait()
	})
}

// A caller disconnects during its stream; the request must be cancelled at the engine, which would otherwise continue to generate tokens
// that are not read.
func TestCallerCancelReachesEngine(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{})
	cancelled := make(chan struct{})
	b.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, engineEvents(0)[0])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", b.url+"/drafter/v1/completions", strings.NewReader(streamBody))
	req.Header.Set("Authorization", "Bearer "+workshopToken)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	<-cancelled
}

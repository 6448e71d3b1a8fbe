package pomeloroute_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

func echo(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	io.WriteString(w, "cleaned")
}

// BenchmarkAddedLatency alternately sends a request to the upstream directly and through the router, and reports the medians, their
// difference and the difference of the 99th percentiles.
func BenchmarkAddedLatency(b *testing.B) {
	r := newHarness(b, pomeloroute.Options{})
	upstream := r.serveUpstream(echo)
	client := &http.Transport{}
	defer client.CloseIdleConnections()
	send := func(url string) time.Duration {
		req, err := http.NewRequest("POST", url, strings.NewReader("ring"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+workshopToken)
		start := time.Now()
		resp, err := client.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return time.Since(start)
	}
	var direct, routed []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		direct = append(direct, send(upstream.URL+"/x"))
		routed = append(routed, send(r.url+"/status/x"))
	}
	slices.Sort(direct)
	slices.Sort(routed)
	at := func(list []time.Duration, percent int) float64 {
		return float64(list[len(list)*percent/100].Microseconds())
	}
	b.ReportMetric(at(direct, 50), "direct-p50-µs")
	b.ReportMetric(at(routed, 50), "routed-p50-µs")
	b.ReportMetric(at(routed, 50)-at(direct, 50), "added-p50-µs")
	b.ReportMetric(at(routed, 99)-at(direct, 99), "added-p99-µs")
}

// BenchmarkHandler measures one small request through the handler and a connection to an upstream, without a caller's connection.
func BenchmarkHandler(b *testing.B) {
	r := newHarness(b, pomeloroute.Options{})
	r.serveUpstream(echo)
	h := pomeloroute.New(pomeloroute.Config{Node: "router-1", ConfigSource: r, Admission: r, Claims: r, Suspects: r})
	defer h.Close()
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest("POST", "/status/x", strings.NewReader("ring"))
		req.Header.Set("Authorization", "Bearer "+workshopToken)
		h.ServeHTTP(httptest.NewRecorder(), req)
	}
}

// BenchmarkIdleStream reports the heap and stack in bytes that one open stream uses in the router and in this test together.
func BenchmarkIdleStream(b *testing.B) {
	const streams = 500
	for b.Loop() {
		var open sync.WaitGroup
		release := make(chan struct{})
		open.Add(streams)
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, engineEvents(0)[0])
			w.(http.Flusher).Flush()
			open.Done()
			<-release
		}))
		client := &http.Transport{}
		measure := func(url string) float64 {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var bodies []io.Closer
			for range streams {
				req, _ := http.NewRequest("POST", url, bytes.NewReader([]byte(streamBody)))
				req.Header.Set("Authorization", "Bearer "+workshopToken)
				resp, err := client.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				bodies = append(bodies, resp.Body)
			}
			open.Wait()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for _, body := range bodies {
				body.Close()
			}
			return float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse) / streams
		}
		r := newHarness(b, pomeloroute.Options{})
		r.addUpstream(upstream.Listener.Addr().String())
		direct := measure(upstream.URL)
		open.Add(streams)
		routed := measure(r.url + "/drafter/v1/completions")
		b.ReportMetric(direct, "direct-B/stream")
		b.ReportMetric(routed, "routed-B/stream")
		b.ReportMetric(routed-direct, "added-B/stream")
		close(release)
		client.CloseIdleConnections()
		upstream.Close()
	}
}

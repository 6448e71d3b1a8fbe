package pomelomeasure

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Target is the destination of a load; requests go to its URLs in turn.
type Target struct {
	Name string
	URLs []string
}

// LatencyConfig configures the load that MeasureLatency generates on each target.
type LatencyConfig struct {
	Targets []Target
	Token   string
	Body    string
	// RequestsPerSecond is the rate at the target under load. Targets are loaded in turn, each for SliceDuration at a time and
	// DurationPerTarget in total.
	RequestsPerSecond int
	DurationPerTarget time.Duration
	SliceDuration     time.Duration
}

// TargetLatency contains the latencies of a target; the Added fields are the differences from the first target.
type TargetLatency struct {
	Name                 string
	Requests             int64
	Failures             int64
	P50Milliseconds      float64
	P99Milliseconds      float64
	AddedP50Milliseconds float64
	AddedP99Milliseconds float64
}

// maxInFlight is the maximum number of concurrent requests; further requests are delayed.
const maxInFlight = 256

// targetMeter measures one target.
type targetMeter struct {
	target       Target
	mu           sync.Mutex
	latencies    *hdrhistogram.Histogram
	failures     int64
	requestsSent int
}

// MeasureLatency loads the targets in turn and returns their latencies in the order of cfg.Targets. It fails with CodeBenchPlan
// without targets, rate or slice duration.
func MeasureLatency(ctx context.Context, cfg LatencyConfig) ([]TargetLatency, error) {
	if len(cfg.Targets) == 0 || cfg.RequestsPerSecond <= 0 || cfg.SliceDuration <= 0 {
		return nil, pomelorelay.NewError(pomelorelay.CodeBenchPlan, "latency measurement needs targets, a rate and a slice duration", nil)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}, Timeout: time.Minute}
	defer client.CloseIdleConnections()
	var meters []*targetMeter
	for _, t := range cfg.Targets {
		meters = append(meters, &targetMeter{target: t, latencies: newHistogram()})
	}
	for _, m := range meters {
		// The first slice warms up connections and is not counted.
		m.runSlice(ctx, client, cfg)
		m.latencies.Reset()
		m.failures = 0
	}
	for range int(cfg.DurationPerTarget / cfg.SliceDuration) {
		for _, m := range meters {
			m.runSlice(ctx, client, cfg)
		}
	}
	return results(meters), ctx.Err()
}

// runSlice sends requests to the target at the configured rate for one slice.
func (m *targetMeter) runSlice(ctx context.Context, client *http.Client, cfg LatencyConfig) {
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	began := time.Now()
	n := int(cfg.SliceDuration.Seconds() * float64(cfg.RequestsPerSecond))
	for i := range n {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(cfg.RequestsPerSecond))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		inFlight <- struct{}{}
		url := m.target.URLs[m.requestsSent%len(m.target.URLs)]
		m.requestsSent++
		wg.Go(func() {
			defer func() { <-inFlight }()
			m.measure(ctx, client, cfg, url)
		})
	}
	wg.Wait()
}

func (m *targetMeter) measure(ctx context.Context, client *http.Client, cfg LatencyConfig, url string) {
	began := time.Now()
	ok := send(ctx, client, cfg, url)
	took := time.Since(began)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		m.failures++
		return
	}
	// The error can be ignored, since the client's timeout of one minute keeps the value within the histogram's range.
	_ = m.latencies.RecordValue(int64(took))
}

func send(ctx context.Context, client *http.Client, cfg LatencyConfig, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(cfg.Body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+cfg.Token)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func results(meters []*targetMeter) []TargetLatency {
	var all []TargetLatency
	for _, m := range meters {
		all = append(all, TargetLatency{
			Name: m.target.Name, Requests: m.latencies.TotalCount(), Failures: m.failures,
			P50Milliseconds: percentileMilliseconds(m.latencies, 50), P99Milliseconds: percentileMilliseconds(m.latencies, 99),
		})
	}
	for i := range all {
		all[i].AddedP50Milliseconds = all[i].P50Milliseconds - all[0].P50Milliseconds
		all[i].AddedP99Milliseconds = all[i].P99Milliseconds - all[0].P99Milliseconds
	}
	return all
}

package pomelometric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of all metric names.
const namespace = "pomelorelay"

// secondsBuckets are the bucket bounds of the latency histograms, in seconds: they are dense around the latency targets of 0.2 to 0.6 s and
// reach the longest deadlines.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16}

// Stage is a part of a request's way through the router.
type Stage string

// Values of Stage.
const (
	// StageAccept is the time from the acceptance of a connection to the decision on its first request.
	StageAccept Stage = "accept"
	// StagePlace is the time from a placement's request to the control goroutine's decision.
	StagePlace Stage = "place"
	// StageSend is the time from the decision on a request to its sending.
	StageSend Stage = "send"
)

// stageBuckets are the bucket bounds of the times that requests wait in the router, in seconds; they are dense around the overload threshold of 20 ms.
var stageBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}

// ratioBuckets are the bucket bounds of ratios of an estimate to the truth; they are symmetric around 1 on a logarithmic scale.
var ratioBuckets = []float64{0.25, 0.4, 0.5, 0.67, 0.8, 0.9, 1.11, 1.25, 1.5, 2, 2.5, 4}

// Metrics holds a router's counters, gauges and histograms; it is safe for concurrent use.
type Metrics struct {
	registry       *prometheus.Registry
	answers        *prometheus.CounterVec
	firstAnswer    *prometheus.HistogramVec
	fullAnswer     *prometheus.HistogramVec
	retries        *prometheus.CounterVec
	deniedRetries  *prometheus.CounterVec
	crashes        *prometheus.CounterVec
	brokenRuns     prometheus.Counter
	placements     *prometheus.CounterVec
	gauges         *prometheus.GaugeVec
	stages         map[Stage]prometheus.Observer
	missedMessages prometheus.Counter
	storeCalls     *prometheus.CounterVec
	// announcements counts announced loads by what became of them; slownessError compares the expected slowness with the announced one.
	announcements *prometheus.CounterVec
	slownessError prometheus.Histogram
	promises      *prometheus.CounterVec
	accounts      accountCounters
}

// New returns Metrics at zero, with the collector of the Go runtime registered.
func New() *Metrics {
	m := &Metrics{
		registry:    prometheus.NewRegistry(),
		answers:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests by kind of route and by how they ended."}, []string{"kind", "ending"}),
		firstAnswer: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "first_answer_seconds", Help: "Time to the beginning of the answer.", Buckets: secondsBuckets}, []string{"kind", "ending"}),
		fullAnswer:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "answer_seconds", Help: "Time to the end of the answer.", Buckets: secondsBuckets}, []string{"kind", "ending"}),
		retries:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Requests sent again, by service and by the result code of what failed before."}, []string{"service", "code"}),
		placements:  prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "placements_total", Help: "Decisions on requests by reason of refusal; empty for a place."}, []string{"reason"}),
		gauges:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "state", Help: "What the router knows now, by name."}, []string{"name"}),
	}
	stages := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "stage_seconds", Help: "Time in the router by stage: accept to decision, place (placement request to decision), send (decision to sending).", Buckets: stageBuckets}, []string{"stage"})
	m.stages = make(map[Stage]prometheus.Observer)
	for _, stage := range []Stage{StageAccept, StagePlace, StageSend} {
		m.stages[stage] = stages.WithLabelValues(string(stage))
	}
	m.deniedRetries = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "retries_denied_total", Help: "Requests not sent again because the service's retry budget was spent."}, []string{"service"})
	m.crashes = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "crashed_runs_total", Help: "Requests that ran on an upstream when it crashed, by what showed the crash."}, []string{"evidence"})
	m.brokenRuns = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "broken_runs_total", Help: "Requests whose connection to the upstream broke, because of a crash or not."})
	m.missedMessages = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "messages_missed_total", Help: "Messages to other routers that could not be queued."})
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by kind, cause and result code; 0 for none."}, []string{"kind", "cause", "code"})
	m.announcements = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "announced_loads_total", Help: "Loads that upstreams announced, by outcome: used, repeated, stale or invalid."}, []string{"outcome"})
	m.slownessError = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "announced_slowness_ratio", Help: "Slowness expected from earlier announcements over the next announced one.", Buckets: ratioBuckets})
	m.promises = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "promises_total", Help: "Callers told to return (made), and returns to the same router that were admitted (kept) or refused again (broken)."}, []string{"outcome"})
	m.accounts = newAccountCounters()
	m.registry.MustRegister(m.promises, m.accounts.requests, stages, m.announcements, m.slownessError, m.crashes, m.brokenRuns, m.deniedRetries, m.missedMessages, m.storeCalls, m.answers, m.firstAnswer, m.fullAnswer, m.retries, m.placements, m.gauges, collectors.NewGoCollector())
	return m
}

// ObserveAnswer records an answer by route kind and ending, with the times from the request to the start and to the end of the answer.
func (m *Metrics) ObserveAnswer(kind pomelorelay.RouteKind, ending string, first, total time.Duration) {
	m.answers.WithLabelValues(string(kind), ending).Inc()
	m.firstAnswer.WithLabelValues(string(kind), ending).Observe(first.Seconds())
	m.fullAnswer.WithLabelValues(string(kind), ending).Observe(total.Seconds())
}

// CountRetry counts a retry by service and by the result code of the failed attempt.
func (m *Metrics) CountRetry(service pomelorelay.ServiceID, code pomelorelay.ResultCode) {
	m.retries.WithLabelValues(string(service), code.Info().Name).Inc()
}

// CountRetryDenied counts a request that was not sent again because the service's retry budget was spent.
func (m *Metrics) CountRetryDenied(service pomelorelay.ServiceID) {
	m.deniedRetries.WithLabelValues(string(service)).Inc()
}

// CountBrokenRun counts an attempt whose connection to the upstream broke.
func (m *Metrics) CountBrokenRun() { m.brokenRuns.Inc() }

// CountCrash counts an attempt that failed because its upstream crashed.
func (m *Metrics) CountCrash(evidence pomelorelay.CrashEvidence) {
	m.crashes.WithLabelValues(string(evidence)).Inc()
}

// CountPlacement counts a placement decision; reason is empty if the request was placed.
func (m *Metrics) CountPlacement(reason string) { m.placements.WithLabelValues(reason).Inc() }

// CountAnnouncement counts an announced load by its outcome. The ratio of the expected slowness to the announced one is zero if there was nothing to
// compare.
func (m *Metrics) CountAnnouncement(outcome string, ratio float64) {
	m.announcements.WithLabelValues(outcome).Inc()
	if ratio > 0 {
		m.slownessError.Observe(ratio)
	}
}

// CountUnqueuedMessage counts a message to another router that could not be queued.
func (m *Metrics) CountUnqueuedMessage() { m.missedMessages.Inc() }

// CountStoreCall counts a call to the platform's store by kind, cause and result code, which is zero for success.
func (m *Metrics) CountStoreCall(kind, cause string, code pomelorelay.ResultCode) {
	m.storeCalls.WithLabelValues(kind, cause, strconv.Itoa(int(code))).Inc()
}

// ObserveStage records how long a request was on a stage of its way through the router.
func (m *Metrics) ObserveStage(stage Stage, d time.Duration) {
	m.stages[stage].Observe(d.Seconds())
}

// SetGauge sets the gauge of the given name.
func (m *Metrics) SetGauge(name string, value float64) { m.gauges.WithLabelValues(name).Set(value) }

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

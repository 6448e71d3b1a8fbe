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

// namespace begins the name of each metric.
const namespace = "pomelorelay"

// secondsBuckets are the bounds of the latency histograms, in seconds: they surround the targets of 0.2 to 0.6 s and reach the
// longest deadlines.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16}

// Metrics holds a router's counters and histograms; it is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	places   *prometheus.CounterVec
	gauges   *prometheus.GaugeVec
	missed   prometheus.Counter
	calls    *prometheus.CounterVec
}

// New returns Metrics that start at zero, with those of the runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests by kind of route and by how they ended."}, []string{"kind", "ending"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "first_answer_seconds", Help: "Time to the beginning of the answer.", Buckets: secondsBuckets}, []string{"kind", "ending"}),
		total:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "answer_seconds", Help: "Time to the end of the answer.", Buckets: secondsBuckets}, []string{"kind", "ending"}),
		retries:  prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Requests sent again, by the result code of what failed before."}, []string{"code"}),
		places:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "placements_total", Help: "Decisions on requests by reason of refusal; empty for a place."}, []string{"reason"}),
		gauges:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "state", Help: "What the router knows now, by name."}, []string{"name"}),
	}
	m.missed = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "messages_missed_total", Help: "Messages to other routers that could not be queued."})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by kind, cause and result code; 0 for none."}, []string{"kind", "cause", "code"})
	m.registry.MustRegister(m.missed, m.calls, m.answers, m.first, m.total, m.retries, m.places, m.gauges, collectors.NewGoCollector())
	return m
}

// ObserveAnswer counts an answer: how the request ended, the time to the answer's beginning and to its end.
func (m *Metrics) ObserveAnswer(kind pomelorelay.RouteKind, ending string, first, total time.Duration) {
	m.answers.WithLabelValues(string(kind), ending).Inc()
	m.first.WithLabelValues(string(kind), ending).Observe(first.Seconds())
	m.total.WithLabelValues(string(kind), ending).Observe(total.Seconds())
}

// CountRetry counts a request that is sent again.
func (m *Metrics) CountRetry(code pomelorelay.ResultCode) {
	m.retries.WithLabelValues(code.Info().Name).Inc()
}

// CountPlacement counts a decision on a request; the reason is empty for a place.
func (m *Metrics) CountPlacement(reason string) { m.places.WithLabelValues(reason).Inc() }

// CountMissedMessage counts a message to another router that could not be queued.
func (m *Metrics) CountMissedMessage() { m.missed.Inc() }

// CountStoreCall counts a call to the platform's store: what was called, why, and the result code, zero when it succeeded.
func (m *Metrics) CountStoreCall(kind, cause string, code pomelorelay.ResultCode) {
	m.calls.WithLabelValues(kind, cause, strconv.Itoa(int(code))).Inc()
}

// SetGauge sets a value of what the router knows.
func (m *Metrics) SetGauge(name string, value float64) { m.gauges.WithLabelValues(name).Set(value) }

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

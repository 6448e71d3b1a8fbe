package pomeloplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Parameters of simulated engines. A step generates one token for each running stream and prefills up to chunkTokens of prompts in FIFO order.
// Its time in ms has a fixed part, a part for each running stream, and a part for the prefill, including the attention between pairs of tokens.
const (
	stepMS              = 2.97
	stepMSPerStream     = 0.0222
	prefillPerMS        = 101.0
	attentionPairsPerMS = 1e6 / 0.184
	chunkTokens         = 4096
	// copyPerToken is the time to copy a token from another engine: half of the time to prefill it.
	copyPerToken = float64(time.Millisecond) / prefillPerMS / 2
)

// job is a request at a simulated engine.
type job struct {
	router  int
	engine  pomelorelay.UpstreamID
	request pomeloplace.Request
	run     *pomeloplace.Run
	sent    time.Time
	// expected is the estimated time until the answer begins.
	expected time.Duration
	// readyAt is when the copy from another engine is complete, or when the job arrived if nothing is copied.
	readyAt      time.Time
	uncached     float64
	prefilled    float64
	output       int
	generated    int
	lastEventAt  time.Time
	longestPause time.Duration
	firstToken   time.Duration
}

type simEngine struct {
	waiting    []*job
	running    []*job
	nextStepAt time.Time
}

// simulation runs a fleet of routers and engines in virtual time; load reports arrive after 12 ms by default.
type simulation struct {
	random    *rand.Rand
	routers   []*pomeloplace.Placer
	engines   map[pomelorelay.UpstreamID]*simEngine
	inTransit []reportInTransit
	now       time.Time
	choose    func(p *simulation, router int, r pomeloplace.Request) pomeloplace.Decision
	cached    map[pomelorelay.UpstreamID]map[uint64]bool

	// slots and eventTokens are the slots and the tokens per event of each engine; reportDelay is the delivery delay of load reports.
	slots, eventTokens          int
	reportDelay, reportInterval time.Duration
	// reportBlackout is the initial time in which no load reports are delivered. unreportedKnown makes each placer count all other routers as
	// unreported during it.
	reportBlackout  time.Duration
	unreportedKnown bool
	// maxExtraDelay is the largest additional delay of reports, which differs between routers. prefillRate is the prefill rate in tokens per ms.
	maxExtraDelay time.Duration
	prefillRate   float64
	maxPause      time.Duration
	// targets replaces the targets of the kinds of request; estimateSigma is the spread of estimated output lengths around the actual ones.
	targets       []time.Duration
	estimateSigma float64
	// account assigns the request with the hash to an account; nil by default.
	account func(own uint64)
	// onEnd is called for each answer that ends; nil by default.
	onEnd func(j *job, late bool, result pomeloplace.Result)
	// sessionFactor multiplies the number of sessions.
	sessionFactor uint64
	// draw returns a request and its output in place of randomRequest, slowness how much longer the steps of an engine take now, and announced the
	// load that an engine announces; began is called with each answer that begins. All are optional.
	draw      func() (pomeloplace.Request, int)
	slowness  func(id pomelorelay.UpstreamID) float64
	announced func(id pomelorelay.UpstreamID) pomelorelay.UpstreamFigures
	began     func(j *job)
	// entry returns the router that a request reaches; a random one by default. onSend adds to a router's report, onReceive applies a delivered one.
	entry     func(r pomeloplace.Request) int
	onSend    func(router int, m *pomelorelay.LoadReport)
	onReceive func(router, from int, m *pomelorelay.LoadReport)
	// overShare is the fraction of requests beyond their account's share.
	overShare float64

	// retryRefused makes refused callers retry once after the returned Retry-After, or after retryAfter if set.
	retryRefused bool
	retryAfter   time.Duration
	retries      []pendingRequest

	requested, refused, onTime, longPauses, lateFirstTokens, prefilledShared, copied int
	inShareRequested, inShareOnTime                                                  int
}

// pendingRequest is a request to be submitted, for the second time if retryAt is set.
type pendingRequest struct {
	retryAt, firstSentAt time.Time
	request              pomeloplace.Request
	output               int
}

type reportInTransit struct {
	arrivesAt time.Time
	from      int
	m         *pomelorelay.LoadReport
}

func newSimulation(seed uint64, routers, engineCount int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, slots: 64, eventTokens: 7, reportDelay: 12 * time.Millisecond, reportInterval: 100 * time.Millisecond, sessionFactor: 1, prefillRate: prefillPerMS, maxPause: maxPause,
		engines: make(map[pomelorelay.UpstreamID]*simEngine), cached: make(map[pomelorelay.UpstreamID]map[uint64]bool),
		choose: func(s *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
			return s.routers[router].Place(s.now, r)
		},
	}
	for range routers {
		s.routers = append(s.routers, withEngines(engineCount))
	}
	for i := range engineCount {
		id := pomelorelay.UpstreamID(fmt.Sprintf("e%d", i))
		s.engines[id] = &simEngine{nextStepAt: start}
		s.cached[id] = make(map[uint64]bool)
	}
	return s
}

func (s *simulation) logNormal(mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2))
}

// randomRequest returns a long draft in a shared session, a short question, or a tagging request with an answer of a few tokens.
func (s *simulation) randomRequest() (pomeloplace.Request, int) {
	kind, route := s.random.Float64(), 0
	own, shared, sessions, output, target := 0.0, pomelorelay.Tokens(0), uint64(0), 0.0, 400*time.Millisecond
	switch {
	case kind < 0.21:
		own, shared, sessions, output, target = s.logNormal(6610, 1.4, 54600), 5400, 75, s.logNormal(385, 0.44, 1120), 600*time.Millisecond
	case kind < 0.65:
		route = 1
		own, shared, sessions, output = s.logNormal(628, 1, 3310), 200, 360, s.logNormal(294, 0.69, 950)
	default:
		route = 2
		own, shared, sessions, output = s.logNormal(1800, 1.3, 6870), 570, 192, s.logNormal(21, 1.4, 90)
	}
	session := uint64(shared)<<32 | s.random.Uint64N(sessions*s.sessionFactor) + 1
	r := pomeloplace.Request{
		Service: engines, Route: pomelorelay.RouteID(fmt.Sprint(route)), PromptTokens: shared + pomelorelay.Tokens(own) + 1, OutputTokens: pomelorelay.Tokens(output) + 1, WithinShare: true,
		Parts:  []pomelorelay.PromptPart{{Hash: session, Tokens: shared}, {Hash: s.random.Uint64(), Tokens: pomelorelay.Tokens(own) + 1}},
		Target: target, MaxWait: 10 * time.Second,
	}
	if s.targets != nil {
		r.Target = s.targets[route]
	}
	if s.estimateSigma > 0 {
		r.OutputTokens = pomelorelay.Tokens((output+float64(s.eventTokens))*math.Exp(s.estimateSigma*s.random.NormFloat64())) + 1
	}
	return r, int(output) + s.eventTokens
}

// run simulates Poisson arrivals at the given rate.
func (s *simulation) run(perSecond float64, length time.Duration) {
	end := s.now.Add(length)
	arrival, report := s.now, s.now
	for s.now.Before(end) {
		s.now = s.now.Add(time.Millisecond)
		for arrival.Before(s.now) {
			arrival = arrival.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
			s.arrive()
		}
		s.submitDueRetries()
		if s.now.Sub(report) >= s.reportInterval {
			report = s.now
			s.sendReports(s.now.Sub(start)%time.Second < s.reportInterval)
		}
		s.deliverReports()
		for i := range len(s.engines) {
			id := pomelorelay.UpstreamID(fmt.Sprint("e", i))
			s.step(id, s.engines[id])
		}
	}
}

func (s *simulation) arrive() {
	if s.draw == nil {
		s.draw = s.randomRequest
	}
	r, output := s.draw()
	r.WithinShare = s.random.Float64() >= s.overShare
	s.requested++
	if s.account != nil {
		s.account(r.Parts[1].Hash)
	}
	if r.WithinShare {
		s.inShareRequested++
	}
	s.submit(pendingRequest{firstSentAt: s.now, request: r, output: output})
}

// submit sends a request to a random router; a request with retryAt set is not retried again.
func (s *simulation) submit(c pendingRequest) {
	r, output := c.request, c.output
	router := 0
	if s.entry == nil {
		router = s.random.IntN(len(s.routers))
	} else {
		router = s.entry(r)
	}
	d := s.choose(s, router, r)
	if d.Reason != pomeloplace.ReasonNone {
		if s.retryRefused && c.retryAt.IsZero() {
			wait := d.RetryAfter
			if s.retryAfter > 0 {
				wait = s.retryAfter
			}
			c.retryAt = s.now.Add(wait)
			s.retries = append(s.retries, c)
			return
		}
		s.refused++
		return
	}
	uncached, copyTime := float64(r.PromptTokens), time.Duration(0)
	session := r.Parts[0]
	switch {
	case s.cached[d.Upstream.ID][session.Hash]:
		uncached -= float64(session.Tokens)
	case d.CopiedTokens > 0 && s.cached[d.CopyFrom.ID][session.Hash]:
		uncached -= float64(session.Tokens)
		copyTime = time.Duration(float64(session.Tokens) * copyPerToken)
		s.copied += int(session.Tokens)
	default:
		s.prefilledShared += int(session.Tokens)
	}
	s.cached[d.Upstream.ID][session.Hash] = true
	e := s.engines[d.Upstream.ID]
	e.waiting = append(e.waiting, &job{router: router, engine: d.Upstream.ID, request: r, run: d.Run, sent: c.firstSentAt, expected: d.ExpectedLatency, readyAt: s.now.Add(copyTime), uncached: uncached, output: output})
}

// submitDueRetries submits the retries that are due.
func (s *simulation) submitDueRetries() {
	var later []pendingRequest
	due := s.retries
	s.retries = nil
	for _, c := range due {
		if c.retryAt.After(s.now) {
			later = append(later, c)
			continue
		}
		s.submit(c)
	}
	s.retries = append(later, s.retries...)
}

func (s *simulation) sendReports(full bool) {
	for i, router := range s.routers {
		m := &pomelorelay.LoadReport{Full: full}
		router.FillReport(m)
		router.FillAnnounced(s.now, m)
		router.Tick(s.now)
		if s.onSend != nil {
			s.onSend(i, m)
		}
		extra := s.maxExtraDelay * time.Duration(i) / time.Duration(len(s.routers))
		s.inTransit = append(s.inTransit, reportInTransit{arrivesAt: s.now.Add(s.reportDelay + extra), from: i, m: m})
	}
}

func (s *simulation) deliverReports() {
	if s.now.Sub(start) < s.reportBlackout {
		for _, router := range s.routers {
			if s.unreportedKnown {
				router.SetUnreportedRouters(len(s.routers) - 1)
			}
		}
		return
	}
	for _, router := range s.routers {
		router.SetUnreportedRouters(0)
	}
	slices.SortStableFunc(s.inTransit, func(a, b reportInTransit) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for len(s.inTransit) > 0 && !s.inTransit[0].arrivesAt.After(s.now) {
		delivered := s.inTransit[0]
		s.inTransit = s.inTransit[1:]
		for i, router := range s.routers {
			if i != delivered.from {
				if s.onReceive != nil {
					s.onReceive(i, delivered.from, delivered.m)
				}
				router.ApplyReport(s.now, pomelorelay.NodeID(fmt.Sprint("r", delivered.from)), 1, delivered.m)
			}
		}
	}
}

// step runs the engine's next step if the previous one is over.
func (s *simulation) step(id pomelorelay.UpstreamID, e *simEngine) {
	if e.nextStepAt.After(s.now) {
		return
	}
	waiting := e.waiting[:0]
	for _, j := range e.waiting {
		if len(e.running) < s.slots && !j.readyAt.After(s.now) {
			e.running = append(e.running, j)
			continue
		}
		waiting = append(waiting, j)
	}
	e.waiting = waiting
	if len(e.running) == 0 {
		return
	}
	budget, ms := float64(chunkTokens), stepMS+stepMSPerStream*float64(len(e.running))
	var done []*job
	for _, j := range e.running {
		if j.uncached > 0 {
			n := min(budget, j.uncached)
			budget -= n
			ms += n/s.prefillRate + n*j.prefilled/attentionPairsPerMS
			j.uncached -= n
			j.prefilled += n
			if j.uncached > 0 {
				continue
			}
		}
		done = append(done, j)
	}
	if s.slowness != nil {
		ms *= s.slowness(id)
	}
	e.nextStepAt = s.now.Add(time.Duration(ms * float64(time.Millisecond)))
	for _, j := range done {
		s.emitToken(e, j)
	}
}

// emitToken generates a stream's next token at the end of the step.
func (s *simulation) emitToken(e *simEngine, j *job) {
	j.generated++
	router := s.routers[j.router]
	if j.generated%s.eventTokens == 1 {
		if j.generated == 1 {
			j.firstToken = e.nextStepAt.Sub(j.sent)
			s.beginAnswer(j)
			router.RecordAnswerStart(e.nextStepAt, j.run)
		} else {
			j.longestPause = max(j.longestPause, e.nextStepAt.Sub(j.lastEventAt))
		}
		j.lastEventAt = e.nextStepAt
	}
	if j.generated < j.output {
		return
	}
	result := pomeloplace.ResultCompleted
	if j.longestPause > s.maxPause {
		result = pomeloplace.ResultLongPause
	}
	router.RecordEvents(j.run, (j.output+s.eventTokens-1)/s.eventTokens)
	router.RecordEnd(e.nextStepAt, j.run, result)
	if j.firstToken <= j.request.Target && result == pomeloplace.ResultCompleted {
		s.onTime++
		if j.request.WithinShare {
			s.inShareOnTime++
		}
	}
	if result == pomeloplace.ResultLongPause {
		s.longPauses++
	}
	if j.firstToken > j.request.Target {
		s.lateFirstTokens++
	}
	if s.onEnd != nil {
		s.onEnd(j, j.firstToken > j.request.Target, result)
	}
	for i, o := range e.running {
		if o == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// beginAnswer announces the engine's load in the head of an answer. The load is that at the beginning of the step whose end emits the first token.
func (s *simulation) beginAnswer(j *job) {
	if s.announced != nil {
		s.routers[j.router].RecordAnnounced(s.now, j.run, s.now, s.announced(j.engine))
	}
	if s.began != nil {
		s.began(j)
	}
}

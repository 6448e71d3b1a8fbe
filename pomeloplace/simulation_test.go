package pomeloplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Parameters of simulated engines. A step generates one token for each running stream and prefills up to a chunk of prompts in FIFO order.
const (
	stepMS       = 2.97
	stepPerSlot  = 0.0222
	prefillPerMS = 101.0
	pairsPerMS   = 1e6 / 0.184
	chunk        = 4096
	// copyPerToken is half of the time to prefill a token.
	copyPerToken = float64(time.Millisecond) / prefillPerMS / 2
)

// job is a request at a simulated engine.
type job struct {
	router  int
	request pomeloplace.Request
	run     *pomeloplace.Run
	sent    time.Time
	// readyAt is when the copy from another engine is complete.
	readyAt      time.Time
	unread       float64
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

	// slots and eventTokens are engine parameters; reportDelay is the delivery delay of load reports.
	slots, eventTokens int
	reportDelay        time.Duration
	// reportBlackout is the initial time without report delivery; unreportedKnown makes routers aware of the missing reports.
	reportBlackout  time.Duration
	unreportedKnown bool
	// sessionFactor multiplies the number of sessions.
	sessionFactor uint64
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
	p := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, slots: 64, eventTokens: 7, reportDelay: 12 * time.Millisecond, sessionFactor: 1,
		engines: make(map[pomelorelay.UpstreamID]*simEngine), cached: make(map[pomelorelay.UpstreamID]map[uint64]bool),
		choose: func(p *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
			return p.routers[router].Place(p.now, r)
		},
	}
	for range routers {
		p.routers = append(p.routers, withEngines(engineCount))
	}
	for i := range engineCount {
		id := pomelorelay.UpstreamID(fmt.Sprintf("e%d", i))
		p.engines[id] = &simEngine{nextStepAt: start}
		p.cached[id] = make(map[uint64]bool)
	}
	return p
}

func (p *simulation) logNormal(mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2))
}

// randomRequest returns a long draft in a shared session, a short question, or a tagging request with an answer of a few tokens.
func (p *simulation) randomRequest() (pomeloplace.Request, int) {
	kind := p.random.Float64()
	own, shared, sessions, output, target := 0.0, pomelorelay.Tokens(0), uint64(0), 0.0, 400*time.Millisecond
	switch {
	case kind < 0.21:
		own, shared, sessions, output, target = p.logNormal(6610, 1.4, 54600), 5400, 75, p.logNormal(385, 0.44, 1120), 600*time.Millisecond
	case kind < 0.65:
		own, shared, sessions, output = p.logNormal(628, 1, 3310), 200, 360, p.logNormal(294, 0.69, 950)
	default:
		own, shared, sessions, output = p.logNormal(1800, 1.3, 6870), 570, 192, p.logNormal(21, 1.4, 90)
	}
	session := uint64(shared)<<32 | p.random.Uint64N(sessions*p.sessionFactor) + 1
	r := pomeloplace.Request{
		Service: engines, Prompt: shared + pomelorelay.Tokens(own) + 1, Output: pomelorelay.Tokens(output) + 1, Owed: true,
		Parts:  []pomelorelay.PromptPart{{Hash: session, Tokens: shared}, {Hash: p.random.Uint64(), Tokens: pomelorelay.Tokens(own) + 1}},
		Target: target, Left: 10 * time.Second,
	}
	return r, int(output) + p.eventTokens
}

// run simulates Poisson arrivals at the given rate.
func (p *simulation) run(perSecond float64, length time.Duration) {
	end := p.now.Add(length)
	arrival, report := p.now, p.now
	for p.now.Before(end) {
		p.now = p.now.Add(time.Millisecond)
		for arrival.Before(p.now) {
			arrival = arrival.Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
			p.arrive()
		}
		p.submitDueRetries()
		if p.now.Sub(report) >= 100*time.Millisecond {
			report = p.now
			p.sendReports(p.now.Sub(start)%time.Second < 100*time.Millisecond)
		}
		p.deliverReports()
		for id, e := range p.engines {
			p.step(id, e)
		}
	}
}

func (p *simulation) arrive() {
	r, output := p.randomRequest()
	r.Owed = p.random.Float64() >= p.overShare
	p.requested++
	if r.Owed {
		p.inShareRequested++
	}
	p.submit(pendingRequest{firstSentAt: p.now, request: r, output: output})
}

// submit sends a request to a random router; a request with retryAt set is not retried again.
func (p *simulation) submit(c pendingRequest) {
	r, output := c.request, c.output
	router := p.random.IntN(len(p.routers))
	d := p.choose(p, router, r)
	if d.Reason != pomeloplace.ReasonNone {
		if p.retryRefused && c.retryAt.IsZero() {
			wait := d.RetryAfter
			if p.retryAfter > 0 {
				wait = p.retryAfter
			}
			c.retryAt = p.now.Add(wait)
			p.retries = append(p.retries, c)
			return
		}
		p.refused++
		return
	}
	unread, copying := float64(r.Prompt), time.Duration(0)
	session := r.Parts[0]
	switch {
	case p.cached[d.Upstream.ID][session.Hash]:
		unread -= float64(session.Tokens)
	case d.Copied > 0 && p.cached[d.CopyFrom.ID][session.Hash]:
		unread -= float64(session.Tokens)
		copying = time.Duration(float64(session.Tokens) * copyPerToken)
		p.copied += int(session.Tokens)
	default:
		p.prefilledShared += int(session.Tokens)
	}
	p.cached[d.Upstream.ID][session.Hash] = true
	e := p.engines[d.Upstream.ID]
	e.waiting = append(e.waiting, &job{router: router, request: r, run: d.Run, sent: c.firstSentAt, readyAt: p.now.Add(copying), unread: unread, output: output})
}

// submitDueRetries submits the retries that are due.
func (p *simulation) submitDueRetries() {
	var later []pendingRequest
	due := p.retries
	p.retries = nil
	for _, c := range due {
		if c.retryAt.After(p.now) {
			later = append(later, c)
			continue
		}
		p.submit(c)
	}
	p.retries = append(later, p.retries...)
}

func (p *simulation) sendReports(whole bool) {
	for i, router := range p.routers {
		m := &pomelorelay.LoadReport{Whole: whole}
		router.Report(m)
		router.Tick(p.now)
		p.inTransit = append(p.inTransit, reportInTransit{arrivesAt: p.now.Add(p.reportDelay), from: i, m: m})
	}
}

func (p *simulation) deliverReports() {
	if p.now.Sub(start) < p.reportBlackout {
		for _, router := range p.routers {
			if p.unreportedKnown {
				router.SetUnreported(len(p.routers) - 1)
			}
		}
		return
	}
	for _, router := range p.routers {
		router.SetUnreported(0)
	}
	for len(p.inTransit) > 0 && !p.inTransit[0].arrivesAt.After(p.now) {
		l := p.inTransit[0]
		p.inTransit = p.inTransit[1:]
		for i, router := range p.routers {
			if i != l.from {
				router.TakeReport(p.now, pomelorelay.NodeID(fmt.Sprint("r", l.from)), 1, l.m)
			}
		}
	}
}

// step runs the engine's next step if the previous one is over.
func (p *simulation) step(id pomelorelay.UpstreamID, e *simEngine) {
	if e.nextStepAt.After(p.now) {
		return
	}
	waiting := e.waiting[:0]
	for _, j := range e.waiting {
		if len(e.running) < p.slots && !j.readyAt.After(p.now) {
			e.running = append(e.running, j)
			continue
		}
		waiting = append(waiting, j)
	}
	e.waiting = waiting
	if len(e.running) == 0 {
		return
	}
	room, ms := float64(chunk), stepMS+stepPerSlot*float64(len(e.running))
	var done []*job
	for _, j := range e.running {
		if j.unread > 0 {
			n := min(room, j.unread)
			room -= n
			ms += n/prefillPerMS + n*j.prefilled/pairsPerMS
			j.unread -= n
			j.prefilled += n
			if j.unread > 0 {
				continue
			}
		}
		done = append(done, j)
	}
	e.nextStepAt = p.now.Add(time.Duration(ms * float64(time.Millisecond)))
	for _, j := range done {
		p.emitToken(e, j)
	}
}

// emitToken generates a stream's next token at the end of the step.
func (p *simulation) emitToken(e *simEngine, j *job) {
	j.generated++
	router := p.routers[j.router]
	if j.generated%p.eventTokens == 1 {
		if j.generated == 1 {
			j.firstToken = e.nextStepAt.Sub(j.sent)
			router.Begun(e.nextStepAt, j.run)
		} else {
			j.longestPause = max(j.longestPause, e.nextStepAt.Sub(j.lastEventAt))
		}
		j.lastEventAt = e.nextStepAt
	}
	if j.generated < j.output {
		return
	}
	result := pomeloplace.ResultGood
	if j.longestPause > maxPause {
		result = pomeloplace.ResultPaused
	}
	router.Ended(e.nextStepAt, j.run, result)
	if j.firstToken <= j.request.Target && result == pomeloplace.ResultGood {
		p.onTime++
		if j.request.Owed {
			p.inShareOnTime++
		}
	}
	if result == pomeloplace.ResultPaused {
		p.longPauses++
	}
	if j.firstToken > j.request.Target {
		p.lateFirstTokens++
	}
	for i, o := range e.running {
		if o == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

package pomeloplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// The engines of the play: a step generates one token for each running stream and reads up to a chunk of prompts in order of arrival.
const (
	stepMS      = 2.97
	stepPerSlot = 0.0222
	readPerMS   = 101.0
	pairsPerMS  = 1e6 / 0.184
	chunk       = 4096
	// copyPerToken is half of the time to read a token.
	copyPerToken = float64(time.Millisecond) / readPerMS / 2
)

// job is a request at an engine of the play.
type job struct {
	router  int
	request pomeloplace.Request
	run     *pomeloplace.Run
	sent    time.Time
	// readyAt is when what it copies from another engine is there.
	readyAt time.Time
	unread  float64
	read    float64
	output  int
	made    int
	last    time.Time
	pause   time.Duration
	first   time.Duration
}

type playEngine struct {
	waiting []*job
	running []*job
	at      time.Time
}

// play is a fleet of routers before engines in virtual time: reports arrive 12 ms after they were sent.
type play struct {
	random  *rand.Rand
	routers []*pomeloplace.Placer
	engines map[pomelorelay.UpstreamID]*playEngine
	mail    []letter
	now     time.Time
	choose  func(p *play, router int, r pomeloplace.Request) pomeloplace.Decision
	kept    map[pomelorelay.UpstreamID]map[uint64]bool

	// slots and eventTokens are the engines', delay is how late reports arrive.
	slots, eventTokens int
	delay              time.Duration
	// blind is how long the first reports take, and knows tells that the routers know that they hear nothing yet.
	blind time.Duration
	knows bool
	// scale multiplies the number of sessions.
	scale uint64
	// beyond is the part of the requests that is beyond its account's share.
	beyond float64

	// comeBack makes callers that are refused come back once, as they are told or, if it is set, after retryAfter.
	comeBack   bool
	retryAfter time.Duration
	returning  []returning

	asked, refused, inTime, latePause, lateFirst, reread, copied int
	owedAsked, owedInTime                                        int
}

// returning is a caller that comes back.
type returning struct {
	at, since time.Time
	request   pomeloplace.Request
	output    int
}

type letter struct {
	at   time.Time
	from int
	m    *pomelorelay.LoadReport
}

func newPlay(seed uint64, routers, engineCount int) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, slots: 64, eventTokens: 7, delay: 12 * time.Millisecond, scale: 1,
		engines: make(map[pomelorelay.UpstreamID]*playEngine), kept: make(map[pomelorelay.UpstreamID]map[uint64]bool),
		choose: func(p *play, router int, r pomeloplace.Request) pomeloplace.Decision {
			return p.routers[router].Place(p.now, r)
		},
	}
	for range routers {
		p.routers = append(p.routers, withEngines(engineCount))
	}
	for i := range engineCount {
		id := pomelorelay.UpstreamID(fmt.Sprintf("e%d", i))
		p.engines[id] = &playEngine{at: start}
		p.kept[id] = make(map[uint64]bool)
	}
	return p
}

func (p *play) logNormal(mean, sigma, most float64) float64 {
	return min(most, mean*math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2))
}

// draw makes a request: long drafts of shared sessions, short questions, and tags of a few tokens.
func (p *play) draw() (pomeloplace.Request, int) {
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
	session := uint64(shared)<<32 | p.random.Uint64N(sessions*p.scale) + 1
	r := pomeloplace.Request{
		Service: engines, PromptTokens: shared + pomelorelay.Tokens(own) + 1, OutputTokens: pomelorelay.Tokens(output) + 1, WithinShare: true,
		Parts:  []pomelorelay.PromptPart{{Hash: session, Tokens: shared}, {Hash: p.random.Uint64(), Tokens: pomelorelay.Tokens(own) + 1}},
		Target: target, MaxWait: 10 * time.Second,
	}
	return r, int(output) + p.eventTokens
}

// run plays the load of so many requests a second for the length.
func (p *play) run(perSecond float64, length time.Duration) {
	end := p.now.Add(length)
	arrival, report := p.now, p.now
	for p.now.Before(end) {
		p.now = p.now.Add(time.Millisecond)
		for arrival.Before(p.now) {
			arrival = arrival.Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
			p.arrive()
		}
		p.admitReturning()
		if p.now.Sub(report) >= 100*time.Millisecond {
			report = p.now
			p.report(p.now.Sub(start)%time.Second < 100*time.Millisecond)
		}
		p.deliver()
		for id, e := range p.engines {
			p.step(id, e)
		}
	}
}

func (p *play) arrive() {
	r, output := p.draw()
	r.WithinShare = p.random.Float64() >= p.beyond
	p.asked++
	if r.WithinShare {
		p.owedAsked++
	}
	p.ask(returning{since: p.now, request: r, output: output})
}

// ask takes a caller's request to a router; one whose at is set has been refused before.
func (p *play) ask(c returning) {
	r, output := c.request, c.output
	router := p.random.IntN(len(p.routers))
	d := p.choose(p, router, r)
	if d.Reason != pomeloplace.ReasonNone {
		if p.comeBack && c.at.IsZero() {
			wait := d.RetryAfter
			if p.retryAfter > 0 {
				wait = p.retryAfter
			}
			c.at = p.now.Add(wait)
			p.returning = append(p.returning, c)
			return
		}
		p.refused++
		return
	}
	unread, copying := float64(r.PromptTokens), time.Duration(0)
	session := r.Parts[0]
	switch {
	case p.kept[d.Upstream.ID][session.Hash]:
		unread -= float64(session.Tokens)
	case d.CopiedTokens > 0 && p.kept[d.CopyFrom.ID][session.Hash]:
		unread -= float64(session.Tokens)
		copying = time.Duration(float64(session.Tokens) * copyPerToken)
		p.copied += int(session.Tokens)
	default:
		p.reread += int(session.Tokens)
	}
	p.kept[d.Upstream.ID][session.Hash] = true
	e := p.engines[d.Upstream.ID]
	e.waiting = append(e.waiting, &job{router: router, request: r, run: d.Run, sent: c.since, readyAt: p.now.Add(copying), unread: unread, output: output})
}

// admitReturning lets the callers come back whose time it is.
func (p *play) admitReturning() {
	var later []returning
	due := p.returning
	p.returning = nil
	for _, c := range due {
		if c.at.After(p.now) {
			later = append(later, c)
			continue
		}
		p.ask(c)
	}
	p.returning = append(later, p.returning...)
}

func (p *play) report(whole bool) {
	for i, router := range p.routers {
		m := &pomelorelay.LoadReport{Full: whole}
		router.FillReport(m)
		router.Tick(p.now)
		p.mail = append(p.mail, letter{at: p.now.Add(p.delay), from: i, m: m})
	}
}

func (p *play) deliver() {
	if p.now.Sub(start) < p.blind {
		for _, router := range p.routers {
			if p.knows {
				router.SetUnreportedRouters(len(p.routers) - 1)
			}
		}
		return
	}
	for _, router := range p.routers {
		router.SetUnreportedRouters(0)
	}
	for len(p.mail) > 0 && !p.mail[0].at.After(p.now) {
		l := p.mail[0]
		p.mail = p.mail[1:]
		for i, router := range p.routers {
			if i != l.from {
				router.ApplyReport(p.now, pomelorelay.NodeID(fmt.Sprint("r", l.from)), 1, l.m)
			}
		}
	}
}

// step lets an engine take its next step when the last one is over.
func (p *play) step(id pomelorelay.UpstreamID, e *playEngine) {
	if e.at.After(p.now) {
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
			ms += n/readPerMS + n*j.read/pairsPerMS
			j.unread -= n
			j.read += n
			if j.unread > 0 {
				continue
			}
		}
		done = append(done, j)
	}
	e.at = p.now.Add(time.Duration(ms * float64(time.Millisecond)))
	for _, j := range done {
		p.token(e, j)
	}
}

// token gives a stream its next token at the end of the step.
func (p *play) token(e *playEngine, j *job) {
	j.made++
	router := p.routers[j.router]
	if j.made%p.eventTokens == 1 {
		if j.made == 1 {
			j.first = e.at.Sub(j.sent)
			router.RecordAnswerStart(e.at, j.run)
		} else {
			j.pause = max(j.pause, e.at.Sub(j.last))
		}
		j.last = e.at
	}
	if j.made < j.output {
		return
	}
	result := pomeloplace.ResultCompleted
	if j.pause > pauseAllowed {
		result = pomeloplace.ResultLongPause
	}
	router.RecordEnd(e.at, j.run, result)
	if j.first <= j.request.Target && result == pomeloplace.ResultCompleted {
		p.inTime++
		if j.request.WithinShare {
			p.owedInTime++
		}
	}
	if result == pomeloplace.ResultLongPause {
		p.latePause++
	}
	if j.first > j.request.Target {
		p.lateFirst++
	}
	for i, o := range e.running {
		if o == j {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

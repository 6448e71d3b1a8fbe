package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of the case refused: for spellTime at a time, the server sends one answer in twenty twice. The second copy arrives copyDelay later.
const (
	garbledShare = 0.05
	copyDelay    = 3 * time.Millisecond
	spells       = 8
	spellTime    = 5500 * time.Millisecond
	spellPause   = 1500 * time.Millisecond
)

// The load of the case refused: more requests than the server has slots for, so that it refuses some.
const (
	filingClients = 90
	filingSlots   = 12
	filingQueue   = 4
	filingPause   = 60 * time.Millisecond
	filingTimeout = 3 * time.Second
	minFilingWork = 10 * time.Millisecond
	maxFilingWork = 20 * time.Millisecond
)

// filing is what a client wants done once. A client whose attempt was refused sends it once more, as another attempt.
type filing struct{ attempts []outcome }

func init() { cases["refused"] = playRefused }

// playRefused lets clients file requests at a service with one server that is full at times. The server follows some of its refusals by a second
// copy of the same answer, a little later on the same connection.
func playRefused(p *play) (result, error) {
	p.rec.brief = true
	var garbling atomic.Bool
	s := &server{id: "i-casefile-1", service: "casefile", zone: zones[0], slots: make(chan struct{}, filingSlots), queue: filingQueue, rec: p.rec, late: copyDelay, work: func(*http.Request) time.Duration {
		return minFilingWork + time.Duration(rand.Int64N(int64(maxFilingWork-minFilingWork)))
	}}
	s.repeatsAnswer = func() bool { return garbling.Load() && rand.Float64() < garbledShare }
	f, err := newFleet(fleetConfig{
		repo: p.repo, dir: p.dir, routers: 3, memoryMB: 134, servers: []*server{s},
		routes: []map[string]any{route("/submit/", "casefile", 300*time.Millisecond, filingTimeout)},
	}, p.rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	time.Sleep(settleTime)
	var ended atomic.Bool
	filings := make([][]filing, filingClients)
	var wg sync.WaitGroup
	for i := range filingClients {
		wg.Go(func() {
			for c := (*clientConn)(nil); !ended.Load(); time.Sleep(time.Duration(rand.Int64N(int64(2 * filingPause)))) {
				var done filing
				done, c = file(f.routers[i%len(f.routers)], c, p.rec)
				filings[i] = append(filings[i], done)
			}
		})
	}
	for range spells {
		garbling.Store(p.trouble)
		time.Sleep(spellTime)
		garbling.Store(false)
		time.Sleep(spellPause)
	}
	ended.Store(true)
	wg.Wait()
	time.Sleep(time.Second)
	return judgeRefused(p, filings), nil
}

// file sends a filing on the connection, or on a new one if that is nil, and once more on a new one if it was refused. It returns the connection if
// it is of further use.
func file(r *router, c *clientConn, rec *record) (filing, *clientConn) {
	var done filing
	for range 2 {
		if c == nil || c.closed {
			var err error
			if c, err = dial(r, rec); err != nil {
				return done, nil
			}
		}
		o := c.send("/submit/1", tenantKey, []byte("grant filing"), filingTimeout)
		done.attempts = append(done.attempts, o)
		if o.status != http.StatusServiceUnavailable {
			break
		}
		c.close()
		time.Sleep(min(o.retryAfter, filingTimeout/3))
	}
	return done, c
}

// judgeRefused counts the attempts that were answered by a promise that they have not run and never will, and have run.
func judgeRefused(p *play, filings [][]filing) result {
	attempts, served, refused, broken, doubled := 0, 0, 0, 0, 0
	p.rec.row("attempt router sent-at ended-at status runs")
	for _, list := range filings {
		for _, done := range list {
			runs := 0
			for i := range done.attempts {
				o := &done.attempts[i]
				attempts++
				ran := p.rec.runsOf(o.id)
				runs += len(ran)
				p.rec.row("%s %s %.3f %.3f %d %d", strings.TrimLeft(o.id, "0"), o.router.name, p.rec.since(o.sentAt), p.rec.since(o.endedAt), o.status, len(ran))
				switch o.status {
				case http.StatusOK:
					served++
				case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
					refused++
					if len(ran) > 0 {
						broken++
						p.rec.write(o.id)
						p.rec.log("REFUSED %s: answered %d %v after it was sent, and run by %s from %v after it was sent, finished=%v", o.id, o.status, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), ran[0].server,
							ran[0].began.Sub(o.sentAt).Round(time.Millisecond), ran[0].finished)
					}
				}
			}
			if runs > 1 {
				doubled++
				p.rec.write(done.attempts[len(done.attempts)-1].id)
				p.rec.log("filing was run %d times: attempts %s and %s", runs, done.attempts[0].id, done.attempts[len(done.attempts)-1].id)
			}
		}
	}
	text := fmt.Sprintf("REFUSED: of %d attempts %d were answered with success, %d by a promise that they never run; %d of these have run, and %d filings ran twice after their client believed the promise", attempts, served, refused, broken, doubled)
	return result{broken: broken > 0, text: text}
}

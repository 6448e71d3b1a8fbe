package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The times of the case shutdown. The kept connections have been idle for less than four fifths of the idle timeout when their second request is sent.
const (
	reportTarget   = 1500 * time.Millisecond
	reportDeadline = 3 * time.Second
	secondAfter    = 6500 * time.Millisecond
	keptClients    = 12
)

func init() { cases["shutdown"] = playShutdown }

// playShutdown stops a router as planned while its clients hold idle connections, which they use again before its grace time is over.
func playShutdown(p *play) (result, error) {
	var servers []*server
	for i, zone := range zones {
		servers = append(servers, &server{id: fmt.Sprintf("i-casefile-%d", i+1), service: "casefile", zone: zone, slots: make(chan struct{}, 6), queue: 24, work: workOf, rec: p.rec})
	}
	f, err := newFleet(fleetConfig{
		repo: p.repo, dir: p.dir, routers: 3, memoryMB: 134, servers: servers,
		routes: []map[string]any{route("/submit/", "casefile", 300*time.Millisecond, reportDeadline), route("/report/", "casefile", reportTarget, reportDeadline)},
	}, p.rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	time.Sleep(settleTime)
	stopped := f.routers[0]
	var conns []*clientConn
	for range keptClients {
		c, err := dial(stopped, p.rec)
		if err != nil {
			return result{}, err
		}
		if o := c.send("/submit/1", tenantKey, []byte("first"), reportDeadline); o.status != http.StatusOK {
			return result{}, fmt.Errorf("the first request was answered %d, %v", o.status, o.err)
		}
		conns = append(conns, c)
	}
	time.Sleep(500 * time.Millisecond)
	signalled := time.Now()
	if p.trouble {
		stopped.terminate()
	}
	time.Sleep(time.Until(signalled.Add(secondAfter)))
	outcomes := make([]outcome, len(conns))
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() { outcomes[i] = c.send("/report/1", tenantKey, []byte("annual report"), reportDeadline) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	return judgeShutdown(p, outcomes), nil
}

// judgeShutdown counts the requests that a server had got, and whose connection ended without an answer although the deadline was not reached.
func judgeShutdown(p *play, outcomes []outcome) result {
	lost, answered, refused := 0, 0, 0
	for i := range outcomes {
		o := &outcomes[i]
		switch runs := p.rec.runsOf(o.id); {
		case o.status == http.StatusOK:
			answered++
		case o.status != 0:
			refused++
		case len(runs) > 0 && !o.timedOut():
			lost++
			p.rec.log("LOST %s: run by %s, connection ended %v after it was sent: %v", o.id, runs[0].server, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.err)
		}
	}
	text := fmt.Sprintf("LOST: of %d requests %d were answered with success, %d refused, %d passed on to a server and cut without an answer", len(outcomes), answered, refused, lost)
	return result{broken: lost > 0, text: text}
}

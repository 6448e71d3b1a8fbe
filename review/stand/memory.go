package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case memory. In the disruption the tenant sends factor times its usual number of uploads. An upload is as large as the configuration
// allows, and all of them together use half of what the links of the machines carry.
const (
	usualUploads   = 8
	factor         = 9
	uploadBytes    = maxBodyBytes
	uploadSpells   = 3
	uploadTime     = 10 * time.Second
	calmTime       = 5 * time.Second
	uploadDeadline = 3 * time.Second
	uploadPause    = 100 * time.Millisecond
	linkBytes      = 125_000_000
	linkShare      = 0.5
	// The rule is broken when processes end by themselves this often on this many machines.
	faultyEnds     = 3
	faultyMachines = 2
)

func init() { cases["memory"] = playMemory }

// playMemory lets one tenant send many times its usual uploads.
func playMemory(p *play) (result, error) {
	var servers []*server
	for i, zone := range zones {
		servers = append(servers, &server{id: fmt.Sprintf("i-casefile-%d", i+1), service: "casefile", zone: zone, slots: make(chan struct{}, 6), queue: 24, work: workOf, rec: p.rec})
	}
	f, err := newFleet(fleetConfig{
		repo: p.repo, dir: p.dir, routers: 3, memoryMB: 134, servers: servers,
		routes: []map[string]any{route("/submit/", "casefile", 300*time.Millisecond, uploadDeadline)},
	}, p.rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	time.Sleep(settleTime)
	u := &uploaders{f: f, body: make([]byte, uploadBytes)}
	uploads := usualUploads
	if p.trouble {
		uploads *= factor
	}
	u.rate = int(linkShare * linkBytes * float64(len(f.routers)) / float64(uploads))
	for range uploadSpells {
		u.spell(uploads)
		time.Sleep(calmTime)
	}
	return judgeMemory(p, f, u.outcomes), nil
}

// uploaders are clients that each send uploads one after the other.
type uploaders struct {
	f     *fleet
	rate  int
	body  []byte
	ended atomic.Bool

	mu       sync.Mutex
	outcomes []outcome
}

// spell lets the number of clients send uploads for uploadTime.
func (u *uploaders) spell(clients int) {
	u.ended.Store(false)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { u.run(u.f.routers[i%len(u.f.routers)]) })
	}
	time.Sleep(uploadTime)
	u.ended.Store(true)
	wg.Wait()
}

// run sends uploads on a kept connection to the router, or to any router in use after that connection has ended.
func (u *uploaders) run(r *router) {
	var c *clientConn
	for ; !u.ended.Load(); time.Sleep(time.Duration(rand.Int64N(int64(2 * uploadPause)))) {
		if c == nil || c.closed {
			if c = u.open(r); c == nil {
				r = u.f.routers[rand.IntN(len(u.f.routers))]
				continue
			}
		}
		o := c.send("/submit/1", tenantKey, u.body, uploadDeadline)
		u.mu.Lock()
		u.outcomes = append(u.outcomes, o)
		u.mu.Unlock()
	}
	if c != nil {
		c.close()
	}
}

// open returns a connection on which a small request was answered, or nil.
func (u *uploaders) open(r *router) *clientConn {
	if !r.usable() {
		return nil
	}
	c, err := dial(r, u.f.rec)
	if err != nil {
		return nil
	}
	c.rate = u.rate
	if o := c.send("/submit/1", tenantKey, []byte("small"), uploadDeadline); o.status != http.StatusOK {
		c.close()
		return nil
	}
	return c
}

// judgeMemory counts the processes that the platform has ended for their memory, and by router the requests on kept connections that a server had
// got, and whose connection ended without an answer.
func judgeMemory(p *play, f *fleet, outcomes []outcome) result {
	lost := make(map[*router]int)
	served, refused, others := 0, 0, 0
	for i := range outcomes {
		o := &outcomes[i]
		switch runs := p.rec.runsOf(o.id); {
		case o.status == http.StatusOK:
			served++
		case o.status == http.StatusServiceUnavailable:
			refused++
		case o.status == 0 && o.reused && len(runs) > 0 && !o.timedOut():
			lost[o.router]++
			p.rec.log("LOST %s: run by %s, %s ended the connection %v after it was sent: %v", o.id, runs[0].server, o.router.name, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.err)
		default:
			others++
		}
	}
	faulty, text := 0, ""
	for _, r := range f.routers {
		peak, kills := r.memoryUse()
		if kills >= faultyEnds {
			faulty++
		}
		text += fmt.Sprintf("; %s used up to %d MB of %d, ended for it %d times, cut %d requests at work", r.name, peak, r.memoryMB, kills, lost[r])
	}
	return result{broken: faulty >= faultyMachines, text: fmt.Sprintf("Fault: of %d uploads %d were answered with success, %d refused, %d ended before a server had them or at their deadline%s", len(outcomes), served, refused, others, text)}
}

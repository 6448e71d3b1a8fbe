package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lateServers is the number of faulty servers of three, lateShare the share of their answers that are followed by additional bytes, and lateAfter how
	// long after the answer these come.
	lateServers = 2
	lateShare   = 0.03
	lateAfter   = 8 * time.Millisecond
	// The servers are faulty from lateFrom on, for lateFor.
	lateFrom = 10 * time.Second
	lateFor  = 5 * time.Second
	// bookFor is how long the clients book, bookClients their number.
	bookFor     = 25 * time.Second
	bookClients = 9
)

// lateBytes plays bookings at three servers, two of which send additional bytes after a complete answer: the beginning of another answer, a refusal as the
// pages show it, that breaks off within its last field.
func lateBytes(s *stage) ([]string, error) {
	const cut = "HTTP/1.1 503 Service Unavailable\r\nX-Pomelorelay-Not-Executed: 1"
	s.store.put("op/config", baseConfig())
	began := time.Now()
	for i, zone := range zones {
		faulty := s.trouble && i < lateServers
		sv, err := newServer(fmt.Sprintf("i-7f3a91c%d", i), "agenda", zone, 6, s.runs, s.record, func(v *server, c *serverConn, r *http.Request, _ []byte) bool {
			id := r.Header.Get(fieldID)
			v.runs.add(id, run{v.id, time.Now(), 200})
			v.record.add("server %s runs %s", v.id, id)
			time.Sleep(20*time.Millisecond + time.Duration(rand.IntN(20))*time.Millisecond)
			const booked = "booked"
			if c.send(v.head(id, 200, fmt.Sprintf("Content-Length: %d", len(booked)))+booked) != nil {
				return false
			}
			if at := time.Since(began); faulty && at >= lateFrom && at < lateFrom+lateFor && rand.Float64() < lateShare {
				time.AfterFunc(lateAfter, func() {
					v.record.add("server %s sends %d additional bytes after its answer to %s", v.id, len(cut), id)
					_ = c.send(cut)
				})
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		sv.register(s.store)
	}
	if err := s.startRouters(3, bancadaComum); err != nil {
		return nil, err
	}
	type sent struct {
		id  string
		got reply
	}
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	end := began.Add(bookFor)
	for n := range bookClients {
		wg.Go(func() {
			c := &client{addr: s.routers[n%len(s.routers)].front}
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("%02d%014x", n, k)
				got := c.call(bookPrefix+"2f", id, 1200*time.Millisecond, []byte("one ring"))
				s.record.add("client %d gets %d %q for %s (%v)", n, got.status, got.signature, id, got.err)
				mu.Lock()
				all = append(all, sent{id, got})
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	var broken []string
	served := 0
	for _, x := range all {
		ran := s.runs.of(x.id)
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %s", x.id, places(ran)))
		}
		if (x.got.status == 503 || x.got.status == 429 || x.got.status == 421 || x.got.status == 408) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", x.id, x.got.status, places(ran)))
		}
		if x.got.status == 200 {
			served++
		}
	}
	s.record.add("%d requests, %d served", len(all), served)
	if served < len(all)/2 {
		return nil, fmt.Errorf("%d of %d requests were served", served, len(all))
	}
	return broken, nil
}

func places(list []run) string {
	var names []string
	for _, x := range list {
		names = append(names, x.server)
	}
	return strings.Join(names, " and ")
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// busyClients send the other route's requests, each the next one after the last; slowPerRouter read slowly meanwhile.
	busyClients   = 27
	slowPerRouter = 6
	// steadyBytes each readPause is how fast these clients read: 10 KB a second, so that they have the whole answer after 4.5 s of 10.
	steadyBytes = 1000
	// movedAt and movedBackAt are when the configurations are sent, evictedFor how long the case lasts.
	movedAt     = 14 * time.Second
	movedBackAt = 17 * time.Second
	evictedFor  = 42 * time.Second
	// planFor is how long a configuration counts as planned work: config_apply_ms and a second.
	planFor = 5 * time.Second
)

const busyPrefix = "/pufi791/"

// movedConfig is a version in which the busy route goes to the given service.
func movedConfig(version int, service string) configDoc {
	c := baseConfig()
	c.Version = version
	c.Routes = append(c.Routes, routeDoc{Name: "r-busy", Hostname: hostname, Prefix: busyPrefix, Type: "streaming", TimeoutMS: 2500, TargetMS: 1500, Priority: 1, Service: service, Attempts: 1, Affinity: true, GapMS: 600})
	tags := c.Services[1]
	tags.Name = "tags"
	c.Services = append(c.Services, tags)
	return c
}

// serveEvents is the work of a model server: the largest stream of the sheet, and a short one on the busy route.
func serveEvents(v *server, c *serverConn, r *http.Request, _ []byte) bool {
	id, count, size, pause := r.Header.Get(fieldID), streamEvents, eventBytes, eventPause
	if strings.HasPrefix(r.URL.Path, busyPrefix) {
		count, size, pause = 12, 85, 20*time.Millisecond
	}
	v.runs.add(id, run{v.id, time.Now(), http.StatusOK})
	v.record.add("server %s runs %s", v.id, id)
	if c.send(v.head(id, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")) != nil {
		return false
	}
	for n := 1; n <= count; n++ {
		e := streamEvent(n, size)
		if c.send(fmt.Sprintf("%x\r\n%s\r\n", len(e), e)) != nil {
			v.record.add("server %s: the connection of %s ended at event %d", v.id, id, n)
			return false
		}
		time.Sleep(pause)
	}
	if c.send("0\r\n\r\n") != nil {
		return false
	}
	v.record.add("server %s has sent the whole answer to %s", v.id, id)
	return true
}

// cutRequest is a request whose connection ended without a complete answer.
type cutRequest struct {
	router int
	at     time.Duration
	text   string
}

// evicted plays streams whose clients read slowly, while a configuration moves the requests of another route to their service, and back.
func evicted(s *stage) ([]string, error) {
	s.store.put("op/config", movedConfig(7, "tags"))
	for i, zone := range zones {
		for _, service := range []string{"chat", "tags"} {
			sv, err := newServer(fmt.Sprintf("i-%s-%d", service, i), service, zone, engineSlots, s.runs, s.record, serveEvents)
			if err != nil {
				return nil, err
			}
			sv.register(s.store)
		}
	}
	if err := s.startRouters(3, chikugoGrown); err != nil {
		return nil, err
	}
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }
	var mu sync.Mutex
	var cuts []cutRequest
	var whole, busyServed, busyRefused atomic.Int64
	var wg sync.WaitGroup
	for n := range slowPerRouter * len(s.routers) {
		wg.Go(func() {
			at := n % len(s.routers)
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			for k := 0; since() < evictedFor-streamDeadline; k++ {
				id := fmt.Sprintf("5%03d%012x", n, k)
				sentAt := since()
				events, err := s.readStream(id, s.routers[at].front, chatPrefix, steadyBytes)
				s.record.add("slow client %d at router %d, sent at %.3f, read %d events of %s: %v", n, at, sentAt.Seconds(), events, id, err)
				if err == nil && events == streamEvents {
					whole.Add(1)
				} else if events > 0 && since()-sentAt < streamDeadline*7/10 {
					mu.Lock()
					cuts = append(cuts, cutRequest{at, since(), fmt.Sprintf("LOST: the connection of %s, which ran at %s, ended after %d of %d events, %.1f s after it was sent (%v)", id, places(s.runs.of(id)), events, streamEvents, (since() - sentAt).Seconds(), err)})
					mu.Unlock()
				}
			}
		})
	}
	for n := range busyClients {
		wg.Go(func() {
			c := &client{addr: s.routers[n%len(s.routers)].front}
			defer c.close()
			for k := 0; since() < evictedFor-streamDeadline; k++ {
				id := fmt.Sprintf("b%03d%012x", n, k)
				got := c.call(busyPrefix+"2f", id, 2500*time.Millisecond, []byte("tag"), "X-Pomelorelay-Model-Name: m", "X-Pomelorelay-Token-Counts: 100,130", "X-Pomelorelay-Prompt-Prefix: "+id+":100", "Authorization: Token "+apiKey)
				switch got.status {
				case http.StatusOK:
					busyServed.Add(1)
				default:
					busyRefused.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	if s.trouble {
		time.Sleep(movedAt - since())
		s.record.add("the configuration moves the busy route to the service of the slow clients")
		s.store.put("op/config", movedConfig(9, "chat"))
		time.Sleep(movedBackAt - since())
		s.record.add("the configuration moves the busy route back")
		s.store.put("op/config", movedConfig(12, "tags"))
	}
	wg.Wait()
	s.record.add("%d slow answers whole, %d cut; %d busy requests served, %d not", whole.Load(), len(cuts), busyServed.Load(), busyRefused.Load())
	if whole.Load() < slowPerRouter {
		return nil, fmt.Errorf("%d answers of slow clients were whole", whole.Load())
	}
	return judgeCuts(cuts, len(s.routers)), nil
}

// judgeCuts returns the cuts beside the configurations at routers that cut requests over three times as often then as at other times.
func judgeCuts(cuts []cutRequest, routers int) []string {
	planned := func(at time.Duration) bool {
		return (at >= movedAt && at < movedAt+planFor) || (at >= movedBackAt && at < movedBackAt+planFor)
	}
	plannedTime := movedBackAt + planFor - movedAt
	var broken []string
	for r := range routers {
		var inside, outside []string
		for _, c := range cuts {
			if c.router == r && planned(c.at) {
				inside = append(inside, c.text)
			} else if c.router == r {
				outside = append(outside, c.text)
			}
		}
		if float64(len(inside))/plannedTime.Seconds() > 3*float64(len(outside))/(evictedFor-plannedTime).Seconds() {
			broken = append(broken, inside...)
		}
	}
	return broken
}

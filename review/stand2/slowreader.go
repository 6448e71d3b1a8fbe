package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents and eventBytes make the largest stream of the sheet's non-resumable kind; the server makes it within a second.
	streamEvents = 86
	eventBytes   = 510
	eventPause   = 10 * time.Millisecond
	// readBytes each readPause is how fast a client reads: it has the whole answer before its deadline.
	readBytes = 490
	readPause = 100 * time.Millisecond
	// clientBuffer is the size in bytes that the client asks the kernel for as its receive buffer.
	clientBuffer = 4096
	// streamDeadline is the deadline of the clients and the route's timeout.
	streamDeadline = 10 * time.Second
	slowClients    = 4
	// termAfter is the time from the requests to the SIGTERM.
	termAfter = 300 * time.Millisecond
)

func streamEvent(n, size int) string {
	head := fmt.Sprintf("id: %d\ndata: ", n)
	return head + strings.Repeat("x", size-len(head)-2) + "\n\n"
}

// throttledReader reads slowly, and keeps when it last read something.
type throttledReader struct {
	r      io.Reader
	size   int
	lastAt time.Time
}

func (t *throttledReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	n, err := t.r.Read(p[:min(len(p), t.size)])
	if n > 0 {
		t.lastAt = time.Now()
	}
	return n, err
}

// slowReader plays streams whose clients read slowly, while a router is stopped as planned.
func slowReader(s *stage) ([]string, error) {
	s.store.put("op/config", baseConfig())
	for i, zone := range zones {
		sv, err := newServer(fmt.Sprintf("i-02d9e6b%d", i), "chat", zone, engineSlots, s.runs, s.record, serveEvents)
		if err != nil {
			return nil, err
		}
		sv.register(s.store)
	}
	if err := s.startRouters(3, chikugoGrown); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var broken []string
	whole := 0
	var wg sync.WaitGroup
	for n := range slowClients * len(s.routers) {
		wg.Go(func() {
			id, at := fmt.Sprintf("%016x", n), n%len(s.routers)
			began := time.Now()
			events, err := s.readStream(id, s.routers[at].front, chatPrefix, readBytes)
			took := time.Since(began)
			s.record.add("client %d at router %d read %d events of %s: %v", n, at, events, id, err)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && events == streamEvents {
				whole++
				return
			}
			if took >= streamDeadline {
				return
			}
			broken = append(broken, fmt.Sprintf("LOST: the connection of %s ended after %d of %d events (%v); it ran at %s", id, events, streamEvents, err, places(s.runs.of(id))))
		})
	}
	time.Sleep(termAfter)
	if s.trouble {
		s.record.add("router 0 gets SIGTERM")
		s.routers[0].signal(syscall.SIGTERM)
		go func() {
			time.Sleep(graceS * time.Second)
			if s.routers[0].running() {
				s.routers[0].signal(syscall.SIGKILL)
			}
		}()
		go func() {
			<-s.routers[0].ended
			s.record.add("the process of router 0 has ended")
		}()
	}
	wg.Wait()
	if whole < slowClients*(len(s.routers)-1) {
		return nil, fmt.Errorf("%d answers were whole", whole)
	}
	return broken, nil
}

// readStream sends a request, reads the given number of bytes each readPause, and returns how many events of the answer came; the error is nil if the answer is complete.
func (s *stage) readStream(id, addr, prefix string, size int) (int, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
		})
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Pomelorelay-Model-Name: m\r\nX-Pomelorelay-Token-Counts: 20,1080\r\nX-Pomelorelay-Prompt-Prefix: %s:20\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi",
		prefix, hostname, fieldID, id, fieldDeadline, streamDeadline.Milliseconds(), id, apiKey)
	throttled := &throttledReader{r: conn, size: size}
	resp, err := http.ReadResponse(bufio.NewReader(throttled), nil)
	if err != nil {
		return 0, err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		err = fmt.Errorf("%w, %d ms after the client last read bytes", err, time.Since(throttled.lastAt).Milliseconds())
	} else if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return strings.Count(string(text), "\n\n"), err
}

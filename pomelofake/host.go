package pomelofake

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// HostConfig configures a Host.
type HostConfig struct {
	// Listen opens the listener; it is called again after each crash.
	Listen  func() (net.Listener, error)
	Handler http.Handler
}

// relistenInterval is the time between attempts to listen again after a crash.
const relistenInterval = 10 * time.Millisecond

// Host serves a stand-in on a listener and simulates crashes, in which all connections are closed and new ones refused.
type Host struct {
	cfg     HostConfig
	closing chan struct{}
	wg      sync.WaitGroup

	mu     sync.Mutex
	server *http.Server
	down   bool
}

// NewHost starts serving; it fails if the listener cannot be opened.
func NewHost(cfg HostConfig) (*Host, error) {
	h := &Host{cfg: cfg, closing: make(chan struct{})}
	l, err := cfg.Listen()
	if err != nil {
		return nil, err
	}
	h.serve(l)
	return h, nil
}

// ListenTCP returns a function that listens on a TCP address, for HostConfig.Listen.
func ListenTCP(addr string) func() (net.Listener, error) {
	return func() (net.Listener, error) { return net.Listen("tcp", addr) }
}

func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: h.cfg.Handler}
	h.mu.Lock()
	h.server = server
	h.down = false
	h.mu.Unlock()
	h.wg.Go(func() { _ = server.Serve(l) })
}

// Crash closes the listener and all connections, and listens again after downFor; it does nothing while the host is down.
func (h *Host) Crash(downFor time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return
	}
	h.down = true
	_ = h.server.Close()
	h.wg.Go(func() {
		if !h.waitOrClosing(downFor) {
			return
		}
		h.relisten()
	})
}

// relisten retries until it succeeds, since the port may still be in use just after a crash.
func (h *Host) relisten() {
	for {
		l, err := h.cfg.Listen()
		if err == nil {
			h.serve(l)
			h.closeLateServer()
			return
		}
		if !h.waitOrClosing(relistenInterval) {
			return
		}
	}
}

// closeLateServer closes the new server if Close was called between listening and serving; the server would leak otherwise.
func (h *Host) closeLateServer() {
	select {
	case <-h.closing:
		h.mu.Lock()
		defer h.mu.Unlock()
		_ = h.server.Close()
	default:
	}
}

// waitOrClosing waits for d and reports false if the host was closed before it elapsed.
func (h *Host) waitOrClosing(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.closing:
		return false
	}
}

// Close closes all connections and waits for the host's goroutines to end.
func (h *Host) Close() error {
	close(h.closing)
	h.mu.Lock()
	err := h.server.Close()
	h.mu.Unlock()
	h.wg.Wait()
	return err
}

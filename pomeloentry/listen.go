package pomeloentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/gorilla/mux"
)

const (
	// listeners is the number of ports that a router serves by HTTP.
	listeners = 3
	// headerWait bounds the reading of a request's header; the operators' own bound is 3 s.
	headerWait = 10 * time.Second
	// idleWait closes connections that callers leave unused; callers may use one again after four fifths of the operators' bound, 15 s.
	idleWait = 20 * time.Second
	// maxHeaderBytes bounds a request's header, above the operators' bound of 16 KiB.
	maxHeaderBytes = 64 << 10
	// stopPoll is how often a graceful stop looks whether the last request has ended.
	stopPoll = 20 * time.Millisecond
	// stopMargin is the time before the process would be killed at which it ends by itself.
	stopMargin = 700 * time.Millisecond
	// quietAfter is how long after the signal to stop the balancer may still send new connections: two of its looks, a second apart.
	quietAfter = 2500 * time.Millisecond
)

// Listen opens the ports; it fails with CodeListen when an address cannot be listened on.
func (e *Router) Listen() error {
	settings := e.cfg.Settings
	callers := &http.Server{
		Handler:                      http.HandlerFunc(e.serveCaller),
		ReadHeaderTimeout:            headerWait,
		IdleTimeout:                  idleWait,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    e.countConn,
		ConnContext:                  keepConn,
		DisableGeneralOptionsHandler: true,
	}
	ready := mux.NewRouter()
	ready.HandleFunc(e.cfg.Wire.ReadinessPath(), e.serveReady)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", e.metrics.Handler())
	for _, l := range []struct {
		addr   netip.AddrPort
		server *http.Server
	}{
		{settings.MetricsAddr, &http.Server{Handler: metrics, ReadHeaderTimeout: headerWait}},
		{settings.ReadinessAddr, &http.Server{Handler: ready, ReadHeaderTimeout: headerWait}},
		{settings.CallerAddr, callers},
	} {
		if err := e.serve(l.server, l.addr); err != nil {
			return err
		}
	}
	e.log(pomelorelay.EventStarted, field("Incarnation", uint64(e.incarnation)), field("Callers", settings.CallerAddr.String()), field("Domain", settings.Self.Domain))
	return nil
}

func (e *Router) serve(s *http.Server, addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeListen, addr.String(), err)
	}
	e.servers = append(e.servers, s)
	if s.ConnState != nil {
		l = boundListener{Listener: l, e: e}
	}
	e.start(func(context.Context) {
		if err := s.Serve(l); err != http.ErrServerClosed {
			e.errs <- err
		}
	})
	return nil
}

// Errors returns the channel of listeners' failures.
func (e *Router) Errors() <-chan error { return e.errs }

func (e *Router) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if !e.takes(w, r) {
		return
	}
	e.forward.ServeHTTP(w, r)
}

func (e *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Router) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

// Stop ends the router gracefully: it is not ready any more, goes on serving the connections that it has, and ends when the last
// is gone or shortly before the process would be killed. Closing idle connections sooner would cross requests on their way.
func (e *Router) Stop() {
	began := e.cfg.Clock.Now()
	end := began.Add(e.cfg.Settings.StopTimeout - stopMargin)
	e.stopAt.Store(end.UnixNano())
	e.log(pomelorelay.EventStopping, field("InFlight", e.inFlight.Load()), field("Connections", e.conns.Load()))
	for {
		now := e.cfg.Clock.Now()
		if now.After(end) || (now.Sub(began) > quietAfter && e.conns.Load() == 0) {
			break
		}
		time.Sleep(stopPoll)
	}
	e.log(pomelorelay.EventStopped, field("InFlight", e.inFlight.Load()), field("Connections", e.conns.Load()))
	e.Close()
}

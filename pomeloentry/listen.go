package pomeloentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolistener"

	"github.com/gorilla/mux"
)

const (
	// listenerCount is the number of HTTP ports of a router.
	listenerCount = 3
	// maxHeaderBytes bounds a request's header, whatever the operators' configuration allows, and applies while there is none.
	maxHeaderBytes = 64 << 10
	// stopPollInterval is how often a graceful stop checks whether the last connection has closed.
	stopPollInterval = 20 * time.Millisecond
	// finalAnswersFraction and stopFraction are the fractions of the stop timeout after which requests whose response has not begun are ended with
	// an error response, and after which the process ends. What remains is for writing these responses, and for ending before it is killed.
	finalAnswersFraction = 7.0 / 8
	stopFraction         = 11.0 / 12
	// balancerDrainTime is how long after the stop signal the load balancer may send new connections: two readiness checks, 1 s apart.
	balancerDrainTime = 2500 * time.Millisecond
)

// Listen opens the router's ports and serves them. It fails with CodeCannotListen when an address cannot be bound.
func (e *Router) Listen() error {
	settings := e.cfg.Settings
	callers := &http.Server{Handler: http.HandlerFunc(e.serveCaller), MaxHeaderBytes: maxHeaderBytes, ConnContext: e.withConn, DisableGeneralOptionsHandler: true}
	ready := mux.NewRouter()
	ready.HandleFunc(e.cfg.Wire.ReadinessPath(), e.serveReady)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", e.metrics.Handler())
	for _, l := range []struct {
		addr   netip.AddrPort
		server *http.Server
		port   *pomelolistener.Port
	}{
		{settings.MetricsAddr, &http.Server{Handler: metrics}, e.clients.NewPort(controlPort)},
		{settings.ReadinessAddr, &http.Server{Handler: ready}, e.clients.NewPort(controlPort)},
		{settings.CallerAddr, callers, e.callers},
	} {
		if err := e.serve(l.server, l.addr, l.port); err != nil {
			return err
		}
	}
	e.log(pomelorelay.EventStarted, field("Incarnation", uint64(e.incarnation)), field("Callers", settings.CallerAddr.String()), field("Domain", settings.Self.Domain))
	return nil
}

func (e *Router) serve(s *http.Server, addr netip.AddrPort, port *pomelolistener.Port) error {
	// The idle timeout closes the connections of silent callers; keepalive probes would cost four system calls for each connection.
	l, err := (&net.ListenConfig{KeepAlive: -1, Control: pomelolistener.SetBuffers}).Listen(e.ctx, "tcp", addr.String())
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeCannotListen, addr.String(), err)
	}
	// A port serves as well with the system's backlog.
	_ = pomelolistener.SetBacklog(l, port.Backlog())
	s.ReadHeaderTimeout, s.IdleTimeout, s.ConnState = pomelolistener.HeaderMark, pomelolistener.IdleMark, port.ConnState
	e.servers = append(e.servers, s)
	l = port.Listener(l)
	if port == e.callers {
		l = loadSheddingListener{Listener: l, e: e}
	}
	e.start(func(context.Context) {
		if err := s.Serve(l); err != http.ErrServerClosed {
			e.errs <- err
		}
	})
	return nil
}

// Errors returns the channel of errors from failed listeners.
func (e *Router) Errors() <-chan error { return e.errs }

func (e *Router) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if conn := connOf(r.Context()).tracked(); conn != nil {
		defer conn.Finish()
	}
	if !e.admit(w, r) {
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

// Stop shuts the router down gracefully. The router reports not ready and keeps serving its open connections; it refuses requests that it could not
// answer in time. It ends when the last connection closes or shortly before the process is killed. Closing idle connections earlier could race
// with requests already sent on them.
func (e *Router) Stop() {
	timeout := e.cfg.Settings.StopTimeout
	untilAnswers, untilEnd := untilFinalAnswers(timeout), time.Duration(stopFraction*float64(timeout))
	began := e.steady()
	e.stopAt.Store(began + int64(untilAnswers))
	e.log(pomelorelay.EventStopping, field("InFlight", e.inFlight.Load()), field("Connections", e.callers.Conns()))
	final := time.AfterFunc(untilAnswers, e.callFinalAnswers)
	defer final.Stop()
	for {
		elapsed := time.Duration(e.steady() - began)
		if elapsed > untilEnd || (elapsed > balancerDrainTime && e.callers.Conns() == 0) {
			break
		}
		time.Sleep(stopPollInterval)
	}
	e.log(pomelorelay.EventStopped, field("InFlight", e.inFlight.Load()), field("Connections", e.callers.Conns()))
	e.Close()
}

// untilFinalAnswers returns the time from a stop signal until requests whose response has not begun are ended with an error response.
func untilFinalAnswers(timeout time.Duration) time.Duration {
	return time.Duration(finalAnswersFraction * float64(timeout))
}

// callFinalAnswers makes all requests without an answer end with a final one.
func (e *Router) callFinalAnswers() {
	if n := e.inFlight.Load(); n > 0 {
		e.log(pomelorelay.EventStopLate, field("InFlight", n))
	}
	e.endAnswers()
}

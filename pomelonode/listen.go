package pomelonode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

const (
	// stopPollInterval is how often a graceful stop looks whether the last request has ended.
	stopPollInterval = 20 * time.Millisecond
	// maxClaimsWait is how long a graceful stop waits for the store to hold how claimed requests ended.
	maxClaimsWait = 20 * time.Second
)

// headerLimitFactor is how far over the bound net/http still reads a header. Over its own bound it answers with a plain text; within the
// room the handler refuses with a number.
const headerLimitFactor = 4

// Listen opens the callers' and the operators' ports; it fails when an address cannot be listened on.
func (n *Node) Listen() error {
	limits := n.cfg.Settings.Limits
	caller := &http.Server{
		Handler:           n.CallerHandler(),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderBytes) * headerLimitFactor,
	}
	operator := &http.Server{
		Handler:           n.OperatorHandler(),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderBytes),
	}
	if err := n.serve(caller, n.cfg.Settings.Listen.Caller); err != nil {
		return err
	}
	if err := n.serve(operator, n.cfg.Settings.Listen.Operator); err != nil {
		return err
	}
	n.log(pomelorelay.EventStarted, field("Incarnation", uint64(n.incarnation)))
	return nil
}

func (n *Node) serve(s *http.Server, addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeListen, addr.String(), err)
	}
	n.servers = append(n.servers, s)
	n.start(func(context.Context) {
		if err := s.Serve(l); err != http.ErrServerClosed {
			n.errs <- err
		}
	})
	return nil
}

// Errors returns the channel of listeners' failures.
func (n *Node) Errors() <-chan error { return n.errs }

// CallerHandler returns the handler of the callers' port.
func (n *Node) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request is counted before the stop is looked at: the other way round, a stop between the two would end the
		// process under a request that had been let in.
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		if n.stopping.Load() {
			n.counters.refusedStopping.Add(1)
			w.Header().Set("Connection", "close")
			pomeloroute.WriteProblem(w, pomelorelay.NewError(pomelorelay.CodeStopping, "", nil))
			return
		}
		n.route.ServeHTTP(w, r)
	})
}

// Drain turns readiness off and takes no new work; Stop goes on from there.
func (n *Node) Drain() {
	if n.stopping.Swap(true) {
		return
	}
	n.log(pomelorelay.EventStopping)
	n.mail.post(drainStarted{})
	close(n.drained)
}

// Drained returns a channel that is closed when a planned stop begins.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Stop ends the router gracefully: it drains, waits for every request in progress, and closes. It fails with CodeStopLate
// when requests were still in progress at the end of ctx.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	err := n.awaitIdle(ctx)
	if err == nil {
		n.shutdownServers(ctx)
	}
	n.log(pomelorelay.EventStopped)
	n.Close()
	return err
}

func (n *Node) awaitIdle(ctx context.Context) error {
	for n.inFlight.Load() > 0 {
		if !sleep(ctx, stopPollInterval) {
			n.log(pomelorelay.EventStopLate, field("InFlight", n.inFlight.Load()))
			return pomelorelay.NewError(pomelorelay.CodeStopLate, "", ctx.Err())
		}
	}
	n.awaitClaims(ctx)
	return nil
}

// awaitClaims waits until the store holds how every claimed request ended. It asks the control goroutine, since the last request's
// settlement may still be on its way to it: looked for in a status of a moment ago it would be missed, and the repeat of a booking
// that ran would hear "outcome unknown". In a store outage the wait ends without it, for that answer is still true.
func (n *Node) awaitClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimsWait)
	defer cancel()
	for {
		open := n.openClaims(ctx)
		if open == 0 {
			return
		}
		if !sleep(ctx, stopPollInterval) {
			n.log(pomelorelay.EventClaimsUnsettled, field("Claims", open))
			return
		}
	}
}

func (n *Node) openClaims(ctx context.Context) int {
	answer := make(chan int, 1)
	n.mail.post(openClaimsRequested{answer})
	select {
	case open := <-answer:
		return open
	case <-ctx.Done():
		return n.status.Load().Claims.Open()
	}
}

// openClaimsRequested is posted when a stop wants to know how many claims are open after every event before it.
type openClaimsRequested struct{ answer chan int }

func (e openClaimsRequested) apply(c *control, _ time.Time) { e.answer <- c.claimAsker.Open() }

// shutdownServers closes the listeners and waits for requests that came in while they closed.
func (n *Node) shutdownServers(ctx context.Context) {
	for _, s := range n.servers {
		// A failure means that ctx ended; Close follows.
		_ = s.Shutdown(ctx)
	}
}

// drainStarted is posted when a planned stop begins: the shared jobs are handed over, requests go on.
type drainStarted struct{}

func (drainStarted) apply(c *control, now time.Time) {
	c.out = c.memberView.Leave(now, c.out)
	c.placeJobs(now)
}

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
	// stopPollInterval is how often a graceful stop checks whether requests are in progress or outcomes are not yet stored.
	stopPollInterval = 20 * time.Millisecond
	// finalAnswersFraction is the fraction of a graceful stop's time limit after which requests whose response has not begun are ended with an
	// error response; the rest is for writing these responses.
	finalAnswersFraction = 7.0 / 8
	// maxClaimsWait limits how long a graceful stop waits until the outcomes of requests with claimed idempotency keys are stored.
	maxClaimsWait = 20 * time.Second
)

// headerLimitFactor is the ratio of net/http's header limit to the configured one. Above its own limit net/http refuses a request in plain
// text; between the two limits the handler refuses the request with a result code.
const headerLimitFactor = 4

// Listen starts serving the caller and the operator port; it fails with CodeCannotListen if it cannot listen on an address.
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
		return pomelorelay.NewError(pomelorelay.CodeCannotListen, addr.String(), err)
	}
	n.servers = append(n.servers, s)
	n.start(func(context.Context) {
		if err := s.Serve(l); err != http.ErrServerClosed {
			n.errs <- err
		}
	})
	return nil
}

// Errors returns the channel on which failures of the listeners are reported.
func (n *Node) Errors() <-chan error { return n.errs }

// CallerHandler returns the handler of the caller port.
func (n *Node) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The request is counted before stopping is checked; in the opposite order, a stop between the two could end the process
		// while the accepted request runs.
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		if n.stopping.Load() {
			n.counters.refusedStopping.Add(1)
			w.Header().Set("Connection", "close")
			pomeloroute.WriteProblem(w, pomelorelay.NewError(pomelorelay.CodeStopping, "", nil))
			return
		}
		n.callerHandler.ServeHTTP(w, r)
	})
}

// Drain marks the router as not ready, refuses new requests and hands its fleet-wide jobs (slot ownership, ledger and claim shards) over to
// other routers; Stop completes the stop.
func (n *Node) Drain() {
	if n.stopping.Swap(true) {
		return
	}
	n.log(pomelorelay.EventStopping)
	n.mail.post(drainStarted{})
	close(n.drained)
}

// Drained returns a channel that is closed when draining starts.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Stop stops the router gracefully: it drains, waits until all requests in progress have ended and the outcomes of those with claimed
// idempotency keys are stored, and closes. Shortly before the deadline of ctx it ends requests that have no answer yet with an error. It fails with
// CodeStopLate if it ended some, or if requests are still in progress when ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	if deadline, ok := ctx.Deadline(); ok {
		final := time.AfterFunc(time.Duration(finalAnswersFraction*float64(time.Until(deadline))), n.callFinalAnswers)
		defer final.Stop()
	}
	err := n.awaitIdle(ctx)
	if err == nil && n.stopLate.Load() {
		err = pomelorelay.NewError(pomelorelay.CodeStopLate, "", nil)
	}
	if ctx.Err() == nil {
		n.shutdownServers(ctx)
	}
	n.log(pomelorelay.EventStopped)
	n.Close()
	return err
}

// callFinalAnswers makes all requests without an answer end with a final one.
func (n *Node) callFinalAnswers() {
	if left := n.inFlight.Load(); left > 0 {
		n.stopLate.Store(true)
		n.log(pomelorelay.EventStopLate, field("InFlight", left))
	}
	n.endAnswers()
}

func (n *Node) awaitIdle(ctx context.Context) error {
	for n.inFlight.Load() > 0 {
		if !sleep(ctx, stopPollInterval) {
			if !n.stopLate.Load() {
				n.log(pomelorelay.EventStopLate, field("InFlight", n.inFlight.Load()))
			}
			return pomelorelay.NewError(pomelorelay.CodeStopLate, "", ctx.Err())
		}
	}
	n.awaitClaims(ctx)
	return nil
}

// awaitClaims waits until the outcomes of all requests with claimed idempotency keys are stored; until then a retry through another router
// would be answered "outcome unknown". It asks the control goroutine, since the published status may lag behind. In a store outage the wait
// ends after maxClaimsWait, since "outcome unknown" is then the correct answer.
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
		return n.status.Load().Claims.Total()
	}
}

// openClaimsRequested is posted to get the number of claims whose outcomes are not stored, after all earlier events have been applied.
type openClaimsRequested struct{ answer chan int }

func (e openClaimsRequested) apply(c *control, _ time.Time) {
	e.answer <- c.claimRequester.OpenClaims()
}

// shutdownServers closes the listeners and waits for requests that arrived after the wait for requests in progress had ended.
func (n *Node) shutdownServers(ctx context.Context) {
	for _, s := range n.servers {
		// An error means that ctx is done; Stop then closes the server.
		_ = s.Shutdown(ctx)
	}
}

// drainStarted is posted when draining starts: other routers take over the fleet-wide jobs of this router (slot ownership, ledger and claim
// shards), while its requests in progress continue.
type drainStarted struct{}

func (drainStarted) apply(c *control, now time.Time) {
	c.outgoing = c.memberView.Leave(now, c.outgoing)
	c.placeJobs(now)
}

package pomeloload

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options are the settings of a run that are not part of its plan.
type Options struct {
	// Dial connects to routers and stand-ins; nil uses the host's network.
	Dial DialFunc
	// MarksPath is the file to which a script appends Mark values as JSON lines; empty for none.
	MarksPath string
	// ReadyTimeout bounds the wait for all routers to be ready before the load starts; zero does not wait.
	ReadyTimeout time.Duration
	// Logf prints progress and failures; nil discards them.
	Logf func(format string, args ...any)
}

const progressInterval = time.Second

// Run generates the plan's load, waits for the requests in progress and checks the observations. It fails as Plan.Validate does,
// and when a router is not ready in time or a stand-in's list of executed requests cannot be read.
func Run(ctx context.Context, p Plan, opts Options) (Report, error) {
	if err := p.Validate(); err != nil {
		return Report{}, err
	}
	p = p.withDefaults()
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if opts.Logf == nil {
		opts.Logf = func(string, ...any) {}
	}
	r := newRunner(p, opts)
	defer r.close()
	return r.run(ctx)
}

// runner executes one run of a plan.
type runner struct {
	plan     Plan
	opts     Options
	recorder *recorder
	balancer *balancer
	callers  *callers
	watcher  *watcher
	steps    *stepRunner
}

func newRunner(p Plan, opts Options) *runner {
	r := &runner{plan: p, opts: opts, recorder: newRecorder(), balancer: newBalancer(p, opts.Dial)}
	r.callers = &callers{plan: p, balancer: r.balancer, recorder: r.recorder}
	r.watcher = newWatcher(p, opts.Dial, r.recorder)
	client := &http.Client{Timeout: dialTimeout + probeTimeout, Transport: newTransport(opts.Dial)}
	r.steps = &stepRunner{plan: p, client: client, recorder: r.recorder, logf: opts.Logf}
	return r
}

func (r *runner) close() {
	r.balancer.close()
	r.watcher.client.CloseIdleConnections()
	r.steps.client.CloseIdleConnections()
}

func (r *runner) run(ctx context.Context) (Report, error) {
	if err := r.balancer.awaitReady(ctx, r.opts.ReadyTimeout); err != nil {
		return Report{}, err
	}
	r.recorder.start = time.Now()
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	issueCtx, stopIssuing := context.WithTimeout(ctx, r.plan.Duration)
	defer stopIssuing()
	var background sync.WaitGroup
	background.Go(func() { r.watcher.pollRouters(pollCtx) })
	background.Go(func() { r.balancer.poll(pollCtx) })
	background.Go(func() { r.steps.run(issueCtx) })
	background.Go(func() { r.logProgress(pollCtx) })
	if r.opts.MarksPath != "" {
		background.Go(func() { r.recorder.followMarks(pollCtx, r.opts.MarksPath, r.opts.Logf) })
	}
	var reading sync.WaitGroup
	reading.Go(func() { r.watcher.pollStandIns(pollCtx) })
	r.callers.start(ctx, issueCtx)
	<-issueCtx.Done()
	issueEnd := time.Now()
	r.callers.wg.Wait()
	stopPolling()
	background.Wait()
	reading.Wait()
	if err := r.readFinalRuns(ctx); err != nil {
		return Report{}, err
	}
	return r.recorder.evaluate(r.plan, issueEnd), nil
}

// settleTime is the wait before the stand-ins' lists of executed requests are read for the last time. Meanwhile requests
// whose callers disconnected can end, such as streams that an engine keeps running so that they can be resumed.
const settleTime = 3 * time.Second

func (r *runner) readFinalRuns(ctx context.Context) error {
	sleep(ctx, settleTime)
	return r.watcher.readRuns(ctx)
}

func (r *runner) logProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		t := r.recorder.currentTally()
		inFlight := t.Attempts - t.Answers - t.Refusals - t.Broken - t.Unreached
		r.opts.Logf("%3.0f s: %d requests, %d answered, %d open, %d refused, %d broken, %d resent, %d runs",
			time.Since(began).Seconds(), t.Requests, t.Answers, inFlight, t.Refusals, t.Broken, t.Resends, t.Runs)
	}
}

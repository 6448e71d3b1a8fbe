package pomeloload

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options are how a plan is run.
type Options struct {
	// Dial connects to routers and stand-ins; the machine's network when it is nil.
	Dial DialFunc
	// Marks is a file to which a script appends Mark lines; none when empty.
	Marks string
	// ReadyWithin is how long every router may take to be ready before the load starts; zero starts at once.
	ReadyWithin time.Duration
	// Logf prints progress and failures; nil prints nothing.
	Logf func(format string, args ...any)
}

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// Run puts the plan's load on, waits until what is in progress has ended, and judges what was seen; it fails when the
// plan does not fit together or the stand-ins' runs cannot be read.
func Run(ctx context.Context, p Plan, opts Options) (Judgement, error) {
	if err := p.Check(); err != nil {
		return Judgement{}, err
	}
	p = p.withDefaults()
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if opts.Logf == nil {
		opts.Logf = func(string, ...any) {}
	}
	l := newLoad(p, opts)
	defer l.close()
	return l.run(ctx)
}

// load is one run of a plan.
type load struct {
	plan     Plan
	opts     Options
	recorder *recorder
	balancer *balancer
	callers  *callers
	watcher  *watcher
	stepper  *stepper
}

func newLoad(p Plan, opts Options) *load {
	l := &load{plan: p, opts: opts, recorder: newRecorder(), balancer: newBalancer(p, opts.Dial)}
	l.callers = &callers{plan: p, balancer: l.balancer, recorder: l.recorder}
	l.watcher = newWatcher(p, opts.Dial, l.recorder)
	client := &http.Client{Timeout: dialTimeout + probeTimeout, Transport: newTransport(opts.Dial)}
	l.stepper = &stepper{plan: p, client: client, recorder: l.recorder, logf: opts.Logf}
	return l
}

func (l *load) close() {
	l.balancer.close()
	l.watcher.client.CloseIdleConnections()
	l.stepper.client.CloseIdleConnections()
}

func (l *load) run(ctx context.Context) (Judgement, error) {
	if err := l.balancer.awaitReady(ctx, l.opts.ReadyWithin); err != nil {
		return Judgement{}, err
	}
	l.recorder.start = time.Now()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	issuing, stopIssuing := context.WithTimeout(ctx, l.plan.Duration)
	defer stopIssuing()
	var background sync.WaitGroup
	background.Go(func() { l.watcher.routers(watching) })
	background.Go(func() { l.balancer.poll(watching) })
	background.Go(func() { l.stepper.run(issuing) })
	background.Go(func() { l.progress(watching) })
	if l.opts.Marks != "" {
		background.Go(func() { l.recorder.follow(watching, l.opts.Marks, l.opts.Logf) })
	}
	var reading sync.WaitGroup
	reading.Go(func() { l.watcher.standIns(watching) })
	l.callers.start(ctx, issuing)
	<-issuing.Done()
	issued := time.Now()
	l.callers.wg.Wait()
	stopWatching()
	background.Wait()
	reading.Wait()
	if err := l.lastRuns(ctx); err != nil {
		return Judgement{}, err
	}
	return l.recorder.judge(l.plan, issued), nil
}

// settleTime lets runs end whose callers have gone, such as those an engine keeps for a resume.
const settleTime = 3 * time.Second

func (l *load) lastRuns(ctx context.Context) error {
	wait(ctx, settleTime)
	return l.watcher.runs(ctx)
}

func (l *load) progress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		t := l.recorder.counted()
		open := t.Attempts - t.Answers - t.Refusals - t.Broken - t.Unreached
		l.opts.Logf("%3.0f s: %d requests, %d answered, %d open, %d refused, %d broken, %d resent, %d runs",
			time.Since(began).Seconds(), t.Requests, t.Answers, open, t.Refusals, t.Broken, t.Resends, t.Runs)
	}
}

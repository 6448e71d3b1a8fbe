package pomeloentry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// Config holds what an entry router is made of; Mesh is made from the settings when it is nil.
type Config struct {
	Settings pomelorelay.FleetSettings
	Platform pomelorelay.Platform
	Wire     pomelorelay.WireFormat
	Mesh     pomelorelay.Mesh
	Clock    pomelorelay.Clock
	Logger   pomelorelay.Logger
	// DisabledMechanisms are the mechanisms of placement that are switched off.
	DisabledMechanisms pomeloplace.Mechanisms
	// Incarnation marks this start; the clock's nanoseconds when zero.
	Incarnation pomelorelay.Incarnation
}

// Router is one router.
type Router struct {
	cfg         Config
	incarnation pomelorelay.Incarnation
	mesh        pomelorelay.Mesh
	forward     *pomeloforward.Handler
	metrics     *pomelometric.Metrics
	events      chan event

	cursor    cursor
	storeBack bell

	table atomic.Pointer[pomelotable.Table]
	// upstreams is the number of known upstreams.
	upstreams atomic.Int64
	// stopAt is the Unix nanosecond at which a planned stop ends the process, zero while none is planned.
	stopAt   atomic.Int64
	inFlight atomic.Int64
	// turn is how long, in nanoseconds, no update must have come until this router reads the store; zero for the first in turn.
	// updatedAt is the Unix nanosecond at which another router last sent an update.
	turn      atomic.Int64
	updatedAt atomic.Int64
	conns     atomic.Int64
	bounds    bounds
	// limit is how many requests the router takes at once; the control goroutine moves it.
	limit atomic.Int64
	// pressedAt is the Unix nanosecond at which the router last had nearly what it can take.
	pressedAt atomic.Int64
	// tickedAt is the Unix nanosecond of the control goroutine's last tick, tickLag how late it came.
	tickedAt atomic.Int64
	tickLag  atomic.Int64
	// laggedAt is the Unix nanosecond of the last tick that came late.
	laggedAt atomic.Int64

	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
	wg      sync.WaitGroup
	servers []*http.Server
	errs    chan error
}

// eventQueue is the length of the control goroutine's queue: several times the requests that a router has at once.
const eventQueue = 1024

// New makes a router and starts its goroutines; Listen opens its ports. It fails with the mesh's code.
func New(cfg Config) (*Router, error) {
	if cfg.Clock == nil {
		cfg.Clock = pomelorelay.SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	e := &Router{
		cfg:         cfg,
		bounds:      boundsOf(cfg.Settings),
		incarnation: cfg.Incarnation,
		metrics:     pomelometric.New(),
		events:      make(chan event, eventQueue),
		errs:        make(chan error, listeners),
	}
	if e.incarnation == 0 {
		e.incarnation = pomelorelay.Incarnation(cfg.Clock.Now().UnixNano())
	}
	if err := e.openMesh(); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.forward = pomeloforward.New(pomeloforward.Config{
		Clock:      cfg.Clock,
		Logger:     cfg.Logger,
		Wire:       cfg.Wire,
		Tables:     tables{e},
		Placement:  placement{e},
		Stopping:   stopping{e},
		Meter:      e.metrics,
		Left:       e.left,
		RetryRatio: cfg.Settings.RetryRatio,
		RetrySlack: cfg.Settings.RetrySlack,
	})
	e.limit.Store(e.bounds.first)
	e.tickedAt.Store(cfg.Clock.Now().UnixNano())
	c := newControl(e)
	e.start(func(context.Context) { c.run() })
	e.start(e.followStore)
	e.start(e.keepRegistered)
	return e, nil
}

func (e *Router) openMesh() error {
	if e.cfg.Mesh != nil {
		e.mesh = e.cfg.Mesh
		return nil
	}
	self := e.cfg.Settings.Self
	mesh, err := pomelomesh.New(pomelomesh.Config{
		Self:   pomelomesh.Self{Node: self.Node, Incarnation: e.incarnation, Domain: self.Domain, Region: self.Region},
		Listen: self.Addr,
		// The platform gives no certificates; its internal ports are closed to everyone but the fleet's own hosts.
		Insecure: true,
		Seed:     uint64(e.incarnation),
		Logger:   e.cfg.Logger,
	})
	if err != nil {
		return err
	}
	e.mesh = mesh
	return nil
}

// start runs f in a goroutine that Close waits for.
func (e *Router) start(f func(ctx context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f(e.ctx)
	}()
}

// post hands an event to the control goroutine; it reports false when the router has ended.
func (e *Router) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}

func (e *Router) log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	e.cfg.Logger.Log(id, fields...)
}

func field(key string, value any) pomelorelay.Field {
	return pomelorelay.Field{Key: key, Value: value}
}

// Ready reports whether the router takes requests.
func (e *Router) Ready() bool {
	return e.table.Load() != nil && e.upstreams.Load() > 0 && e.stopAt.Load() == 0 && !e.pressed()
}

// Close ends the router at once; Stop does so gracefully.
func (e *Router) Close() {
	e.once.Do(func() {
		for _, s := range e.servers {
			s.Close()
		}
		e.cancel()
		e.mesh.Close()
		e.wg.Wait()
		e.forward.Close()
	})
}

// tables implements pomeloforward.Tables.
type tables struct{ e *Router }

// Current returns the table in force.
func (t tables) Current() *pomelotable.Table { return t.e.table.Load() }

// stopping implements pomeloforward.Stopping.
type stopping struct{ e *Router }

// StopsIn returns the time until the process ends, false when no stop is planned.
func (s stopping) StopsIn() (time.Duration, bool) {
	at := s.e.stopAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(at - s.e.cfg.Clock.Now().UnixNano()), true
}

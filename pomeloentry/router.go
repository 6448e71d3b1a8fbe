package pomeloentry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelolistener"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// Config configures a router. A nil Mesh is created from Settings.
type Config struct {
	Settings pomelorelay.FleetSettings
	Platform pomelorelay.Platform
	Wire     pomelorelay.WireFormat
	Mesh     pomelorelay.Mesh
	Clock    pomelorelay.Clock
	// Steady returns the time since some moment before the router's start, whatever happens to the time of day; nil selects the system's
	// monotonic clock.
	Steady             func() time.Duration
	Logger             pomelorelay.Logger
	DisabledMechanisms pomeloplace.Mechanisms
	// Incarnation identifies this start of the router; zero selects the clock's Unix nanoseconds.
	Incarnation pomelorelay.Incarnation
}

// Router is a running router.
type Router struct {
	cfg         Config
	incarnation pomelorelay.Incarnation
	mesh        pomelorelay.Mesh
	forward     *pomeloforward.Handler
	metrics     *pomelometric.Metrics
	events      chan event
	// versionsAsked holds a value while requests wait for a read of the store; versionsUpTo is the store revision up to which the versions of upstreams
	// are known.
	versionsAsked chan struct{}
	versionsUpTo  atomic.Uint64

	cursor         cursor
	storeRecovered broadcast

	table         atomic.Pointer[pomelotable.Table]
	crashSnapshot atomic.Pointer[pomeloquarantine.CrashSnapshot]
	crashRecorder *crashRecorder
	// upstreams is the number of registered upstreams, peers that of the other routers.
	upstreams, peers atomic.Int64
	// The times below are nanoseconds of Config.Steady, because the time of day may jump.

	// stopAt is when a graceful stop ends requests without an answer; zero when none is in progress.
	stopAt   atomic.Int64
	inFlight atomic.Int64
	// readDelay is the time in nanoseconds without an update after which this router reads the store; zero if it reads continuously.
	// lastUpdateAt is when the last update from another router was applied; longAgo if there was none. storeReadAt is when the read of the store
	// began that produced this router's state: its own, or that of the router whose update it applied.
	readDelay    atomic.Int64
	lastUpdateAt atomic.Int64
	storeReadAt  atomic.Int64
	hostLimits   hostLimits
	// clients is the account of what all connections that others open hold, callers the port of callers' connections.
	clients *pomelolistener.Pool
	callers *pomelolistener.Port
	// requestLimit is the maximum number of concurrent requests; the control goroutine adapts it.
	requestLimit atomic.Int64
	// nearCapacityAt is when the router was last close to its capacity.
	nearCapacityAt atomic.Int64
	overload       *overload
	// lastTickAt is when the control goroutine last ticked, tickLag the delay of that tick in nanoseconds.
	lastTickAt atomic.Int64
	tickLag    atomic.Int64
	// lastLateTickAt is when the last late tick was.
	lastLateTickAt atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	// finalAnswers ends when requests without an answer must end; endAnswers ends it.
	finalAnswers context.Context
	endAnswers   context.CancelFunc

	closeOnce sync.Once
	wg        sync.WaitGroup
	servers   []*http.Server
	errs      chan error
}

// longAgo stands for the time of what has never been; it is before the router's start by more than any time that the router waits.
const longAgo = -int64(time.Hour)

// eventQueueLength is the capacity of the control goroutine's event queue: several times the usual number of concurrent requests of a
// router.
const eventQueueLength = 1024

// New creates a router and starts its goroutines; Listen opens its ports. It fails with the mesh's result code when the mesh cannot be
// opened.
func New(cfg Config) (*Router, error) {
	if cfg.Clock == nil {
		cfg.Clock = pomelorelay.SystemClock{}
	}
	if cfg.Steady == nil {
		began := time.Now()
		cfg.Steady = func() time.Duration { return time.Since(began) }
	}
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	e := &Router{
		cfg:        cfg,
		hostLimits: hostLimitsOf(cfg.Settings),
		clients: pomelolistener.New(pomelolistener.Config{
			Memory:     pomelorelay.Bytes(clientMemoryFraction * float64(cfg.Settings.MemoryLimit)),
			BodyMemory: pomelorelay.Bytes(bodyMemoryFraction * float64(cfg.Settings.MemoryLimit)),
		}),
		incarnation:   cfg.Incarnation,
		metrics:       pomelometric.New(),
		events:        make(chan event, eventQueueLength),
		versionsAsked: make(chan struct{}, 1),
		errs:          make(chan error, listenerCount),
		overload:      newOverload(),
	}
	e.callers = e.clients.NewPort(e.callerPort())
	if e.incarnation == 0 {
		e.incarnation = pomelorelay.Incarnation(cfg.Clock.Now().UnixNano())
	}
	if err := e.openMesh(); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.finalAnswers, e.endAnswers = context.WithCancel(context.Background())
	e.forward = pomeloforward.New(pomeloforward.Config{
		Clock:        cfg.Clock,
		Logger:       cfg.Logger,
		Wire:         cfg.Wire,
		Tables:       tables{e},
		Placement:    placement{e},
		Crashes:      crashGuard{e},
		Shutdown:     stopping{e},
		Fleet:        fleetSize{e},
		Meter:        e.metrics,
		CallerGone:   e.callerGone,
		ResetOnClose: resetOnClose,
		RetryRatio:   cfg.Settings.RetryRatio,
		RetrySlack:   cfg.Settings.RetrySlack,
		ChargeBody:   chargeBody,
		AnswerMemory: pomelorelay.Bytes(answerMemoryFraction * float64(cfg.Settings.MemoryLimit)),
	})
	e.crashRecorder = newCrashRecorder(e)
	e.requestLimit.Store(e.hostLimits.initialRequests)
	e.lastTickAt.Store(e.steady())
	e.lastUpdateAt.Store(longAgo)
	e.storeReadAt.Store(longAgo)
	e.lastLateTickAt.Store(longAgo)
	e.nearCapacityAt.Store(longAgo)
	c := newControl(e)
	e.start(func(context.Context) { c.run() })
	e.start(e.readStoreLoop)
	e.start(e.checkVersions)
	e.start(e.keepRegistered)
	e.start(e.crashRecorder.keep)
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
		// The platform issues no certificates; only the fleet's own hosts can reach its internal ports.
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

// steady returns the time of Config.Steady in nanoseconds.
func (e *Router) steady() int64 { return int64(e.cfg.Steady()) }

// start runs f in a goroutine that Close waits for.
func (e *Router) start(f func(ctx context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f(e.ctx)
	}()
}

// post sends an event to the control goroutine. It returns false when the router is closed.
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

// Ready reports whether the router accepts requests.
func (e *Router) Ready() bool {
	return e.table.Load() != nil && e.upstreams.Load() > 0 && e.stopAt.Load() == 0 && e.inRotation()
}

// inRotation reports whether the router has capacity for the load balancer's callers. While its processor is overloaded, only the overload control
// decides, since all routers of a domain could be overloaded at once.
func (e *Router) inRotation() bool {
	if e.overload.away.Load() {
		return false
	}
	if e.overload.limited.Load() {
		return !e.connsNearCapacity()
	}
	return !e.nearCapacity()
}

// Close stops the router immediately, without waiting for requests; Stop shuts it down gracefully.
func (e *Router) Close() {
	e.closeOnce.Do(func() {
		e.clients.Close()
		for _, s := range e.servers {
			s.Close()
		}
		e.cancel()
		e.mesh.Close()
		e.wg.Wait()
		e.forward.Close()
		e.endAnswers()
	})
}

// tables implements pomeloforward.TableSource.
type tables struct{ e *Router }

// Current returns the route table in force, or nil.
func (t tables) Current() *pomelotable.Table { return t.e.table.Load() }

// fleetSize implements pomeloforward.FleetSize.
type fleetSize struct{ e *Router }

// Routers returns the number of routers that this router knows, itself included.
func (s fleetSize) Routers() int { return int(s.e.peers.Load()) + 1 }

// stopping implements pomeloforward.ShutdownState.
type stopping struct{ e *Router }

// FinalAnswers returns a context that is done once requests without an answer must end.
func (s stopping) FinalAnswers() context.Context { return s.e.finalAnswers }

// Elapsed returns the time since the stop began; zero when none is in progress.
func (s stopping) Elapsed() time.Duration {
	left, stopping := s.TimeLeft()
	if !stopping {
		return 0
	}
	return untilFinalAnswers(s.e.cfg.Settings.StopTimeout) - left
}

// TimeLeft returns the time until FinalAnswers is done, and false when no stop is in progress.
func (s stopping) TimeLeft() (time.Duration, bool) {
	at := s.e.stopAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(at - s.e.steady()), true
}

package pomelonode

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// Config configures a Node. Store, HostList and Mesh are created from Settings if nil. A nil Clock selects the system clock; a nil Logger
// discards the log.
type Config struct {
	Settings pomeloconfig.Settings
	Store    pomelorelay.Store
	HostList pomelorelay.HostList
	Mesh     pomelorelay.Mesh
	Clock    pomelorelay.Clock
	Logger   pomelorelay.Logger
	// Incarnation identifies this start of the router; zero means the clock's Unix nanoseconds.
	Incarnation pomelorelay.Incarnation
}

// counters holds the counters that /debug/vars publishes.
type counters struct {
	sendsRefused    atomic.Uint64
	hostReadsFailed atomic.Uint64
	refusedStopping atomic.Uint64
}

// Node is a router.
type Node struct {
	cfg               Config
	self              pomelorelay.Peer
	incarnation       pomelorelay.Incarnation
	ledgerShards      uint32
	mesh              pomelorelay.Mesh
	callerHandler     *pomeloroute.Handler
	loadClient        *http.Client
	mail              *mailbox
	hostReadRequested chan struct{}
	bypass            bypassSlots
	lastAttemptID     atomic.Uint64
	counters          counters

	traffic        atomic.Pointer[trafficView]
	suspects       atomic.Pointer[pomeloquarantine.Snapshot]
	crashedParts   atomic.Pointer[pomeloquarantine.CrashSnapshot]
	status         atomic.Pointer[status]
	heartbeat      atomic.Int64
	watchingConfig atomic.Bool
	stopping       atomic.Bool
	// stopLate is set if a stop ended requests that had no answer.
	stopLate atomic.Bool
	// leaving is the set of upstreams that the last host list shows as leaving.
	leaving  atomic.Pointer[map[pomelorelay.UpstreamID]bool]
	inFlight atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	// finalAnswers ends when requests without an answer must end; endAnswers ends it.
	finalAnswers context.Context
	endAnswers   context.CancelFunc

	closing   chan struct{}
	drained   chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
	servers   []*http.Server
	errs      chan error
}

// New creates a router and starts its goroutines; Listen opens its ports. It fails if the store client or the mesh cannot be created.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:               cfg,
		mail:              newMailbox(),
		hostReadRequested: make(chan struct{}, 1),
		bypass:            bypassSlots{busy: make(map[pomelorelay.UpstreamID]bool)},
		closing:           make(chan struct{}),
		drained:           make(chan struct{}),
		errs:              make(chan error, 2),
	}
	if err := n.complete(); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.finalAnswers, n.endAnswers = context.WithCancel(context.Background())
	n.loadClient = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: int64(cfg.Settings.Limits.HeaderBytes),
	}}
	n.callerHandler = pomeloroute.New(pomeloroute.Config{
		Node:         n.self.Node,
		Incarnation:  n.incarnation,
		Clock:        n.cfg.Clock,
		Logger:       n.cfg.Logger,
		ConfigSource: configSource{n},
		Admission:    admission{n},
		Claims:       claims{n},
		Suspects:     suspects{n},
		FinalAnswers: n.finalAnswers,
		Options: pomeloroute.Options{
			MaxHeaderBytes:    cfg.Settings.Limits.HeaderBytes,
			MaxBody:           cfg.Settings.Limits.BodyBytes,
			MaxBufferedBodies: cfg.Settings.Limits.BufferedBytes,
		},
	})
	c := newControl(n)
	n.suspects.Store(c.quarantine.Snapshot())
	n.crashedParts.Store(c.crashedParts.log.Snapshot())
	n.status.Store(&status{Node: n.self.Node})
	n.heartbeat.Store(n.cfg.Clock.Now().UnixNano())
	n.start(func(context.Context) { c.run() })
	n.start(n.readHosts)
	n.start(n.watchRoot)
	return n, nil
}

// complete sets the defaults of the configuration and opens the store, the host list and the mesh.
func (n *Node) complete() error {
	s := n.cfg.Settings
	if n.cfg.Clock == nil {
		n.cfg.Clock = pomelorelay.SystemClock{}
	}
	if n.cfg.Logger == nil {
		n.cfg.Logger = pomelorelay.NopLogger{}
	}
	n.incarnation = n.cfg.Incarnation
	if n.incarnation == 0 {
		n.incarnation = pomelorelay.Incarnation(n.cfg.Clock.Now().UnixNano())
	}
	n.self = pomelorelay.Peer{Node: s.Host.Name, Addr: s.Listen.Control, Domain: s.Host.FailureDomain, Region: s.Host.Region}
	n.ledgerShards = uint32(s.Control.Shards)
	if err := n.openStore(); err != nil {
		return err
	}
	return n.openMesh()
}

func (n *Node) openStore() error {
	s := n.cfg.Settings
	if n.cfg.Store == nil {
		store, err := pomelostore.New(pomelostore.Config{
			Addresses:      s.Store.Addresses,
			Timeout:        s.Store.Timeout,
			CallsPerSecond: s.Store.CallsPerSecond,
			Clock:          n.cfg.Clock,
			Logger:         n.cfg.Logger,
		})
		if err != nil {
			return err
		}
		n.cfg.Store = store
	}
	if n.cfg.HostList == nil {
		hosts, err := pomelostore.New(pomelostore.Config{
			Addresses: s.HostList.Addresses,
			Timeout:   s.HostList.Timeout,
			Clock:     n.cfg.Clock,
			Logger:    n.cfg.Logger,
		})
		if err != nil {
			return err
		}
		n.cfg.HostList = hosts
	}
	return nil
}

func (n *Node) openMesh() error {
	s := n.cfg.Settings
	if n.cfg.Mesh != nil {
		n.mesh = n.cfg.Mesh
		return nil
	}
	mesh, err := pomelomesh.New(pomelomesh.Config{
		Self:           pomelomesh.Self{Node: n.self.Node, Incarnation: n.incarnation, Domain: n.self.Domain, Region: n.self.Region},
		Listen:         s.Listen.Control,
		TLS:            pomelomesh.TLSFiles{Certificate: s.TLS.CertFile, Key: s.TLS.KeyFile, Authority: s.TLS.AuthorityFile},
		Insecure:       s.TLS.Insecure,
		BytesPerSecond: [pomelorelay.LinkClassCount]pomelorelay.Bytes{s.Control.DomainBytes, s.Control.RegionBytes, s.Control.CrossBytes},
		Seed:           uint64(n.incarnation),
		Logger:         n.cfg.Logger,
	})
	if err != nil {
		return err
	}
	n.mesh = mesh
	return nil
}

// start runs f in a goroutine that Close waits for.
func (n *Node) start(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.ctx)
	}()
}

func (n *Node) log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	n.cfg.Logger.Log(id, fields...)
}

func field(key string, value any) pomelorelay.Field { return pomelorelay.Field{Key: key, Value: value} }

// isControlStalled reports whether the control goroutine's heartbeat is older than stallThreshold.
func (n *Node) isControlStalled() bool {
	return n.cfg.Clock.Now().UnixNano()-n.heartbeat.Load() > int64(stallThreshold)
}

// Ready reports whether the router accepts requests.
func (n *Node) Ready() bool { return n.traffic.Load() != nil && !n.stopping.Load() }

// Close stops the router immediately, without waiting for requests in progress; it always returns nil.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		for _, s := range n.servers {
			s.Close()
		}
		close(n.closing)
		n.cancel()
		n.mesh.Close()
		n.wg.Wait()
		n.callerHandler.Close()
		n.endAnswers()
	})
	return nil
}

// configSource implements pomeloroute.ConfigSource.
type configSource struct{ n *Node }

// Current returns the active configuration, nil before the first one.
func (s configSource) Current() pomeloroute.Snapshot {
	view := s.n.traffic.Load()
	if view == nil || view.snapshot == nil {
		return nil
	}
	return view
}

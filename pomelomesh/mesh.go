package pomelomesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// watchEvery is the interval at which links are checked for silence, idleness and owed signs of life.
const watchEvery = 100 * time.Millisecond

// maxPeers bounds the routers that are known at once, unlisted ones included.
const maxPeers = 4096

// Mesh implements pomelorelay.Mesh over grpc.
type Mesh struct {
	cfg        Config
	keys       *keys
	listener   *countedListener
	server     *grpc.Server
	inbox      chan pomelorelay.Envelope
	budgets    [pomelorelay.LinkClassCount]*budget
	generation atomic.Uint64
	counters   counters
	kinds      kindCounters
	overBudget atomic.Int64 // Unix nanoseconds of the last notice

	strangersMu sync.Mutex
	strangers   map[netip.Addr]time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	peers  map[pomelorelay.NodeID]*peer
	closed bool
	// contacting holds the addresses that are being dialled without knowing who answers there.
	contacting map[netip.AddrPort]bool
}

var _ pomelorelay.Mesh = (*Mesh)(nil)

// New listens and returns a Mesh; it fails with CodeMeshTLS when the keys cannot be used and with CodeMeshListen when
// the address cannot be listened on.
func New(cfg Config) (*Mesh, error) {
	cfg = cfg.withDefaults()
	m := &Mesh{cfg: cfg, inbox: make(chan pomelorelay.Envelope, cfg.Inbox), peers: make(map[pomelorelay.NodeID]*peer), strangers: make(map[netip.Addr]time.Time), contacting: make(map[netip.AddrPort]bool)}
	if err := m.loadKeys(); err != nil {
		return nil, err
	}
	for class := range m.budgets {
		m.budgets[class] = newBudget(cfg.BytesPerSecond[class], time.Now())
	}
	listener, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeMeshListen, cfg.Listen.String(), err)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.listener = &countedListener{Listener: listener, m: m, conns: make(map[string]*countedConn)}
	m.server = grpc.NewServer(m.serverOptions()...)
	pomelowire.RegisterMeshServer(m.server, &service{m: m})
	m.running.Go(func() { _ = m.server.Serve(m.listener) })
	m.running.Go(func() { m.watch() })
	return m, nil
}

func (m *Mesh) loadKeys() error {
	if m.cfg.TLS == (TLSFiles{}) {
		if m.cfg.Insecure {
			return nil
		}
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "no key files and not set to Insecure", nil)
	}
	keys, err := loadKeys(m.cfg.TLS, m.cfg.Logger)
	m.keys = keys
	return err
}

func (m *Mesh) serverOptions() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(frameCodec{}),
		grpc.MaxRecvMsgSize(maxFrameBytes),
		grpc.MaxConcurrentStreams(1),
		grpc.ConnectionTimeout(m.cfg.Timing.Connect),
		grpc.ReadBufferSize(connBuffer),
		grpc.WriteBufferSize(connBuffer),
		grpc.InitialWindowSize(flowWindow),
		grpc.InitialConnWindowSize(flowWindow),
		grpc.WaitForHandlers(true),
	}
	if m.keys == nil {
		return append(options, grpc.Creds(insecure.NewCredentials()))
	}
	return append(options, grpc.Creds(serverCredentials{credentials.NewTLS(m.keys.server())}))
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetPeers replaces the peers that the mesh may connect to. A router that is no longer among them is not dialled, but
// a link that it opens itself is taken and may be answered: the host list lags.
func (m *Mesh) SetPeers(peers []pomelorelay.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[pomelorelay.NodeID]bool, len(peers))
	for _, info := range peers {
		if info.Node == m.cfg.Self.Node {
			continue
		}
		listed[info.Node] = true
		if p := m.peerLocked(info.Node); p != nil {
			p.list(info)
		}
	}
	for node, p := range m.peers {
		if !listed[node] {
			p.unlist()
		}
	}
}

// peerLocked returns the peer's state and makes it when there is none; nil when the mesh is closed or the bound is reached.
func (m *Mesh) peerLocked(node pomelorelay.NodeID) *peer {
	if p, ok := m.peers[node]; ok {
		return p
	}
	if m.closed || len(m.peers) >= maxPeers {
		return nil
	}
	p := newPeer(m, node)
	m.peers[node] = p
	return p
}

// SetGeneration sets the configuration generation that rides on every envelope.
func (m *Mesh) SetGeneration(generation pomelorelay.Generation) {
	m.generation.Store(uint64(generation))
}

// Send queues a message and never blocks; it fails with CodeMeshUnknownPeer, CodeMeshQueueFull or CodeMeshMalformed.
func (m *Mesh) Send(to pomelorelay.NodeID, message pomelorelay.Message) error {
	data, err := EncodeMessage(message)
	if err != nil {
		return err
	}
	m.mu.Lock()
	p := m.peers[to]
	m.mu.Unlock()
	if p == nil {
		return pomelorelay.NewError(pomelorelay.CodeMeshUnknownPeer, string(to), nil)
	}
	m.kinds.note(data)
	return p.send(&queued{data: data, key: message.CoalesceKey(), urgency: message.Urgency()})
}

// Receive returns the channel of messages that arrived.
func (m *Mesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

// Traffic returns the bytes counted by link class since the start.
func (m *Mesh) Traffic() [pomelorelay.LinkClassCount]pomelorelay.LinkBytes {
	var traffic [pomelorelay.LinkClassCount]pomelorelay.LinkBytes
	for class, b := range m.budgets {
		traffic[class].Sent = pomelorelay.Bytes(b.written.Load())
		traffic[class].Received = pomelorelay.Bytes(b.read.Load())
	}
	return traffic
}

// Close ends every connection.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil
	}
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.server.Stop()
	m.running.Wait()
	return nil
}

// watch checks every link until the mesh closes.
func (m *Mesh) watch() {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.check(now)
			if m.keys != nil {
				m.keys.look(now)
			}
		}
	}
}

func (m *Mesh) check(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, p := range m.peers {
		if p.check(now) {
			delete(m.peers, node)
		}
	}
}

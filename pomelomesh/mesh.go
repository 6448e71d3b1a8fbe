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

// linkCheckInterval is how often links are checked for missing acknowledgements, idleness and due keepalives.
const linkCheckInterval = 100 * time.Millisecond

// maxPeers bounds the number of known peers, including those that are not on the peer list.
const maxPeers = 4096

// Mesh implements pomelorelay.Mesh over gRPC streams.
type Mesh struct {
	cfg               Config
	began             time.Time
	keys              *keys
	listener          *countedListener
	server            *grpc.Server
	inbox             chan pomelorelay.Envelope
	budgets           [pomelorelay.LinkClassCount]*budget
	generation        atomic.Uint64
	counters          counters
	kinds             kindCounters
	lastOverBudgetLog atomic.Int64 // Unix nanoseconds of the last log entry about an exhausted byte budget

	unidentifiedMu     sync.Mutex
	unidentifiedLogged map[netip.Addr]time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	peers  map[pomelorelay.NodeID]*peer
	closed bool
	// contactsInProgress holds the addresses that SendToAddr is dialling.
	contactsInProgress map[netip.AddrPort]bool
}

var _ pomelorelay.Mesh = (*Mesh)(nil)

// New starts a Mesh that listens on cfg.Listen. It fails with CodeMeshTLS when the key files cannot be used and with
// CodeMeshListen when it cannot listen on the address.
func New(cfg Config) (*Mesh, error) {
	cfg = cfg.withDefaults()
	m := &Mesh{cfg: cfg, began: time.Now(), inbox: make(chan pomelorelay.Envelope, cfg.InboxSize), peers: make(map[pomelorelay.NodeID]*peer), unidentifiedLogged: make(map[netip.Addr]time.Time), contactsInProgress: make(map[netip.AddrPort]bool)}
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
	m.running.Go(func() { m.checkLoop() })
	return m, nil
}

func (m *Mesh) loadKeys() error {
	if m.cfg.TLS == (TLSFiles{}) {
		if m.cfg.Insecure {
			return nil
		}
		return pomelorelay.NewError(pomelorelay.CodeMeshTLS, "no key files are configured and Insecure is not set", nil)
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
		grpc.ConnectionTimeout(m.cfg.Timing.ConnectTimeout),
		grpc.ReadBufferSize(connBufferSize),
		grpc.WriteBufferSize(connBufferSize),
		grpc.MaxHeaderListSize(maxHeaderListSize),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.WaitForHandlers(true),
	}
	if m.keys == nil {
		return append(options, grpc.Creds(insecure.NewCredentials()))
	}
	return append(options, grpc.Creds(serverCredentials{credentials.NewTLS(m.keys.serverConfig())}))
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetPeers replaces the list of peers that the mesh dials. A link opened by a router that is not listed is still
// accepted and used for replies, because the host list lags.
func (m *Mesh) SetPeers(peers []pomelorelay.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[pomelorelay.NodeID]bool, len(peers))
	for _, info := range peers {
		if info.Node == m.cfg.Self.Node {
			continue
		}
		listed[info.Node] = true
		if p := m.peerOrNewLocked(info.Node); p != nil {
			p.setListed(info)
		}
	}
	for node, p := range m.peers {
		if !listed[node] {
			p.setUnlisted()
		}
	}
}

// peerOrNewLocked returns the peer, creating it if necessary; nil when the mesh is closed or at maxPeers.
func (m *Mesh) peerOrNewLocked(node pomelorelay.NodeID) *peer {
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

// SetGeneration sets the configuration generation that is sent in every frame.
func (m *Mesh) SetGeneration(generation pomelorelay.Generation) {
	m.generation.Store(uint64(generation))
}

// Send queues a message without blocking; it fails with CodeMeshUnknownPeer, CodeMeshQueueFull or CodeMeshMalformed.
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
	m.kinds.record(data)
	return p.send(&queuedMessage{data: data, key: message.CoalesceKey(), urgency: message.Urgency()})
}

// Receive returns the channel of received messages.
func (m *Mesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

// Traffic returns the bytes sent and received since the start, by link class.
func (m *Mesh) Traffic() [pomelorelay.LinkClassCount]pomelorelay.LinkBytes {
	var traffic [pomelorelay.LinkClassCount]pomelorelay.LinkBytes
	for class, b := range m.budgets {
		traffic[class].Sent = pomelorelay.Bytes(b.written.Load())
		traffic[class].Received = pomelorelay.Bytes(b.read.Load())
	}
	return traffic
}

// steady returns the time since the mesh was opened in nanoseconds, above zero; it does not follow the time of day.
func (m *Mesh) steady() int64 { return int64(time.Since(m.began)) + 1 }

// Close closes every connection and waits for the mesh's goroutines.
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

// checkLoop checks links and key files until the mesh is closed.
func (m *Mesh) checkLoop() {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.check()
			if m.keys != nil {
				m.keys.poll(now)
			}
		}
	}
}

func (m *Mesh) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for node, p := range m.peers {
		if p.check() {
			delete(m.peers, node)
		}
	}
}

package pomelomesh

import (
	"context"
	"net"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// connBufferSize is the size of a connection's read and write buffers; it is small because there are many links and
// control messages are short.
const connBufferSize = 4 << 10

// maxHeaderListSize limits the header fields of a link in bytes, as HTTP/2 counts them.
const maxHeaderListSize = 16 << 10

// dial opens a link and waits for the exchange of hellos.
func (p *peer) dial() {
	p.m.counters.dialled.Add(1)
	p.mu.Lock()
	info := p.info
	p.mu.Unlock()
	l, err := p.m.open(info)
	if err != nil {
		p.m.cfg.Logger.Log(pomelorelay.EventMeshLinkDown, pomelorelay.Field{Key: "Node", Value: p.node}, pomelorelay.Field{Key: "Error", Value: err.Error()})
		p.backOff(time.Now())
		return
	}
	p.mu.Lock()
	if p.sendLink == nil {
		p.sendLink = l
	}
	p.mu.Unlock()
}

// open connects to a peer, exchanges hellos and starts reading; it fails after ConnectTimeout.
func (m *Mesh) open(info pomelorelay.Peer) (*link, error) {
	conn, err := grpc.NewClient("passthrough:///"+info.Addr.String(), m.dialOptions(info)...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(m.ctx)
	timer := time.AfterFunc(m.cfg.Timing.ConnectTimeout, cancel)
	l, err := m.openLink(ctx, conn, info)
	if err == nil && !timer.Stop() {
		l.cancel()
	}
	if err != nil {
		cancel()
		conn.Close()
		return nil, err
	}
	m.running.Go(func() {
		defer conn.Close()
		defer cancel()
		_ = m.serveJoined(l)
	})
	return l, nil
}

func (m *Mesh) openLink(ctx context.Context, conn *grpc.ClientConn, info pomelorelay.Peer) (*link, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := pomelowire.NewMeshClient(conn).Link(ctx, grpc.ForceCodecV2(frameCodec{}))
	if err != nil {
		cancel()
		return nil, err
	}
	l := m.newLink(ctx, stream)
	l.cancel = cancel
	l.ctx = ctx
	if err := l.exchangeHellos(info.Node); err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

func (l *link) exchangeHellos(node pomelorelay.NodeID) error {
	if err := l.stream.SendMsg(l.m.hello()); err != nil {
		return err
	}
	frame := new(pomelowire.Frame)
	if err := l.stream.RecvMsg(frame); err != nil {
		return err
	}
	hello := frame.GetHello()
	if hello.GetNode() == "" || hello.GetNode() == string(l.m.cfg.Self.Node) || hasLongName(hello) {
		return l.m.refuseLink(hello.GetNode(), "node name is empty or this router's own, or a name is too long")
	}
	if node != "" && hello.GetNode() != string(node) {
		return l.m.refuseLink(hello.GetNode(), "unexpected node name: another router answers at the address")
	}
	return l.m.join(l, hello)
}

func (m *Mesh) dialOptions(info pomelorelay.Peer) []grpc.DialOption {
	class := m.linkClass(info)
	dialer := net.Dialer{LocalAddr: m.localAddr()}
	options := []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return m.newCountedConn(conn, class, func() {}), nil
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes)),
		grpc.WithReadBufferSize(connBufferSize),
		grpc.WithWriteBufferSize(connBufferSize),
		grpc.WithMaxHeaderListSize(maxHeaderListSize),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(0),
	}
	if m.keys == nil {
		return append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}
	return append(options, grpc.WithTransportCredentials(credentials.NewTLS(m.keys.clientConfig(info.Node))))
}

// localAddr returns the local address for outgoing connections: the listen address, so that peers and middleboxes see
// which router connects, or nil when the mesh listens on all addresses.
func (m *Mesh) localAddr() net.Addr {
	if m.cfg.Listen.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: m.cfg.Listen.Addr().AsSlice()}
}

package pomelomesh

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// service implements the gRPC service that accepts links from other routers.
type service struct {
	pomelowire.UnimplementedMeshServer
	m *Mesh
}

// Link serves one link until it ends; it fails when no hello arrives within ConnectTimeout.
func (s *service) Link(stream grpc.BidiStreamingServer[pomelowire.Frame, pomelowire.Frame]) error {
	l := s.m.newLink(stream.Context(), stream)
	defer l.cancel()
	joined := make(chan struct{})
	ended := make(chan error, 1)
	s.m.running.Go(func() { ended <- s.m.serveLink(stream.Context(), l, joined) })
	timer := time.NewTimer(s.m.cfg.Timing.ConnectTimeout)
	defer timer.Stop()
	select {
	case <-joined:
	case err := <-ended:
		return err
	case <-timer.C:
		return status.Error(codes.DeadlineExceeded, "no hello")
	}
	select {
	case err := <-ended:
		return err
	case <-l.ctx.Done():
		return status.Error(codes.Unavailable, "link ended")
	case <-s.m.ctx.Done():
		return status.Error(codes.Unavailable, "closing")
	}
}

func (m *Mesh) serveLink(ctx context.Context, l *link, joined chan<- struct{}) error {
	frame := new(pomelowire.Frame)
	if err := l.stream.RecvMsg(frame); err != nil {
		return err
	}
	remote, known := grpcpeer.FromContext(ctx)
	if known {
		m.listener.setIdentified(remote.Addr.String())
	}
	hello := frame.GetHello()
	if err := m.checkHello(ctx, hello); err != nil {
		return err
	}
	if err := l.stream.SendMsg(m.hello()); err != nil {
		return err
	}
	if err := m.join(l, hello); err != nil {
		return err
	}
	if known {
		m.listener.setClass(remote.Addr.String(), l.class)
	}
	close(joined)
	return m.serveJoined(l)
}

// serveJoined reads from a joined link until it ends, then detaches it.
func (m *Mesh) serveJoined(l *link) error {
	node := pomelorelay.Field{Key: "Node", Value: l.peer.node}
	m.cfg.Logger.Log(pomelorelay.EventMeshLinkUp, node)
	err := l.read()
	l.cancel()
	l.peer.detach(l)
	m.counters.broken.Add(1)
	m.cfg.Logger.Log(pomelorelay.EventMeshLinkDown, node, pomelorelay.Field{Key: "Error", Value: err.Error()})
	return err
}

func (m *Mesh) hello() *pomelowire.Frame {
	self := m.cfg.Self
	return &pomelowire.Frame{Generation: m.generation.Load(), Hello: &pomelowire.Hello{
		Node: string(self.Node), Incarnation: uint64(self.Incarnation), Domain: string(self.Domain), Region: string(self.Region),
	}}
}

// checkHello verifies that the dialling router's certificate is valid for the node name in its hello. Otherwise a router
// with a certificate of its own or a copied settings file could report service and receive grants under another
// router's name, and the two would appear as one flapping router.
func (m *Mesh) checkHello(ctx context.Context, hello *pomelowire.Hello) error {
	if hello.GetNode() == "" || hello.GetNode() == string(m.cfg.Self.Node) || hasLongName(hello) {
		return m.refuseLink(hello.GetNode(), "name")
	}
	if m.keys == nil {
		return nil
	}
	certificate := clientCertificate(ctx)
	if certificate == nil || certificate.VerifyHostname(hello.GetNode()) != nil {
		return m.refuseLink(hello.GetNode(), "certificate is of another name")
	}
	return nil
}

func hasLongName(hello *pomelowire.Hello) bool {
	return max(len(hello.GetNode()), len(hello.GetDomain()), len(hello.GetRegion())) > pomelorelay.MaxNameBytes
}

func clientCertificate(ctx context.Context) *x509.Certificate {
	remote, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := remote.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return nil
	}
	return info.State.PeerCertificates[0]
}

func (m *Mesh) refuseLink(node, reason string) error {
	m.cfg.Logger.Log(pomelorelay.EventMeshRefused, pomelorelay.Field{Key: "Node", Value: node}, pomelorelay.Field{Key: "Reason", Value: reason})
	return status.Error(codes.PermissionDenied, reason)
}

// join attaches a link to the peer named in the hello.
func (m *Mesh) join(l *link, hello *pomelowire.Hello) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerOrNewLocked(pomelorelay.NodeID(hello.GetNode()))
	if p == nil {
		return m.refuseLink(hello.GetNode(), "too many routers or closing")
	}
	l.peer = p
	l.incarnation = pomelorelay.Incarnation(hello.GetIncarnation())
	l.domain = pomelorelay.DomainID(hello.GetDomain())
	l.region = pomelorelay.RegionID(hello.GetRegion())
	l.class = p.classify(hello)
	if !p.attach(l, l.incarnation) {
		m.counters.stale.Add(1)
		return m.refuseLink(hello.GetNode(), "a later incarnation is known")
	}
	return nil
}

// classify returns the link class; for an unlisted peer it takes the domain and region from the hello.
func (p *peer) classify(hello *pomelowire.Hello) pomelorelay.LinkClass {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		p.info.Domain = pomelorelay.DomainID(hello.GetDomain())
		p.info.Region = pomelorelay.RegionID(hello.GetRegion())
	}
	return p.m.linkClass(p.info)
}

func (m *Mesh) linkClass(info pomelorelay.Peer) pomelorelay.LinkClass {
	switch {
	case info.Domain == m.cfg.Self.Domain:
		return pomelorelay.LinkSameDomain
	case info.Region == m.cfg.Self.Region:
		return pomelorelay.LinkSameRegion
	default:
		return pomelorelay.LinkCrossRegion
	}
}

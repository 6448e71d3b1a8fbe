package pomelomesh_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

// tcpProxy forwards connections to target. With discard set it drops what it reads without closing either side; with
// slow set it delays each read by 16 ms.
type tcpProxy struct {
	net.Listener
	target  netip.AddrPort
	discard atomic.Bool
	slow    atomic.Bool
	mu      sync.Mutex
	conns   []net.Conn
}

func startProxy(t *testing.T, target netip.AddrPort) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{Listener: listener, target: target}
	t.Cleanup(p.close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(conn)
		}
	}()
	return p
}

func (p *tcpProxy) addr() netip.AddrPort { return netip.MustParseAddrPort(p.Addr().String()) }

func (p *tcpProxy) forward(conn net.Conn) {
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn, far)
	go func() { p.copy(far, conn) }()
	go func() { p.copy(conn, far) }()
}

func (p *tcpProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil && !p.discard.Load() {
			to.Close()
			return
		}
		if err != nil {
			return
		}
		if p.slow.Load() {
			time.Sleep(16 * time.Millisecond)
		}
		if !p.discard.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (p *tcpProxy) close() {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

func TestHalfOpenLinkIsDetected(t *testing.T) {
	// A failed switch drops every packet while both ends keep the connection open. Writes succeed for minutes while callers
	// wait for grants that never arrive.
	b := start(t, config("r2", 1))
	p := startProxy(t, b.Addr())
	cfg := config("r1", 1)
	cfg.Timing = pomelomesh.Timing{AckTimeout: 300 * time.Millisecond, AckDelay: 50 * time.Millisecond, BackoffMax: 200 * time.Millisecond}
	a := start(t, cfg)
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", p.addr())})
	send(t, a, "r2", &pomelorelay.Probe{Seq: 1})
	receive(t, b)
	p.discard.Store(true)
	send(t, a, "r2", &pomelorelay.Probe{Seq: 2})
	eventually(t, "broken link", func() bool { return a.Counters().Broken == 1 })
	p.discard.Store(false)
	eventually(t, "message over a new link", func() bool {
		_ = a.Send("r2", &pomelorelay.Probe{Seq: 3})
		return len(b.Receive()) > 0
	})
	if e := receive(t, b); e.Message.(*pomelorelay.Probe).Seq != 3 {
		t.Errorf("received %+v, want probe 3", e)
	}
}

func TestLargeMessageArrivesOnSlowLink(t *testing.T) {
	// On a slow link the transfer of a configuration part takes longer than AckTimeout. If the timeout broke the link during
	// the transfer, the receiving router would never get the part.
	b := start(t, config("r2", 1))
	p := startProxy(t, b.Addr())
	p.slow.Store(true)
	cfg := config("r1", 1)
	cfg.Timing.AckTimeout = 300 * time.Millisecond
	a := start(t, cfg)
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", p.addr())})
	send(t, a, "r2", &pomelorelay.ConfigPush{Parts: [][]byte{make([]byte, 256<<10)}})
	if part := receive(t, b).Message.(*pomelorelay.ConfigPush).Parts[0]; len(part) != 256<<10 {
		t.Errorf("%d bytes arrived", len(part))
	}
	if broken := a.Counters().Broken; broken != 0 {
		t.Errorf("%d links broke", broken)
	}
}

func TestIdleLinkWithinDomainStaysOpen(t *testing.T) {
	a, b := config("r1", 1), config("r2", 1)
	a.Timing = pomelomesh.Timing{AckTimeout: 200 * time.Millisecond, PingInterval: 20 * time.Millisecond, AckDelay: time.Millisecond}
	b.Timing = a.Timing
	near, far := start(t, a), start(t, b)
	near.SetPeers([]pomelorelay.Peer{peerOf("r2", far.Addr())})
	send(t, near, "r2", &pomelorelay.Probe{})
	receive(t, far)
	before := far.Traffic()[pomelorelay.LinkSameDomain].Received
	eventually(t, "pings", func() bool { return far.Traffic()[pomelorelay.LinkSameDomain].Received > before+400 })
	if c := near.Counters(); c.Broken != 0 || c.Links != 1 || c.Dialled != 1 {
		t.Errorf("counters %+v", c)
	}
}

func TestIdleLinkBetweenDomainsIsClosed(t *testing.T) {
	b := config("r2", 1)
	b.Self.Domain = "b"
	far := start(t, b)
	cfg := config("r1", 1)
	cfg.Timing.IdleTimeout = 300 * time.Millisecond
	near := start(t, cfg)
	near.SetPeers([]pomelorelay.Peer{{Node: "r2", Addr: far.Addr(), Domain: "b", Region: "north"}})
	send(t, near, "r2", &pomelorelay.Probe{})
	receive(t, far)
	eventually(t, "links closed", func() bool { return near.Counters().Links == 0 && far.Counters().Links == 0 })
	send(t, near, "r2", &pomelorelay.Probe{Seq: 2})
	receive(t, far)
	if near.Traffic()[pomelorelay.LinkSameRegion].Sent == 0 {
		t.Errorf("no bytes sent within the region: %+v", near.Traffic())
	}
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate, key}
}

// issue writes the key files of a new certificate for the name.
func (a *authority) issue(t testing.TB, dir, name string) pomelomesh.TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := pomelomesh.TLSFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem")}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", private)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t testing.TB, name, kind string, der []byte) {
	t.Helper()
	file, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})); err != nil {
		t.Fatal(err)
	}
}

func secure(node pomelorelay.NodeID, files pomelomesh.TLSFiles) pomelomesh.Config {
	cfg := config(node, 1)
	cfg.Insecure = false
	cfg.TLS = files
	cfg.Timing = pomelomesh.Timing{BackoffMin: 10 * time.Millisecond, BackoffMax: 20 * time.Millisecond}
	return cfg
}

func TestCertificateForAnotherNameIsRefused(t *testing.T) {
	// A settings file copied to a second host names the first host's router. The fleet must not accept the second host's
	// reports as those of the first.
	ca := newAuthority(t)
	b := start(t, secure("r2", ca.issue(t, t.TempDir(), "r2")))
	impostor := start(t, secure("r1", ca.issue(t, t.TempDir(), "r9")))
	impostor.SetPeers([]pomelorelay.Peer{peerOf("r2", b.Addr())})
	for dialled := range uint64(3) {
		_ = impostor.Send("r2", &pomelorelay.Probe{})
		eventually(t, "failed attempt", func() bool { return impostor.Counters().Dialled > dialled && impostor.Counters().Lost > dialled })
	}
	if b.Counters().Links != 0 || len(b.Receive()) != 0 {
		t.Errorf("link accepted: %+v", b.Counters())
	}
	if _, err := pomelomesh.New(pomelomesh.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}); !pomelorelay.IsErrCode(err, pomelorelay.CodeMeshTLS) {
		t.Errorf("started without keys: %v", err)
	}
}

func TestChangedKeysAreUsedWithoutRestart(t *testing.T) {
	// Operators replace authority and certificates while the routers run; new links must use the new files, or the fleet
	// loses its links as the old certificates expire.
	first, second := newAuthority(t), newAuthority(t)
	dirA, dirB := t.TempDir(), t.TempDir()
	b := start(t, secure("r2", first.issue(t, dirB, "r2")))
	a := start(t, secure("r1", first.issue(t, dirA, "r1")))
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", b.Addr())})
	send(t, a, "r2", &pomelorelay.Probe{})
	receive(t, b)
	second.issue(t, dirA, "r1")
	second.issue(t, dirB, "r2")
	later := time.Now().Add(time.Second)
	for _, dir := range []string{dirA, dirB} {
		for _, name := range []string{"cert.pem", "key.pem", "authority.pem"} {
			if err := os.Chtimes(filepath.Join(dir, name), later, later); err != nil {
				t.Fatal(err)
			}
		}
	}
	c := start(t, secure("r3", second.issue(t, t.TempDir(), "r3")))
	peers := []pomelorelay.Peer{peerOf("r3", c.Addr())}
	a.SetPeers(peers)
	b.SetPeers(peers)
	send(t, a, "r3", &pomelorelay.Probe{})
	send(t, b, "r3", &pomelorelay.Probe{})
	receive(t, c)
	receive(t, c)
}

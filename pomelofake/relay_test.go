package pomelofake_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// newTestRelay starts an in-memory relay to serveSuccessors and returns it with a function that connects to it.
func newTestRelay(t *testing.T) (*pomelofake.Relay, func() net.Conn) {
	t.Helper()
	sources, target := &memoryNetwork{}, &memoryNetwork{}
	listener, err := target.listen()
	if err != nil {
		t.Fatal(err)
	}
	relay, err := pomelofake.NewRelay(pomelofake.RelayConfig{Listen: sources.listen, Dial: target.dial})
	if err != nil {
		t.Fatal(err)
	}
	go serveSuccessors(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = relay.Close()
	})
	return relay, func() net.Conn {
		conn, err := sources.dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// serveSuccessors answers each byte b with b+1 on every connection, until the listener is closed.
func serveSuccessors(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			b := make([]byte, 1)
			for {
				if _, err := conn.Read(b); err != nil {
					return
				}
				b[0]++
				if _, err := conn.Write(b); err != nil {
					return
				}
			}
		}()
	}
}

// exchangeByte sends a byte and returns the answer; it fails if there is none within a second.
func exchangeByte(conn net.Conn, b byte) (byte, error) {
	if _, err := conn.Write([]byte{b}); err != nil {
		return 0, err
	}
	return readByte(conn)
}

func readByte(conn net.Conn) (byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 1)
	_, err := io.ReadFull(conn, answer)
	return answer[0], err
}

func TestRelayForwardsDelaysAndBlocksOneDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, dial := newTestRelay(t)
		conn := dial()
		if b, err := exchangeByte(conn, 1); b != 2 || err != nil {
			t.Fatalf("without a fault: got %d, %v, want 2", b, err)
		}
		delay := pomelofake.RelayEffect{Delay: 100 * time.Millisecond}
		relay.SetRules([]pomelofake.RelayRule{{Toward: delay, Back: delay}})
		began := time.Now()
		if b, err := exchangeByte(conn, 3); b != 4 || err != nil || time.Since(began) != 200*time.Millisecond {
			t.Errorf("got %d, %v after %s, want 4 after 200ms", b, err, time.Since(began))
		}
		relay.SetRules([]pomelofake.RelayRule{{Back: pomelofake.RelayEffect{Block: true}}})
		if b, err := exchangeByte(conn, 5); err == nil {
			t.Errorf("got %d while the answers are blocked, want no answer", b)
		}
		relay.SetRules(nil)
		if b, err := readByte(conn); b != 6 || err != nil {
			t.Errorf("got %d, %v after the block ended, want 6", b, err)
		}
	})
}

// A connection that lost bytes must be closed when the loss ends, since TCP never delivers a byte stream with a gap.
func TestRelayDropsBytesAndCutsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, dial := newTestRelay(t)
		conn := dial()
		relay.SetRules([]pomelofake.RelayRule{{Toward: pomelofake.RelayEffect{Drop: true}}})
		if b, err := exchangeByte(conn, 1); err == nil {
			t.Errorf("got %d while the requests are dropped, want no answer", b)
		}
		relay.SetRules(nil)
		if _, err := exchangeByte(conn, 3); err != io.EOF {
			t.Errorf("after the drop: %v, want the connection to be closed", err)
		}
		conn = dial()
		if b, err := exchangeByte(conn, 1); b != 2 || err != nil {
			t.Fatalf("without a fault: got %d, %v, want 2", b, err)
		}
		relay.SetRules([]pomelofake.RelayRule{{Cut: true}})
		if _, err := readByte(conn); err != io.EOF {
			t.Errorf("after the cut: %v, want the connection to be closed", err)
		}
		if _, err := readByte(dial()); err != io.EOF {
			t.Errorf("new connection during the cut: %v, want it to be closed", err)
		}
	})
}

// A rule applies to its own source only: two routers connect through the same relay, and only one of them is cut off.
func TestRelayAppliesRulesPerSource(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go serveSuccessors(target)
	defer func() { _ = target.Close() }()
	var addr net.Addr
	relay, err := pomelofake.NewRelay(pomelofake.RelayConfig{
		Listen: func() (net.Listener, error) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err == nil {
				addr = l.Addr()
			}
			return l, err
		},
		Dial: func() (net.Conn, error) { return net.Dial("tcp", target.Addr().String()) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = relay.Close() }()
	relay.SetRules([]pomelofake.RelayRule{{Source: netip.MustParseAddr("127.0.0.2"), Cut: true}})
	for source, open := range map[string]bool{"127.0.0.2": false, "127.0.0.3": true} {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		conn, err := dialer.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := exchangeByte(conn, 1); (err == nil) != open {
			t.Errorf("from %s: %v, want open %v", source, err, open)
		}
		_ = conn.Close()
	}
	if relay.BytesForwarded() != 2 {
		t.Errorf("forwarded %d bytes, want 2", relay.BytesForwarded())
	}
}

// Guards against a silent connection that breaks, which its user would notice, or that makes new ones silent too.
func TestRelaySilencesOpenConnectionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, dial := newTestRelay(t)
		conn := dial()
		if b, err := exchangeByte(conn, 1); b != 2 || err != nil {
			t.Fatalf("before: got %d, %v, want 2", b, err)
		}
		relay.Silence()
		if b, err := exchangeByte(conn, 3); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("on the silent connection: got %d, %v, want no answer", b, err)
		}
		if b, err := exchangeByte(dial(), 5); b != 6 || err != nil {
			t.Errorf("on a new connection: got %d, %v, want 6", b, err)
		}
	})
}

package pomelomesh_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"
)

// testTimeout bounds the wait for an event that must happen; no assertion depends on its value.
const testTimeout = 20 * time.Second

func config(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) pomelomesh.Config {
	return pomelomesh.Config{
		Self:   pomelomesh.Self{Node: node, Incarnation: incarnation, Domain: "a", Region: "north"},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Insecure: true,
	}
}

func start(t *testing.T, cfg pomelomesh.Config) *pomelomesh.Mesh {
	t.Helper()
	m, err := pomelomesh.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.Close() })
	return m
}

func peerOf(node pomelorelay.NodeID, addr netip.AddrPort) pomelorelay.Peer {
	return pomelorelay.Peer{Node: node, Addr: addr, Domain: "a", Region: "north"}
}

func receive(t *testing.T, m *pomelomesh.Mesh) pomelorelay.Envelope {
	t.Helper()
	select {
	case e := <-m.Receive():
		return e
	case <-time.After(testTimeout):
		t.Fatalf("no message received; %+v", m.Counters())
		return pomelorelay.Envelope{}
	}
}

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func send(t *testing.T, m *pomelomesh.Mesh, to pomelorelay.NodeID, message pomelorelay.Message) {
	t.Helper()
	if err := m.Send(to, message); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesArriveInOrderWithEnvelope(t *testing.T) {
	a, b := start(t, config("r1", 11)), start(t, config("r2", 22))
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", b.Addr())})
	a.SetGeneration(5)
	const n = 2000
	for i := range n {
		send(t, a, "r2", &pomelorelay.Probe{Seq: uint64(i)})
	}
	for i := range n {
		e := receive(t, b)
		if e.From != "r1" || e.Incarnation != 11 || e.Generation != 5 || e.Message.(*pomelorelay.Probe).Seq != uint64(i) {
			t.Fatalf("message %d: %+v", i, e)
		}
	}
	send(t, b, "r1", &pomelorelay.ProbeAck{Seq: 1})
	if e := receive(t, a); e.From != "r2" || e.Incarnation != 22 {
		t.Fatalf("reply: %+v", e)
	}
	if dialled := b.Counters().Dialled; dialled != 0 {
		t.Errorf("the reply opened %d links", dialled)
	}
	// A sender counts bytes after the write returns; the receiver may have read and counted them before.
	equal := func() bool {
		sent, received := a.Traffic()[pomelorelay.LinkSameDomain].Sent, b.Traffic()[pomelorelay.LinkSameDomain].Received
		return sent > 0 && sent == received
	}
	for end := time.Now().Add(testTimeout); !equal() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !equal() {
		t.Errorf("bytes: %+v %+v", a.Traffic(), b.Traffic())
	}
}

// dialRaw opens a link to a mesh with a plain gRPC client, which can send what routers of other versions may send.
func dialRaw(t *testing.T, m *pomelomesh.Mesh, hello *pomelowire.Hello) grpc.BidiStreamingClient[pomelowire.Frame, pomelowire.Frame] {
	t.Helper()
	conn, err := grpc.NewClient(m.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stream, err := pomelowire.NewMeshClient(conn).Link(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&pomelowire.Frame{Hello: hello}); err != nil {
		t.Fatal(err)
	}
	return stream
}

func TestUnknownKindIsSkipped(t *testing.T) {
	// During an update some routers already send a kind of message that others do not know. Neither the link nor the other
	// messages of the frame may be lost.
	m := start(t, config("r1", 1))
	stream := dialRaw(t, m, &pomelowire.Hello{Node: "r2", Incarnation: 1, Domain: "a", Region: "north"})
	newer := &pomelowire.Item{}
	newer.ProtoReflect().SetUnknown(protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), []byte("later")))
	probe := &pomelowire.Item{Kind: &pomelowire.Item_Probe{Probe: &pomelowire.Probe{Seq: 3}}}
	bad := &pomelowire.Item{Kind: &pomelowire.Item_Grant{Grant: &pomelowire.Grant{Ttl: -1}}}
	if err := stream.Send(&pomelowire.Frame{Items: []*pomelowire.Item{newer, bad, probe}}); err != nil {
		t.Fatal(err)
	}
	if e := receive(t, m); e.Message.(*pomelorelay.Probe).Seq != 3 {
		t.Fatalf("received %+v, want probe 3", e)
	}
	if c := m.Counters(); c.UnknownKinds != 1 || c.Malformed != 1 || c.Links != 1 {
		t.Errorf("counters %+v", c)
	}
}

func TestLowerIncarnationIsRefused(t *testing.T) {
	// A router is replaced while a connection of its former process survives behind a stalled switch. Ledger totals and
	// grants of the former process must not be accepted afterwards.
	m := start(t, config("r1", 1))
	old := dialRaw(t, m, &pomelowire.Hello{Node: "r2", Incarnation: 10, Domain: "a", Region: "north"})
	eventually(t, "the first link", func() bool { return m.Counters().Links == 1 })
	dialRaw(t, m, &pomelowire.Hello{Node: "r2", Incarnation: 11, Domain: "a", Region: "north"})
	for {
		if _, err := old.Recv(); err != nil {
			break
		}
	}
	again := dialRaw(t, m, &pomelowire.Hello{Node: "r2", Incarnation: 10, Domain: "a", Region: "north"})
	for {
		if _, err := again.Recv(); err != nil {
			break
		}
	}
	eventually(t, "a single link", func() bool { return m.Counters().Links == 1 })
	if c := m.Counters(); c.Stale != 1 {
		t.Errorf("counters %+v", c)
	}
}

func TestSendToAStalledPeerNeverBlocks(t *testing.T) {
	// A peer stops reading, as a paused host does. The router's control loop calls Send, so Send must not block but fail
	// once the queue is full.
	a := config("r1", 1)
	a.Queue = pomelomesh.QueueLimits{MaxMessages: 100}
	b := config("r2", 1)
	b.InboxSize = 1
	sender, stalled := start(t, a), start(t, b)
	sender.SetPeers([]pomelorelay.Peer{peerOf("r2", stalled.Addr())})
	refused := 0
	for i := 0; refused == 0 && i < 200_000; i++ {
		err := sender.Send("r2", &pomelorelay.ConfigPush{Root: make([]byte, 4096)})
		if pomelorelay.IsErrCode(err, pomelorelay.CodeMeshQueueFull) {
			refused++
		}
	}
	if refused == 0 || sender.Counters().QueueFull == 0 {
		t.Errorf("no message was rejected: %+v", sender.Counters())
	}
	if err := sender.Send("r9", &pomelorelay.Probe{}); !pomelorelay.IsErrCode(err, pomelorelay.CodeMeshUnknownPeer) {
		t.Errorf("unknown peer: %v", err)
	}
}

func TestOverBudgetUrgentMessagesAreSentAndOthersCoalesce(t *testing.T) {
	// Every account becomes active at once, so that ledger totals and demands exceed the byte budget of a link. Grants
	// must not wait behind these less urgent messages.
	cfg := config("r1", 1)
	cfg.BytesPerSecond[pomelorelay.LinkSameDomain] = 4000
	a, b := start(t, cfg), start(t, config("r2", 1))
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", b.Addr())})
	const totals, demands, grants = 400, 200, 50
	for range totals {
		send(t, a, "r2", &pomelorelay.LedgerTotals{Entries: []pomelorelay.LedgerEntry{{Pool: "p", Account: "a", Served: 1}}})
	}
	for i := range demands {
		send(t, a, "r2", &pomelorelay.Demand{Upstream: "u", Seq: uint64(i)})
	}
	for i := range grants {
		send(t, a, "r2", &pomelorelay.Grant{ID: pomelorelay.GrantID(i), TTL: time.Second})
	}
	seenGrants, seenTotals, lastDemand := 0, 0, uint64(0)
	for seenGrants < grants || lastDemand < demands-1 {
		switch m := receive(t, b).Message.(type) {
		case *pomelorelay.Grant:
			seenGrants++
		case *pomelorelay.Demand:
			lastDemand = m.Seq
		case *pomelorelay.LedgerTotals:
			seenTotals++
		}
	}
	if seenTotals >= totals {
		t.Errorf("all %d totals were sent before the grants", seenTotals)
	}
	if c := a.Counters(); c.Coalesced == 0 || c.Delayed == 0 {
		t.Errorf("counters %+v", c)
	}
}

func TestDialsFromTheListenAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	cfg := config("r1", 1)
	cfg.Listen = netip.MustParseAddrPort("127.0.0.9:0")
	m := start(t, cfg)
	m.SetPeers([]pomelorelay.Peer{peerOf("r2", netip.MustParseAddrPort(listener.Addr().String()))})
	send(t, m, "r2", &pomelorelay.Probe{})
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if host, _, _ := net.SplitHostPort(conn.RemoteAddr().String()); host != "127.0.0.9" {
		t.Errorf("dialled from %s", host)
	}
}

func TestUrgentMessagesOverBudgetDoNotStarveDigests(t *testing.T) {
	// A loaded router's grants alone exceed its byte budget. If no digest were sent then, the other routers would repeatedly
	// declare it dead and take over its slots and shards while it works.
	cfg := config("r1", 1)
	cfg.BytesPerSecond[pomelorelay.LinkSameDomain] = 8000
	a, b := start(t, cfg), start(t, config("r2", 1))
	a.SetPeers([]pomelorelay.Peer{peerOf("r2", b.Addr())})
	const grants = 4000
	upstream := pomelorelay.UpstreamID(strings.Repeat("u", 100))
	for i := range grants {
		send(t, a, "r2", &pomelorelay.Grant{ID: pomelorelay.GrantID(i), Upstream: upstream, TTL: time.Second})
	}
	for range grants {
		receive(t, b)
	}
	for seq := range uint64(3) {
		send(t, a, "r2", &pomelorelay.Digest{Seq: seq})
		if m, ok := receive(t, b).Message.(*pomelorelay.Digest); !ok || m.Seq != seq {
			t.Fatalf("received %+v, want digest %d", m, seq)
		}
	}
}

package pomelocapacity

import (
	"net/netip"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"

	"github.com/go-faster/errors"
)

// MeshFigures is what carrying messages costs over a real loopback link with mutual TLS.
type MeshFigures struct {
	// Core is by the messages of one frame, both ends together: a node sends as many as it receives.
	Core Series
	// Slowest is the largest processor time of a message alone, where Core has the smallest.
	Slowest float64
	// Framing is the bytes that grpc, HTTP/2 and TLS add, by the messages of one frame.
	Framing Series
	// Memory is by the number of links; half of what both ends hold.
	Memory Series
	// Handshake is the processor time and bytes of opening one link, both ends together.
	HandshakeCore, HandshakeBytes float64
}

const (
	meshFrames = 400
	// meshRuns is more than other costs get: waking up both ends costs twice as much while other work has the processors.
	meshRuns  = 8
	meshPause = 400 * time.Microsecond
	meshInbox = 16
)

// pair is two meshes with a link.
type pair struct{ near, far *pomelomesh.Mesh }

// openMesh opens a mesh with a short inbox, so that the far ends' inboxes do not count as what links hold.
func openMesh(a *authority, node pomelorelay.NodeID) (*pomelomesh.Mesh, error) {
	files, err := a.issue(string(node))
	if err != nil {
		return nil, err
	}
	return pomelomesh.New(pomelomesh.Config{
		Self:   pomelomesh.Self{Node: node, Incarnation: 1, Domain: "domain-0", Region: "region-0"},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: files, Inbox: meshInbox,
	})
}

func openPair(a *authority) (*pair, error) {
	near, err := openMesh(a, routerName(0, 0))
	if err != nil {
		return nil, err
	}
	far, err := openMesh(a, routerName(0, 1))
	if err != nil {
		near.Close()
		return nil, err
	}
	p := &pair{near, far}
	near.SetPeers([]pomelorelay.Peer{peerOf(far, 1)})
	far.SetPeers([]pomelorelay.Peer{peerOf(near, 0)})
	if err := p.carry(1, typical()); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func peerOf(m *pomelomesh.Mesh, i int) pomelorelay.Peer {
	return pomelorelay.Peer{Node: routerName(0, i), Addr: m.Addr(), Domain: "domain-0", Region: "region-0"}
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

// typical is a message of the usual length.
func typical() pomelorelay.Message {
	return &pomelorelay.GrantReply{ID: 1 << 60, Upstream: upstreamName(0, 1), State: pomelorelay.GrantUsed, Seq: 1_800_000_000_000, Head: 12345.5, Waiting: 7}
}

// carry sends so many messages at once and waits for them.
func (p *pair) carry(n int, m pomelorelay.Message) error {
	for range n {
		if err := p.near.Send(routerName(0, 1), m); err != nil {
			return errors.Wrap(err, "send on the measured link")
		}
	}
	for range n {
		select {
		case <-p.far.Receive():
		case <-time.After(10 * time.Second):
			return errors.New("the measured link carried nothing for 10 s")
		}
	}
	return nil
}

// frames returns the processor time of one burst of n messages in µs, and the bytes that framing added to it. The pause lets both
// ends fall asleep, as they do between messages at a node's real rates.
func (f *MeshFigures) frames(p *pair, n int) (float64, float64, error) {
	m := typical()
	sent := p.near.Traffic()[pomelorelay.LinkDomain].Sent
	best := time.Duration(1<<63 - 1)
	for range meshRuns {
		before := processorTime()
		for range meshFrames {
			if err := p.carry(n, m); err != nil {
				return 0, 0, err
			}
			time.Sleep(meshPause)
		}
		spent := processorTime() - before
		best = min(best, spent)
		f.Slowest = max(f.Slowest, micros(spent)/meshFrames)
	}
	bytes := float64(p.near.Traffic()[pomelorelay.LinkDomain].Sent-sent) / meshFrames / meshRuns
	return micros(best) / meshFrames, bytes - float64(n)*size(m), nil
}

// asleep returns the processor time of one pause, which the timer of this measurement costs itself.
func asleep() float64 {
	spent := timed(func() func() {
		return func() {
			for range meshFrames {
				time.Sleep(meshPause)
			}
		}
	})
	return micros(spent) / meshFrames
}

func measureMesh() (MeshFigures, error) {
	var f MeshFigures
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return f, errors.Wrap(err, "make a folder for keys")
	}
	defer os.RemoveAll(dir)
	a, err := newAuthority(dir)
	if err != nil {
		return f, err
	}
	if err := f.measureFrames(a); err != nil {
		return f, err
	}
	return f, f.measureLinks(a)
}

func (f *MeshFigures) measureFrames(a *authority) error {
	p, err := openPair(a)
	if err != nil {
		return err
	}
	defer p.close()
	pause := asleep()
	var core, framing []Point
	for _, n := range []int{16, 8, 4, 2, 1} {
		f.Slowest = 0
		spent, bytes, err := f.frames(p, n)
		if err != nil {
			return err
		}
		core = append(core, Point{float64(n), spent - pause})
		framing = append(framing, Point{float64(n), bytes})
	}
	slices.Reverse(core)
	slices.Reverse(framing)
	f.Slowest -= pause
	const role, sizes = "Mesh", "messages of a burst"
	f.Core = Series{role, "processor time, both ends", "µs a burst", sizes, Fit(core)}
	f.Framing = Series{role, "grpc, HTTP/2 and TLS", "B a burst", sizes, Fit(framing)}
	return nil
}

// measureLinks opens links from one router to several others and halves what both ends hold.
func (f *MeshFigures) measureLinks(a *authority) error {
	var points []Point
	for _, n := range []int{4, 16, 32, 59} {
		before, spentBefore := heapAndStacks(), processorTime()
		meshes, err := openStar(a, n)
		if err != nil {
			return err
		}
		spent := processorTime() - spentBefore
		points = append(points, Point{float64(n), (heapAndStacks() - before) / 2})
		f.HandshakeCore = micros(spent) / float64(n)
		var bytes pomelorelay.Bytes
		for _, m := range meshes {
			bytes += m.Traffic()[pomelorelay.LinkDomain].Sent
		}
		f.HandshakeBytes = float64(bytes) / float64(n)
		for _, m := range meshes {
			m.Close()
		}
	}
	f.Memory = Series{"Mesh", "memory", "B a node", "links", Fit(points)}
	return nil
}

func openStar(a *authority, links int) ([]*pomelomesh.Mesh, error) {
	hub, err := openMesh(a, routerName(0, 0))
	if err != nil {
		return nil, err
	}
	meshes := []*pomelomesh.Mesh{hub}
	var peers []pomelorelay.Peer
	for i := 1; i <= links; i++ {
		m, err := openMesh(a, routerName(0, i))
		if err != nil {
			return meshes, err
		}
		meshes = append(meshes, m)
		peers = append(peers, peerOf(m, i))
	}
	hub.SetPeers(peers)
	for i, m := range meshes[1:] {
		if err := hub.Send(routerName(0, i+1), typical()); err != nil {
			return meshes, errors.Wrap(err, "send on a new link")
		}
		<-m.Receive()
	}
	return meshes, nil
}

func heapAndStacks() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// View is what one router believes of the fleet.
type View struct {
	cfg Config
}

// Change tells that a router came, left, died or restarted.
type Change struct {
	Peer        pomelorelay.Peer
	Incarnation pomelorelay.Incarnation
	Status      pomelorelay.MemberStatus
}

// New returns a View that knows itself and its seeds.
func New(cfg Config) *View {
	cfg.Options = cfg.Options.withDefaults()
	return &View{cfg: cfg}
}

// Hosts takes the platform's host list, which may lag.
func (v *View) Hosts(now time.Time, hosts []pomelorelay.Host, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Heard notes that a message of any kind arrived from a router.
func (v *View) Heard(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {}

// Digest takes a router's digest and returns the slots in it that are news here.
func (v *View) Digest(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.Digest, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Probe answers a probe or passes it on.
func (v *View) Probe(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.Probe, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// ProbeAck takes the answer to a probe.
func (v *View) ProbeAck(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.ProbeAck, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Farewell takes a router's notice that it stops.
func (v *View) Farewell(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.Farewell, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Leave returns the notices that this router stops.
func (v *View) Leave(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing { return out }

// Tick sends what is due; call it every 100 ms or more often.
func (v *View) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing { return out }

// SetSlots replaces the slots that this router owns and publishes in its digests.
func (v *View) SetSlots(slots []pomelorelay.SlotDigest) {}

// Changes appends who came and went since the last call.
func (v *View) Changes(out []Change) []Change { return out }

// Alive appends the routers that are believed alive, this one included.
func (v *View) Alive(out []pomelorelay.Peer) []pomelorelay.Peer { return out }

// Peers appends every router to which the mesh may connect.
func (v *View) Peers(out []pomelorelay.Peer) []pomelorelay.Peer { return out }

// Snapshot returns the live members as they are now.
func (v *View) Snapshot() *Snapshot { return &Snapshot{} }

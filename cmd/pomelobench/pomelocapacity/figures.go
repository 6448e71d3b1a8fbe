package pomelocapacity

import (
	"io"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// Figures is all that was measured.
type Figures struct {
	Target        Target
	Settings      pomeloconfig.Settings
	Entry         EntryFigures
	Slots         SlotFigures
	Members       MemberFigures
	Ledger        LedgerFigures
	Claims        ClaimFigures
	Configuration ConfigurationFigures
	Quarantine    QuarantineFigures
	Mesh          MeshFigures
	Platform      PlatformFigures
	// Stream is the memory that an open stream adds to a router, read from the output of its benchmark.
	Stream float64
}

// Measure measures every role; progress gets a line for each.
func Measure(progress io.Writer) (Figures, error) {
	defaults, err := Defaults()
	f := Figures{Target: Size(), Settings: defaults}
	if err != nil {
		return f, err
	}
	t, c := f.Target, defaults.Control
	digest := func(routers int) time.Duration { return pomeloconfig.Pace(c.DigestInterval, routers) }
	steps := []struct {
		name string
		run  func() error
	}{
		{"mesh", func() (err error) { f.Mesh, err = measureMesh(); return }},
		{"platform", func() (err error) { f.Platform, err = measurePlatform(t); return }},
		{"configuration", func() (err error) { f.Configuration, err = measureConfiguration(t); return }},
		{"entry queues", func() error { f.Entry = measureEntry(t); return nil }},
		{"quarantine", func() error { f.Quarantine = measureQuarantine(t); return nil }},
		{"claims", func() error { f.Claims = measureClaims(uint32(c.ClaimShards), c.ClaimCommits); return nil }},
		{"ledger", func() error {
			f.Ledger = measureLedger(t, uint32(c.Shards), pomeloconfig.Pace(c.LedgerInterval, t.Routers()))
			return nil
		}},
		{"membership", func() error { f.Members = measureMembers(t, digest); return nil }},
		{"slots", func() error { f.Slots = measureSlots(t, digest); return nil }},
	}
	for _, step := range steps {
		began := time.Now()
		if err := step.run(); err != nil {
			return f, err
		}
		if _, err := io.WriteString(progress, step.name+": "+time.Since(began).Round(time.Millisecond).String()+"\n"); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Series returns every measured slope in the order of the page.
func (f Figures) Series() []Series {
	return []Series{
		f.Entry.Request, f.Entry.Collect, f.Entry.Memory, f.Entry.Waiting,
		f.Slots.CoreByRouters, f.Slots.MessagesByRouters, f.Slots.BytesByRouters,
		f.Slots.CoreByUpstreams, f.Slots.MessagesByUpstreams, f.Slots.BytesByUpstreams,
		f.Members.Core, f.Members.Messages, f.Members.Bytes, f.Members.Memory,
		f.Ledger.ReporterCore, f.Ledger.ReporterMessages, f.Ledger.ReporterBytes, f.Ledger.ReporterKnownCore, f.Ledger.ReporterKnownMemory,
		f.Ledger.HostCore, f.Ledger.HostBytes, f.Ledger.HostMemory, f.Ledger.HostByDomains,
		f.Claims.Core, f.Claims.Writes, f.Claims.Reads, f.Claims.Written, f.Claims.Memory,
		f.Configuration.Memory, f.Configuration.Held, f.Configuration.Compile, f.Configuration.Garbage, f.Configuration.Stored,
		f.Quarantine.Memory, f.Mesh.Core, f.Mesh.Framing, f.Mesh.Memory,
		f.Platform.HostBytes, f.Platform.HostCore,
	}
}

// last is the value measured at the largest size.
func (s Series) last() float64 { return s.Slope.Points[len(s.Slope.Points)-1].Value }

// First is the value measured at the smallest size.
func (s Series) First() float64 { return s.Slope.Points[0].Value }

// StreamsMemory is what the streams that run at once add to a router.
func (f Figures) StreamsMemory() float64 { return f.Stream * f.NodeRunning() }

// NodeRunning is how many requests run at once through a router.
func (f Figures) NodeRunning() float64 { return f.Target.Running() / float64(f.Target.Nodes) }

// ClaimCommits is the bound of the claim shards' store writes a second.
func (f Figures) ClaimCommits() float64 { return f.Settings.Control.ClaimCommits }

// ClaimWrite is the size of one store write of a claim shard at the assumed rate.
func (f Figures) ClaimWrite() float64 {
	return f.Claims.Written.pointAt(f.claims()) / f.Claims.Writes.pointAt(f.claims())
}

// HostListBytes is what reading the host list costs a router a second.
func (f Figures) HostListBytes() float64 { return f.hostListLine().Platform }

// Paced is how many messages of a periodic kind a router sends its failure domain a second at most.
func (Figures) Paced() int { return pomeloconfig.MessagesPerSecond }

// LedgerPace is the interval of reports at the target.
func (f Figures) LedgerPace() time.Duration {
	return pomeloconfig.Pace(f.Settings.Control.LedgerInterval, f.Target.Routers()).Round(time.Millisecond)
}

// NodesPerClaimShard is how many routers there are for each claim shard.
func (f Figures) NodesPerClaimShard() int { return f.Target.Nodes / f.Settings.Control.ClaimShards }

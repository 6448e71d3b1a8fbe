package pomelocapacity

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay"
)

// Line is what one role costs a node at the target.
type Line struct {
	Role, State, Mechanism, Formula string
	// Messages are sent a second; Core is µs a second, Memory bytes.
	Messages, Core, Memory float64
	// Sent is the bytes a second by link class, framing and TLS included, and Platform those to and from the platform and the
	// upstreams' load pages.
	Sent     [pomelorelay.LinkClasses]float64
	Platform float64
	// Writes and Reads are calls of the store a second, by the whole fleet.
	Writes, Reads float64
}

// send adds messages of a class to a line with what their frames cost; every message is taken to travel alone.
func (l *Line) send(f Figures, class pomelorelay.LinkClass, sent flow) {
	l.Messages += sent.messages
	l.Sent[class] += sent.bytes + sent.messages*f.Mesh.Framing.First()
}

// bytes is all that the role sends.
func (l Line) bytes() float64 { return l.Sent[0] + l.Sent[1] + l.Sent[2] }

const (
	ticksPerSecond = 20
	day            = 86_400.0
)

// Lines returns every role at the target.
func (f Figures) Lines() []Line {
	lines := []Line{f.entryLine(), f.slotLine(), f.memberLine(), f.reporterLine(), f.hostLine(), f.claimLine(), f.configurationLine(), f.quarantineLine(), f.loadLine(), f.hostListLine()}
	return append(lines, f.meshLine(lines))
}

func (f Figures) entryLine() Line {
	t := f.Target
	accounts := float64(t.Accounts)
	waiting := float64(t.Backlogged*t.Depth) / float64(t.Nodes)
	return Line{
		Role: "Entry queues", State: fmt.Sprintf("%d accounts known, %.0f requests waiting", t.Accounts, waiting),
		Mechanism: "a heap of accounts for each pool; only what changed is collected",
		Formula: fmt.Sprintf("%.1f requests/s × %.2f µs + %d ticks/s × %.1f µs; %d accounts × %.0f B + %.0f waiting × %.0f B",
			t.NodeRequests(), f.Entry.Request.last(), ticksPerSecond, f.Entry.Collect.last(), t.Accounts, f.Entry.Memory.Slope.PerUnit, waiting, f.Entry.Waiting.Slope.PerUnit),
		Core:   t.NodeRequests()*f.Entry.Request.last() + ticksPerSecond*f.Entry.Collect.last(),
		Memory: f.Entry.Memory.Slope.At(accounts) + waiting*f.Entry.Waiting.Slope.PerUnit,
	}
}

func (f Figures) slotLine() Line {
	t := f.Target
	l := Line{
		Role: "Asker and slot owner", State: fmt.Sprintf("%d owners known, %.1f upstreams owned, %.0f grants held", t.DomainUpstreams(), float64(t.Upstreams)/float64(t.Nodes), t.Running()/float64(t.Nodes)),
		Mechanism: "demand carries no account; a router registers at a few owners; replies carry the fresh demand",
		Core:      f.Slots.CoreByRouters.last(), Memory: f.Slots.Memory,
	}
	var sent flow
	for _, k := range f.Slots.Kinds {
		sent = sent.plus(flow{k.Messages, k.Messages * k.Length})
		l.Formula += fmt.Sprintf("%s %.1f/s × %.0f B; ", k.Kind, k.Messages, k.Length)
	}
	l.Formula += fmt.Sprintf("each + %.0f B framing", f.Mesh.Framing.First())
	l.send(f, pomelorelay.LinkDomain, sent)
	return l
}

func (f Figures) memberLine() Line {
	t := f.Target
	l := Line{
		Role: "Membership view", State: fmt.Sprintf("%d routers, %d upstreams' digests", t.Nodes, t.DomainUpstreams()),
		Mechanism: "digests within the failure domain at a bounded rate, two gateways for each other domain, one random probe each 300 ms",
		Core:      f.Members.Core.last(), Memory: f.Members.Memory.last(),
	}
	for class, sent := range f.Members.Sent {
		l.send(f, pomelorelay.LinkClass(class), sent)
	}
	l.Formula = fmt.Sprintf("%.1f messages/s × (%.0f + %.0f B)", l.Messages, f.Members.Sent[0].bytes/f.Members.Sent[0].messages, f.Mesh.Framing.First())
	return l
}

func (f Figures) reporterLine() Line {
	t := f.Target
	waiting := t.Backlogged / t.Nodes
	l := Line{
		Role: "Ledger, reporter", State: fmt.Sprintf("%d accounts waiting here, 37,000 reported since the start", waiting),
		Mechanism: "cumulative totals of what changed, at a paced interval, sent until answered",
		Core:      f.Ledger.ReporterKnownCore.last(), Memory: f.Ledger.ReporterKnownMemory.last(),
	}
	l.send(f, pomelorelay.LinkDomain, f.Ledger.Report)
	l.Formula = fmt.Sprintf("%.1f reports/s × (%.0f + %.0f B)", f.Ledger.Report.messages, f.Ledger.Report.bytes/max(f.Ledger.Report.messages, 1), f.Mesh.Framing.First())
	return l
}

func (f Figures) hostLine() Line {
	t := f.Target
	shards := float64(f.Settings.Control.Shards)
	l := Line{
		Role: "Ledger, host", State: fmt.Sprintf("%.2f of %.0f shards, %.0f accounts of %d domains", shards/float64(t.Routers()), shards, float64(t.Accounts)/float64(t.Routers()), t.Domains),
		Mechanism: "shards by rendezvous hashing in each failure domain; one component a domain, merged by maximum",
		Core:      f.Ledger.HostCore.last(), Memory: f.Ledger.HostMemory.last(),
	}
	l.send(f, pomelorelay.LinkDomain, f.Ledger.Answer)
	for class, sent := range f.Ledger.Exchange {
		l.send(f, pomelorelay.LinkClass(class), sent)
	}
	l.Formula = fmt.Sprintf("%.1f answers/s × %.0f B, exchanges %.2f/s × %.0f B in the region and %.2f/s × %.0f B across", f.Ledger.Answer.messages, mean(f.Ledger.Answer),
		f.Ledger.Exchange[1].messages, mean(f.Ledger.Exchange[1]), f.Ledger.Exchange[2].messages, mean(f.Ledger.Exchange[2]))
	return l
}

func mean(f flow) float64 { return f.bytes / max(f.messages, 1e-9) }

// claims is the fleet's rate of claims, and kept how many are kept for a day.
func (f Figures) claims() float64 { return f.Target.Requests * f.Target.NonIdempotent }

func (f Figures) kept() float64 { return f.claims() * day }

func (f Figures) claimLine() Line {
	nodes := float64(f.Target.Nodes)
	rate := f.claims()
	at := f.Claims.Writes.pointAt(rate)
	written := f.Claims.Written.pointAt(rate)
	l := Line{
		Role: "Claim keepers and askers", State: fmt.Sprintf("%.2f of %d shards, %.0f claims kept a node", float64(f.Settings.Control.ClaimShards)/nodes, f.Settings.Control.ClaimShards, f.kept()/nodes),
		Mechanism: "one compare-and-swap carries a shard's waiting claims; settled ones are sealed into records that are not written again",
		Core:      f.Claims.Core.pointAt(rate) / nodes,
		Memory:    f.Claims.Memory.Slope.PerUnit*f.kept()/nodes + f.Claims.Memory.Slope.Intercept*float64(f.Settings.Control.ClaimShards)/nodes,
		Writes:    at, Reads: f.Claims.Reads.pointAt(rate), Platform: written / nodes,
	}
	// A shard's keeper is any router of the fleet: one claim in six stays in its domain, two go within the region and three across.
	perDomain, perRegion := 1/float64(f.Target.Domains), 1/float64(f.Target.Regions)
	claim := f.Claims.Asked.plus(f.Claims.Answered).per(nodes / rate)
	l.send(f, pomelorelay.LinkDomain, claim.per(1/perDomain))
	l.send(f, pomelorelay.LinkRegion, claim.per(1/(perRegion-perDomain)))
	l.send(f, pomelorelay.LinkCross, claim.per(1/(1-perRegion)))
	l.Formula = fmt.Sprintf("%.0f claims/s of the fleet × 4 messages of %.0f B in all; %.0f store writes/s of %.0f KB", rate,
		f.Claims.Asked.bytes+f.Claims.Answered.bytes, at, written/at/1024)
	return l
}

// keeperMemory and keeperBytes are what one claim shard costs the router that keeps it, which is one in many.
func (f Figures) keeperMemory() float64 {
	return f.Claims.Memory.Slope.At(f.kept() / float64(f.Settings.Control.ClaimShards))
}

func (f Figures) keeperBytes() float64 {
	return f.Claims.Written.pointAt(f.claims()) / float64(f.Settings.Control.ClaimShards)
}

// pointAt is the value measured at a size, or the line's where it was not measured.
func (s Series) pointAt(size float64) float64 {
	for _, p := range s.Slope.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return s.Slope.At(size)
}

func (f Figures) configurationLine() Line {
	t := f.Target
	changes := t.ChangesPerDay / day
	cold := t.RestartsPerDay / day / float64(t.Nodes)
	change := f.Configuration.Root + f.Configuration.Part
	l := Line{
		Role: "Configuration", State: "the compiled snapshot and the compressed parts",
		Mechanism: "content-addressed parts; the generation rides on every frame and who is behind pulls from who told it",
		Core:      (changes + cold) * f.Configuration.Compile.last(),
		Memory:    f.Configuration.Memory.last() + f.Configuration.Held.last(),
		Writes:    changes * 3,
		Reads:     float64(t.Domains) * 2 * changes,
		Formula: fmt.Sprintf("%.0f changes a day × (%.1f KB root and part, %.0f ms to compile); %.0f cold starts × %.2f MB", t.ChangesPerDay, change/1024,
			f.Configuration.Compile.last()/1000, t.RestartsPerDay, f.Configuration.Held.last()/(1<<20)),
	}
	l.send(f, pomelorelay.LinkDomain, flow{changes * 3, changes*change + cold*f.Configuration.Held.last()})
	return l
}

func (f Figures) quarantineLine() Line {
	suspects := float64(f.Target.Slots())
	return Line{
		Role: "Quarantine", State: fmt.Sprintf("%.0f suspects after one crash", suspects),
		Mechanism: "only fingerprints of what ran at a crash; notices to all routers, once a crash",
		Memory:    suspects * f.Quarantine.Memory.Slope.PerUnit,
		Formula:   fmt.Sprintf("%.0f suspects × %.0f B; a tick at 4,096 suspects takes %.0f µs", suspects, f.Quarantine.Memory.Slope.PerUnit, f.Quarantine.Tick),
	}
}

func (f Figures) loadLine() Line {
	t := f.Target
	rate := float64(t.Upstreams) / float64(t.Nodes) / f.Settings.Control.LoadInterval.Seconds()
	return Line{
		Role: "Load reads", State: "one connection an upstream owned", Mechanism: "only an upstream's slot owner reads its load",
		Core: rate * f.Platform.LoadCore, Platform: rate * (f.Platform.LoadSent + f.Platform.LoadReceived),
		Formula: fmt.Sprintf("%.1f reads/s × %.0f B sent and %.0f B received, %.0f µs both ends together", rate, f.Platform.LoadSent, f.Platform.LoadReceived, f.Platform.LoadCore),
	}
}

func (f Figures) hostListLine() Line {
	t := f.Target
	every := f.Settings.HostList.Pace(t.Nodes)
	length := f.Platform.HostBytes.last()
	return Line{
		Role: "Host list", State: "taken over into the view", Mechanism: "the fleet's rate of reads is bounded; who sees an upstream leave tells all",
		Core: f.Platform.HostCore.last() / every.Seconds(), Platform: length / every.Seconds(),
		Formula: fmt.Sprintf("%.0f KB each %.1f s a node", length/1024, every.Seconds()),
	}
}

// meshLine carries what the other roles send: its processor time is that of their messages, sent here and as many received.
func (f Figures) meshLine(lines []Line) Line {
	t := f.Target
	messages := 0.0
	for _, l := range lines {
		messages += l.Messages
	}
	const otherDomains = 10
	links := float64(t.Routers() - 1 + otherDomains)
	return Line{
		Role: "Mesh", State: fmt.Sprintf("%.0f links", links),
		Mechanism: "full links within a failure domain, few between; frames of what waits, most urgent first; fixed flow windows",
		Core:      messages * f.Mesh.Core.First(), Memory: f.Mesh.Memory.Slope.At(links),
		Formula: fmt.Sprintf("%.0f messages/s × %.0f µs (sending and receiving together, each alone in its frame); %.0f links × %.0f KB", messages, f.Mesh.Core.First(), links, f.Mesh.Memory.Slope.PerUnit/1024),
	}
}

// Sum adds up the roles.
func Sum(lines []Line) Line {
	sum := Line{Role: "Sum"}
	for _, l := range lines {
		sum.Messages += l.Messages
		sum.Core += l.Core
		sum.Memory += l.Memory
		sum.Platform += l.Platform
		sum.Writes += l.Writes
		sum.Reads += l.Reads
		for i := range sum.Sent {
			sum.Sent[i] += l.Sent[i]
		}
	}
	return sum
}

package pomelocapacity

import (
	"fmt"

	"github.com/pomelorelay/pomelorelay"
)

// Scenario is a disturbance worked through at the target.
type Scenario struct {
	Name  string
	Steps []string
}

func (f Figures) scenarios() []Scenario {
	return []Scenario{f.regionalCut(), f.domainLost(), f.restarts(), f.failures(), f.changes()}
}

func mebibytes(n float64) string { return fmt.Sprintf("%.1f MB", n/(1<<20)) }

// entryBytes is the size of one account in a component.
func entryBytes() float64 {
	e := pomelorelay.LedgerComponentEntry{Pool: poolName(0), Account: accountName(1), Sum: 1234.5, Departed: 12.5, Lift: 100}
	one := size(&pomelorelay.LedgerComponent{Entries: []pomelorelay.LedgerComponentEntry{e}})
	return size(&pomelorelay.LedgerComponent{Entries: []pomelorelay.LedgerComponentEntry{e, e}}) - one
}

func (f Figures) regionalCut() Scenario {
	t := f.Target
	perDomain := t.Domains / t.Regions
	changed := float64(t.Accounts) * entryBytes()
	pairs := float64(perDomain)
	return Scenario{"Two regions lose each other for an hour", []string{
		fmt.Sprintf("Each side keeps %d nodes, %d upstreams and its own ledger hosts; slots, queues and digests go on within the domain, and what crosses regions (%.2f KB/s a node) stops.", t.Nodes/t.Regions, t.Upstreams/t.Regions, Sum(f.Lines()).Sent[pomelorelay.LinkCross]/1024),
		"The side without the store goes on with idempotent work and refuses what needs a claim as not run; the claim shards there find no store, and those on the other side are taken over by its routers.",
		fmt.Sprintf("When they meet again the hosts exchange what changed: at most every account once for each of the %d domains on a side, %s in each direction over the whole fleet (%d accounts × %.0f B × %.0f domains, in messages of 512 entries), %.0f KB a router.", perDomain, mebibytes(changed*pairs), t.Accounts, entryBytes(), pairs, changed*pairs/float64(t.Nodes/t.Regions)/1024),
		"Accounts catch up by the bound of their service (CatchUp), so the side that got less is not served alone for an hour.",
	}}
}

func (f Figures) domainLost() Scenario {
	t := f.Target
	left := t.Nodes - t.Routers()
	shards := float64(f.Settings.Control.ClaimShards) / float64(t.Domains)
	perShard := f.kept() / float64(f.Settings.Control.ClaimShards) * f.Claims.Kept
	calls := perShard / float64(128<<10)
	return Scenario{"A failure domain is lost", []string{
		fmt.Sprintf("%d routers and %d upstreams go; the others get %.1f requests/s a node instead of %.1f, %.0f%% more of what grows with requests.", t.Routers(), t.DomainUpstreams(), t.Requests/float64(left), t.NodeRequests(), 100*(float64(t.Nodes)/float64(left)-1)),
		fmt.Sprintf("The upstreams left run %.0f%% of the load that all did; the rest waits or is refused, by fair share.", 100*float64(t.Domains-1)/float64(t.Domains)),
		fmt.Sprintf("%.0f of %d claim shards get another keeper. It must read the shard's record and every sealed one first: at a day's claims %s in %.0f reads a shard, %.0f s at the %.0f calls/s that a router may make. **This does not fit yet**: meanwhile the shard's new claims are refused as not run. Shorter retention, or an index record of the sealed keys, would make it fit.",
			shards, f.Settings.Control.ClaimShards, mebibytes(perShard), calls, calls/f.Settings.Store.CallsPerSecond, f.Settings.Store.CallsPerSecond),
		"The ledger hosts of the other domains keep the lost domain's last component; nothing moves there.",
	}}
}

func (f Figures) restarts() Scenario {
	t := f.Target
	cold := f.Configuration.Held.last()
	links := float64(t.Routers() + 9)
	shards := float64(f.Settings.Control.Shards) / float64(t.Routers())
	return Scenario{fmt.Sprintf("%.0f restarts a day", t.RestartsPerDay), []string{
		fmt.Sprintf("One every %.1f min over the fleet, %.2f a day and node.", day/60/t.RestartsPerDay, t.RestartsPerDay/float64(t.Nodes)),
		fmt.Sprintf("A cold router opens %.0f links (%.0f ms of processor time and %.0f KB for handshakes at both ends), pulls %.2f MB of configuration from peers, %.0f s at one peer's %.0f KB/s for its domain, and compiles it in %.0f ms.", links, links*f.Mesh.HandshakeCore/1000, links*f.Mesh.HandshakeBytes/1024, cold/(1<<20), cold/float64(f.Settings.Control.DomainBytes), float64(f.Settings.Control.DomainBytes)/1024, f.Configuration.Compile.last()/1000),
		fmt.Sprintf("%.2f ledger shards move twice; rebuilding one takes %.0f KB of reports from the domain's routers.", shards, f.Ledger.Rebuild/1024),
		fmt.Sprintf("Averaged over the day this is %.0f B/s a node.", t.RestartsPerDay*2*(links*f.Mesh.HandshakeBytes+cold+shards*f.Ledger.Rebuild)/day/float64(t.Nodes)),
		fmt.Sprintf("Claim shards move too, some %.0f times a day, each reading what the lost domain above names: %.1f KB/s from the store over the fleet.", 2*t.RestartsPerDay*float64(f.Settings.Control.ClaimShards)/float64(t.Nodes),
			2*t.RestartsPerDay*f.kept()*f.Claims.Kept/float64(t.Nodes)/day/1024),
	}}
}

func (f Figures) failures() Scenario {
	t := f.Target
	return Scenario{fmt.Sprintf("%.0f host failures a day", t.FailuresPerDay), []string{
		fmt.Sprintf("One every %.0f min. The dead router is told of in every digest of its domain three times over: %d routers × %d others × 3 × %.0f B, %.0f KB once.", day/60/t.FailuresPerDay, t.Routers(), t.Routers()-1, f.Members.News, float64(t.Routers()*(t.Routers()-1)*3)*f.Members.News/1024),
		fmt.Sprintf("%.1f upstreams get another owner, which asks the fleet's routers what runs there; %.0f running requests end with the router's callers.", float64(t.Upstreams)/float64(t.Nodes), t.Running()/float64(t.Nodes)),
		fmt.Sprintf("A failed upstream makes %.0f requests suspects: each router tells all others at most once, %.1f KB a router.", float64(t.Slots()), f.Quarantine.Crash.bytes/1024),
	}}
}

func (f Figures) changes() Scenario {
	t := f.Target
	change := f.Configuration.Root + f.Configuration.Part
	return Scenario{fmt.Sprintf("%.0f changes of configuration a day", t.ChangesPerDay), []string{
		fmt.Sprintf("One every %.1f min. It writes a part, the history and the root; two watchers a failure domain read it.", day/60/t.ChangesPerDay),
		fmt.Sprintf("A change of one account carries %.1f KB to each router (root %.1f KB, part %.1f KB), %s over the fleet; a router hears of it in the next frame from any that has it.", change/1024, f.Configuration.Root/1024, f.Configuration.Part/1024, mebibytes(change*float64(t.Nodes))),
		fmt.Sprintf("Each router puts the whole configuration together anew: %.0f ms of processor time beside the control goroutine, and %s allocated for it. Over a day that is %.3f%% of a core; while it lasts, the memory is above the sum in the table. Compiling only the changed part would make it fit at any moment.", f.Configuration.Compile.last()/1000, mebibytes(f.Configuration.Garbage.last()), t.ChangesPerDay*f.Configuration.Compile.last()/day/1e4),
	}}
}

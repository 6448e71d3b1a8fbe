package pomelonode

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

const (
	// sameCrashWithin is the longest time between two reports of the same crash of an upstream. An upstream takes longer to start again.
	sameCrashWithin = 400 * time.Millisecond
	// maxCrashesPerNotice limits the number of crashes in a message to another router.
	maxCrashesPerNotice = 1024
	// crashExpiryInterval is the interval at which expired crashes are dropped.
	crashExpiryInterval = time.Second
)

// crashedParts counts upstream crashes under the prompt parts that requests share. Whole requests are isolated instead, by a
// pomeloquarantine.Table; requests with a part that crashes upstreams may all be unlike, so that none of them is ever a suspect.
type crashedParts struct {
	log *pomeloquarantine.CrashLog
	// known tells, for each request that runs, under which of its parts upstreams had crashed before it began.
	known map[pomelorelay.RequestID][]bool
	// crashedAt is the Unix millisecond of each upstream's last crash. It identifies the crash, since upstreams do not tell when they started.
	crashedAt map[pomelorelay.UpstreamID]int64
	expiredAt time.Time
}

func newCrashedParts(logger pomelorelay.Logger) *crashedParts {
	return &crashedParts{
		log:       pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{Logger: logger}),
		known:     make(map[pomelorelay.RequestID][]bool),
		crashedAt: make(map[pomelorelay.UpstreamID]int64),
	}
}

// began records that a run is about to be sent.
func (p *crashedParts) began(run pomeloquarantine.Run, parts []pomelorelay.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	known := make([]bool, len(parts))
	for i, f := range parts {
		known[i] = p.log.Snapshot().MayHaveCrashed(f)
	}
	p.known[run.Request] = known
}

// crashed records that the upstream of a run crashed, and returns the crashes to send to the other routers.
func (p *crashedParts) crashed(now time.Time, run pomeloquarantine.Run, parts []pomelorelay.Fingerprint) []pomelorelay.RequestCrash {
	known := p.known[run.Request]
	delete(p.known, run.Request)
	if len(known) < len(parts) {
		return nil
	}
	id := p.crashID(run.Upstream, now.UnixMilli())
	var changed []pomelorelay.RequestCrash
	for i, f := range parts {
		changed = append(changed, p.log.Observe(now, pomelorelay.RequestCrash{
			Fingerprint: f, Part: true, Upstream: run.Upstream, StartUnixMilli: id, UnixMilli: now.UnixMilli(), Runs: pomelorelay.RunBit(run.Fingerprint), Repeated: known[i],
		})...)
	}
	return changed
}

// ended records that a run ended without a crash, and returns the crashes to send to the other routers as cleared.
func (p *crashedParts) ended(now time.Time, run pomeloquarantine.Run, parts []pomelorelay.Fingerprint, served bool) []pomelorelay.RequestCrash {
	delete(p.known, run.Request)
	if !served {
		return nil
	}
	var cleared []pomelorelay.RequestCrash
	for _, f := range parts {
		cleared = append(cleared, p.log.Answered(now, f)...)
	}
	return cleared
}

// merge adds the crashes that another router reported, and returns those to send to the other routers as cleared.
func (p *crashedParts) merge(now time.Time, reported []pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	// The message may belong to other routers too.
	list := slices.Clone(reported)
	for i := range list {
		list[i].StartUnixMilli = p.crashID(list[i].Upstream, list[i].StartUnixMilli)
	}
	_, cleared := p.log.Merge(now, list)
	return cleared
}

// crashID returns the identity of the crash of an upstream that was reported at a time: that of its last crash, unless that was another one.
func (p *crashedParts) crashID(upstream pomelorelay.UpstreamID, at int64) int64 {
	last, ok := p.crashedAt[upstream]
	if ok && max(at, last)-min(at, last) <= sameCrashWithin.Milliseconds() {
		return last
	}
	p.crashedAt[upstream] = max(at, last)
	return at
}

// tick drops the crashes that no longer count.
func (p *crashedParts) tick(now time.Time) {
	if now.Sub(p.expiredAt) >= crashExpiryInterval {
		p.expiredAt = now
		p.log.Expire(now)
	}
}

// sendCrashedParts sends crashes to all other routers.
func (c *control) sendCrashedParts(crashes []pomelorelay.RequestCrash) {
	if len(crashes) == 0 {
		return
	}
	for _, node := range c.otherMembers() {
		c.outgoing = append(c.outgoing, pomelorelay.Outgoing{To: node, Message: &pomelorelay.CrashNotice{Crashes: crashes}})
	}
}

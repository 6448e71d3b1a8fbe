package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Term names a part of what it costs to send a request to an upstream.
type Term string

// The terms, and the load that each answers.
const (
	// TermRead is the reading of what the engine does not keep: sessions whose parts are spread over too many engines.
	TermRead Term = "Read"
	// TermCopy is the copying of parts that another engine keeps: crowds at one session's engine.
	TermCopy Term = "Copy"
	// TermHome is the engine's place in the order of those that begin to keep a part: sessions that nobody has read yet.
	TermHome Term = "Home"
	// TermWait is the time until the answer begins: uneven queues.
	TermWait Term = "Wait"
	// TermLate is the part of it that other routers' requests may push past the target: bursts.
	TermLate Term = "Late"
	// TermPause is what running streams lose beside long reading: long prompts among streams.
	TermPause Term = "Pause"
	// TermLong keeps streams away from the engines of long prompts.
	TermLong Term = "Long"
	// TermCrowd is the slots of a plain upstream that are taken: uneven loads that do not wait yet.
	TermCrowd Term = "Crowd"
	// TermRegion is the bytes to another region, which operators pay for.
	TermRegion Term = "Region"
	// TermMemory is what an engine loses that must evict running requests.
	TermMemory Term = "Memory"
	// TermFail is upstreams that fail requests.
	TermFail Term = "Fail"
)

const (
	// readWeight is how much reading counts: it takes the engine's time from what comes after, and shared parts that are read once more
	// push others out of its memory.
	readWeight = 4.5
	// copyWeight is how much the time of a copy counts: copied parts take memory at two engines, and others lose theirs.
	copyWeight = 2.5
	// waitWeight is how much a wait counts that ends well within the target; waiting at one engine or the other is nearly the same.
	waitWeight = 0.1
	// calmShare is the part of the target up to which a wait is calm; beyond, each millisecond counts lateWeight times more, since
	// other routers' requests that are not yet known may push the answer past its target. A larger weight would send requests away from short
	// queues into the way of streams.
	calmShare  = 0.55
	lateWeight = 1.0
	// crowdWeight is the cost of a plain upstream's last free slot, growing with the square of the part that is taken.
	crowdWeight = 50 * time.Millisecond
	// regionTokens is what the bytes of a request to another region and of its answer cost, in tokens that an engine could read.
	regionTokens = 1000
	// pauseFrom and pauseTo are the lengths of uninterrupted reading, as parts of the pause that callers accept, between which the streams
	// that run beside it become late.
	pauseFrom = 0.7
	pauseTo   = 1.05
	// pauseWeight is what one late stream counts, in an engine's time: several times what it is worth, which keeps long reading away from
	// streams before it is certain.
	pauseWeight = 400 * time.Millisecond
	// failWeight is what an upstream that fails every request is behind one that fails none.
	failWeight = 3 * time.Second
	// homeStep is what each engine is behind the one before it in the order that a hash gives a prompt's shared parts, and homeMost the
	// most that one can be behind the first. Requests for a part that no engine is known to keep then begin at the same few engines from
	// every router, whatever the number of engines. With a small step, the first ten of a hundred engines would be nearly equal.
	homeStep = 8 * time.Millisecond
	homeMost = 60 * time.Millisecond
	// startLatency is the first guess of the round trip to another region, beyond one within the own; it is learnt from then on.
	startLatency = 20 * time.Millisecond
	// latencyShare is the weight of a new sample in its running mean: times to first tokens vary by much more than the round trip.
	latencyShare = 0.005
	// slotTurn is about how long it takes until one of an engine's slots is free: seconds of a run, by dozens of slots.
	slotTurn = 80 * time.Millisecond
)

// candidate is an upstream weighed for a request.
type candidate struct {
	up      *upstream
	missing pomelorelay.Tokens
	shared  pomelorelay.Tokens
	// again are the shared tokens that it must read though another upstream keeps them.
	again   pomelorelay.Tokens
	backlog time.Duration
	// from is the engine from which copied tokens are copied instead of read; nil when none are.
	from   *upstream
	copied pomelorelay.Tokens
	// expected is the time until the answer begins, cost orders the candidates.
	expected time.Duration
	cost     time.Duration
	// largest is the largest part of the cost, largestCost what it is.
	largest     Term
	largestCost time.Duration
}

// add counts a part of the cost, in an engine's time: what the request and those beside it lose by going there.
func (c *candidate) add(name Term, cost time.Duration) {
	c.cost += cost
	if cost > c.largestCost {
		c.largest, c.largestCost = name, cost
	}
}

// weigh returns a candidate with its cost.
func (p *Placer) weigh(now time.Time, u *upstream, from source, r *Request) candidate {
	c := candidate{up: u, backlog: u.turnIn(now)}
	c.expected = c.backlog + p.latency(u)
	off := &p.cfg.Disabled
	if u.foreign && !off.Regions {
		c.add(TermRegion, u.worth(regionTokens))
	}
	if !off.Failures {
		c.add(TermFail, time.Duration(u.failing(now)*float64(failWeight)))
	}
	if u.engine == nil {
		c.expected += u.service
		c.add(TermWait, c.expected)
		c.add(TermCrowd, crowdCost(u))
		return c
	}
	p.weighEngine(now, &c, from, r)
	return c
}

func (p *Placer) weighEngine(now time.Time, c *candidate, from source, r *Request) {
	u, off := c.up, &p.cfg.Disabled
	missing := u.kept.missing(r)
	copying := p.copy(c, from, missing)
	missing -= c.copied
	c.missing = work(missing, r.PromptTokens)
	c.shared = max(0, missing-r.own())
	read := u.reading(float64(c.missing))
	c.expected += read + copying + u.overhead()
	c.add(TermRead, part(readWeight, read))
	c.add(TermCopy, part(copyWeight, copying))
	if !off.Homes {
		c.add(TermHome, homeCost(u, r))
	}
	if !off.Waits {
		c.add(TermWait, part(waitWeight, c.expected))
		c.add(TermLate, part(lateWeight, max(0, c.expected-part(calmShare, r.Target))))
	}
	if !off.Pauses {
		c.add(TermPause, u.pauseCost(now, c.backlog, read))
	}
	if !off.LongEngines {
		c.add(TermLong, longCost(u, r, c.missing))
	}
	if u.full(r.PromptTokens + r.OutputTokens) {
		c.expected += slotTurn
		c.add(TermMemory, failWeight)
	}
}

// latency returns the round trip to an upstream, beyond that to one of this router's own region.
func (p *Placer) latency(u *upstream) time.Duration {
	if !u.foreign {
		return 0
	}
	way, known := p.latencies[u.region]
	if !known {
		return startLatency
	}
	return way
}

// learnLatency takes the time to a first token beyond what was expected without the round trip to the region.
func (p *Placer) learnLatency(u *upstream, beyond time.Duration) {
	if !u.foreign {
		return
	}
	way := p.latency(u)
	sample := min(max(beyond, -way), 3*way+startLatency)
	p.latencies[u.region] = max(0, way+part(latencyShare, sample-way))
}

// own returns the tokens of the prompt's last part, which no other request shares.
func (r *Request) own() pomelorelay.Tokens {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

func crowdCost(u *upstream) time.Duration {
	taken := float64(u.running()) / float64(u.slots())
	return part(taken*taken, crowdWeight)
}

// busy returns how long the engine has been reading without a break.
func (u *upstream) busy(now time.Time) time.Duration {
	if u.busySince.IsZero() {
		return 0
	}
	return now.Sub(u.busySince)
}

// pauseCost is what the streams that run at the engine lose when a prompt is read after the backlog: those that wait for all of it, or those that the
// prompt makes late after what the engine has read without a break already.
func (u *upstream) pauseCost(now time.Time, backlog, read time.Duration) time.Duration {
	if u.pool.pause <= 0 {
		return 0
	}
	before := u.busy(now) + backlog
	late := max(u.paused(backlog+read), u.paused(before+read)-u.paused(before))
	return part(u.pool.pauseWeight*late*float64(u.running()), pauseWeight)
}

// paused returns the part of an engine's streams that are late when it reads for a time without a break.
func (u *upstream) paused(reading time.Duration) float64 {
	over := (float64(reading)/float64(u.pool.pause) - pauseFrom) / (pauseTo - pauseFrom)
	return min(max(over, 0), 1)
}

func homeCost(u *upstream, r *Request) time.Duration {
	if len(r.Parts) < 2 {
		return 0
	}
	// The last part is the request's own; the one before it is the longest chain that others share.
	shared := r.Parts[len(r.Parts)-2].Hash
	place := float64(len(u.pool.list)) * float64(mix(shared^u.idHash)>>11) / (1 << 53)
	return min(homeMost, part(place, homeStep))
}

// mix spreads the bits of a number evenly, as the finalizer of MurmurHash3 does.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

// part returns so many times the duration.
func part(times float64, d time.Duration) time.Duration { return time.Duration(times * float64(d)) }

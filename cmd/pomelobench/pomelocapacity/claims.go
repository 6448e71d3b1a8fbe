package pomelocapacity

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
)

// ClaimFigures is what keeping claims costs, by the claims of the whole fleet a second.
type ClaimFigures struct {
	Core, Writes, Reads, Written Series
	// Memory is by the settled claims that are still kept.
	Memory Series
	// Kept is the bytes that one settled claim takes in the store.
	Kept float64
	// Asked and Answered are the messages of one claim.
	Asked, Answered flow
}

const (
	// claimsSealed is how many claims a run lasts: the head record is sealed at some 800.
	claimsSealed = 2400
	claimTick    = 50 * time.Millisecond
	// claimStore is how long the store takes for a call.
	claimStore = 5 * time.Millisecond
)

// claimRun is every shard's keeper at once before a store in memory.
type claimRun struct {
	now     time.Time
	shards  uint32
	keeper  *pomeloclaim.Keeper
	out     pomeloclaim.Output
	records map[pomelorelay.StoreKey]pomelorelay.Record
	pending []pomeloclaim.StoreOp
	at      []time.Time
	n       uint64
	writes  float64
	reads   float64
	written float64
}

func newClaimRun(shards uint32, commits float64) *claimRun {
	c := &claimRun{now: start, shards: shards, records: make(map[pomelorelay.StoreKey]pomelorelay.Record)}
	c.keeper = pomeloclaim.New(pomeloclaim.Config{CommitsPerSecond: commits / float64(shards)})
	for s := range shards {
		c.keeper.Own(c.now, pomelorelay.ShardID(s), &c.out)
	}
	c.collect()
	return c
}

// collect puts new store calls on their way.
func (c *claimRun) collect() {
	for _, op := range c.out.Store {
		c.pending = append(c.pending, op)
		c.at = append(c.at, c.now.Add(claimStore))
	}
	c.out.Store = c.out.Store[:0]
	c.out.Messages = c.out.Messages[:0]
}

// serve answers the store calls that are due.
func (c *claimRun) serve() {
	for len(c.pending) > 0 && !c.at[0].After(c.now) {
		op := c.pending[0]
		c.pending, c.at = c.pending[1:], c.at[1:]
		c.keeper.Stored(c.now, c.apply(op), &c.out)
		c.collect()
	}
}

func (c *claimRun) apply(op pomeloclaim.StoreOp) pomeloclaim.StoreResult {
	record := c.records[op.Key]
	record.Key = op.Key
	if op.Value == nil {
		c.reads++
		return pomeloclaim.StoreResult{ID: op.ID, Record: record}
	}
	c.writes++
	c.written += float64(len(op.Value))
	if record.Revision != op.Old {
		return pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreConflict, string(op.Key), nil)}
	}
	record.Value, record.Revision = op.Value, record.Revision+1
	c.records[op.Key] = record
	return pomeloclaim.StoreResult{ID: op.ID, Revision: record.Revision}
}

// run lets so many claims a second come to the shards, each settled two seconds later.
func (c *claimRun) run(d time.Duration, perSecond float64) {
	due := 0.0
	settleLater := uint64(2*perSecond) + 1
	ticked := c.now
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(claimStore)
		for due += perSecond * claimStore.Seconds(); due >= 1; due-- {
			c.n++
			c.ask(c.n)
			if c.n > settleLater {
				c.settle(c.n - settleLater)
			}
		}
		if c.now.Sub(ticked) >= claimTick {
			ticked = c.now
			c.keeper.Tick(c.now, &c.out)
		}
		c.collect()
		c.serve()
	}
}

func claimKey(n uint64) pomelorelay.ClaimKey {
	return sha256.Sum256(binary.BigEndian.AppendUint64(nil, n))
}

func (c *claimRun) ask(n uint64) {
	m := claimAsk(n, c.shards)
	c.keeper.Ask(c.now, routerName(0, int(n%60)), &m, &c.out)
}

func claimAsk(n uint64, shards uint32) pomelorelay.ClaimAsk {
	m := pomelorelay.ClaimAsk{Key: claimKey(n), Content: pomelorelay.Fingerprint(n)}
	m.Shard = pomeloclaim.ShardOf(m.Key, shards)
	binary.BigEndian.PutUint64(m.Nonce[8:], n)
	return m
}

func (c *claimRun) settle(n uint64) {
	ask := claimAsk(n, c.shards)
	m := claimSettle(ask)
	c.keeper.Settle(c.now, routerName(0, int(n%60)), &m, &c.out)
}

func claimSettle(ask pomelorelay.ClaimAsk) pomelorelay.ClaimSettle {
	return pomelorelay.ClaimSettle{
		Shard: ask.Shard, Key: ask.Key, Nonce: ask.Nonce, State: pomelorelay.ClaimDone,
		Outcome: pomelorelay.ClaimOutcome{Status: 200, ContentType: "application/json", Body: []byte(`{"Booking":"0123456789","State":"Accepted"}`)},
	}
}

// stored is the bytes of every record.
func (c *claimRun) stored() float64 {
	n := 0
	for _, record := range c.records {
		n += len(record.Value)
	}
	return float64(n)
}

func measureClaims(shards uint32, commits float64) ClaimFigures {
	var f ClaimFigures
	var core, writes, reads, written []Point
	for _, rate := range []float64{10, 100, 320, 1000} {
		// One shard at its part of the rate. Its head record grows until it is sealed, so the run must see it sealed.
		perShard := rate / float64(shards)
		c := newClaimRun(1, commits/float64(shards))
		c.run(time.Duration(claimsSealed/perShard)*time.Second, perShard)
		c.writes, c.reads, c.written = 0, 0, 0
		span := time.Duration(claimsSealed/perShard) * time.Second
		before := processorTime()
		c.run(span, perShard)
		spent := processorTime() - before
		n := span.Seconds() / float64(shards)
		core = append(core, Point{rate, micros(spent) / n})
		writes = append(writes, Point{rate, c.writes / n})
		reads = append(reads, Point{rate, c.reads / n})
		written = append(written, Point{rate, c.written / n})
	}
	const role, sizes = "Claim keepers", "claims/s of the fleet"
	f.Core = Series{role, "processor time", "µs/s the fleet", sizes, Fit(core)}
	f.Writes = Series{role, "store writes", "1/s the fleet", sizes, Fit(writes)}
	f.Reads = Series{role, "store reads", "1/s the fleet", sizes, Fit(reads)}
	f.Written = Series{role, "bytes written to the store", "B/s the fleet", sizes, Fit(written)}
	f.measureMemory(shards, commits)
	ask := claimAsk(1, shards)
	settle := claimSettle(ask)
	f.Asked.add(&ask)
	f.Asked.add(&settle)
	f.Answered.add(&pomelorelay.ClaimAnswer{Shard: ask.Shard, Key: ask.Key, Nonce: ask.Nonce, State: pomelorelay.ClaimFresh})
	f.Answered.add(&pomelorelay.ClaimSettled{Shard: ask.Shard, Key: ask.Key, Nonce: ask.Nonce})
	return f
}

// measureMemory keeps claims in one shard, whose settled ones are sealed away in the store.
func (f *ClaimFigures) measureMemory(shards uint32, commits float64) {
	var points []Point
	for _, claims := range []int{1_000, 4_000, 16_000} {
		memory := held(func() any {
			c := newClaimRun(1, commits/float64(shards))
			c.run(time.Duration(claims)*time.Second/1000, 1000)
			c.run(2*time.Second, 1)
			f.Kept = c.stored() / float64(claims)
			return c.keeper
		})
		points = append(points, Point{float64(claims), memory})
	}
	f.Memory = Series{"Claim keepers", "memory", "B a shard", "claims kept", Fit(points)}
}

package pomeloclaim_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
)

// keeperHarness drives a single keeper; the test acts as its store and its requesters.
type keeperHarness struct {
	t      *testing.T
	now    time.Time
	keeper *pomeloclaim.Keeper
	out    pomeloclaim.Output
	store  *fleet
}

func newKeeperHarness(t *testing.T, cfg pomeloclaim.KeeperConfig) *keeperHarness {
	d := &keeperHarness{t: t, store: newFleet(1, 0, cfg, 1)}
	d.now = d.store.now
	d.keeper = pomeloclaim.NewKeeper(cfg)
	d.keeper.AddShard(d.now, 0, &d.out)
	d.runStoreOps()
	return d
}

// runStoreOps applies store operations until none is pending.
func (d *keeperHarness) runStoreOps() {
	for len(d.out.StoreOps) > 0 {
		op := d.out.StoreOps[0]
		d.out.StoreOps = d.out.StoreOps[1:]
		d.keeper.HandleStoreResult(d.now, d.store.apply(op), &d.out)
	}
}

func (d *keeperHarness) tick(after time.Duration) {
	d.now = d.now.Add(after)
	d.keeper.Tick(d.now, &d.out)
}

func nonceOf(n int) pomelorelay.ClaimNonce {
	return pomelorelay.ClaimNonce{15: byte(n), 14: byte(n >> 8)}
}

func (d *keeperHarness) ask(n int, key string, content pomelorelay.Fingerprint) {
	d.keeper.HandleAsk(d.now, "router-1", &pomelorelay.ClaimAsk{Key: keyOf(key), Nonce: nonceOf(n), Content: content}, &d.out)
}

func (d *keeperHarness) settle(n int, key string, m pomelorelay.ClaimSettle) {
	m.Key, m.Nonce = keyOf(key), nonceOf(n)
	d.keeper.HandleSettle(d.now, "router-1", &m, &d.out)
}

// answers returns and clears the received answers by nonce; the acknowledgement of a settlement has state zero.
func (d *keeperHarness) answers() map[pomelorelay.ClaimNonce]pomelorelay.ClaimAnswer {
	found := make(map[pomelorelay.ClaimNonce]pomelorelay.ClaimAnswer)
	for _, m := range d.out.Messages {
		switch x := m.Message.(type) {
		case *pomelorelay.ClaimAnswer:
			found[x.Nonce] = *x
		case *pomelorelay.ClaimSettled:
			found[x.Nonce] = pomelorelay.ClaimAnswer{Key: x.Key, Nonce: x.Nonce}
		}
	}
	d.out.Messages = nil
	return found
}

func (d *keeperHarness) expectState(n int, state pomelorelay.ClaimState) pomelorelay.ClaimAnswer {
	d.t.Helper()
	a, ok := d.answers()[nonceOf(n)]
	if !ok || a.State != state {
		d.t.Errorf("nonce %d: got %+v (answered: %v), want state %d", n, a, ok, state)
	}
	return a
}

func doneSettlement(body string) pomelorelay.ClaimSettle {
	return pomelorelay.ClaimSettle{State: pomelorelay.ClaimDone, Outcome: pomelorelay.ClaimOutcome{Status: 201, ContentType: "text/x", Body: []byte(body)}}
}

// A caller repeats a request while it runs, with a different body under the same key, and after it has ended. No repeat
// may run the request again.
func TestRepeatedRequestGetsFirstOutcome(t *testing.T) {
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{})
	d.ask(1, "k", 7)
	if got := d.answers(); len(got) != 0 {
		t.Errorf("answered before the store held the claim: %+v", got)
	}
	d.runStoreOps()
	d.expectState(1, pomelorelay.ClaimGranted)
	d.ask(1, "k", 7)
	d.expectState(1, pomelorelay.ClaimGranted)
	d.ask(2, "k", 7)
	d.expectState(2, pomelorelay.ClaimRunning)
	d.ask(3, "k", 8)
	d.expectState(3, pomelorelay.ClaimConflict)
	d.settle(1, "k", doneSettlement("booked"))
	d.tick(time.Second)
	d.runStoreOps()
	d.expectState(1, 0)
	d.ask(4, "k", 7)
	if a := d.expectState(4, pomelorelay.ClaimDone); string(a.Outcome.Body) != "booked" || a.Outcome.Status != 201 {
		t.Errorf("the repeat got %+v, want status 201 and body booked", a.Outcome)
	}
	d.settle(1, "k", pomelorelay.ClaimSettle{Released: true})
	d.tick(time.Second)
	d.runStoreOps()
	d.answers()
	d.ask(5, "k", 7)
	d.expectState(5, pomelorelay.ClaimDone)
}

// A claim is refused during a store outage, and its request does not run. After the outage the refused claim must not
// block a repeat of the request.
func TestClaimRefusedInOutageDoesNotBlockRepeats(t *testing.T) {
	f := newFleet(1, 2, pomeloclaim.KeeperConfig{}, 1)
	f.run(time.Second)
	f.outage = true
	f.send(1, "k")
	f.run(6 * time.Second)
	if got := f.replies["k"]; len(got) != 1 || got[0].state != pomelorelay.ClaimRefused {
		t.Fatalf("got replies %+v, want one refusal", got)
	}
	f.outage = false
	f.run(3 * time.Second)
	if n := f.routers[1].requester.OpenClaims(); n != 0 {
		t.Errorf("%d claims are still open", n)
	}
	f.send(1, "k")
	f.run(time.Second)
	if f.runs["k"] > 1 || len(f.replies["k"]) != 2 || f.replies["k"][1].state == pomelorelay.ClaimRunning {
		t.Errorf("%d runs, want at most 1; replies %+v, want two, of which the second is not running", f.runs["k"], f.replies["k"])
	}
}

// A keeper is paused while it writes a claim, and another keeper takes over its shard and grants a claim for the same
// key. After the pause, the first keeper must not grant the claim that it was writing.
func TestPausedKeeperIsFenced(t *testing.T) {
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{})
	d.ask(1, "k", 7)
	paused := d.out.StoreOps
	d.out.StoreOps = nil
	other := pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{})
	var out pomeloclaim.Output
	other.AddShard(d.now, 0, &out)
	other.HandleStoreResult(d.now, d.store.apply(out.StoreOps[0]), &out)
	other.HandleAsk(d.now, "router-2", &pomelorelay.ClaimAsk{Key: keyOf("k"), Nonce: nonceOf(2), Content: 7}, &out)
	other.HandleStoreResult(d.now, d.store.apply(out.StoreOps[1]), &out)
	if len(out.Messages) != 1 || out.Messages[0].Message.(*pomelorelay.ClaimAnswer).State != pomelorelay.ClaimGranted {
		t.Fatalf("the second keeper answered %+v, want one granted claim", out.Messages)
	}
	d.out.StoreOps = paused
	d.runStoreOps()
	d.expectState(1, pomelorelay.ClaimRunning)
}

// The result of a write is lost, and the write may or may not have taken effect. The keeper must read the record back
// before it answers the claim request.
func TestUnknownWriteResultIsReadBack(t *testing.T) {
	for _, effect := range []bool{true, false} {
		d := newKeeperHarness(t, pomeloclaim.KeeperConfig{})
		d.ask(1, "k", 7)
		op := d.out.StoreOps[0]
		d.out.StoreOps = nil
		if effect {
			d.store.apply(op)
		}
		d.keeper.HandleStoreResult(d.now, pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreUnknown, "", nil)}, &d.out)
		if len(d.answers()) != 0 {
			t.Errorf("write takes effect %v: answered before the result of the write was known", effect)
		}
		d.runStoreOps()
		d.expectState(1, pomelorelay.ClaimGranted)
	}
}

// A router dies or restarts while its request runs. The outcome is unknown, and the request must not run again.
func TestClaimOfDeadRouterIsUnknown(t *testing.T) {
	dead := false
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{Alive: func(pomelorelay.NodeID) bool { return !dead }})
	d.ask(1, "k", 7)
	d.runStoreOps()
	d.answers()
	dead = true
	d.ask(2, "k", 7)
	d.expectState(2, pomelorelay.ClaimUnknown)
	dead = false
	d.ask(3, "k", 7)
	d.expectState(3, pomelorelay.ClaimRunning)
	newer := pomelorelay.ClaimNonce{5: 1}
	d.keeper.HandleAsk(d.now, "router-1", &pomelorelay.ClaimAsk{Key: keyOf("other"), Nonce: newer, Content: 1}, &d.out)
	d.runStoreOps()
	d.answers()
	d.ask(4, "k", 7)
	d.expectState(4, pomelorelay.ClaimUnknown)
	d.settle(1, "k", doneSettlement("booked"))
	d.tick(time.Second)
	d.runStoreOps()
	d.answers()
	d.ask(5, "k", 7)
	d.expectState(5, pomelorelay.ClaimDone)
}

// Claims are added until settled ones have been moved to many segments (records of settled claims) and the oldest
// segments have expired. Claims within their retention must be found with their outcome, also after a takeover; an
// expired claim's key counts as unused, and the number of records in the store stays small.
func TestSealedClaimsAreKeptUntilRetention(t *testing.T) {
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{SealBytes: 3000, Retention: 10 * time.Minute, CommitsPerSecond: 1000})
	const claims = 600
	for n := range claims {
		key := fmt.Sprint("k", n)
		d.ask(n, key, 7)
		d.runStoreOps()
		d.settle(n, key, doneSettlement("booked "+key))
		d.tick(2 * time.Second)
		d.runStoreOps()
		d.answers()
	}
	if n := len(d.store.records); n < 5 || n > 40 {
		t.Errorf("%d records in the store, want 5 to 40", n)
	}
	for takeover := range 2 {
		for _, n := range []int{claims - 1, claims - 100, claims - 290} {
			d.ask(10000+n, fmt.Sprint("k", n), 7)
			d.runStoreOps()
			if a := d.expectState(10000+n, pomelorelay.ClaimDone); string(a.Outcome.Body) != fmt.Sprint("booked k", n) {
				t.Errorf("takeover %d: k%d has outcome %q", takeover, n, a.Outcome.Body)
			}
		}
		d.keeper = pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{SealBytes: 3000, Retention: 10 * time.Minute})
		d.keeper.AddShard(d.now, 0, &d.out)
		d.runStoreOps()
	}
	d.ask(20000, "k0", 7)
	d.runStoreOps()
	d.expectState(20000, pomelorelay.ClaimGranted)
}

// A stored record is corrupt. Starting from an empty record would allow requests that have run to run again.
func TestCorruptRecordRefusesClaims(t *testing.T) {
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{})
	d.ask(1, "k", 7)
	d.runStoreOps()
	d.answers()
	record := d.store.records["claims/0"]
	for cut := 1; cut < len(record.Value); cut += 5 {
		d.store.records["claims/0"] = pomelorelay.Record{Key: record.Key, Value: record.Value[:cut], Revision: record.Revision}
		d.keeper = pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{})
		d.out = pomeloclaim.Output{}
		d.keeper.AddShard(d.now, 0, &d.out)
		d.runStoreOps()
		d.ask(2, "k", 7)
		d.tick(3 * time.Second)
		d.runStoreOps()
		d.expectState(2, pomelorelay.ClaimRefused)
	}
	if !bytes.Equal(d.store.records["claims/0"].Value, record.Value[:len(d.store.records["claims/0"].Value)]) {
		t.Error("the corrupt record was overwritten")
	}
}

// Claims are never settled. The shard's head record must not outgrow the store's size limit; claims above the limit are
// refused.
func TestFullHeadRefusesClaims(t *testing.T) {
	d := newKeeperHarness(t, pomeloclaim.KeeperConfig{MaxHeadBytes: 4 << 10, CommitsPerSecond: 1000})
	refused := 0
	for n := range 200 {
		d.ask(n, fmt.Sprint("k", n), 7)
		d.runStoreOps()
		if d.answers()[nonceOf(n)].State == pomelorelay.ClaimRefused {
			refused++
		}
		d.now = d.now.Add(time.Second)
	}
	if size := len(d.store.records["claims/0"].Value); refused == 0 || size > 5<<10 {
		t.Errorf("%d claims refused, want some; the head has %d bytes, want at most 5 KiB", refused, size)
	}
}

// Without a reachable keeper, settlements stay unacknowledged. Their number must be bounded.
func TestUnacknowledgedSettlementsAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := pomeloclaim.NewRequester(pomeloclaim.RequesterConfig{MaxSettling: 100, Keeper: func(pomelorelay.ShardID) (pomelorelay.NodeID, bool) { return "", false }})
	for n := range 300 {
		var out pomeloclaim.Output
		nonce := a.Claim(now, keyOf(fmt.Sprint(n)), 1, &out)
		a.HandleAnswer(now, &pomelorelay.ClaimAnswer{Key: keyOf(fmt.Sprint(n)), Nonce: nonce, State: pomelorelay.ClaimGranted}, &out)
		a.Settle(now, nonce, false, pomelorelay.ClaimDone, pomelorelay.ClaimOutcome{Body: []byte("x")}, &out)
	}
	if a.OpenClaims() != 100 {
		t.Errorf("%d claims are open, want 100", a.OpenClaims())
	}
}

// The rate of store writes must depend on the number of shards and their commit rate, not on the request rate: the
// store accepts several hundred writes per second for the whole fleet.
func TestWritesDoNotGrowWithClaims(t *testing.T) {
	const shards, seconds = 16, 20
	cfg := pomeloclaim.KeeperConfig{}
	var lines []string
	for _, rate := range []int{10, 100, 1000} {
		f := newFleet(1, 8, cfg, shards)
		f.run(time.Second)
		f.writes, f.reads = 0, 0
		for n := range rate * seconds {
			f.send(n%8, fmt.Sprint("booking-", n))
			f.run(time.Second / time.Duration(rate))
		}
		writes := float64(f.writes) / seconds
		slices.Sort(f.latencies)
		at := func(part int) time.Duration { return f.latencies[len(f.latencies)*part/100].Round(time.Millisecond) }
		lines = append(lines, fmt.Sprintf("%d claims/s: %.1f writes/s, %.1f reads/s, verdict p50 %v p99 %v", rate, writes, float64(f.reads)/seconds, at(50), at(99)))
		if limit := float64(shards*4) + 1; writes > limit+float64(shards*2)/seconds {
			t.Errorf("%d claims/s: %.1f writes/s, limit %v", rate, writes, limit)
		}
		if found := f.violations(); found != "" {
			t.Error(found)
		}
	}
	t.Log("16 shards, 4 commits/s each:\n" + strings.Join(lines, "\n"))
}

// BenchmarkCommit measures a keeper's work for one claim and its settlement with a head record of 500 claims.
func BenchmarkCommit(b *testing.B) {
	f := newFleet(1, 0, pomeloclaim.KeeperConfig{}, 1)
	k := pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{CommitsPerSecond: 1e9, SealBytes: 80 << 10})
	var out pomeloclaim.Output
	now := f.now
	serve := func() {
		for len(out.StoreOps) > 0 {
			op := out.StoreOps[0]
			out.StoreOps = out.StoreOps[1:]
			k.HandleStoreResult(now, f.apply(op), &out)
		}
		out.Messages = nil
	}
	k.AddShard(now, 0, &out)
	serve()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now = now.Add(time.Second)
		m := pomelorelay.ClaimAsk{Key: keyOf(fmt.Sprint(n)), Nonce: nonceOf(n), Content: 1}
		k.HandleAsk(now, "router-1", &m, &out)
		serve()
		s := doneSettlement("booked")
		s.Key, s.Nonce = m.Key, m.Nonce
		k.HandleSettle(now, "router-1", &s, &out)
		now = now.Add(time.Second)
		k.Tick(now, &out)
		serve()
	}
}

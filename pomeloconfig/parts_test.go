package pomeloconfig_test

import (
	"bytes"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// targetAccounts is the number of accounts for which the configuration is designed.
const targetAccounts = 37_000

func TestSmallChangeRewritesOnePart(t *testing.T) {
	before, _ := mustParts(t, sample(targetAccounts))
	c := sample(targetAccounts)
	c.Accounts[777].Share = 99
	slices.Reverse(c.Accounts)
	after, byHash := mustParts(t, c)
	changed, bytesChanged, total := 0, 0, 0
	for _, hash := range after {
		size := len(byHash[hash])
		total += size
		if pomelorelay.Bytes(size) > pomeloconfig.MaxPartBytes {
			t.Fatalf("a part has %d bytes, which is over the limit", size)
		}
		if !slices.Contains(before, hash) {
			changed++
			bytesChanged += size
		}
	}
	if changed != 1 || len(before) != len(after) {
		t.Fatalf("%d of %d parts changed", changed, len(after))
	}
	t.Logf("37,000 accounts: %d parts, %d bytes; a change of one account rewrites 1 part, %d bytes", len(after), total, bytesChanged)
}

func TestSplitAndAssembleRoundTrip(t *testing.T) {
	c := sample(1500)
	hashes, byHash := mustParts(t, c)
	root := pomeloconfig.Root{Format: pomeloconfig.FormatVersion, Generation: 1, Parts: hashes}
	got, err := pomeloconfig.Assemble(root, byHash)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encode(t, got), encode(t, c)) {
		t.Fatal("splitting and assembling changed the configuration")
	}
}

// A part is corrupt, swapped with another, missing, or of a newer format. Assemble must return an error; a router with a partial
// configuration would reject the requests of the missing accounts.
func TestAssembleRejectsInvalidParts(t *testing.T) {
	hashes, byHash := mustParts(t, sample(1500))
	root := pomeloconfig.Root{Format: pomeloconfig.FormatVersion, Generation: 1, Parts: hashes}
	good := byHash[hashes[1]]
	byHash[hashes[1]] = byHash[hashes[2]]
	_, err := pomeloconfig.Assemble(root, byHash)
	wantCode(t, err, pomelorelay.CodeConfigHashMismatch)
	byHash[hashes[1]] = append(slices.Clone(good[:len(good)-1]), good[len(good)-1]^1)
	_, err = pomeloconfig.Assemble(root, byHash)
	wantCode(t, err, pomelorelay.CodeConfigHashMismatch)
	delete(byHash, hashes[1])
	_, err = pomeloconfig.Assemble(root, byHash)
	wantCode(t, err, pomelorelay.CodeConfigPartMissing)
	byHash[hashes[1]] = good
	root.Format++
	_, err = pomeloconfig.Assemble(root, byHash)
	wantCode(t, err, pomelorelay.CodeConfigMalformed)
	junk := []byte("no frame")
	_, err = pomeloconfig.Assemble(pomeloconfig.Root{Parts: []pomelorelay.Hash{pomeloconfig.HashOf(junk)}}, map[pomelorelay.Hash][]byte{pomeloconfig.HashOf(junk): junk})
	wantCode(t, err, pomelorelay.CodeConfigMalformed)
}

func TestSnapshotLookups(t *testing.T) {
	c := sample(10)
	c.Accounts[2].Shares = map[pomelorelay.ServiceID]pomelorelay.Weight{"draft": 50}
	c.Teams = append(c.Teams, pomeloconfig.Team{Name: "guests"})
	c.Accounts[4].Team = "guests"
	c.Accounts[5].Team = "guests"
	c.Accounts[5].Shares = map[pomelorelay.ServiceID]pomelorelay.Weight{"book": 0.5}
	s, err := pomeloconfig.NewSnapshot(pomeloconfig.Root{Generation: 7}, c)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range c.Accounts {
		if got, ok := s.Authenticate(string(a.Name)); !ok || got != a.Name {
			t.Fatalf("the token of %s is authenticated as %q", a.Name, got)
		}
	}
	if got, ok := s.Authenticate("unknown"); ok {
		t.Fatalf("an unknown token is authenticated as %q", got)
	}
	for _, w := range []struct {
		pool    pomelorelay.PoolID
		account pomelorelay.AccountID
		want    pomelorelay.Weight
	}{{"draft/m", "account-00002", 50}, {"book", "account-00002", 3}, {"book", "account-00005", 0.5}, {"nothing", "account-00001", 2}, {"book", "unknown", 0.5}} {
		if got := s.Weight(w.pool, w.account); got != w.want {
			t.Errorf("%s in %s: got %g, want %g", w.account, w.pool, got, w.want)
		}
	}
	if !s.MayCall("account-00001", "book") || s.MayCall("account-00004", "book") || !s.MayCall("account-00005", "book") || s.MayCall("unknown", "book") {
		t.Error("MayCall returns a wrong result")
	}
	if service, ok := s.PoolService("draft/m"); !ok || service.Name != "draft" || s.Generation() != 7 {
		t.Errorf("service of pool draft/m: got %v %v", service, ok)
	}
	if upstream, ok := s.Upstream("plain-1"); !ok || upstream.Service != "book" {
		t.Errorf("upstream plain-1: got %v %v", upstream, ok)
	}
	allocations := testing.AllocsPerRun(100, func() { s.Weight("draft/m", "account-00002") })
	if allocations != 0 {
		t.Errorf("Weight makes %g allocations, want none", allocations)
	}
}

// liveHeap returns the size of the live heap in bytes, after garbage collection.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestSnapshotMemoryAt37000Accounts(t *testing.T) {
	c := sample(targetAccounts)
	start := time.Now()
	hashes, byHash := mustParts(t, c)
	split := time.Since(start)
	root := pomeloconfig.Root{Format: pomeloconfig.FormatVersion, Generation: 1, Parts: hashes}
	encoded, err := pomeloconfig.EncodeRoot(root)
	if err != nil {
		t.Fatal(err)
	}
	c = pomeloconfig.Configuration{}
	before := liveHeap()
	start = time.Now()
	assembled, err := pomeloconfig.Assemble(root, byHash)
	if err != nil {
		t.Fatal(err)
	}
	assemble := time.Since(start)
	start = time.Now()
	s, err := pomeloconfig.NewSnapshot(root, assembled)
	if err != nil {
		t.Fatal(err)
	}
	compile := time.Since(start)
	assembled = pomeloconfig.Configuration{}
	heap := liveHeap() - before
	packed := 0
	for _, part := range byHash {
		packed += len(part)
	}
	t.Logf("37,000 accounts: split %v, assemble %v, compile %v; snapshot %d bytes of heap (%d an account), %d parts of %d bytes, root %d bytes",
		split, assemble, compile, heap, heap/targetAccounts, len(hashes), packed, len(encoded))
	if s.AccountCount() != targetAccounts {
		t.Fatalf("the snapshot has %d accounts", s.AccountCount())
	}
	if limit := uint64(16 << 20); heap > limit {
		t.Errorf("the snapshot uses %d bytes of heap, want at most %d", heap, limit)
	}
	runtime.KeepAlive(s)
}

func BenchmarkAuthenticate(b *testing.B) {
	s, err := pomeloconfig.NewSnapshot(pomeloconfig.Root{}, sample(targetAccounts))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Authenticate("account-12345")
	}
}

func BenchmarkWeight(b *testing.B) {
	s, err := pomeloconfig.NewSnapshot(pomeloconfig.Root{}, sample(targetAccounts))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Weight("draft/m", "account-12345")
	}
}

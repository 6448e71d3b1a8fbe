package pomeloconfig_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"pgregory.net/rapid"
)

func publish(t testing.TB, store pomelorelay.Store, c pomeloconfig.Configuration, change pomeloconfig.Change) pomeloconfig.Root {
	t.Helper()
	root, err := newPublisher(store).Publish(context.Background(), c, change)
	if err != nil {
		t.Fatal(err)
	}
	return root
}

func newPublisher(store pomelorelay.Store) *pomeloconfig.Publisher {
	return pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: store})
}

// withShare returns the sample configuration with the share of one account changed.
func withShare(share int) pomeloconfig.Configuration {
	c := sample(20)
	c.Accounts[3].Share = pomelorelay.Weight(share)
	return c
}

func TestAuditRecordsAuthorTimeReasonAndDifference(t *testing.T) {
	store := newMemStore()
	publish(t, store, withShare(1), pomeloconfig.Change{Author: "ana", Why: "first"})
	publish(t, store, withShare(9), pomeloconfig.Change{Author: "bea", Why: "more for 3"})
	entries, err := pomeloconfig.Audit(context.Background(), store, pomeloconfig.AuditOptions{})
	if err != nil || len(entries) != 2 {
		t.Fatalf("audit: got entries %v, error %v; want 2 entries", entries, err)
	}
	r := entries[0].Root
	if r.Author != "bea" || r.Why != "more for 3" || r.Time.IsZero() || r.Difference.Altered != 1 {
		t.Fatalf("newest audit entry: got %+v", r)
	}
	if want := "Altered Account/account-00003 Share: 1 -> 9"; r.Difference.Lines[0] != want {
		t.Fatalf("got %q, want %q", r.Difference.Lines[0], want)
	}
	if again := publish(t, store, withShare(9), pomeloconfig.Change{}); again.Generation != 2 {
		t.Fatalf("publishing an unchanged configuration created generation %d", again.Generation)
	}
}

// Two operators start from the same generation. The later one must get an error that names the accepted change; if the later
// change were accepted too, it would silently revert the first one.
func TestConflictErrorNamesAcceptedChange(t *testing.T) {
	store := newMemStore()
	publish(t, store, withShare(1), pomeloconfig.Change{Author: "ana"})
	publish(t, store, withShare(2), pomeloconfig.Change{Author: "bea", Why: "festival", BaseGeneration: 1})
	_, err := newPublisher(store).Publish(context.Background(), withShare(3), pomeloconfig.Change{Author: "caio", BaseGeneration: 1})
	wantCode(t, err, pomelorelay.CodeConfigConflict)
	if !strings.Contains(err.Error(), `generation 2 by "bea"`) || !strings.Contains(err.Error(), `"festival"`) {
		t.Fatalf("the error does not name the accepted change: %v", err)
	}
}

func TestPublishRejectsInvalidConfiguration(t *testing.T) {
	store := newMemStore()
	c := sample(2)
	c.Upstreams = c.Upstreams[:1]
	_, err := newPublisher(store).Publish(context.Background(), c, pomeloconfig.Change{})
	wantCode(t, err, pomelorelay.CodeConfigInvalid)
	if store.writes != 0 {
		t.Fatalf("%d writes of an invalid configuration", store.writes)
	}
}

// The answer to every write is lost after the write took effect. Publish must report success; after a conflict error the
// operator would apply the change twice.
func TestLostWriteAnswersAreResolvedByReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore()
		store.fault = func(int) writeFault { return faultAnswerLost }
		for share := 1; share <= 3; share++ {
			root := publish(t, store, withShare(share), pomeloconfig.Change{Author: "ana"})
			if root.Generation != pomelorelay.Generation(share) {
				t.Fatalf("generation %d, want %d", root.Generation, share)
			}
		}
	})
}

// Every attempt to replace the root gets an unknown outcome, and Publish times out. It must not report that the change was
// rejected, because an attempt may still arrive; publishing again with the same ID must find the change.
func TestUnsettledChangeIsFoundByID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore()
		publish(t, store, withShare(1), pomeloconfig.Change{})
		before := store.writes
		store.fault = func(n int) writeFault {
			if n > before+2 {
				return faultLateRequest
			}
			return faultNone
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := newPublisher(store).Publish(ctx, withShare(2), pomeloconfig.Change{ID: "mine"})
		wantCode(t, err, pomelorelay.CodeConfigUnsettled)
		time.Sleep(10 * time.Second)
		store.fault = nil
		root := publish(t, store, withShare(2), pomeloconfig.Change{ID: "mine"})
		if root.Generation != 2 || root.ChangeID != "mine" {
			t.Fatalf("got generation %d of %q", root.Generation, root.ChangeID)
		}
	})
}

// The store is restored from an old copy while routers have generation 3 in force. A change numbered after the restored root
// would be accepted by the store but ignored by every router, since routers never go to a lower generation.
func TestGenerationAfterRestoreIsAboveFleet(t *testing.T) {
	store := newMemStore()
	publish(t, store, withShare(1), pomeloconfig.Change{})
	old := store.backup()
	publish(t, store, withShare(2), pomeloconfig.Change{})
	publish(t, store, withShare(3), pomeloconfig.Change{})
	store.restore(old)
	root := publish(t, store, withShare(3), pomeloconfig.Change{FleetGeneration: 3})
	if root.Generation != 4 || root.PreviousGeneration != 1 {
		t.Fatalf("generation %d after %d", root.Generation, root.PreviousGeneration)
	}
	if entries, err := pomeloconfig.Audit(context.Background(), store, pomeloconfig.AuditOptions{}); err != nil || len(entries) != 2 {
		t.Fatalf("got %v %v", entries, err)
	}
}

// A replaced root was modified in the store. Audit must report a broken history instead of returning the modified entry.
func TestAuditDetectsModifiedHistory(t *testing.T) {
	store := newMemStore()
	publish(t, store, withShare(1), pomeloconfig.Change{Author: "ana"})
	publish(t, store, withShare(2), pomeloconfig.Change{})
	for key, record := range store.records {
		if strings.HasPrefix(string(key), "config/history/") {
			record.Value = []byte(strings.Replace(string(record.Value), "ana", "eva", 1))
			store.records[key] = record
		}
	}
	entries, err := pomeloconfig.Audit(context.Background(), store, pomeloconfig.AuditOptions{})
	wantCode(t, err, pomelorelay.CodeConfigHistoryBroken)
	if len(entries) != 1 {
		t.Fatalf("%d entries were verified, want 1", len(entries))
	}
}

// overtakenStore loses the answer to the first write of the root, and lets another change replace that root before the writer reads it
// back.
type overtakenStore struct {
	*memStore
	concurrent func()
}

func (s *overtakenStore) CompareAndSwap(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, lease pomelorelay.LeaseID) (pomelorelay.Revision, error) {
	revision, err := s.memStore.CompareAndSwap(ctx, key, value, old, lease)
	if key != pomeloconfig.RootKey || s.concurrent == nil {
		return revision, err
	}
	next := s.concurrent
	s.concurrent = nil
	next()
	return 0, pomelorelay.NewError(pomelorelay.CodeStoreUnknown, "lost", nil)
}

// A change is accepted, the answer is lost, and another change replaces the accepted one before the read-back. If Publish looked only at
// the newest root, it would report a conflict although the change is in the audit trail.
func TestReplacedChangeIsReportedAsAccepted(t *testing.T) {
	store := newMemStore()
	publish(t, store, withShare(1), pomeloconfig.Change{Author: "ana"})
	overtaken := &overtakenStore{memStore: store, concurrent: func() {
		publish(t, store, withShare(3), pomeloconfig.Change{Author: "bea"})
		publish(t, store, withShare(4), pomeloconfig.Change{Author: "bea"})
	}}
	root, err := newPublisher(overtaken).Publish(context.Background(), withShare(2), pomeloconfig.Change{Author: "caio"})
	if err != nil || root.Generation != 2 {
		t.Fatalf("got generation %d, error %v", root.Generation, err)
	}
}

// raceOutcome is the result of publishing one change.
type raceOutcome struct {
	id  pomeloconfig.ChangeID
	err error
}

// Operators publish concurrently while the store rejects, loses and delays writes and loses answers. A change reported as
// accepted must be in the audit trail exactly once, one reported as rejected must not be in it, and every accepted
// configuration must be complete in the store.
func TestRacingOperatorsAndLostAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.IntRange(0, 60).Draw(rt, "percent of writes with a fault")
		operators := rapid.IntRange(1, 4).Draw(rt, "operators")
		changes := rapid.IntRange(1, 3).Draw(rt, "changes")
		synctest.Test(t, func(t *testing.T) { raceOperators(t, seed, rate, operators, changes) })
	})
}

func raceOperators(t *testing.T, seed uint64, rate, operators, changes int) {
	store := newMemStore()
	store.random = rand.New(rand.NewPCG(seed, 1))
	faults := rand.New(rand.NewPCG(seed, 2))
	store.fault = func(int) writeFault {
		if faults.IntN(100) >= rate {
			return faultNone
		}
		return writeFault(1 + faults.IntN(int(faultCount)-1))
	}
	results := make(chan raceOutcome, operators*changes)
	for operator := range operators {
		go func() {
			for change := range changes {
				id := pomeloconfig.ChangeID(fmt.Sprintf("%d-%d", operator, change))
				c := withShare(10 + 10*operator + change)
				_, err := newPublisher(store).Publish(context.Background(), c, pomeloconfig.Change{ID: id, Author: string(id)})
				results <- raceOutcome{id, err}
			}
		}()
	}
	var outcomes []raceOutcome
	for range operators * changes {
		outcomes = append(outcomes, <-results)
	}
	time.Sleep(time.Minute)
	checkOutcomes(t, store, outcomes)
}

func checkOutcomes(t *testing.T, store *memStore, outcomes []raceOutcome) {
	t.Helper()
	ctx := context.Background()
	entries, err := pomeloconfig.Audit(ctx, store, pomeloconfig.AuditOptions{})
	if err != nil {
		t.Fatal(err)
	}
	times := make(map[pomeloconfig.ChangeID]int)
	for _, entry := range entries {
		times[entry.Root.ChangeID]++
		for _, hash := range entry.Root.Parts {
			if record, _ := store.Get(ctx, pomeloconfig.PartKey(hash)); record.Revision == 0 {
				t.Fatalf("generation %d lacks a part", entry.Root.Generation)
			}
		}
	}
	for _, o := range outcomes {
		switch {
		case o.err == nil && times[o.id] != 1:
			t.Fatalf("%s was reported as accepted and is in the audit trail %d times", o.id, times[o.id])
		case o.err != nil && times[o.id] > 0 && !pomeloconfig.IsErrUnsettled(o.err):
			t.Fatalf("%s failed with %v and is in the audit trail", o.id, o.err)
		case times[o.id] > 1:
			t.Fatalf("%s is in the audit trail %d times", o.id, times[o.id])
		}
	}
}

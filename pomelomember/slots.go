package pomelomember

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotTTL is the time for which a slot digest is relayed without being refreshed.
const slotTTL = 5 * time.Second

// receivedSlot is a slot digest with its time of receipt.
type receivedSlot struct {
	slot       pomelorelay.SlotDigest
	receivedAt time.Time
}

// slotTable holds the slots that this router owns and those that it relays between failure domains.
type slotTable struct {
	owned    []pomelorelay.SlotDigest
	received map[pomelorelay.UpstreamID]receivedSlot
	now      time.Time
}

func (t *slotTable) init() { t.received = make(map[pomelorelay.UpstreamID]receivedSlot) }

// SetSlots replaces the slots that this router owns and publishes in its digests.
func (v *View) SetSlots(slots []pomelorelay.SlotDigest) {
	v.slots.owned = append(v.slots.owned[:0], slots...)
}

// record stores slots that were received directly from their own failure domain. Relayed slots are ignored: two gateways of a
// domain would otherwise keep refreshing a dead owner's slots for each other.
func (t *slotTable) record(now time.Time, from pomelorelay.DomainID, slots []pomelorelay.SlotDigest) {
	t.now = now
	for i := range slots {
		if slots[i].Domain == from {
			t.received[slots[i].Upstream] = receivedSlot{slot: slots[i], receivedAt: now}
		}
	}
}

func (t *slotTable) appendOwned(out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	return append(out, t.owned...)
}

// appendBest appends up to limit slots of the given failure domain (local) or of all others, best first: those with the most idle
// capacity, then those that serve the highest tags.
func (t *slotTable) appendBest(domain pomelorelay.DomainID, local bool, limit int, out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	found := t.unexpired(func(s *pomelorelay.SlotDigest) bool { return (s.Domain == domain) == local })
	if local {
		found = append(found, t.owned...)
	}
	slices.SortFunc(found, func(a, b pomelorelay.SlotDigest) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(b.LastTag, a.LastTag), cmp.Compare(a.Upstream, b.Upstream))
	})
	return append(out, found[:min(limit, len(found))]...)
}

func (t *slotTable) unexpired(wanted func(*pomelorelay.SlotDigest) bool) []pomelorelay.SlotDigest {
	var found []pomelorelay.SlotDigest
	for upstream, r := range t.received {
		if t.now.Sub(r.receivedAt) >= slotTTL {
			delete(t.received, upstream)
			continue
		}
		if wanted(&r.slot) {
			found = append(found, r.slot)
		}
	}
	return found
}

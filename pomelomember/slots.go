package pomelomember

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotTTL is how long a slot's digest is passed on without news of it.
const slotTTL = 5 * time.Second

// receivedSlot is a slot digest with the time at which it arrived.
type receivedSlot struct {
	slot       pomelorelay.SlotDigest
	receivedAt time.Time
}

// slotTable holds the slots that this router owns and those that it passes on between failure domains.
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

// record notes the slots that come from their own failure domain. Those passed on by others are left out, or two gateways
// of a domain would tell each other of a dead owner's slots for ever.
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

// appendBest appends the slots of this failure domain, or of the others, that routers elsewhere can do most with: the idle
// ones, then those that serve the highest tags.
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
	for upstream, h := range t.received {
		if t.now.Sub(h.receivedAt) >= slotTTL {
			delete(t.received, upstream)
			continue
		}
		if wanted(&h.slot) {
			found = append(found, h.slot)
		}
	}
	return found
}

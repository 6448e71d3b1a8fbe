package pomelomember

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotsFor is how long a slot's digest is passed on without news of it.
const slotsFor = 5 * time.Second

// heardSlot is a slot digest with the time at which it arrived.
type heardSlot struct {
	slot pomelorelay.SlotDigest
	at   time.Time
}

// slotTable holds the slots that this router owns and those that it passes on between failure domains.
type slotTable struct {
	mine  []pomelorelay.SlotDigest
	heard map[pomelorelay.UpstreamID]heardSlot
	now   time.Time
}

func (t *slotTable) init() { t.heard = make(map[pomelorelay.UpstreamID]heardSlot) }

// SetSlots replaces the slots that this router owns and publishes in its digests.
func (v *View) SetSlots(slots []pomelorelay.SlotDigest) {
	v.slots.mine = append(v.slots.mine[:0], slots...)
}

// take notes the slots that come from their own failure domain. Those passed on by others are left out, or two gateways
// of a domain would tell each other of a dead owner's slots for ever.
func (t *slotTable) take(now time.Time, from pomelorelay.DomainID, slots []pomelorelay.SlotDigest) {
	t.now = now
	for i := range slots {
		if slots[i].Domain == from {
			t.heard[slots[i].Upstream] = heardSlot{slot: slots[i], at: now}
		}
	}
}

func (t *slotTable) own(out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	return append(out, t.mine...)
}

// useful appends the slots of this failure domain, or of the others, that routers elsewhere can do most with: the idle
// ones, then those that serve the highest tags.
func (t *slotTable) useful(domain pomelorelay.DomainID, own bool, most int, out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	found := t.fresh(func(s *pomelorelay.SlotDigest) bool { return (s.Domain == domain) == own })
	if own {
		found = append(found, t.mine...)
	}
	slices.SortFunc(found, func(a, b pomelorelay.SlotDigest) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(b.LastTag, a.LastTag), cmp.Compare(a.Upstream, b.Upstream))
	})
	return append(out, found[:min(most, len(found))]...)
}

func (t *slotTable) fresh(wanted func(*pomelorelay.SlotDigest) bool) []pomelorelay.SlotDigest {
	var found []pomelorelay.SlotDigest
	for upstream, h := range t.heard {
		if t.now.Sub(h.at) >= slotsFor {
			delete(t.heard, upstream)
			continue
		}
		if wanted(&h.slot) {
			found = append(found, h.slot)
		}
	}
	return found
}

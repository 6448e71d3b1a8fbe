package pomelomember

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotTTL is the time for which a SlotDigest (the slot state of one upstream) is relayed without being refreshed.
const slotTTL = 5 * time.Second

// receivedSlot is a slot digest with its time of receipt.
type receivedSlot struct {
	slot       pomelorelay.SlotDigest
	receivedAt time.Time
}

// slotTable holds the slot digests of upstreams whose slots this router grants, and those received from other routers for relaying.
type slotTable struct {
	owned    []pomelorelay.SlotDigest
	received map[pomelorelay.UpstreamID]receivedSlot
	now      time.Time
}

func (t *slotTable) init() { t.received = make(map[pomelorelay.UpstreamID]receivedSlot) }

// SetSlots replaces the slot states of the upstreams whose slots this router grants; they are sent in its digests (membership heartbeats).
func (v *View) SetSlots(slots []pomelorelay.SlotDigest) {
	v.slots.owned = append(v.slots.owned[:0], slots...)
}

// record stores slot digests that were received directly from a router of their own failure domain. Relayed ones are ignored: two
// gateways of a domain would otherwise keep refreshing a dead owner's slot digests for each other.
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

// appendBest appends up to limit slot digests: those of the given failure domain if local is set, otherwise those of all other domains.
// Upstreams with the most idle slots come first, then those with the highest last granted fair-queueing tag.
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

package pomeloplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// kept is what an engine probably keeps of prompts it has read: what all routers sent there last, up to its memory.
type kept struct {
	room  pomelorelay.Tokens
	taken pomelorelay.Tokens
	parts map[uint64]*keptPart
	// unnamed are prompts of other routers' requests whose parts were not reported, oldest first. They take memory like the others: left
	// out, each router would expect its parts to be kept as many times as long as there are routers, and send requests to engines that
	// have to read them again.
	unnamed []keptPart
	seq     uint64
}

type keptPart struct {
	tokens pomelorelay.Tokens
	used   uint64
	// told is when its use was last reported to the others.
	told time.Time
}

// keptShare is the part of an engine's memory that prompts, running and kept, are taken to fill; generated tokens take the rest.
const keptShare = 0.95

func (k *kept) note(hash uint64, tokens pomelorelay.Tokens) {
	if k.parts == nil {
		k.parts = make(map[uint64]*keptPart)
	}
	k.seq++
	if p := k.parts[hash]; p != nil {
		p.used = k.seq
		return
	}
	k.parts[hash] = &keptPart{tokens: tokens, used: k.seq}
	k.take(tokens)
}

// noteUnnamed takes tokens of prompts whose parts are not known.
func (k *kept) noteUnnamed(tokens pomelorelay.Tokens) {
	if tokens <= 0 {
		return
	}
	k.seq++
	k.unnamed = append(k.unnamed, keptPart{tokens: tokens, used: k.seq})
	k.take(tokens)
}

func (k *kept) take(tokens pomelorelay.Tokens) {
	k.taken += tokens
	if float64(k.taken) > keptShare*float64(k.room) {
		k.yield()
	}
}

// tell reports whether a use of the part is due for a report to the others, and notes that it is sent. Used by one router only, a part would
// look to the others as if it had not been used since it was read.
func (k *kept) tell(now time.Time, hash uint64) bool {
	p := k.parts[hash]
	if p == nil || (!p.told.IsZero() && now.Sub(p.told) < reportAgain) {
		return false
	}
	p.told = now
	return true
}

// reportAgain is the time after which another use of a part is reported; engines keep a part for several times as long after its last use.
const reportAgain = 2 * time.Second

// yieldShare is how much of what is kept goes at once, so that the oldest need not be sought each time.
const yieldShare = 0.1

func (k *kept) yield() {
	type aged struct {
		hash uint64
		used uint64
	}
	oldest := make([]aged, 0, len(k.parts))
	for hash, p := range k.parts {
		oldest = append(oldest, aged{hash, p.used})
	}
	slices.SortFunc(oldest, func(a, b aged) int { return cmp.Compare(a.used, b.used) })
	goal := pomelorelay.Tokens((1 - yieldShare) * keptShare * float64(k.room))
	for k.taken > goal && len(oldest)+len(k.unnamed) > 0 {
		if len(oldest) == 0 || (len(k.unnamed) > 0 && k.unnamed[0].used < oldest[0].used) {
			k.taken -= k.unnamed[0].tokens
			k.unnamed = k.unnamed[1:]
			continue
		}
		k.taken -= k.parts[oldest[0].hash].tokens
		delete(k.parts, oldest[0].hash)
		oldest = oldest[1:]
	}
}

// missing returns the tokens of a prompt that must be read: all from the first part that is not kept.
func (k *kept) missing(r *Request) pomelorelay.Tokens {
	left := r.PromptTokens
	for _, p := range r.Parts {
		if k.parts[p.Hash] == nil {
			return left
		}
		left = max(0, left-p.Tokens)
	}
	return max(left, 1)
}

package pomeloroute

import (
	"encoding/json"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

const (
	progressEvery = 100 * time.Millisecond
	// bytesPerToken estimates the input until the engine reports its usage.
	bytesPerToken = 4
)

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type usageHolder struct {
	Usage *usage `json:"usage"`
}

// meter measures what an attempt costs while it runs.
type meter struct {
	clock   pomelorelay.Clock
	service *pomeloconfig.Service
	ticket  Ticket
	started time.Time
	input   pomelorelay.Cost
	tokens  int64
	first   time.Time
	last    time.Time
	told    time.Time
	used    *usage
	slot    *slotClock
}

func newMeter(c *call, ticket Ticket) *meter {
	m := &meter{clock: c.h.cfg.Clock, service: c.service, ticket: ticket}
	m.started = m.clock.Now()
	if c.service.Kind == pomeloconfig.ServiceModel {
		m.input = pomelorelay.Cost(len(c.bytes())/bytesPerToken) * c.service.InputCost
		return m
	}
	m.slot = newSlotClock(m.clock, ticket, m.started)
	return m
}

// token counts one pomelolink.Event of generated text.
func (m *meter) token() {
	now := m.clock.Now()
	m.tokens++
	if m.first.IsZero() {
		m.first = now
	}
	m.last = now
	if now.Sub(m.told) >= progressEvery {
		m.told = now
		m.ticket.Progress(m.cost())
	}
}

// report takes the usage out of an event or a body, if it holds one.
func (m *meter) report(data []byte) bool {
	var holder usageHolder
	if json.Unmarshal(data, &holder) != nil || holder.Usage == nil {
		return false
	}
	m.used = holder.Usage
	return true
}

func (m *meter) cost() pomelorelay.Cost {
	if m.service.Kind != pomeloconfig.ServiceModel {
		return pomelorelay.Cost(m.clock.Now().Sub(m.started).Seconds())
	}
	if m.used != nil {
		return pomelorelay.Cost(m.used.PromptTokens)*m.service.InputCost + pomelorelay.Cost(m.used.CompletionTokens)*m.service.OutputCost
	}
	return m.input + pomelorelay.Cost(m.tokens)*m.service.OutputCost
}

// end stops the meter and returns its result.
func (m *meter) end() Result {
	if m.slot != nil {
		m.slot.stop()
	}
	r := Result{Cost: m.cost()}
	if !m.first.IsZero() {
		r.FirstToken = m.first.Sub(m.started)
	}
	if m.tokens > 1 {
		r.TokenGap = m.last.Sub(m.first) / time.Duration(m.tokens-1)
	}
	return r
}

package pomeloroute

import (
	"encoding/json"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

const (
	progressInterval = 100 * time.Millisecond
	// bytesPerToken is how many bytes of the request body count as one prompt token until the engine reports the token usage.
	bytesPerToken = 4
)

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type usageMessage struct {
	Usage *usage `json:"usage"`
}

// meter measures the cost and the token latencies of an attempt.
type meter struct {
	clock          pomelorelay.Clock
	service        *pomeloconfig.Service
	ticket         Ticket
	started        time.Time
	estimatedInput pomelorelay.Cost
	tokens         int64
	firstToken     time.Time
	lastToken      time.Time
	lastProgressAt time.Time
	usage          *usage
	slotClock      *slotClock
}

func newMeter(c *call, ticket Ticket) *meter {
	m := &meter{clock: c.h.cfg.Clock, service: c.service, ticket: ticket}
	m.started = m.clock.Now()
	if c.service.Kind == pomeloconfig.ServiceModel {
		m.estimatedInput = pomelorelay.Cost(len(c.bytes())/bytesPerToken) * c.service.InputCost
		return m
	}
	m.slotClock = newSlotClock(m.clock, ticket, m.started)
	return m
}

// countToken counts one event of generated text as a token.
func (m *meter) countToken() {
	now := m.clock.Now()
	m.tokens++
	if m.firstToken.IsZero() {
		m.firstToken = now
	}
	m.lastToken = now
	if now.Sub(m.lastProgressAt) >= progressInterval {
		m.lastProgressAt = now
		m.ticket.Progress(m.cost())
	}
}

// readUsage reads the token usage from an event's data or an answer's body, and reports whether the data contained any.
func (m *meter) readUsage(data []byte) bool {
	var holder usageMessage
	if json.Unmarshal(data, &holder) != nil || holder.Usage == nil {
		return false
	}
	m.usage = holder.Usage
	return true
}

func (m *meter) cost() pomelorelay.Cost {
	if m.service.Kind != pomeloconfig.ServiceModel {
		return pomelorelay.Cost(m.clock.Now().Sub(m.started).Seconds())
	}
	if m.usage != nil {
		return pomelorelay.Cost(m.usage.PromptTokens)*m.service.InputCost + pomelorelay.Cost(m.usage.CompletionTokens)*m.service.OutputCost
	}
	return m.estimatedInput + pomelorelay.Cost(m.tokens)*m.service.OutputCost
}

// stop ends the measurement and returns the measured fields of the result; Outcome and Code are not set.
func (m *meter) stop() Result {
	if m.slotClock != nil {
		m.slotClock.stop()
	}
	r := Result{Cost: m.cost()}
	if !m.firstToken.IsZero() {
		r.FirstToken = m.firstToken.Sub(m.started)
	}
	if m.tokens > 1 {
		r.TokenGap = m.lastToken.Sub(m.firstToken) / time.Duration(m.tokens-1)
	}
	return r
}

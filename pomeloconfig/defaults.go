package pomeloconfig

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults for the zero-valued fields of services, upstreams and accounts.
const (
	DefaultInputCost       = pomelorelay.Cost(0.25)
	DefaultOutputCost      = pomelorelay.Cost(1)
	DefaultModelMaxCost    = pomelorelay.Cost(16_384)
	DefaultPlainMaxCost    = pomelorelay.Cost(60)
	DefaultMaxBody         = pomelorelay.Bytes(4 << 20)
	DefaultMaxWaiting      = 256
	DefaultMaxWaitingBytes = pomelorelay.Bytes(32 << 20)
	DefaultMaxWait         = time.Minute
	DefaultModelTimeout    = 10 * time.Minute
	DefaultPlainTimeout    = time.Minute
	DefaultRetryBudget     = 0.1
	DefaultRetention       = 24 * time.Hour
	DefaultQuarantine      = 10 * time.Minute
	DefaultMinSlots        = pomelorelay.Slots(1)
	DefaultMaxSlots        = pomelorelay.Slots(32)
	DefaultShare           = pomelorelay.Weight(1)
)

// The spill margins and the catch-up limit scale with MaxCost, the cost of the most expensive request. With margins far below MaxCost a
// single request would move work to other failure domains; with margins far above MaxCost slots in other failure domains would stay idle.
const (
	spillDomainPerMaxCost = 0.125
	spillRegionPerDomain  = 8
	catchUpPerMaxCost     = 4
)

// FillDefaults replaces zero values by their defaults; it modifies the slices in place.
func (c *Configuration) FillDefaults() {
	for i := range c.Services {
		c.Services[i].fillDefaults()
	}
	for i := range c.Upstreams {
		c.Upstreams[i].fillDefaults()
	}
	for i := range c.Accounts {
		if c.Accounts[i].Share == 0 {
			c.Accounts[i].Share = DefaultShare
		}
	}
}

func (s *Service) fillDefaults() {
	maxCost, timeout := DefaultPlainMaxCost, DefaultPlainTimeout
	if s.Kind == ServiceModel {
		maxCost, timeout = DefaultModelMaxCost, DefaultModelTimeout
		setCost(&s.InputCost, DefaultInputCost)
		setCost(&s.OutputCost, DefaultOutputCost)
	}
	setCost(&s.MaxCost, maxCost)
	setBytes(&s.MaxBody, DefaultMaxBody)
	setInt(&s.MaxWaiting, DefaultMaxWaiting)
	setBytes(&s.MaxWaitingBytes, DefaultMaxWaitingBytes)
	setDuration(&s.MaxWait, DefaultMaxWait)
	setDuration(&s.Timeout, timeout)
	setTag(&s.SpillDomain, pomelorelay.Tag(s.MaxCost*spillDomainPerMaxCost))
	setTag(&s.SpillRegion, s.SpillDomain*spillRegionPerDomain)
	setTag(&s.CatchUp, pomelorelay.Tag(s.MaxCost*catchUpPerMaxCost))
	if s.RetryBudget == 0 {
		s.RetryBudget = DefaultRetryBudget
	}
	setDuration(&s.Retention, DefaultRetention)
	setDuration(&s.QuarantineFor, DefaultQuarantine)
}

func (u *Upstream) fillDefaults() {
	if u.MinSlots == 0 {
		u.MinSlots = DefaultMinSlots
	}
	if u.MaxSlots == 0 {
		u.MaxSlots = DefaultMaxSlots
	}
}

func setCost(c *pomelorelay.Cost, value pomelorelay.Cost) {
	if *c == 0 {
		*c = value
	}
}

func setTag(t *pomelorelay.Tag, value pomelorelay.Tag) {
	if *t == 0 {
		*t = value
	}
}

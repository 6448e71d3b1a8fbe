package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of Config.
const (
	defaultSuspectFor     = 10 * time.Minute
	defaultQuarantineFor  = 10 * time.Minute
	defaultCrashWindow    = 3 * time.Second
	defaultSettleFor      = 50 * time.Millisecond
	defaultLockFor        = 6 * time.Second
	defaultAskAgain       = 200 * time.Millisecond
	defaultMaxWait        = 10 * time.Second
	defaultMaxSuspects    = 4096
	defaultMaxQuarantined = 1024
)

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = pomelorelay.NopLogger{}
	}
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = defaultMaxSuspects
	}
	if c.MaxQuarantined <= 0 {
		c.MaxQuarantined = defaultMaxQuarantined
	}
	setDuration(&c.SuspectFor, defaultSuspectFor)
	setDuration(&c.QuarantineFor, defaultQuarantineFor)
	setDuration(&c.CrashWindow, defaultCrashWindow)
	setDuration(&c.SettleFor, defaultSettleFor)
	setDuration(&c.LockFor, defaultLockFor)
	setDuration(&c.AskAgain, defaultAskAgain)
	setDuration(&c.MaxWait, defaultMaxWait)
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

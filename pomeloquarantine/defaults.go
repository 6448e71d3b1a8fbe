package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of Config and CrashLogConfig.
const (
	defaultSuspectFor     = 10 * time.Minute
	defaultQuarantineFor  = 10 * time.Minute
	defaultCrashWindow    = 3 * time.Second
	defaultNoticeDelay    = 50 * time.Millisecond
	defaultLockTTL        = 6 * time.Second
	defaultAskInterval    = 200 * time.Millisecond
	defaultMaxWait        = 10 * time.Second
	defaultMaxSuspects    = 4096
	defaultMaxQuarantined = 1024
	defaultMaxCrashes     = 3
	defaultCrashMemory    = time.Hour
	defaultPendingFor     = 8 * time.Second
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
	setDefaultDuration(&c.SuspectFor, defaultSuspectFor)
	setDefaultDuration(&c.QuarantineFor, defaultQuarantineFor)
	setDefaultDuration(&c.CrashWindow, defaultCrashWindow)
	setDefaultDuration(&c.NoticeDelay, defaultNoticeDelay)
	setDefaultDuration(&c.LockTTL, defaultLockTTL)
	setDefaultDuration(&c.AskInterval, defaultAskInterval)
	setDefaultDuration(&c.MaxWait, defaultMaxWait)
	return c
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

package pomeloroute

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Default values of Options.
const (
	defaultMaxHeaders        = 100
	defaultMaxHeaderBytes    = 32 << 10
	defaultMaxBody           = 16 << 20
	defaultMaxBufferedBodies = 256 << 20
	defaultMaxBufferedAnswer = 64 << 10
	defaultMaxStoredOutcome  = 4 << 10
	defaultDialTimeout       = time.Second
	defaultIdleConns         = 64
	defaultIdleTimeout       = 30 * time.Second
	defaultTimeout           = 10 * time.Minute
	defaultMaxWait           = time.Minute
	defaultMaxAttempts       = 3
	defaultRetryAfter        = time.Second
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = pomelorelay.SystemClock{}
	}
	if c.Logger == nil {
		c.Logger = pomelorelay.NopLogger{}
	}
	if c.FinalAnswers == nil {
		c.FinalAnswers = context.Background()
	}
	c.Options = c.Options.withDefaults()
	return c
}

func (o Options) withDefaults() Options {
	setCount(&o.MaxHeaders, defaultMaxHeaders)
	setBytes(&o.MaxHeaderBytes, defaultMaxHeaderBytes)
	setBytes(&o.MaxBody, defaultMaxBody)
	setBytes(&o.MaxBufferedBodies, defaultMaxBufferedBodies)
	setBytes(&o.MaxBufferedAnswer, defaultMaxBufferedAnswer)
	setBytes(&o.MaxStoredOutcome, defaultMaxStoredOutcome)
	setDuration(&o.DialTimeout, defaultDialTimeout)
	setCount(&o.IdleConns, defaultIdleConns)
	setDuration(&o.IdleTimeout, defaultIdleTimeout)
	setDuration(&o.Timeout, defaultTimeout)
	setDuration(&o.MaxWait, defaultMaxWait)
	setCount(&o.MaxAttempts, defaultMaxAttempts)
	setDuration(&o.RetryAfter, defaultRetryAfter)
	return o
}

func setCount(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

func setBytes(field *pomelorelay.Bytes, value pomelorelay.Bytes) {
	if *field <= 0 {
		*field = value
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

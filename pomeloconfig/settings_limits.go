package pomeloconfig

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of the Limits section.
const (
	DefaultHeaderBytes   = pomelorelay.Bytes(32 << 10)
	DefaultBodyBytes     = pomelorelay.Bytes(16 << 20)
	DefaultBufferedBytes = pomelorelay.Bytes(256 << 20)
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// LimitSettings limits the memory and connections that callers can take up at a router.
type LimitSettings struct {
	HeaderBytes pomelorelay.Bytes `yaml:"HeaderBytes"`
	// BodyBytes is the maximum size of a request's body, even if the service allows more.
	BodyBytes pomelorelay.Bytes `yaml:"BodyBytes"`
	// BufferedBytes is the maximum total size of the bodies waiting at the router.
	BufferedBytes pomelorelay.Bytes `yaml:"BufferedBytes"`
	HeaderTimeout time.Duration     `yaml:"HeaderTimeout"`
	IdleTimeout   time.Duration     `yaml:"IdleTimeout"`
}

func (l *LimitSettings) fillDefaults() {
	setBytes(&l.HeaderBytes, DefaultHeaderBytes)
	setBytes(&l.BodyBytes, DefaultBodyBytes)
	setBytes(&l.BufferedBytes, DefaultBufferedBytes)
	setDuration(&l.HeaderTimeout, DefaultHeaderTimeout)
	setDuration(&l.IdleTimeout, DefaultIdleTimeout)
}

func (l LimitSettings) check(c *checker) {
	c.bytes("Limits.HeaderBytes", l.HeaderBytes, 1<<10, 1<<20)
	c.bytes("Limits.BodyBytes", l.BodyBytes, 1<<10, 1<<30)
	c.bytes("Limits.BufferedBytes", l.BufferedBytes, l.BodyBytes, 1<<40)
	c.duration("Limits.HeaderTimeout", l.HeaderTimeout, time.Millisecond, time.Hour)
	c.duration("Limits.IdleTimeout", l.IdleTimeout, time.Millisecond, 24*time.Hour)
}

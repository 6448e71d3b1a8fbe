package pomelomesh

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Self tells who this router is.
type Self struct {
	Node        pomelorelay.NodeID
	Incarnation pomelorelay.Incarnation
	Domain      pomelorelay.DomainID
	Region      pomelorelay.RegionID
}

// TLSFiles names the PEM files of mutual TLS; the certificate's DNS name is the router's NodeID.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// QueueLimits bounds what waits for one peer.
type QueueLimits struct {
	// MaxMessages is the largest count; 4096 when zero.
	MaxMessages int
	// MaxBytes is the largest encoded size; 8 MiB when zero.
	MaxBytes pomelorelay.Bytes
}

// Timing holds the intervals of links; a zero field takes the default that its comment gives.
type Timing struct {
	// ConnectTimeout bounds dial and handshake; 1.5 s.
	ConnectTimeout time.Duration
	// AckDelay is how long a receiver with nothing to send waits before it shows that it is there; 1.2 s,
	// longer than the interval of digests, so that within a failure domain it is seldom needed.
	AckDelay time.Duration
	// AckTimeout is how long after a send a link without a sign of the peer counts as broken; 2 s.
	AckTimeout time.Duration
	// PingInterval is the interval of signs of life on an idle link; 10 s.
	PingInterval time.Duration
	// IdleTimeout is how long a link to another failure domain is kept without messages; 30 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered wait between attempts to connect; 100 ms and 5 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Config holds what a Mesh needs.
type Config struct {
	Self   Self
	Listen netip.AddrPort
	// TLS names the key files; Insecure must be set when they are empty.
	TLS      TLSFiles
	Insecure bool
	// Budget bounds bytes sent per second by link class; zero means unbounded.
	Budget [pomelorelay.LinkClasses]pomelorelay.Bytes
	Queue  QueueLimits
	Timing Timing
	// InboxSize is the length of the channel of arrived messages; 1024 when zero.
	InboxSize int
	// Seed feeds the jitter of reconnects.
	Seed   uint64
	Logger pomelorelay.Logger
}

const (
	defaultQueueMessages = 4096
	defaultQueueBytes    = 8 << 20
	defaultInboxSize         = 1024
)

func (c Config) withDefaults() Config {
	if c.Queue.MaxMessages == 0 {
		c.Queue.MaxMessages = defaultQueueMessages
	}
	if c.Queue.MaxBytes == 0 {
		c.Queue.MaxBytes = defaultQueueBytes
	}
	if c.InboxSize == 0 {
		c.InboxSize = defaultInboxSize
	}
	if c.Logger == nil {
		c.Logger = pomelorelay.NopLogger{}
	}
	c.Timing = c.Timing.withDefaults()
	return c
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.ConnectTimeout, 1500*time.Millisecond)
	setDefault(&t.AckDelay, 1200*time.Millisecond)
	setDefault(&t.AckTimeout, 2*time.Second)
	setDefault(&t.PingInterval, 10*time.Second)
	setDefault(&t.IdleTimeout, 30*time.Second)
	setDefault(&t.BackoffMin, 100*time.Millisecond)
	setDefault(&t.BackoffMax, 5*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

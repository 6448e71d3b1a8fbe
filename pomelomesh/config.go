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

// QueueBounds bounds what waits for one peer.
type QueueBounds struct {
	// Messages is the largest count; 4096 when zero.
	Messages int
	// Bytes is the largest encoded size; 8 MiB when zero.
	Bytes pomelorelay.Bytes
}

// Timing holds the intervals of links; a zero field takes the default that its comment gives.
type Timing struct {
	// Connect bounds dial and handshake; 1.5 s.
	Connect time.Duration
	// Acknowledge is how long a receiver with nothing to send waits before it shows that it is there; 1.2 s,
	// longer than the interval of digests, so that within a failure domain it is seldom needed.
	Acknowledge time.Duration
	// Silent is how long after a send a link without a sign of the peer counts as broken; 2 s.
	Silent time.Duration
	// Ping is the interval of signs of life on an idle link; 10 s.
	Ping time.Duration
	// Idle is how long a link to another failure domain is kept without messages; 30 s.
	Idle time.Duration
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
	// BytesPerSecond bounds bytes sent per second by link class; zero means unbounded.
	BytesPerSecond [pomelorelay.LinkClassCount]pomelorelay.Bytes
	Queue  QueueBounds
	Timing Timing
	// Inbox is the length of the channel of arrived messages; 1024 when zero.
	Inbox int
	// Seed feeds the jitter of reconnects.
	Seed   uint64
	Logger pomelorelay.Logger
}

const (
	defaultQueueMessages = 4096
	defaultQueueBytes    = 8 << 20
	defaultInbox         = 1024
)

func (c Config) withDefaults() Config {
	if c.Queue.Messages == 0 {
		c.Queue.Messages = defaultQueueMessages
	}
	if c.Queue.Bytes == 0 {
		c.Queue.Bytes = defaultQueueBytes
	}
	if c.Inbox == 0 {
		c.Inbox = defaultInbox
	}
	if c.Logger == nil {
		c.Logger = pomelorelay.NopLogger{}
	}
	c.Timing = c.Timing.withDefaults()
	return c
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Connect, 1500*time.Millisecond)
	setDefault(&t.Acknowledge, 1200*time.Millisecond)
	setDefault(&t.Silent, 2*time.Second)
	setDefault(&t.Ping, 10*time.Second)
	setDefault(&t.Idle, 30*time.Second)
	setDefault(&t.BackoffMin, 100*time.Millisecond)
	setDefault(&t.BackoffMax, 5*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

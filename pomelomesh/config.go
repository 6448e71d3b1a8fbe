package pomelomesh

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Self identifies this router in the hello, the first message on a link.
type Self struct {
	Node        pomelorelay.NodeID
	Incarnation pomelorelay.Incarnation
	Domain      pomelorelay.DomainID
	Region      pomelorelay.RegionID
}

// TLSFiles holds the paths of the PEM files for mutual TLS; the certificate's DNS name is the router's NodeID.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// QueueLimits limits the number and the total size of the messages queued for one peer.
type QueueLimits struct {
	// MaxMessages bounds the number of messages; 4096 when zero.
	MaxMessages int
	// MaxBytes bounds the total encoded size of the messages; 8 MiB when zero.
	MaxBytes pomelorelay.Bytes
}

// Timing holds the timeouts and intervals of links; a zero field takes the default named in its comment.
type Timing struct {
	// ConnectTimeout bounds dialling, the TLS handshake and the exchange of hellos; 1.5 s.
	ConnectTimeout time.Duration
	// AckDelay is how long a receiver with nothing to send waits before it acknowledges with an empty frame; 1.2 s,
	// longer than the interval of digests (membership heartbeats), so that acknowledgements are rarely needed within a
	// failure domain.
	AckDelay time.Duration
	// AckTimeout is the time within which a frame must arrive from the peer after a frame was sent to the peer;
	// otherwise the link is considered broken; 2 s.
	AckTimeout time.Duration
	// PingInterval is the time without a received frame after which a link is pinged; 10 s.
	PingInterval time.Duration
	// IdleTimeout is how long a link to another failure domain, or a second link to a router of the same failure
	// domain, is kept open without messages; 30 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff, before jitter, between connection attempts; 100 ms and 5 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Config configures a Mesh.
type Config struct {
	Self   Self
	Listen netip.AddrPort
	// TLS holds the paths of the key files; without them Insecure must be set.
	TLS      TLSFiles
	Insecure bool
	// BytesPerSecond bounds the send rate of each link class; zero means unlimited.
	BytesPerSecond [pomelorelay.LinkClassCount]pomelorelay.Bytes
	Queue          QueueLimits
	Timing         Timing
	// InboxSize is the capacity of the channel of received messages; 1024 when zero.
	InboxSize int
	// Seed seeds the jitter of the reconnect backoff.
	Seed   uint64
	Logger pomelorelay.Logger
}

const (
	defaultQueueMessages = 4096
	defaultQueueBytes    = 8 << 20
	defaultInboxSize     = 1024
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

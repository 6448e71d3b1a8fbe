package pomelocapacity

import (
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// Target is the size that the fleet has to carry.
type Target struct {
	Nodes, Domains, Regions, Upstreams, Accounts, Backlogged, Pools int
	Requests, Tokens                                                float64
	TokenGap                                                        time.Duration
	ChangesPerDay, RestartsPerDay, FailuresPerDay                   float64
	// Depth is how many requests a backlogged account keeps waiting, and NonIdempotent the part of the requests that needs
	// a claim; the target names neither, so they are assumptions.
	Depth         int
	NonIdempotent float64
}

// Size is what the fleet has to carry in about two years.
func Size() Target {
	return Target{
		Nodes: 360, Domains: 6, Regions: 2, Upstreams: 600, Accounts: 37_000, Backlogged: 3_700, Pools: 4,
		Requests: 3_200, Tokens: 800_000, TokenGap: 51 * time.Millisecond,
		ChangesPerDay: 300, RestartsPerDay: 190, FailuresPerDay: 19,
		Depth: 2, NonIdempotent: 0.1,
	}
}

// What a node may spend on control.
const (
	allowedCore   = 0.027
	allowedMemory = 64 << 20
	allowedBytes  = 24 << 10
)

// Routers is the number of routers of one failure domain.
func (t Target) Routers() int { return t.Nodes / t.Domains }

// DomainUpstreams is the number of upstreams of one failure domain.
func (t Target) DomainUpstreams() int { return t.Upstreams / t.Domains }

// Running is the number of requests that run at once: every token of the peak takes its gap.
func (t Target) Running() float64 { return t.Tokens * t.TokenGap.Seconds() }

// Duration is how long one request runs.
func (t Target) Duration() time.Duration {
	return time.Duration(t.Running() / t.Requests * float64(time.Second))
}

// Slots is how many requests an upstream runs at once.
func (t Target) Slots() int { return int(t.Running()) / t.Upstreams }

// NodeRequests is what one node gets a second.
func (t Target) NodeRequests() float64 { return t.Requests / float64(t.Nodes) }

// settings is a router's own YAML with every default.
const settings = `
Host: {Name: router, FailureDomain: a, Region: north}
Listen: {Caller: "127.0.0.1:8080", Control: "127.0.0.1:8081", Operator: "127.0.0.1:8082"}
Store: {Addresses: ["127.0.0.1:8300"]}
TLS: {Insecure: true}
`

// Defaults returns the settings of a router that sets nothing itself.
func Defaults() (pomeloconfig.Settings, error) { return pomeloconfig.ParseSettings([]byte(settings)) }

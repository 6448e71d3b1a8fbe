package pomelonode

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
)

// status is the state served under /status; the control goroutine publishes it every statusInterval.
type status struct {
	Node        pomelorelay.NodeID
	Domain      pomelorelay.DomainID
	Region      pomelorelay.RegionID
	Incarnation pomelorelay.Incarnation
	Generation  pomelorelay.Generation
	Ready       bool
	Stopping    bool
	Evacuated   []pomelorelay.DomainID
	Members     []memberStatus
	Upstreams   []upstreamStatus
	Pools       []poolStatus
	Jobs        jobStatus
	// Claims counts the claims on idempotency keys whose outcomes are not stored; a graceful stop waits for them.
	Claims pomeloclaim.Phases

	memberCount int
}

type memberStatus struct {
	Node       pomelorelay.NodeID
	Domain     pomelorelay.DomainID
	Generation pomelorelay.Generation
}

type upstreamStatus struct {
	Upstream pomelorelay.UpstreamID
	Pool     pomelorelay.PoolID
	LastTag  pomelorelay.Tag
	Idle     pomelorelay.Slots
	Limit    pomelorelay.Slots
	Leaving  bool
	Running  int
}

type poolStatus struct {
	Pool    pomelorelay.PoolID
	Waiting int
	Head    pomelorelay.Tag
	Virtual pomelorelay.Tag
	Running int
}

type jobStatus struct {
	Upstreams    int
	LedgerShards int
	ClaimShards  int
}

// retryAfter estimates when a caller of the pool should retry: after 1 s, plus 1 s for every ten waiting requests.
func (s *status) retryAfter(pool pomelorelay.PoolID) time.Duration {
	for _, p := range s.Pools {
		if p.Pool == pool && p.Waiting > 0 {
			return time.Duration(1+p.Waiting/10) * time.Second
		}
	}
	return time.Second
}

func (c *control) publishStatus() {
	n := c.n
	s := &status{
		Node:        n.self.Node,
		Domain:      n.self.Domain,
		Region:      n.self.Region,
		Incarnation: n.incarnation,
		Generation:  c.configSyncer.Generation(),
		Ready:       n.Ready(),
		Stopping:    n.stopping.Load(),
		Evacuated:   c.evacuated,
		Jobs:        jobStatus{Upstreams: len(c.jobs.stopLoadReads), LedgerShards: len(c.jobs.ledger), ClaimShards: len(c.jobs.claims)},
		memberCount: len(c.jobs.members),
		Claims:      c.claimRequester.Phases(),
	}
	for _, node := range c.jobs.members {
		peer, _ := c.members.Peer(node)
		generation := c.generations[node]
		if node == n.self.Node {
			generation = s.Generation
		}
		s.Members = append(s.Members, memberStatus{node, peer.Domain, generation})
	}
	for _, d := range c.slots {
		load := c.loads[d.Upstream]
		s.Upstreams = append(s.Upstreams, upstreamStatus{d.Upstream, d.Pool, d.LastTag, d.Idle, d.Limit, d.Leaving, load.Running})
	}
	s.Pools = c.poolStatuses()
	n.status.Store(s)
}

func (c *control) poolStatuses() []poolStatus {
	running := make(map[pomelorelay.PoolID]int)
	for _, t := range c.running {
		running[t.waiter.request.Pool]++
	}
	var pools []poolStatus
	for pool := range c.pools {
		head, waiting, _ := c.queues.Head(c.now(), pool)
		pools = append(pools, poolStatus{pool, waiting, head, c.slotRequester.VirtualTime(pool), running[pool]})
	}
	slices.SortFunc(pools, func(a, b poolStatus) int { return strings.Compare(string(a.Pool), string(b.Pool)) })
	return pools
}

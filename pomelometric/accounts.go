package pomelometric

import (
	"sync"

	"github.com/pomelorelay/pomelorelay"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxAccountLabels bounds the number of accounts with counters of their own, since each counter takes memory in the router and at every collector.
	// Further accounts are counted together as otherAccounts.
	maxAccountLabels = 200
	otherAccounts    = "(other)"
)

// Events of an account's requests; refusals are counted by refusedPrefix and their reason.
const (
	accountRequested   = "requested"
	accountWithinShare = "within_share"
	accountServed      = "served"
	refusedPrefix      = "refused_"
)

// accountCounters counts the requests of accounts.
type accountCounters struct {
	requests *prometheus.CounterVec
	mu       *sync.Mutex
	// labelled holds the accounts with counters of their own.
	labelled map[pomelorelay.AccountID]bool
}

func newAccountCounters() accountCounters {
	return accountCounters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "account_requests_total", Help: "Requests by account and by what became of them; one request counts as requested, and further events of it as well."}, []string{"account", "event"}),
		mu:       new(sync.Mutex),
		labelled: make(map[pomelorelay.AccountID]bool),
	}
}

func (c *accountCounters) count(account pomelorelay.AccountID, event string, n int) {
	if n > 0 {
		c.requests.WithLabelValues(c.label(account), event).Add(float64(n))
	}
}

func (c *accountCounters) label(account pomelorelay.AccountID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.labelled[account] && len(c.labelled) >= maxAccountLabels {
		return otherAccounts
	}
	c.labelled[account] = true
	return string(account)
}

// CountAccountRequests counts requests of an account; an attempt at another upstream is not a request of its own.
func (m *Metrics) CountAccountRequests(account pomelorelay.AccountID, n int) {
	m.accounts.count(account, accountRequested, n)
}

// CountAccountWithinShare counts a request that is within its account's share.
func (m *Metrics) CountAccountWithinShare(account pomelorelay.AccountID) {
	m.accounts.count(account, accountWithinShare, 1)
}

// CountAccountServed counts a request of an account that was answered completely.
func (m *Metrics) CountAccountServed(account pomelorelay.AccountID) {
	m.accounts.count(account, accountServed, 1)
}

// CountAccountRefused counts requests of an account that were not placed, by the reason.
func (m *Metrics) CountAccountRefused(account pomelorelay.AccountID, reason string, n int) {
	m.accounts.count(account, refusedPrefix+reason, n)
}

// CountPromise counts a caller that was told to return, or what became of its return.
func (m *Metrics) CountPromise(outcome string) { m.promises.WithLabelValues(outcome).Inc() }

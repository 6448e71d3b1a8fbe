package pomeloforward

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelobudget"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// Handler forwards callers' requests to upstreams; it is safe for concurrent use.
type Handler struct {
	cfg     Config
	links   *pomelolink.Client
	buffers *pomelolink.Buffers

	crashChecks *crashChecks
	runTimes    runTimes
	bodies      bodyMemory

	mu      sync.Mutex
	budgets map[pomelorelay.ServiceID]*pomelobudget.RetryBudget
}

// New creates a Handler; Close ends its idle connections.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, budgets: make(map[pomelorelay.ServiceID]*pomelobudget.RetryBudget)}
	h.links = pomelolink.New(pomelolink.Config{
		Protocol: pomelolink.Protocol{
			IDHeader:            cfg.Wire.RequestIDField(),
			NotRun:              func(resp *http.Response) bool { return cfg.Wire.ParseAnswerFields(resp).NotRun },
			AllowCloseDelimited: true,
		},
		MaxHeaderBytes:  maxAnswerHeaderBytes,
		MaxAnswerMemory: cfg.AnswerMemory,
		DialTimeout:     dialTimeout,
		IdleConns:       maxIdleConns,
		IdleTimeout:     idleTimeout,
		AckTimeout:      ackTimeout,
		Logger:          cfg.Logger,
	})
	h.buffers = h.links.Buffers()
	h.bodies.limit = int64(cfg.BodyMemory)
	h.crashChecks = newCrashChecks(cfg, h.links)
	return h
}

// Close closes the idle connections to upstreams and ends the checks of upstreams whose connections broke.
func (h *Handler) Close() {
	h.crashChecks.close()
	h.links.Close()
}

// OpenedConnections returns the number of connections to upstreams opened since the start.
func (h *Handler) OpenedConnections() uint64 { return h.links.ConnectionsOpened() }

// ServeHTTP answers a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(h, w, r)
	defer c.releaseBody()
	defer c.recoverPanic()
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.run()
}

// EstimateCost returns the account and the cost of a request from its header, for requests refused before their body is read. The cost is zero
// when there is no configuration or the API key is unknown.
func (h *Handler) EstimateCost(r *http.Request) (pomelorelay.AccountID, pomelorelay.Cost) {
	table := h.cfg.Tables.Current()
	if table == nil {
		return "", 0
	}
	account, cost := accountCost(table, h.cfg.Wire.ParseCallerFields(r.Header))
	if account == nil {
		return "", 0
	}
	return account.Name, cost
}

// accountCost returns the account of a request and its cost; nil if the API key is unknown.
func accountCost(table *pomelotable.Table, f pomelorelay.CallerFields) (*pomelorelay.AccountSpec, pomelorelay.Cost) {
	account, ok := table.Account(f.APIKey)
	if !ok {
		return nil, 0
	}
	return account, requestCost(f)
}

// recoverPanic turns a panic in the handling of a request into an internal error that leaves open whether the request ran.
func (c *call) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	c.log(pomelorelay.EventHandlerPanicked, pomelorelay.Field{Key: "Cause", Value: fmt.Sprint(cause)}, pomelorelay.Field{Key: "Stack", Value: string(debug.Stack())})
	if c.answerStarted {
		panic(http.ErrAbortHandler)
	}
	c.refuse(pomelorelay.NewError(pomelorelay.CodeInternal, "", nil))
}

// initialRetries is the number of retries of a new budget. It is less than a router may save up, so that routers that restart in turn do not
// bring the fleet beyond its limit.
const initialRetries = 1

// retryLimit is the fleet's limit on the retries for each service.
func (h *Handler) retryLimit() pomelobudget.FleetLimit {
	return pomelobudget.FleetLimit{Ratio: h.cfg.RetryRatio, Slack: h.cfg.RetrySlack}
}

// retryBudget returns the retry budget of a service.
func (h *Handler) retryBudget(service pomelorelay.ServiceID) *pomelobudget.RetryBudget {
	limit := h.retryLimit().MaxSaved(h.cfg.Fleet.Routers())
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		b = pomelobudget.New(pomelobudget.Config{Initial: initialRetries, Max: limit})
		h.budgets[service] = b
	}
	b.SetMax(limit)
	return b
}

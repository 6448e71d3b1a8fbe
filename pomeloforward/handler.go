package pomeloforward

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelobudget"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// Handler serves callers; it is safe for concurrent use.
type Handler struct {
	cfg     Config
	links   *pomelolink.Links
	buffers *pomelolink.Buffers

	mu      sync.Mutex
	budgets map[pomelorelay.ServiceID]*pomelobudget.Budget
}

// New returns a Handler; Close ends its idle connections.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, budgets: make(map[pomelorelay.ServiceID]*pomelobudget.Budget)}
	h.links = pomelolink.New(pomelolink.Config{
		Protocol: pomelolink.Protocol{
			IDHeader:   cfg.Wire.IDField(),
			NotRun:     func(resp *http.Response) bool { return cfg.Wire.ReadAnswer(resp).NotRun },
			EndByClose: true,
		},
		MaxHeaderBytes: maxAnswerHeaderBytes,
		DialTimeout:    dialTimeout,
		IdleConns:      maxIdleConns,
		IdleTimeout:    idleTimeout,
		AckTimeout:     ackTimeout,
		Logger:         cfg.Logger,
	})
	h.buffers = h.links.Buffers()
	return h
}

// Close ends the idle connections to upstreams.
func (h *Handler) Close() { h.links.Close() }

// OpenedConnections returns the number of connections to upstreams that were opened.
func (h *Handler) OpenedConnections() uint64 { return h.links.Opened() }

// ServeHTTP answers one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(h, w, r)
	defer c.releaseBody()
	defer c.recoverPanic()
	if _, stopping := h.cfg.Shutdown.TimeLeft(); stopping {
		w.Header().Set("Connection", "close")
	}
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.run()
}

// EstimateCost returns the account of a request that is refused before it is read, and what it counts towards the account's share; zero when
// it counts nothing.
func (h *Handler) EstimateCost(r *http.Request) (pomelorelay.AccountID, pomelorelay.Cost) {
	table := h.cfg.Tables.Current()
	if table == nil {
		return "", 0
	}
	fields := h.cfg.Wire.ReadCaller(r.Header)
	account, ok := table.Account(fields.Key)
	if !ok {
		return "", 0
	}
	return account.Name, requestCost(fields)
}

// recoverPanic turns a defect in the handling of one request into a failure that says nothing of what ran.
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

// retryBudgetFraction is the part of the fleet's bound that is used: routers count apart, and callers are spread unevenly over them.
const retryBudgetFraction = 0.6

// minRouters is the least number of routers among which the slack is shared out.
const minRouters = 8

// retryBudget returns the retry budget of a service. The fleet's slack is shared out evenly, the ratio holds for each router's own requests.
func (h *Handler) retryBudget(service pomelorelay.ServiceID) *pomelobudget.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		slack := retryBudgetFraction * h.cfg.RetrySlack / minRouters
		b = pomelobudget.New(pomelobudget.Config{Start: slack, Most: slack})
		h.budgets[service] = b
	}
	return b
}

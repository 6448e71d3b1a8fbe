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
			IDHeader:   cfg.Wire.RequestIDField(),
			NotRun:     func(resp *http.Response) bool { return cfg.Wire.ParseAnswerFields(resp).NotRun },
			EndByClose: true,
		},
		MaxHeaderBytes: maxHeader,
		DialTimeout:    dialTimeout,
		IdleConns:      idleConns,
		IdleTimeout:    idleTimeout,
		AckTimeout:     ackTimeout,
		Logger:         cfg.Logger,
	})
	h.buffers = h.links.Buffers()
	return h
}

// Close ends the idle connections to upstreams.
func (h *Handler) Close() { h.links.Close() }

// Opened returns the number of connections to upstreams that were opened.
func (h *Handler) Opened() uint64 { return h.links.Opened() }

// ServeHTTP answers one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(h, w, r)
	defer c.release()
	defer c.survive()
	if _, stopping := h.cfg.Stopping.StopsIn(); stopping {
		w.Header().Set("Connection", "close")
	}
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.run()
}

// Asks returns the account of a request that is refused before it is read, and what it counts towards the account's share; zero when
// it counts nothing.
func (h *Handler) Asks(r *http.Request) (pomelorelay.AccountID, pomelorelay.Cost) {
	table := h.cfg.Tables.Current()
	if table == nil {
		return "", 0
	}
	fields := h.cfg.Wire.ParseCallerFields(r.Header)
	account, ok := table.Account(fields.APIKey)
	if !ok {
		return "", 0
	}
	return account.Name, costOf(fields)
}

// survive turns a defect in the handling of one request into a failure that says nothing of what ran.
func (c *call) survive() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	c.log(pomelorelay.EventHandlerPanicked, pomelorelay.Field{Key: "Cause", Value: fmt.Sprint(cause)}, pomelorelay.Field{Key: "Stack", Value: string(debug.Stack())})
	if c.answering {
		panic(http.ErrAbortHandler)
	}
	c.refuse(pomelorelay.NewError(pomelorelay.CodeInternal, "", nil))
}

// budgetPart is the part of the fleet's bound that is used: routers count apart, and callers are spread unevenly over them.
const budgetPart = 0.6

// minRouters is the least number of routers among which the slack is shared out.
const minRouters = 8

// budget returns the retry budget of a service. The fleet's slack is shared out evenly, the ratio holds for each router's own requests.
func (h *Handler) budget(service pomelorelay.ServiceID) *pomelobudget.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		slack := budgetPart * h.cfg.RetrySlack / minRouters
		b = pomelobudget.New(pomelobudget.Config{Initial: slack, Max: slack})
		h.budgets[service] = b
	}
	return b
}

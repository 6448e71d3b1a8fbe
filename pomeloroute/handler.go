package pomeloroute

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelobudget"
	"github.com/pomelorelay/pomelorelay/pomelolink"

	"github.com/gorilla/mux"
)

const (
	// budgetFloor lets a service with little traffic retry a few times.
	budgetFloor = 3
	// budgetCap bounds the retries that a quiet time saves up.
	budgetCap = 100
)

// Handler serves callers; it is safe for concurrent use.
type Handler struct {
	cfg     Config
	router  *mux.Router
	links   *pomelolink.Client
	buffers *pomelolink.Buffers
	lastID  atomic.Uint64
	// buffered counts the bytes of the bodies of all requests in progress.
	buffered atomic.Int64

	mu      sync.Mutex
	budgets map[pomelorelay.ServiceID]*pomelobudget.Budget
}

// New returns a Handler; Close ends its goroutine and its idle connections.
func New(cfg Config) *Handler {
	cfg = cfg.withDefaults()
	h := &Handler{
		cfg:     cfg,
		router:  mux.NewRouter().SkipClean(true).UseEncodedPath(),
		links:   newLinks(cfg),
		budgets: make(map[pomelorelay.ServiceID]*pomelobudget.Budget),
	}
	h.buffers = h.links.Buffers()
	h.router.HandleFunc("/{service}", h.serve)
	h.router.PathPrefix("/{service}/").HandlerFunc(h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(h.unknownPath)
	return h
}

func newLinks(cfg Config) *pomelolink.Client {
	return pomelolink.New(pomelolink.Config{
		Protocol:       pomelolink.Protocol{IDHeader: headerRequestID, NotRun: saysNotRun},
		MaxHeaderBytes: cfg.Options.MaxHeaderBytes,
		DialTimeout:    cfg.Options.DialTimeout,
		IdleConns:      cfg.Options.IdleConns,
		IdleTimeout:    cfg.Options.IdleTimeout,
		Logger:         cfg.Logger,
	})
}

// saysNotRun reports whether an upstream refused the request without running it.
func saysNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerRan) == string(pomelorelay.RanNo)
}

// ServeHTTP answers one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Close closes the idle connections to upstreams.
func (h *Handler) Close() error {
	h.links.Close()
	return nil
}

func (h *Handler) unknownPath(w http.ResponseWriter, _ *http.Request) {
	h.refuse(w, pomelorelay.NewError(pomelorelay.CodeUnknownPath, "", nil))
}

// serve answers a request under a service's path. Every way out but an aborted connection writes an answer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	c, err := h.newCall(w, r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	defer c.release()
	defer c.survive()
	if err := c.run(); err != nil {
		c.fail(err)
	}
}

// survive turns a defect in the handling of one request into a refusal that says nothing of what ran. Without it the
// caller's connection is closed without a word and the log has no numbered event.
func (c *call) survive() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	c.h.cfg.Logger.Log(pomelorelay.EventHandlerPanicked, pomelorelay.Field{Key: "Request", Value: c.wire}, pomelorelay.Field{Key: "Cause", Value: fmt.Sprint(cause)}, pomelorelay.Field{Key: "Stack", Value: string(debug.Stack())})
	c.fail(pomelorelay.NewError(pomelorelay.CodeInternal, "", nil))
}

func (h *Handler) nextID() pomelorelay.RequestID {
	return pomelorelay.RequestID(h.lastID.Add(1))
}

// wireID returns the id that travels with a request to its upstream and back; it is unique in the fleet, so that no
// answer can be taken for another request's, also across routers and restarts.
func (h *Handler) wireID(id pomelorelay.RequestID) string {
	return fmt.Sprintf("%s-%x-%x", h.cfg.Node, uint64(h.cfg.Incarnation), uint64(id))
}

func (h *Handler) budget(service pomelorelay.ServiceID) *pomelobudget.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		b = pomelobudget.New(pomelobudget.Config{Initial: budgetFloor, Max: budgetCap})
		h.budgets[service] = b
	}
	return b
}

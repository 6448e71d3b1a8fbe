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
	// initialRetries is the initial retry budget of a service, so that a service with little traffic can retry.
	initialRetries = 3
	// maxSavedRetries limits the number of retries that a service can accumulate while few requests fail.
	maxSavedRetries = 100
)

// Handler serves callers' requests; it is safe for concurrent use.
type Handler struct {
	cfg     Config
	router  *mux.Router
	client  *pomelolink.Client
	buffers *pomelolink.Buffers
	lastID  atomic.Uint64
	// buffered is the total size in bytes of the request bodies that are buffered now.
	buffered atomic.Int64

	mu      sync.Mutex
	budgets map[pomelorelay.ServiceID]*pomelobudget.RetryBudget
}

// New returns a Handler; Close stops its goroutine and closes its idle connections.
func New(cfg Config) *Handler {
	cfg = cfg.withDefaults()
	h := &Handler{
		cfg:     cfg,
		router:  mux.NewRouter().SkipClean(true).UseEncodedPath(),
		client:  newClient(cfg),
		budgets: make(map[pomelorelay.ServiceID]*pomelobudget.RetryBudget),
	}
	h.buffers = h.client.Buffers()
	h.router.HandleFunc("/{service}", h.serve)
	h.router.PathPrefix("/{service}/").HandlerFunc(h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(h.unknownPath)
	return h
}

func newClient(cfg Config) *pomelolink.Client {
	return pomelolink.New(pomelolink.Config{
		Protocol:        pomelolink.Protocol{IDHeader: headerRequestID, NotRun: isNotRun},
		MaxHeaderBytes:  cfg.Options.MaxHeaderBytes,
		MaxAnswerMemory: cfg.Options.MaxBufferedBodies,
		DialTimeout:     cfg.Options.DialTimeout,
		IdleConns:       cfg.Options.IdleConns,
		IdleTimeout:     cfg.Options.IdleTimeout,
		Logger:          cfg.Logger,
	})
}

// isNotRun reports whether an upstream refused the request without running it.
func isNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerRan) == string(pomelorelay.RanNo)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Close closes the idle connections to upstreams; it always returns nil.
func (h *Handler) Close() error {
	h.client.Close()
	return nil
}

func (h *Handler) unknownPath(w http.ResponseWriter, _ *http.Request) {
	h.writeProblem(w, pomelorelay.NewError(pomelorelay.CodeUnknownPath, "", nil))
}

// serve handles a request under a service's path. It always writes an answer unless the connection is aborted.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	c, err := h.newCall(w, r)
	if err != nil {
		h.writeProblem(w, err)
		return
	}
	defer c.release()
	defer c.recoverPanic()
	if err := c.run(); err != nil {
		c.fail(err)
	}
}

// recoverPanic logs a panic in the handling of a request and answers with CodeInternal. Otherwise the caller's connection would be closed
// without an answer, and the panic would not be logged as an event.
func (c *call) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	c.h.cfg.Logger.Log(pomelorelay.EventHandlerPanicked, pomelorelay.Field{Key: "Request", Value: c.wireID}, pomelorelay.Field{Key: "Cause", Value: fmt.Sprint(cause)}, pomelorelay.Field{Key: "Stack", Value: string(debug.Stack())})
	c.fail(pomelorelay.NewError(pomelorelay.CodeInternal, "", nil))
}

func (h *Handler) nextID() pomelorelay.RequestID {
	return pomelorelay.RequestID(h.lastID.Add(1))
}

// wireID returns the id that the upstream echoes in its answer. It is unique across routers and restarts, so that the answer to one request
// is never taken for the answer to another.
func (h *Handler) wireID(id pomelorelay.RequestID) string {
	return fmt.Sprintf("%s-%x-%x", h.cfg.Node, uint64(h.cfg.Incarnation), uint64(id))
}

func (h *Handler) budget(service pomelorelay.ServiceID) *pomelobudget.RetryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		b = pomelobudget.New(pomelobudget.Config{Initial: initialRetries, Max: maxSavedRetries})
		h.budgets[service] = b
	}
	return b
}

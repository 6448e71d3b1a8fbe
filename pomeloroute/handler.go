package pomeloroute

import "net/http"

// Handler serves callers; it is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns a Handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// ServeHTTP answers one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }

// Close closes the idle connections to upstreams.
func (h *Handler) Close() error { return nil }

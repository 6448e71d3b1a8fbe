package pomelonode

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
	"github.com/pomelorelay/pomelorelay/pomelostore"

	"github.com/gorilla/mux"
)

// controlBytes is the traffic between routers in bytes, as /debug/vars publishes it.
type controlBytes struct {
	DomainSent     pomelorelay.Bytes
	DomainReceived pomelorelay.Bytes
	RegionSent     pomelorelay.Bytes
	RegionReceived pomelorelay.Bytes
	CrossSent      pomelorelay.Bytes
	CrossReceived  pomelorelay.Bytes
}

// figures is the router's state and counters, as /debug/vars publishes them.
type figures struct {
	Node            pomelorelay.NodeID
	Generation      pomelorelay.Generation
	ControlBytes    controlBytes
	InFlight        int64
	SendsRefused    uint64
	HostReadsFailed uint64
	RefusedStopping uint64
	Mesh            *pomelomesh.Counters            `json:",omitempty"`
	Sent            map[string]pomelomesh.KindCount `json:",omitempty"`
	Store           json.RawMessage                 `json:",omitempty"`
}

// OperatorHandler returns the handler of the operator port.
func (n *Node) OperatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/health", n.health).Methods(http.MethodGet)
	r.HandleFunc("/ready", n.ready).Methods(http.MethodGet)
	r.HandleFunc("/status", n.showStatus).Methods(http.MethodGet)
	r.HandleFunc("/drain", n.drain).Methods(http.MethodPost)
	r.HandleFunc("/quarantine/{fingerprint}", n.liftQuarantine).Methods(http.MethodDelete)
	r.HandleFunc("/debug/vars", n.vars).Methods(http.MethodGet)
	r.NotFoundHandler = problemHandler(pomelorelay.CodeUnknownPath, "the operators' port has no such path")
	r.MethodNotAllowedHandler = problemHandler(pomelorelay.CodeBadRequest, "the path does not take this method")
	return r
}

func problemHandler(code pomelorelay.ResultCode, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		pomeloroute.WriteProblem(w, pomelorelay.NewError(code, detail, nil))
	})
}

// health reports that the process is running. A stalled control goroutine is reported but does not fail the check, since a restart
// would end requests in progress.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy, ControlStalled bool }{true, n.isControlStalled()})
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	code := http.StatusOK
	if !n.Ready() {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, struct{ Ready bool }{n.Ready()})
}

func (n *Node) showStatus(w http.ResponseWriter, _ *http.Request) {
	s := *n.status.Load()
	s.Generation = n.activeGeneration()
	s.Ready = n.Ready()
	s.Stopping = n.stopping.Load()
	writeJSON(w, http.StatusOK, s)
}

// activeGeneration returns the configuration generation that requests currently use; the published status can be up to
// statusInterval old.
func (n *Node) activeGeneration() pomelorelay.Generation {
	view := n.traffic.Load()
	if view == nil || view.snapshot == nil {
		return 0
	}
	return view.snapshot.Generation()
}

func (n *Node) drain(w http.ResponseWriter, _ *http.Request) {
	n.Drain()
	writeJSON(w, http.StatusOK, struct{ Stopping bool }{true})
}

func (n *Node) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	f, err := strconv.ParseUint(mux.Vars(r)["fingerprint"], 16, 64)
	if err != nil {
		pomeloroute.WriteProblem(w, pomelorelay.NewError(pomelorelay.CodeBadRequest, "the fingerprint is not hexadecimal", nil))
		return
	}
	n.mail.post(quarantineLifted{pomelorelay.Fingerprint(f)})
	w.WriteHeader(http.StatusNoContent)
}

// vars writes the figures in expvar's format. They are not published through expvar, whose global table could not hold several routers
// in one process.
func (n *Node) vars(w http.ResponseWriter, _ *http.Request) {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	own, err := json.Marshal(n.figures())
	if err == nil {
		all["Pomelo"] = own
	}
	writeJSON(w, http.StatusOK, all)
}

func (n *Node) figures() figures {
	t := n.mesh.Traffic()
	f := figures{
		Node:            n.self.Node,
		Generation:      n.activeGeneration(),
		InFlight:        n.inFlight.Load(),
		SendsRefused:    n.counters.sendsRefused.Load(),
		HostReadsFailed: n.counters.hostReadsFailed.Load(),
		RefusedStopping: n.counters.refusedStopping.Load(),
		ControlBytes: controlBytes{
			DomainSent:     t[pomelorelay.LinkSameDomain].Sent,
			DomainReceived: t[pomelorelay.LinkSameDomain].Received,
			RegionSent:     t[pomelorelay.LinkSameRegion].Sent,
			RegionReceived: t[pomelorelay.LinkSameRegion].Received,
			CrossSent:      t[pomelorelay.LinkCrossRegion].Sent,
			CrossReceived:  t[pomelorelay.LinkCrossRegion].Received,
		},
	}
	if m, ok := n.mesh.(*pomelomesh.Mesh); ok {
		counters := m.Counters()
		f.Mesh = &counters
		f.Sent = m.SentByKind()
	}
	if s, ok := n.cfg.Store.(*pomelostore.Client); ok {
		f.Store = json.RawMessage(s.Stats().Var().String())
	}
	return f
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

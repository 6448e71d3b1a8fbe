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

// controlBytes is what /debug/vars says of the traffic between routers.
type controlBytes struct {
	DomainSent     pomelorelay.Bytes
	DomainReceived pomelorelay.Bytes
	RegionSent     pomelorelay.Bytes
	RegionReceived pomelorelay.Bytes
	CrossSent      pomelorelay.Bytes
	CrossReceived  pomelorelay.Bytes
}

// figures is what /debug/vars says of the router.
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

// OperatorHandler returns the handler of the operators' port.
func (n *Node) OperatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/health", n.health).Methods(http.MethodGet)
	r.HandleFunc("/ready", n.ready).Methods(http.MethodGet)
	r.HandleFunc("/status", n.showStatus).Methods(http.MethodGet)
	r.HandleFunc("/drain", n.drain).Methods(http.MethodPost)
	r.HandleFunc("/quarantine/{fingerprint}", n.lift).Methods(http.MethodDelete)
	r.HandleFunc("/debug/vars", n.vars).Methods(http.MethodGet)
	r.NotFoundHandler = refusing(pomelorelay.CodeUnknownPath, "the operators' port has no such path")
	r.MethodNotAllowedHandler = refusing(pomelorelay.CodeBadRequest, "the path does not take this method")
	return r
}

func refusing(code pomelorelay.ResultCode, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		pomeloroute.Refuse(w, pomelorelay.NewError(code, detail, nil))
	})
}

// health says that the process serves; a stalled control goroutine is told but does not fail it, since a restart would cut
// off requests in progress.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy, ControlStalled bool }{true, n.stalled()})
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
	s.Generation = n.inForce()
	s.Ready = n.Ready()
	s.Stopping = n.stopping.Load()
	writeJSON(w, http.StatusOK, s)
}

// inForce returns the generation that requests are served by now; the control goroutine's own figures are up to statusEvery old.
func (n *Node) inForce() pomelorelay.Generation {
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

func (n *Node) lift(w http.ResponseWriter, r *http.Request) {
	f, err := strconv.ParseUint(mux.Vars(r)["fingerprint"], 16, 64)
	if err != nil {
		pomeloroute.Refuse(w, pomelorelay.NewError(pomelorelay.CodeBadRequest, "the fingerprint is not hexadecimal", nil))
		return
	}
	n.mail.post(lifted{pomelorelay.Fingerprint(f)})
	w.WriteHeader(http.StatusNoContent)
}

// vars writes the figures in expvar's form; a process that embeds several routers could not publish each in expvar's one table.
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
		Generation:      n.inForce(),
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
	// An operator whose connection broke asks again.
	_ = json.NewEncoder(w).Encode(value)
}

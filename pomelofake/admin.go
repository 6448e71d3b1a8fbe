package pomelofake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelorelay/pomelorelay"
)

// AdminConfig names the stand-ins that an Admin rules over.
type AdminConfig struct {
	Engines  map[pomelorelay.UpstreamID]*Engine
	Plains   map[pomelorelay.UpstreamID]*Plain
	Store    *Store
	HostList *HostList
	Relays   map[string]*Relay
}

// Fault is what POST /fault takes: only what is set is done. Durations are nanoseconds, as Go writes them.
type Fault struct {
	// Target names the engine, plain service or relay.
	Target   string
	Engine   *EngineFaults
	Plain    *PlainFaults
	Store    *StoreFaults
	HostList *HostListFaults
	Relay    []RelayRule
	// Crash crashes the target engine.
	Crash bool
	// Leave and Remove name a host that leaves or goes off the host list.
	Leave  string
	Remove string
	// Copy keeps the store's content, and Restore brings it back.
	Copy    bool
	Restore bool
}

// FaultAnswer answers POST /fault.
type FaultAnswer struct {
	// Shows is when a change of the host list shows.
	Shows time.Time
}

// Counts is what GET /counts answers.
type Counts struct {
	Store  StoreCounts
	Passed map[string]int64
}

// Admin is the handler by which a script or the bench sets faults of stand-ins and reads what they counted.
type Admin struct {
	cfg    AdminConfig
	router *mux.Router

	mu   sync.Mutex
	snapshot StoreSnapshot
}

// NewAdmin returns the handler.
func NewAdmin(cfg AdminConfig) *Admin {
	a := &Admin{cfg: cfg, router: mux.NewRouter()}
	a.router.HandleFunc("/fault", a.handleFault).Methods(http.MethodPost)
	a.router.HandleFunc("/runs/{target}", a.handleRuns).Methods(http.MethodGet)
	a.router.HandleFunc("/counts", a.handleCounts).Methods(http.MethodGet)
	return a
}

// ServeHTTP answers POST /fault, GET /runs/{target}?after=SEQ and GET /counts.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *Admin) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "the fault cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.missingTarget(f); problem != "" {
		http.Error(w, problem, http.StatusNotFound)
		return
	}
	a.applyFaults(f)
	writeJSON(w, http.StatusOK, FaultAnswer{Shows: a.updateHostList(f)})
}

// missingTarget returns what of the fault has no stand-in here, so that a mistyped name does not pass for a fault that was set.
func (a *Admin) missingTarget(f Fault) string {
	upstream := pomelorelay.UpstreamID(f.Target)
	if (f.Engine != nil || f.Crash) && a.cfg.Engines[upstream] == nil {
		return "no engine " + f.Target
	}
	if f.Plain != nil && a.cfg.Plains[upstream] == nil {
		return "no plain service " + f.Target
	}
	if f.Relay != nil && a.cfg.Relays[f.Target] == nil {
		return "no relay " + f.Target
	}
	if (f.Store != nil || f.Copy || f.Restore) && a.cfg.Store == nil {
		return "no store"
	}
	return a.missingHost(f)
}

func (a *Admin) missingHost(f Fault) string {
	if f.HostList == nil && f.Leave == "" && f.Remove == "" {
		return ""
	}
	if a.cfg.HostList == nil {
		return "no host list"
	}
	for _, name := range []string{f.Leave, f.Remove} {
		if name != "" && !a.cfg.HostList.contains(name) {
			return "no host " + name
		}
	}
	return ""
}

func (a *Admin) applyFaults(f Fault) {
	upstream := pomelorelay.UpstreamID(f.Target)
	if f.Engine != nil {
		a.cfg.Engines[upstream].SetFaults(*f.Engine)
	}
	if f.Crash {
		a.cfg.Engines[upstream].Crash()
	}
	if f.Plain != nil {
		a.cfg.Plains[upstream].SetFaults(*f.Plain)
	}
	if f.Relay != nil {
		a.cfg.Relays[f.Target].SetRules(f.Relay)
	}
	if f.HostList != nil {
		a.cfg.HostList.SetFaults(*f.HostList)
	}
	a.applyStoreFaults(f)
}

func (a *Admin) applyStoreFaults(f Fault) {
	if f.Store != nil {
		a.cfg.Store.SetFaults(*f.Store)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.Copy {
		a.snapshot = a.cfg.Store.Snapshot()
	}
	if f.Restore {
		a.cfg.Store.Restore(a.snapshot)
	}
}

func (a *Admin) updateHostList(f Fault) time.Time {
	var visibleAt time.Time
	if f.Leave != "" {
		visibleAt, _ = a.cfg.HostList.Leave(f.Leave)
	}
	if f.Remove != "" {
		visibleAt = a.cfg.HostList.Remove(f.Remove)
	}
	return visibleAt
}

func (a *Admin) handleRuns(w http.ResponseWriter, r *http.Request) {
	after, ok := uintQuery(w, r, "after")
	if !ok {
		return
	}
	target := pomelorelay.UpstreamID(mux.Vars(r)["target"])
	if e := a.cfg.Engines[target]; e != nil {
		writeJSON(w, http.StatusOK, e.Runs(after))
		return
	}
	if p := a.cfg.Plains[target]; p != nil {
		writeJSON(w, http.StatusOK, p.Runs(after))
		return
	}
	http.NotFound(w, r)
}

func (a *Admin) handleCounts(w http.ResponseWriter, _ *http.Request) {
	counts := Counts{Passed: make(map[string]int64)}
	if a.cfg.Store != nil {
		counts.Store = a.cfg.Store.Counts()
	}
	for name, relay := range a.cfg.Relays {
		counts.Passed[name] = relay.BytesForwarded()
	}
	writeJSON(w, http.StatusOK, counts)
}

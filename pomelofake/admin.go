package pomelofake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelorelay/pomelorelay"
)

// AdminConfig holds the stand-ins that an Admin controls; a nil field means that there is none of that kind.
type AdminConfig struct {
	Engines       map[pomelorelay.UpstreamID]*Engine
	PlainServices map[pomelorelay.UpstreamID]*PlainService
	Store         *Store
	HostList      *HostList
	Relays        map[string]*Relay
}

// Fault is the body of POST /fault; only the fields that are set are applied. Durations are in nanoseconds.
type Fault struct {
	// Target is the name of the engine, plain service or relay.
	Target   string
	Engine   *EngineFaults
	Plain    *PlainFaults
	Store    *StoreFaults
	HostList *HostListFaults
	Relay    []RelayRule
	// Crash makes the target engine crash.
	Crash bool
	// Leave is a host to mark as leaving, and Remove one to remove from the host list.
	Leave  string
	Remove string
	// Copy takes a snapshot of the store's records; Restore replaces the records with those of the last snapshot.
	Copy    bool
	Restore bool
}

// FaultAnswer is the body of the answer to POST /fault.
type FaultAnswer struct {
	// Shows is when a change of the host list becomes visible; zero if the list was not changed.
	Shows time.Time
}

// Counts is the body of the answer to GET /counts.
type Counts struct {
	Store StoreCounts
	// Passed is the number of bytes that each relay forwarded, by its name.
	Passed map[string]int64
}

// Admin is an HTTP handler that injects faults into stand-ins and returns their counters.
type Admin struct {
	cfg    AdminConfig
	router *mux.Router

	mu       sync.Mutex
	snapshot StoreSnapshot
}

// NewAdmin returns a handler for the given stand-ins.
func NewAdmin(cfg AdminConfig) *Admin {
	a := &Admin{cfg: cfg, router: mux.NewRouter()}
	a.router.HandleFunc("/fault", a.handleFault).Methods(http.MethodPost)
	a.router.HandleFunc("/runs/{target}", a.handleRuns).Methods(http.MethodGet)
	a.router.HandleFunc("/counts", a.handleCounts).Methods(http.MethodGet)
	return a
}

// ServeHTTP serves POST /fault, GET /runs/{target}?after=SEQ and GET /counts.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *Admin) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "cannot decode the fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.missingTarget(f); problem != "" {
		http.Error(w, problem, http.StatusNotFound)
		return
	}
	a.applyFaults(f)
	writeJSON(w, http.StatusOK, FaultAnswer{Shows: a.updateHostList(f)})
}

// missingTarget returns an error text if a target of the fault does not exist, and an empty string otherwise. Without this check a
// fault with a mistyped target name would seem to have been injected.
func (a *Admin) missingTarget(f Fault) string {
	upstream := pomelorelay.UpstreamID(f.Target)
	if (f.Engine != nil || f.Crash) && a.cfg.Engines[upstream] == nil {
		return "no engine " + f.Target
	}
	if f.Plain != nil && a.cfg.PlainServices[upstream] == nil {
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
		a.cfg.PlainServices[upstream].SetFaults(*f.Plain)
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
		visibleAt, _ = a.cfg.HostList.MarkLeaving(f.Leave)
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
	if p := a.cfg.PlainServices[target]; p != nil {
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

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
	Plains   map[pomelorelay.UpstreamID]*PlainService
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
	copy StoreCopy
}

// NewAdmin returns the handler.
func NewAdmin(cfg AdminConfig) *Admin {
	a := &Admin{cfg: cfg, router: mux.NewRouter()}
	a.router.HandleFunc("/fault", a.fault).Methods(http.MethodPost)
	a.router.HandleFunc("/runs/{target}", a.runs).Methods(http.MethodGet)
	a.router.HandleFunc("/counts", a.counts).Methods(http.MethodGet)
	return a
}

// ServeHTTP answers POST /fault, GET /runs/{target}?after=SEQ and GET /counts.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *Admin) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "the fault cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.check(f); problem != "" {
		http.Error(w, problem, http.StatusNotFound)
		return
	}
	a.disturb(f)
	writeJSON(w, http.StatusOK, FaultAnswer{Shows: a.changeHosts(f)})
}

// check returns what of the fault has no stand-in here, so that a mistyped name does not pass for a fault that was set.
func (a *Admin) check(f Fault) string {
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
	return a.checkHosts(f)
}

func (a *Admin) checkHosts(f Fault) string {
	if f.HostList == nil && f.Leave == "" && f.Remove == "" {
		return ""
	}
	if a.cfg.HostList == nil {
		return "no host list"
	}
	for _, name := range []string{f.Leave, f.Remove} {
		if name != "" && !a.cfg.HostList.has(name) {
			return "no host " + name
		}
	}
	return ""
}

func (a *Admin) disturb(f Fault) {
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
	a.disturbStore(f)
}

func (a *Admin) disturbStore(f Fault) {
	if f.Store != nil {
		a.cfg.Store.SetFaults(*f.Store)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.Copy {
		a.copy = a.cfg.Store.Copy()
	}
	if f.Restore {
		a.cfg.Store.Restore(a.copy)
	}
}

func (a *Admin) changeHosts(f Fault) time.Time {
	var shows time.Time
	if f.Leave != "" {
		shows, _ = a.cfg.HostList.MarkLeaving(f.Leave)
	}
	if f.Remove != "" {
		shows = a.cfg.HostList.Remove(f.Remove)
	}
	return shows
}

func (a *Admin) runs(w http.ResponseWriter, r *http.Request) {
	after, ok := number(w, r, "after")
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

func (a *Admin) counts(w http.ResponseWriter, _ *http.Request) {
	counts := Counts{Passed: make(map[string]int64)}
	if a.cfg.Store != nil {
		counts.Store = a.cfg.Store.Counts()
	}
	for name, relay := range a.cfg.Relays {
		counts.Passed[name] = relay.Passed()
	}
	writeJSON(w, http.StatusOK, counts)
}

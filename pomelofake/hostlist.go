package pomelofake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// HostListConfig describes a HostList.
type HostListConfig struct {
	Hosts []pomelorelay.Host
	// Lag is how long a change takes to show.
	Lag time.Duration
}

// HostListFaults are what goes wrong at a HostList; the zero value is none.
type HostListFaults struct {
	// Outage answers every call with 503.
	Outage bool
	// Slow delays every answer.
	Slow time.Duration
}

// HostList is the platform's list of live and leaving hosts, which lags.
type HostList struct {
	cfg HostListConfig

	mu     sync.Mutex
	faults HostListFaults
	// versions are the lists by the time at which each begins to show.
	versions []hostVersion
}

type hostVersion struct {
	shows time.Time
	hosts []pomelorelay.Host
}

// NewHostList returns a list that shows its first hosts at once.
func NewHostList(cfg HostListConfig) *HostList {
	first := hostVersion{shows: time.Now(), hosts: slices.Clone(cfg.Hosts)}
	return &HostList{cfg: cfg, versions: []hostVersion{first}}
}

// SetFaults replaces what goes wrong.
func (l *HostList) SetFaults(faults HostListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Faults returns what goes wrong.
func (l *HostList) Faults() HostListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Set replaces the list and returns when the change shows.
func (l *HostList) Set(hosts []pomelorelay.Host) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(slices.Clone(hosts))
}

func (l *HostList) set(hosts []pomelorelay.Host) time.Time {
	shows := time.Now().Add(l.cfg.Lag)
	l.versions = append(l.versions, hostVersion{shows, hosts})
	return shows
}

// MarkLeaving marks a host as leaving and returns when that shows; it reports false when there is no such host.
func (l *HostList) MarkLeaving(name string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.versions[len(l.versions)-1].hosts)
	i := slices.IndexFunc(hosts, func(h pomelorelay.Host) bool { return h.Name == name })
	if i < 0 {
		return time.Time{}, false
	}
	hosts[i].Leaving = true
	return l.set(hosts), true
}

func (l *HostList) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].hosts
	return slices.ContainsFunc(newest, func(h pomelorelay.Host) bool { return h.Name == name })
}

// Remove takes a host off the list and returns when that shows.
func (l *HostList) Remove(name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.versions[len(l.versions)-1].hosts)
	hosts = slices.DeleteFunc(hosts, func(h pomelorelay.Host) bool { return h.Name == name })
	return l.set(hosts)
}

// Shown returns the list as it now shows.
func (l *HostList) Shown() []pomelorelay.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].shows.After(now) {
		l.versions = l.versions[1:]
	}
	return slices.Clone(l.versions[0].hosts)
}

// ServeHTTP answers GET /v1/hosts.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hosts" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	faults := l.Faults()
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if faults.Slow > 0 && !sleep(r, faults.Slow) {
		return
	}
	writeJSON(w, http.StatusOK, l.Shown())
}

// Close does nothing; a HostList has nothing to end.
func (l *HostList) Close() error { return nil }

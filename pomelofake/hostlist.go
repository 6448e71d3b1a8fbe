package pomelofake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// HostListConfig configures a HostList.
type HostListConfig struct {
	Hosts []pomelorelay.Host
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// HostListFaults are the faults injected into a HostList; the zero value injects none.
type HostListFaults struct {
	// Outage answers every call with 503.
	Outage bool
	// Slow delays every answer.
	Slow time.Duration
}

// HostList is the platform's list of live and leaving hosts, whose changes become visible with a delay.
type HostList struct {
	cfg HostListConfig

	mu     sync.Mutex
	faults HostListFaults
	// versions are the visible version of the list and the newer ones that are not yet visible, in the order in which they become
	// visible. The method Visible removes outdated versions from the front.
	versions []hostVersion
}

type hostVersion struct {
	visibleAt time.Time
	hosts     []pomelorelay.Host
}

// NewHostList returns a list whose initial hosts are visible at once.
func NewHostList(cfg HostListConfig) *HostList {
	first := hostVersion{visibleAt: time.Now(), hosts: slices.Clone(cfg.Hosts)}
	return &HostList{cfg: cfg, versions: []hostVersion{first}}
}

// SetFaults replaces the injected faults.
func (l *HostList) SetFaults(faults HostListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Faults returns the injected faults.
func (l *HostList) Faults() HostListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Set replaces the list and returns when the change becomes visible.
func (l *HostList) Set(hosts []pomelorelay.Host) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set(slices.Clone(hosts))
}

func (l *HostList) set(hosts []pomelorelay.Host) time.Time {
	visibleAt := time.Now().Add(l.cfg.Lag)
	l.versions = append(l.versions, hostVersion{visibleAt, hosts})
	return visibleAt
}

// MarkLeaving marks a host as leaving and returns when that becomes visible; it reports false if there is no such host.
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

func (l *HostList) contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].hosts
	return slices.ContainsFunc(newest, func(h pomelorelay.Host) bool { return h.Name == name })
}

// Remove removes a host and returns when that becomes visible.
func (l *HostList) Remove(name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.versions[len(l.versions)-1].hosts)
	hosts = slices.DeleteFunc(hosts, func(h pomelorelay.Host) bool { return h.Name == name })
	return l.set(hosts)
}

// Visible returns the currently visible list.
func (l *HostList) Visible() []pomelorelay.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].visibleAt.After(now) {
		l.versions = l.versions[1:]
	}
	return slices.Clone(l.versions[0].hosts)
}

// ServeHTTP serves GET /v1/hosts.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hosts" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	faults := l.Faults()
	if faults.Outage {
		http.Error(w, "injected outage of the host list", http.StatusServiceUnavailable)
		return
	}
	if faults.Slow > 0 && !sleep(r, faults.Slow) {
		return
	}
	writeJSON(w, http.StatusOK, l.Visible())
}

// Close does nothing; it lets a HostList be closed like the other stand-ins.
func (l *HostList) Close() error { return nil }

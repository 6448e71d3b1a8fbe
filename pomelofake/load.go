package pomelofake

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is the load that a stand-in reports at GET /load, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// laggedLoad keeps a history of loads to report each with a delay.
type laggedLoad struct {
	lag     time.Duration
	history []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

func (g *laggedLoad) record(load Load) {
	now := time.Now()
	g.history = append(g.history, loadSample{now, load})
	g.trim(now)
}

// reported returns the load as it was lag ago.
func (g *laggedLoad) reported() Load {
	g.trim(time.Now())
	if len(g.history) == 0 {
		return Load{}
	}
	return g.history[0].load
}

// trim removes all samples before the newest one that is at least lag old.
func (g *laggedLoad) trim(now time.Time) {
	for len(g.history) > 1 && now.Sub(g.history[1].at) >= g.lag {
		g.history = g.history[1:]
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

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

// laggedLoad keeps a history of loads, so that each load is reported with a delay of lag.
type laggedLoad struct {
	lag     time.Duration
	history []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

func (l *laggedLoad) record(load Load) {
	now := time.Now()
	l.history = append(l.history, loadSample{now, load})
	l.trim(now)
}

// reported returns the load as it was lag ago.
func (l *laggedLoad) reported() Load {
	l.trim(time.Now())
	if len(l.history) == 0 {
		return Load{}
	}
	return l.history[0].load
}

// trim removes all samples before the newest one that is at least lag old.
func (l *laggedLoad) trim(now time.Time) {
	for len(l.history) > 1 && now.Sub(l.history[1].at) >= l.lag {
		l.history = l.history[1:]
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

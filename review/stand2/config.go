package main

// The documents of the platform, as far as the cases use them.

type routeDoc struct {
	Name      string `json:"name"`
	Hostname  string `json:"hostname"`
	Prefix    string `json:"prefix"`
	Type      string `json:"type"`
	TimeoutMS int    `json:"timeout_ms"`
	TargetMS  int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Affinity  bool   `json:"session_affinity"`
	Resumable bool   `json:"resumable"`
	GapMS     int    `json:"gap_target_ms,omitempty"`
}

type engineDoc struct {
	Slots      int `json:"slots"`
	KVCapacity int `json:"kv_capacity"`
	Stride     int `json:"stride"`
}

type serviceDoc struct {
	Name     string     `json:"name"`
	Health   string     `json:"health_path"`
	MaxConns int        `json:"max_connections"`
	Protocol string     `json:"protocol"`
	Engine   *engineDoc `json:"engine,omitempty"`
}

type limitsDoc struct {
	HeaderBytes int `json:"max_header_bytes"`
	BodyBytes   int `json:"max_body_bytes"`
	HeaderMS    int `json:"header_timeout_ms"`
	IdleMS      int `json:"idle_timeout_ms"`
	Tokens      int `json:"tokens_per_s"`
}

type tenantDoc struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

type configDoc struct {
	Version  int          `json:"version"`
	Routes   []routeDoc   `json:"route_list"`
	Services []serviceDoc `json:"services"`
	Limits   limitsDoc    `json:"limits"`
	Tenants  []tenantDoc  `json:"tenants"`
}

type entryDoc struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMS   int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// engineSlots is the number of requests that a model server runs at once.
const engineSlots = 12

const (
	hostname   = "ficu95.example"
	bookPrefix = "/puxa403/"
	chatPrefix = "/lohu930/"
	apiKey     = "asnmgkcuyj8pjbvk9m68"
	tenant     = "hule930"
)

// baseConfig has a non-idempotent route to a plain service and a streaming route to model servers.
func baseConfig() configDoc {
	return configDoc{
		Version: 7,
		Routes: []routeDoc{
			{Name: "r-book", Hostname: hostname, Prefix: bookPrefix, Type: "non_idempotent", TimeoutMS: 1200, TargetMS: 200, Priority: 2, Service: "agenda", Attempts: 1, Public: true},
			{Name: "r-chat", Hostname: hostname, Prefix: chatPrefix, Type: "streaming", TimeoutMS: 10000, TargetMS: 1000, Priority: 1, Service: "chat", Attempts: 1, Affinity: true, GapMS: 600},
		},
		Services: []serviceDoc{
			{Name: "agenda", Health: "/healthz", MaxConns: 100, Protocol: "h1"},
			{Name: "chat", Health: "/healthz", MaxConns: 360, Protocol: "h1", Engine: &engineDoc{Slots: engineSlots, KVCapacity: 403914, Stride: 11}},
		},
		Limits:  limitsDoc{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMS: 3000, IdleMS: 15000, Tokens: 360000},
		Tenants: []tenantDoc{{Name: tenant, Keys: []string{apiKey}}},
	}
}

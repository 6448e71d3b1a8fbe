package pomeloload

import (
	"net/netip"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Plan describes a load run: its targets, its requests and the faults injected.
type Plan struct {
	// Seed makes the random choices of a run reproducible: arrival times, routers and resends.
	Seed     uint64        `yaml:"Seed"`
	Duration time.Duration `yaml:"Duration"`
	// Timeout is the time limit of an attempt, sent as X-Timeout; 20 s by default.
	Timeout time.Duration `yaml:"Timeout"`
	// MaxAttempts is the maximum number of attempts of a request, 5 by default.
	MaxAttempts int `yaml:"MaxAttempts"`
	// Direct sends requests to the upstreams without routers, as a baseline.
	Direct    bool       `yaml:"Direct"`
	Routers   []Router   `yaml:"Routers"`
	Services  []Service  `yaml:"Services"`
	Upstreams []Upstream `yaml:"Upstreams"`
	Accounts  []Account  `yaml:"Accounts"`
	Steps     []Step     `yaml:"Steps"`
	// MaxWait is the maximum time that a request may take over all its attempts, and the maximum time that a backlogged account may
	// receive no service; Timeout plus 3 s by default.
	MaxWait time.Duration `yaml:"MaxWait"`
	// GapCheckFrom is the time after the start from which the fairness gap is checked, so that a plan can exclude the time of a fault.
	GapCheckFrom time.Duration `yaml:"GapFrom"`
	// HostListAdmin is the admin address of the process that simulates the platform's host list and store.
	HostListAdmin netip.AddrPort `yaml:"HostAdmin"`
}

// Router is a router under load, with the addresses of its caller port and its operator port.
type Router struct {
	Name         pomelorelay.NodeID `yaml:"Name"`
	CallerAddr   netip.AddrPort     `yaml:"Caller"`
	OperatorAddr netip.AddrPort     `yaml:"Operator"`
}

// ServiceKind is the kind of API that a service has.
type ServiceKind string

// Service kinds: an OpenAI-style model engine, or a plain HTTP service.
const (
	ModelEngine ServiceKind = "ModelEngine"
	Plain       ServiceKind = "Plain"
)

// Service is a service under load, served by the upstreams that refer to it.
type Service struct {
	Name  pomelorelay.ServiceID `yaml:"Name"`
	Kind  ServiceKind           `yaml:"Kind"`
	Model pomelorelay.ModelID   `yaml:"Model"`
	// Path is the URL path of a plain service.
	Path string `yaml:"Path"`
	// AtMostOnce sends every request with an Idempotency-Key, since the service may run each of them at most once.
	AtMostOnce bool `yaml:"Once"`
	// InputCost and OutputCost are the costs of one prompt token and one answer token at a model engine. A request to a plain service
	// costs its run time in seconds.
	InputCost  pomelorelay.Cost `yaml:"InputCost"`
	OutputCost pomelorelay.Cost `yaml:"OutputCost"`
	// GapBound is the maximum fairness gap in normalised service (cost over weight), zero for none.
	GapBound pomelorelay.Tag `yaml:"GapBound"`
}

// Pool returns the ID of the pool that serves the service.
func (s Service) Pool() pomelorelay.PoolID { return pomelorelay.Pool(s.Name, s.Model) }

// Upstream is a simulated upstream.
type Upstream struct {
	Name    pomelorelay.UpstreamID `yaml:"Name"`
	Service pomelorelay.ServiceID  `yaml:"Service"`
	Address netip.AddrPort         `yaml:"Address"`
	Admin   netip.AddrPort         `yaml:"Admin"`
	Slots   int                    `yaml:"Slots"`
}

// Account is a client account with the loads that its callers generate.
type Account struct {
	Name   pomelorelay.AccountID `yaml:"Name"`
	Token  string                `yaml:"Token"`
	Weight pomelorelay.Weight    `yaml:"Weight"`
	Loads  []Load                `yaml:"Loads"`
}

// Load is a group of an account's callers with the same behaviour.
type Load struct {
	Service pomelorelay.ServiceID `yaml:"Service"`
	// Callers is the number of closed-loop callers, which send one request after another. ArrivalRate adds open-loop requests per
	// second with exponentially distributed intervals.
	Callers     int     `yaml:"Callers"`
	ArrivalRate float64 `yaml:"Rate"`
	// Routers receive this load; empty for all.
	Routers []pomelorelay.NodeID `yaml:"Routers"`
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of the answer at a model engine; SlotTime is the run
	// time at a plain service.
	PromptTokens int           `yaml:"Prompt"`
	MaxTokens    int           `yaml:"MaxTokens"`
	SlotTime     time.Duration `yaml:"SlotTime"`
	Stream       bool          `yaml:"Stream"`
	// ResendFraction is the fraction of requests with an Idempotency-Key that are sent again after their answer.
	ResendFraction float64 `yaml:"Resend"`
	// OverlapFraction is the fraction of requests with an Idempotency-Key that are sent twice concurrently.
	OverlapFraction float64 `yaml:"Overlap"`
	// MaxRequestsPerCaller is the number of requests after which a closed-loop caller stops, zero for no limit.
	MaxRequestsPerCaller int `yaml:"Requests"`
	// PromptMarker is a text included in the prompts, such as the marker that makes a simulated engine crash.
	PromptMarker string `yaml:"Marker"`
}

// Step is a set of faults injected at a time after the start.
type Step struct {
	After time.Duration `yaml:"After"`
	// DrainRouter is the router to drain.
	DrainRouter pomelorelay.NodeID `yaml:"Drain"`
	// LeavingUpstream is the upstream to mark as leaving in the host list.
	LeavingUpstream pomelorelay.UpstreamID `yaml:"Leave"`
	// Fault is a JSON body posted to /fault at FaultAdmin.
	Fault      string         `yaml:"Fault"`
	FaultAdmin netip.AddrPort `yaml:"Admin"`
}

const (
	defaultTimeout  = 20 * time.Second
	defaultAttempts = 5
	defaultDuration = 30 * time.Second
)

// LoadPlan reads and validates a plan from a YAML file; it fails with CodeBenchPlan on unknown fields and as Plan.Validate does.
func LoadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, errors.Wrap(err, "read plan")
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(data, &p, yaml.DisallowUnknownField()); err != nil {
		return Plan{}, pomelorelay.NewError(pomelorelay.CodeBenchPlan, path, err)
	}
	return p, p.Validate()
}

// Validate checks that the plan defines the services and routers to which it refers, and has routers unless Direct is set; it
// fails with CodeBenchPlan and the first violation.
func (p Plan) Validate() error {
	services := make(map[pomelorelay.ServiceID]bool)
	for _, s := range p.Services {
		services[s.Name] = true
	}
	routers := make(map[pomelorelay.NodeID]bool)
	for _, r := range p.Routers {
		routers[r.Name] = true
	}
	for _, u := range p.Upstreams {
		if !services[u.Service] {
			return planError("upstream %s serves unknown service %s", u.Name, u.Service)
		}
	}
	for _, a := range p.Accounts {
		if err := a.validate(services, routers); err != nil {
			return err
		}
	}
	if len(p.Routers) == 0 && !p.Direct {
		return planError("no routers; set Direct to send to the upstreams")
	}
	return nil
}

func (a Account) validate(services map[pomelorelay.ServiceID]bool, routers map[pomelorelay.NodeID]bool) error {
	for _, l := range a.Loads {
		if !services[l.Service] {
			return planError("account %s calls unknown service %s", a.Name, l.Service)
		}
		for _, name := range l.Routers {
			if !routers[name] {
				return planError("account %s has a load on unknown router %s", a.Name, name)
			}
		}
	}
	return nil
}

func planError(format string, args ...any) error {
	return pomelorelay.NewError(pomelorelay.CodeBenchPlan, errors.Errorf(format, args...).Error(), nil)
}

func (p Plan) withDefaults() Plan {
	if p.Timeout == 0 {
		p.Timeout = defaultTimeout
	}
	if p.MaxWait == 0 {
		p.MaxWait = p.Timeout + lateAnswerGrace
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultAttempts
	}
	if p.Duration == 0 {
		p.Duration = defaultDuration
	}
	return p
}

func (p Plan) service(name pomelorelay.ServiceID) Service {
	for _, s := range p.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}

// WithoutRouters returns the plan without routers and steps, with Direct set and each load on all upstreams of its service.
// Resends and overlaps are removed, since without a router nothing prevents a second run.
func (p Plan) WithoutRouters() Plan {
	p.Direct = true
	p.Routers = nil
	p.Steps = nil
	accounts := make([]Account, len(p.Accounts))
	for i, a := range p.Accounts {
		loads := append([]Load(nil), a.Loads...)
		for n := range loads {
			loads[n].Routers = nil
			loads[n].ResendFraction = 0
			loads[n].OverlapFraction = 0
		}
		a.Loads = loads
		accounts[i] = a
	}
	p.Accounts = accounts
	return p
}

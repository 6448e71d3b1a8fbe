package pomeloload

import (
	"net/netip"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Plan says where the load goes, what it is made of and what is disturbed meanwhile.
type Plan struct {
	// Seed makes the drawn arrivals, routers and resends the same in each run.
	Seed     uint64        `yaml:"Seed"`
	Duration time.Duration `yaml:"Duration"`
	// Timeout is the deadline of an attempt, sent as X-Timeout; 20 s by default.
	Timeout time.Duration `yaml:"Timeout"`
	// MaxAttempts bounds how often a caller sends the same request, 5 by default.
	MaxAttempts int `yaml:"MaxAttempts"`
	// Direct sends to the upstreams themselves, for a baseline without routers.
	Direct    bool       `yaml:"Direct"`
	Routers   []Router   `yaml:"Routers"`
	Services  []Service  `yaml:"Services"`
	Upstreams []Upstream `yaml:"Upstreams"`
	Accounts  []Account  `yaml:"Accounts"`
	Steps     []Step     `yaml:"Steps"`
	// MaxWait is how long a request may take with all its attempts before its account counts as starved; Timeout and 3 s by default.
	MaxWait time.Duration `yaml:"MaxWait"`
	// GapCheckFrom is the time after the start from which the fairness gap is judged, to judge what is left of it after a fault.
	GapCheckFrom time.Duration `yaml:"GapFrom"`
	// HostListAdmin is the admin address of the stand-in that holds the host list.
	HostListAdmin netip.AddrPort `yaml:"HostAdmin"`
}

// Router is a router under load.
type Router struct {
	Name         pomelorelay.NodeID `yaml:"Name"`
	CallerAddr   netip.AddrPort     `yaml:"Caller"`
	OperatorAddr netip.AddrPort     `yaml:"Operator"`
}

// ServiceKind tells how a service is called.
type ServiceKind string

// The kinds of service.
const (
	ModelEngine ServiceKind = "ModelEngine"
	Plain       ServiceKind = "Plain"
)

// Service is a service under load; its stand-ins are the upstreams that name it.
type Service struct {
	Name  pomelorelay.ServiceID `yaml:"Name"`
	Kind  ServiceKind           `yaml:"Kind"`
	Model pomelorelay.ModelID   `yaml:"Model"`
	// Path is what is called at a plain service.
	Path string `yaml:"Path"`
	// AtMostOnce tells that a request may run at most once; it carries an Idempotency-Key.
	AtMostOnce bool `yaml:"Once"`
	// InputCost and OutputCost weigh one token; a plain service costs its slot seconds.
	InputCost  pomelorelay.Cost `yaml:"InputCost"`
	OutputCost pomelorelay.Cost `yaml:"OutputCost"`
	// GapBound is the fairness bound in normalised service, zero for none.
	GapBound pomelorelay.Tag `yaml:"GapBound"`
}

// Pool returns the service's pool.
func (s Service) Pool() pomelorelay.PoolID { return pomelorelay.Pool(s.Name, s.Model) }

// Upstream is a stand-in.
type Upstream struct {
	Name    pomelorelay.UpstreamID `yaml:"Name"`
	Service pomelorelay.ServiceID  `yaml:"Service"`
	Address netip.AddrPort         `yaml:"Address"`
	Admin   netip.AddrPort         `yaml:"Admin"`
	Slots   int                    `yaml:"Slots"`
}

// Account is a client account and what its callers do.
type Account struct {
	Name   pomelorelay.AccountID `yaml:"Name"`
	Token  string                `yaml:"Token"`
	Weight pomelorelay.Weight    `yaml:"Weight"`
	Loads  []Load                `yaml:"Loads"`
}

// Load is one sort of callers of an account.
type Load struct {
	Service pomelorelay.ServiceID `yaml:"Service"`
	// Callers send one request after another; Rate callers a second come on their own beside them.
	Callers     int     `yaml:"Callers"`
	ArrivalRate float64 `yaml:"Rate"`
	// Routers are where this load lands; empty for all.
	Routers []pomelorelay.NodeID `yaml:"Routers"`
	// PromptTokens and MaxTokens shape a model engine's requests; SlotTime is a plain service's time.
	PromptTokens int           `yaml:"Prompt"`
	MaxTokens    int           `yaml:"MaxTokens"`
	SlotTime     time.Duration `yaml:"SlotTime"`
	Stream       bool          `yaml:"Stream"`
	// ResendFraction is the fraction of answered requests with an Idempotency-Key that are sent once more.
	ResendFraction float64 `yaml:"Resend"`
	// OverlapFraction is the fraction of requests with an Idempotency-Key that are sent twice at the same time.
	OverlapFraction float64 `yaml:"Overlap"`
	// MaxRequestsPerCaller bounds how many requests each caller sends, zero for no bound.
	MaxRequestsPerCaller int `yaml:"Requests"`
	// PromptMarker is a text in the prompts, such as the one at which a stand-in crashes.
	PromptMarker string `yaml:"Marker"`
}

// Step is a disturbance at a time after the start.
type Step struct {
	After time.Duration `yaml:"After"`
	// DrainRouter names a router that is asked to stop gracefully.
	DrainRouter pomelorelay.NodeID `yaml:"Drain"`
	// LeavingUpstream names an upstream that leaves the host list.
	LeavingUpstream pomelorelay.UpstreamID `yaml:"Leave"`
	// Fault is a JSON body for /fault at Admin.
	Fault      string         `yaml:"Fault"`
	FaultAdmin netip.AddrPort `yaml:"Admin"`
}

const (
	defaultTimeout  = 20 * time.Second
	defaultAttempts = 5
	defaultDuration = 30 * time.Second
)

// LoadPlan reads a plan from a YAML file; it fails on unknown fields and names that do not fit.
func LoadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, errors.Wrap(err, "read the plan")
	}
	var p Plan
	if err := yaml.UnmarshalWithOptions(data, &p, yaml.DisallowUnknownField()); err != nil {
		return Plan{}, pomelorelay.NewError(pomelorelay.CodeBenchPlan, path, err)
	}
	return p, p.Validate()
}

// Validate reports the first thing in the plan that does not fit.
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
			return planError("upstream %s serves the unknown service %s", u.Name, u.Service)
		}
	}
	for _, a := range p.Accounts {
		if err := a.validate(services, routers); err != nil {
			return err
		}
	}
	if len(p.Routers) == 0 && !p.Direct {
		return planError("there are no routers; set Direct to send to the upstreams")
	}
	return nil
}

func (a Account) validate(services map[pomelorelay.ServiceID]bool, routers map[pomelorelay.NodeID]bool) error {
	for _, l := range a.Loads {
		if !services[l.Service] {
			return planError("account %s calls the unknown service %s", a.Name, l.Service)
		}
		for _, name := range l.Routers {
			if !routers[name] {
				return planError("account %s lands on the unknown router %s", a.Name, name)
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

// WithoutRouters returns the plan without routers and steps, each load landing on any upstream of its service. Nothing is sent
// twice on purpose, since without a router nothing keeps a repeat from running.
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

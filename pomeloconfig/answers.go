package pomeloconfig

import (
	"net/netip"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Answers holds one team's answers to the questionnaire.
type Answers struct {
	Team       string             `yaml:"Team"`
	ShareTotal pomelorelay.Weight `yaml:"ShareTotal"`
	Regions    []Region           `yaml:"Regions"`
	Services   []ServiceAnswers   `yaml:"Services"`
	Accounts   []AccountAnswers   `yaml:"Accounts"`
}

// MayRepeat states whether the calls of a service may be repeated.
type MayRepeat string

// Values of MayRepeat; there is no default, because a wrong guess runs paid work twice.
const (
	MayRepeatAlways MayRepeat = "Always"
	MayRepeatNever  MayRepeat = "Never"
)

// ServiceAnswers describes one service of the team.
type ServiceAnswers struct {
	Name      pomelorelay.ServiceID `yaml:"Name"`
	Kind      ServiceKind           `yaml:"Kind"`
	MayRepeat MayRepeat             `yaml:"MayRepeat"`
	// KeyOptional accepts non-repeatable calls that carry no Idempotency-Key.
	KeyOptional bool              `yaml:"KeyOptional"`
	Upstreams   []UpstreamAnswers `yaml:"Upstreams"`
	Cost        CostAnswers       `yaml:"Cost"`
	Spill       SpillAnswers      `yaml:"Spill"`
	Limits      LimitAnswers      `yaml:"Limits"`
}

// UpstreamAnswers describes the identically configured servers of a service in one failure domain.
type UpstreamAnswers struct {
	FailureDomain pomelorelay.DomainID `yaml:"FailureDomain"`
	Model         pomelorelay.ModelID  `yaml:"Model"`
	MinSlots      pomelorelay.Slots    `yaml:"MinSlots"`
	MaxSlots      pomelorelay.Slots    `yaml:"MaxSlots"`
	Resumes       bool                 `yaml:"Resumes"`
	Servers       []ServerAnswers      `yaml:"Servers"`
}

// ServerAnswers describes one server.
type ServerAnswers struct {
	// Name is the server's name on the host list.
	Name    pomelorelay.UpstreamID `yaml:"Name"`
	Address netip.AddrPort         `yaml:"Address"`
}

// CostAnswers sets the cost per token of a model engine and the maximum cost of one request.
type CostAnswers struct {
	Input   pomelorelay.Cost `yaml:"Input"`
	Output  pomelorelay.Cost `yaml:"Output"`
	Maximum pomelorelay.Cost `yaml:"Maximum"`
}

// SpillAnswers sets when requests may go to another failure domain or region, and how much missed service an account that fell behind may
// make up; all values are in normalised cost.
type SpillAnswers struct {
	Domain  pomelorelay.Tag `yaml:"Domain"`
	Region  pomelorelay.Tag `yaml:"Region"`
	CatchUp pomelorelay.Tag `yaml:"CatchUp"`
}

// LimitAnswers sets the limits on a service's requests.
type LimitAnswers struct {
	MaxBody         pomelorelay.Bytes `yaml:"MaxBody"`
	MaxWaiting      int               `yaml:"MaxWaiting"`
	MaxWaitingBytes pomelorelay.Bytes `yaml:"MaxWaitingBytes"`
	MaxWait         time.Duration     `yaml:"MaxWait"`
	Timeout         time.Duration     `yaml:"Timeout"`
	RetryBudget     float64           `yaml:"RetryBudget"`
	Retention       time.Duration     `yaml:"Retention"`
	QuarantineFor   time.Duration     `yaml:"QuarantineFor"`
}

// AccountAnswers describes one client account of the team.
type AccountAnswers struct {
	Name        pomelorelay.AccountID                        `yaml:"Name"`
	Share       pomelorelay.Weight                           `yaml:"Share"`
	Shares      map[pomelorelay.ServiceID]pomelorelay.Weight `yaml:"Shares"`
	TokenHashes []string                                     `yaml:"TokenHashes"`
}

// LoadAnswers reads a team's answers from a file; it returns CodeFileUnreadable or the errors of ParseAnswers.
func LoadAnswers(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, pomelorelay.NewError(pomelorelay.CodeFileUnreadable, path, err)
	}
	return ParseAnswers(path, data)
}

// ParseAnswers parses a team's answers and checks them without those of other teams. It returns CodeConfigSyntax,
// CodeConfigUnknownField or CodeAnswersInvalid; the error names file, line and fix.
func ParseAnswers(file string, data []byte) (Answers, error) {
	var a Answers
	doc, err := readDocument(file, data, &a)
	if err != nil {
		return Answers{}, err
	}
	return a, problemsError(pomelorelay.CodeAnswersInvalid, doc.locate(a.check()))
}

// check returns the problems, with paths into the answers rather than into the generated configuration.
func (a Answers) check() []Problem {
	c := checker{code: pomelorelay.CodeAnswersInvalid}
	for i, s := range a.Services {
		if s.MayRepeat != MayRepeatAlways && s.MayRepeat != MayRepeatNever {
			c.add(indexedPath("Services", i)+".MayRepeat", quote(string(s.MayRepeat))+" does not answer whether calls may be repeated", "answer "+string(MayRepeatAlways)+" or "+string(MayRepeatNever))
		}
	}
	team, paths := a.configuration()
	team.FillDefaults()
	for _, problem := range Check(team) {
		problem.Code = pomelorelay.CodeAnswersInvalid
		problem.Path = paths.translate(problem.Path)
		c.problems = append(c.problems, problem)
	}
	return c.problems
}

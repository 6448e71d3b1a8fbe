package pomeloconfig

import (
	"net/netip"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Answers are one team's answers to the questionnaire.
type Answers struct {
	Team       string             `yaml:"Team"`
	ShareTotal pomelorelay.Weight `yaml:"ShareTotal"`
	Regions    []Region           `yaml:"Regions"`
	Services   []ServiceAnswers   `yaml:"Services"`
	Accounts   []AccountAnswers   `yaml:"Accounts"`
}

// MayRepeat answers whether a service's calls may be repeated.
type MayRepeat string

// The answers to whether calls may be repeated; there is no default, for a wrong guess runs paid work twice.
const (
	MayRepeatAlways MayRepeat = "Always"
	MayRepeatNever  MayRepeat = "Never"
)

// ServiceAnswers describe one service of the team.
type ServiceAnswers struct {
	Name      pomelorelay.ServiceID `yaml:"Name"`
	Kind      ServiceKind           `yaml:"Kind"`
	MayRepeat MayRepeat             `yaml:"MayRepeat"`
	// KeyOptional takes calls that may not be repeated without an Idempotency-Key.
	KeyOptional bool              `yaml:"KeyOptional"`
	Upstreams   []UpstreamAnswers `yaml:"Upstreams"`
	Cost        CostAnswers       `yaml:"Cost"`
	Spill       SpillAnswers      `yaml:"Spill"`
	Limits      LimitAnswers      `yaml:"Limits"`
}

// UpstreamAnswers describe the alike servers of a service in one failure domain.
type UpstreamAnswers struct {
	FailureDomain pomelorelay.DomainID `yaml:"FailureDomain"`
	Model         pomelorelay.ModelID  `yaml:"Model"`
	MinSlots      pomelorelay.Slots    `yaml:"MinSlots"`
	MaxSlots      pomelorelay.Slots    `yaml:"MaxSlots"`
	Resumes       bool                 `yaml:"Resumes"`
	Servers       []ServerAnswers      `yaml:"Servers"`
}

// ServerAnswers name one server.
type ServerAnswers struct {
	// Name is the one on the host list.
	Name    pomelorelay.UpstreamID `yaml:"Name"`
	Address netip.AddrPort         `yaml:"Address"`
}

// CostAnswers weigh the tokens of a model engine and bound the cost of one request.
type CostAnswers struct {
	Input   pomelorelay.Cost `yaml:"Input"`
	Output  pomelorelay.Cost `yaml:"Output"`
	Maximum pomelorelay.Cost `yaml:"Maximum"`
}

// SpillAnswers set how far work may go.
type SpillAnswers struct {
	Domain  pomelorelay.Tag `yaml:"Domain"`
	Region  pomelorelay.Tag `yaml:"Region"`
	CatchUp pomelorelay.Tag `yaml:"CatchUp"`
}

// LimitAnswers bound a service's requests.
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

// AccountAnswers describe one client account of the team.
type AccountAnswers struct {
	Name        pomelorelay.AccountID                        `yaml:"Name"`
	Share       pomelorelay.Weight                           `yaml:"Share"`
	Shares      map[pomelorelay.ServiceID]pomelorelay.Weight `yaml:"Shares"`
	TokenHashes []string                                     `yaml:"TokenHashes"`
}

// LoadAnswers reads a team's answers from a file; it fails with CodeFileUnreadable or as ParseAnswers does.
func LoadAnswers(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, pomelorelay.NewError(pomelorelay.CodeFileUnreadable, path, err)
	}
	return ParseAnswers(path, data)
}

// ParseAnswers reads a team's answers and checks them by themselves; it fails with CodeConfigSyntax, CodeConfigUnknownField or
// CodeAnswersInvalid, naming file, line and fix.
func ParseAnswers(file string, data []byte) (Answers, error) {
	var a Answers
	doc, err := readDocument(file, data, &a)
	if err != nil {
		return Answers{}, err
	}
	return a, problemsError(pomelorelay.CodeAnswersInvalid, doc.locate(a.check()))
}

// check gives the problems with paths into the answers.
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

package pomeloconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pomelorelay/pomelorelay"
)

// Generate builds one configuration from the answers of several teams, independent of their order. It returns
// CodeAnswersInvalid, for example when two teams use the same name for a service or an account.
func Generate(teams []Answers) (Configuration, error) {
	teams = slices.Clone(teams)
	slices.SortStableFunc(teams, func(a, b Answers) int { return cmp.Compare(a.Team, b.Team) })
	var all Configuration
	for _, answers := range teams {
		team, _ := answers.configuration()
		all.Teams = append(all.Teams, team.Teams...)
		all.Services = append(all.Services, team.Services...)
		all.Upstreams = append(all.Upstreams, team.Upstreams...)
		all.Accounts = append(all.Accounts, team.Accounts...)
		all.Regions = mergeRegions(all.Regions, team.Regions)
	}
	all.FillDefaults()
	all.normalise()
	if err := problemsError(pomelorelay.CodeAnswersInvalid, Check(all)); err != nil {
		return Configuration{}, err
	}
	return all, nil
}

// mergeRegions merges regions of the same name, since teams may share regions.
func mergeRegions(all, added []Region) []Region {
	for _, region := range added {
		i := slices.IndexFunc(all, func(r Region) bool { return r.Name == region.Name })
		if i < 0 {
			all = append(all, Region{Name: region.Name, FailureDomains: slices.Clone(region.FailureDomains)})
			continue
		}
		for _, domain := range region.FailureDomains {
			if !slices.Contains(all[i].FailureDomains, domain) {
				all[i].FailureDomains = append(all[i].FailureDomains, domain)
			}
		}
	}
	return all
}

// answerPaths holds, for each upstream of the generated configuration, its path in the answers.
type answerPaths struct {
	upstreams []string
}

// translate converts a path in the generated configuration to the matching path in the answers.
func (p answerPaths) translate(path string) string {
	for i, answerPath := range p.upstreams {
		suffix, ok := strings.CutPrefix(path, indexedPath("Upstreams", i))
		if !ok {
			continue
		}
		switch suffix {
		case ".Name", ".Address":
			return answerPath + suffix
		}
		return answerPath[:strings.LastIndex(answerPath, ".Servers")] + suffix
	}
	for from, to := range serviceAnswerPaths {
		if strings.HasPrefix(path, "Services[") && strings.HasSuffix(path, from) {
			return strings.TrimSuffix(path, from) + to
		}
	}
	switch {
	case path == "Teams[0].Name":
		return "Team"
	case path == "Teams[0].ShareTotal":
		return "ShareTotal"
	}
	return path
}

// serviceAnswerPaths maps suffixes of paths in the configuration to suffixes of paths in the answers.
var serviceAnswerPaths = map[string]string{
	".InputCost": ".Cost.Input", ".OutputCost": ".Cost.Output", ".MaxCost": ".Cost.Maximum",
	".SpillDomain": ".Spill.Domain", ".SpillRegion": ".Spill.Region", ".CatchUp": ".Spill.CatchUp",
	".MaxBody": ".Limits.MaxBody", ".MaxWaiting": ".Limits.MaxWaiting", ".MaxWaitingBytes": ".Limits.MaxWaitingBytes",
	".MaxWait": ".Limits.MaxWait", ".Timeout": ".Limits.Timeout", ".RetryBudget": ".Limits.RetryBudget",
	".Retention": ".Limits.Retention", ".QuarantineFor": ".Limits.QuarantineFor",
}

// configuration builds the team's part of the configuration, in the order of the answers.
func (a Answers) configuration() (Configuration, answerPaths) {
	c := Configuration{Teams: []Team{{Name: a.Team, ShareTotal: a.ShareTotal}}, Regions: slices.Clone(a.Regions)}
	var paths answerPaths
	for i, s := range a.Services {
		c.Services = append(c.Services, s.service(a.Team))
		counts := make(map[pomelorelay.DomainID]int)
		for j, group := range s.Upstreams {
			for k, server := range group.Servers {
				counts[group.FailureDomain]++
				c.Upstreams = append(c.Upstreams, a.upstream(s, group, server, counts[group.FailureDomain]))
				paths.upstreams = append(paths.upstreams, indexedPath(indexedPath(indexedPath("Services", i)+".Upstreams", j)+".Servers", k))
			}
		}
	}
	for _, account := range a.Accounts {
		c.Accounts = append(c.Accounts, Account{
			Name: account.Name, Team: a.Team, Share: account.Share, Shares: account.Shares, TokenHashes: slices.Clone(account.TokenHashes),
		})
	}
	return c, paths
}

func (s ServiceAnswers) service(team string) Service {
	return Service{
		Name: s.Name, Team: team, Kind: s.Kind,
		NonIdempotent: s.MayRepeat == MayRepeatNever, KeyOptional: s.KeyOptional,
		InputCost: s.Cost.Input, OutputCost: s.Cost.Output, MaxCost: s.Cost.Maximum,
		SpillDomain: s.Spill.Domain, SpillRegion: s.Spill.Region, CatchUp: s.Spill.CatchUp,
		MaxBody: s.Limits.MaxBody, MaxWaiting: s.Limits.MaxWaiting, MaxWaitingBytes: s.Limits.MaxWaitingBytes,
		MaxWait: s.Limits.MaxWait, Timeout: s.Limits.Timeout, RetryBudget: s.Limits.RetryBudget,
		Retention: s.Limits.Retention, QuarantineFor: s.Limits.QuarantineFor,
	}
}

func (a Answers) upstream(s ServiceAnswers, group UpstreamAnswers, server ServerAnswers, number int) Upstream {
	name := server.Name
	if name == "" {
		name = pomelorelay.UpstreamID(fmt.Sprintf("%s-%s-%d", s.Name, group.FailureDomain, number))
	}
	return Upstream{
		Name: name, Service: s.Name, Model: group.Model, Address: server.Address,
		FailureDomain: group.FailureDomain, Region: a.regionOf(group.FailureDomain),
		MinSlots: group.MinSlots, MaxSlots: group.MaxSlots, Resumes: group.Resumes,
	}
}

func (a Answers) regionOf(domain pomelorelay.DomainID) pomelorelay.RegionID {
	for _, region := range a.Regions {
		if slices.Contains(region.FailureDomains, domain) {
			return region.Name
		}
	}
	return ""
}

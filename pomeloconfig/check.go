package pomeloconfig

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Limits of the values in a configuration.
const (
	maxShare          = 1e9
	maxCost           = 1e9
	maxSlots          = 4096
	maxTokenHashes    = 16
	shareSumTolerance = 1e-6
)

// Check returns the problems of a configuration whose defaults have been filled in; an empty result means that it is valid.
func Check(c Configuration) []Problem {
	k := &configurationChecker{
		checker:     checker{code: pomelorelay.CodeConfigInvalid},
		teams:       make(map[string]string),
		regions:     make(map[string]string),
		domains:     make(map[string]string),
		regionOf:    make(map[pomelorelay.DomainID]pomelorelay.RegionID),
		services:    make(map[string]string),
		kinds:       make(map[pomelorelay.ServiceID]ServiceKind),
		hasUpstream: make(map[pomelorelay.ServiceID]bool),
		shareSums:   make(map[string]float64),
	}
	k.checkTeams(c.Teams)
	k.checkRegions(c.Regions)
	k.checkEvacuated(c.Evacuated)
	k.checkServices(c.Services)
	k.checkUpstreams(c.Upstreams)
	k.checkServicesHaveUpstreams(c.Services)
	k.checkAccounts(c.Accounts)
	k.checkShareTotals(c.Teams)
	return k.problems
}

// configurationChecker collects problems; teams, regions, domains and services map each name found to the path of its first use.
type configurationChecker struct {
	checker
	teams, regions, domains, services map[string]string
	regionOf                          map[pomelorelay.DomainID]pomelorelay.RegionID
	kinds                             map[pomelorelay.ServiceID]ServiceKind
	hasUpstream                       map[pomelorelay.ServiceID]bool
	shareSums                         map[string]float64
}

// checkUniqueName checks that a name is valid and that no other entry of the same kind has it.
func (k *configurationChecker) checkUniqueName(seen map[string]string, path, name string) {
	k.name(path, name)
	k.unique(seen, path, name)
}

func (k *configurationChecker) checkExists(seen map[string]string, path, name, kind string) {
	if _, ok := seen[name]; !ok {
		k.add(path, kind+" "+quote(name)+" is not known", "add it, or correct the name")
	}
}

func (k *configurationChecker) checkTeams(teams []Team) {
	if len(teams) == 0 {
		k.add("Teams", "no team is given", "list at least one team")
	}
	for i, team := range teams {
		path := indexedPath("Teams", i)
		k.checkUniqueName(k.teams, path+".Name", team.Name)
		k.number(path+".ShareTotal", float64(team.ShareTotal), 0, math.MaxFloat64)
	}
}

func (k *configurationChecker) checkRegions(regions []Region) {
	if len(regions) == 0 {
		k.add("Regions", "no region is given", "list at least one region with its failure domains")
	}
	for i, region := range regions {
		path := indexedPath("Regions", i)
		k.checkUniqueName(k.regions, path+".Name", string(region.Name))
		if len(region.FailureDomains) == 0 {
			k.add(path+".FailureDomains", "the region has no failure domain", "list at least one")
		}
		for j, domain := range region.FailureDomains {
			k.checkUniqueName(k.domains, indexedPath(path+".FailureDomains", j), string(domain))
			k.regionOf[domain] = region.Name
		}
	}
}

func (k *configurationChecker) checkEvacuated(domains []pomelorelay.DomainID) {
	for i, domain := range domains {
		k.checkExists(k.domains, indexedPath("Evacuated", i), string(domain), "the failure domain")
	}
}

func (k *configurationChecker) checkServices(services []Service) {
	if len(services) == 0 {
		k.add("Services", "no service is given", "list at least one")
	}
	for i, s := range services {
		path := indexedPath("Services", i)
		k.checkUniqueName(k.services, path+".Name", string(s.Name))
		k.checkExists(k.teams, path+".Team", s.Team, "the team")
		k.kinds[s.Name] = s.Kind
		if s.Kind != ServiceModel && s.Kind != ServicePlain {
			k.add(path+".Kind", "the kind "+quote(string(s.Kind))+" is not known", "use "+string(ServiceModel)+" or "+string(ServicePlain))
		}
		if s.KeyOptional && !s.NonIdempotent {
			k.add(path+".KeyOptional", "it is set for a service whose calls may be repeated", "remove it, or set NonIdempotent")
		}
		k.checkServiceBounds(path, s)
	}
}

func (k *configurationChecker) checkServiceBounds(path string, s Service) {
	if s.Kind == ServiceModel {
		k.number(path+".InputCost", float64(s.InputCost), 1e-9, maxCost)
		k.number(path+".OutputCost", float64(s.OutputCost), 1e-9, maxCost)
	}
	k.number(path+".MaxCost", float64(s.MaxCost), 1e-9, maxCost)
	k.bytes(path+".MaxBody", s.MaxBody, 1, 1<<30)
	k.number(path+".MaxWaiting", float64(s.MaxWaiting), 1, 1e6)
	k.bytes(path+".MaxWaitingBytes", s.MaxWaitingBytes, s.MaxBody, 1<<40)
	k.duration(path+".MaxWait", s.MaxWait, time.Millisecond, 24*time.Hour)
	k.duration(path+".Timeout", s.Timeout, time.Millisecond, 24*time.Hour)
	k.number(path+".SpillDomain", float64(s.SpillDomain), 0, maxCost)
	k.number(path+".SpillRegion", float64(s.SpillRegion), float64(s.SpillDomain), math.MaxFloat64)
	k.number(path+".CatchUp", float64(s.CatchUp), 0, math.MaxFloat64)
	k.number(path+".RetryBudget", s.RetryBudget, 0, 1)
	k.duration(path+".Retention", s.Retention, time.Minute, 366*24*time.Hour)
	k.duration(path+".QuarantineFor", s.QuarantineFor, time.Second, 366*24*time.Hour)
}

func (k *configurationChecker) checkUpstreams(upstreams []Upstream) {
	names := make(map[string]string)
	addresses := make(map[netip.AddrPort]string)
	for i, u := range upstreams {
		path := indexedPath("Upstreams", i)
		k.checkUniqueName(names, path+".Name", string(u.Name))
		k.checkExists(k.services, path+".Service", string(u.Service), "the service")
		k.hasUpstream[u.Service] = true
		k.checkModel(path, u)
		k.address(path+".Address", u.Address)
		if first, ok := addresses[u.Address]; ok && u.Address.IsValid() {
			k.add(path+".Address", u.Address.String()+" is already used at "+first, "give each upstream its own address")
		}
		addresses[u.Address] = path + ".Address"
		k.checkLocation(path, u)
		k.number(path+".MinSlots", float64(u.MinSlots), 1, float64(u.MaxSlots))
		k.number(path+".MaxSlots", float64(u.MaxSlots), 1, maxSlots)
	}
}

func (k *configurationChecker) checkModel(path string, u Upstream) {
	kind, ok := k.kinds[u.Service]
	switch {
	case !ok:
	case kind == ServiceModel:
		k.checkModelName(path+".Model", string(u.Model))
	case u.Model != "":
		k.add(path+".Model", "a plain service has no model", "remove it")
	}
	if u.Resumes && kind == ServicePlain {
		k.add(path+".Resumes", "a plain service has no streams to resume", "remove it")
	}
}

// checkModelName allows every character, since model names of engines contain characters such as slashes.
func (k *configurationChecker) checkModelName(path, name string) {
	if name == "" || len(name) > maxNameBytes {
		k.add(path, fmt.Sprintf("the model's name has %d bytes", len(name)), fmt.Sprintf("use 1 to %d", maxNameBytes))
	}
}

func (k *configurationChecker) checkLocation(path string, u Upstream) {
	k.checkExists(k.regions, path+".Region", string(u.Region), "the region")
	k.checkExists(k.domains, path+".FailureDomain", string(u.FailureDomain), "the failure domain")
	if region, ok := k.regionOf[u.FailureDomain]; ok && region != u.Region {
		k.add(path+".Region", "the failure domain "+quote(string(u.FailureDomain))+" is in region "+quote(string(region)), "correct one of the two")
	}
}

func (k *configurationChecker) checkServicesHaveUpstreams(services []Service) {
	for i, s := range services {
		if !k.hasUpstream[s.Name] {
			k.add(indexedPath("Services", i), "the service "+quote(string(s.Name))+" has no upstream", "list an upstream of it, or remove the service")
		}
	}
}

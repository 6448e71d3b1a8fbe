package pomeloconfig

import (
	"cmp"
	"slices"

	"github.com/pomelorelay/pomelorelay"

	"github.com/goccy/go-yaml"
)

// Parse reads a configuration from YAML, fills in the defaults and checks it. It returns CodeConfigSyntax,
// CodeConfigUnknownField or CodeConfigInvalid; the error names file, line and fix.
func Parse(file string, data []byte) (Configuration, error) {
	var c Configuration
	doc, err := readDocument(file, data, &c)
	if err != nil {
		return Configuration{}, err
	}
	c.FillDefaults()
	// Check before sorting, so that indexes in problems are those of the file.
	if err := problemsError(pomelorelay.CodeConfigInvalid, doc.locate(Check(c))); err != nil {
		return Configuration{}, err
	}
	c.normalise()
	return c, nil
}

// Encode returns the configuration as YAML with all defaults filled in; the output does not depend on the order of the entries.
func Encode(c Configuration) ([]byte, error) {
	c = c.normalised()
	data, err := yaml.Marshal(c)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeConfigMalformed, "encode the configuration", err)
	}
	return data, nil
}

// normalised returns a sorted copy with defaults filled in; nested lists are cloned first, so that sorting does not modify the receiver.
func (c Configuration) normalised() Configuration {
	n := Configuration{
		Regions:   slices.Clone(c.Regions),
		Services:  slices.Clone(c.Services),
		Upstreams: slices.Clone(c.Upstreams),
		Accounts:  slices.Clone(c.Accounts),
		Teams:     slices.Clone(c.Teams),
		Evacuated: slices.Clone(c.Evacuated),
	}
	for i := range n.Regions {
		n.Regions[i].FailureDomains = slices.Clone(n.Regions[i].FailureDomains)
	}
	for i := range n.Accounts {
		n.Accounts[i].TokenHashes = slices.Clone(n.Accounts[i].TokenHashes)
	}
	n.FillDefaults()
	n.normalise()
	return n
}

func (c *Configuration) normalise() {
	slices.SortStableFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(c.Evacuated)
	for i := range c.Regions {
		slices.Sort(c.Regions[i].FailureDomains)
	}
	for i := range c.Accounts {
		slices.Sort(c.Accounts[i].TokenHashes)
	}
}

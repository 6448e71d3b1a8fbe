package pomelocapacity

import (
	"fmt"
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// ConfigurationFigures is what a configuration costs, by its accounts.
type ConfigurationFigures struct {
	Memory, Held, Compile, Stored Series
	// Garbage is what one change allocates while it is put together.
	Garbage Series
	// Change is what one changed account costs: the root and the part that it stands in.
	Root, Part float64
}

func sample(t Target, accounts int) pomeloconfig.Configuration {
	c := pomeloconfig.Configuration{
		Teams:    []pomeloconfig.Team{{Name: "workshops"}},
		Services: []pomeloconfig.Service{{Name: "assistant", Team: "workshops", Kind: pomeloconfig.ServiceModel}},
	}
	for d := range t.Domains {
		region := regionName(t, d)
		if len(c.Regions) == 0 || c.Regions[len(c.Regions)-1].Name != region {
			c.Regions = append(c.Regions, pomeloconfig.Region{Name: region})
		}
		last := &c.Regions[len(c.Regions)-1]
		last.FailureDomains = append(last.FailureDomains, domainName(d))
		for i := range t.DomainUpstreams() {
			c.Upstreams = append(c.Upstreams, pomeloconfig.Upstream{
				Name: upstreamName(d, i), Service: "assistant", Model: pomelorelay.ModelID(fmt.Sprintf("model-%d", i%t.Pools)),
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 1, byte(i)}), 9000),
				FailureDomain: domainName(d), Region: region, MinSlots: 1, MaxSlots: pomelorelay.Slots(t.Slots()),
			})
		}
	}
	for i := range accounts {
		name := accountName(i)
		c.Accounts = append(c.Accounts, pomeloconfig.Account{
			Name: name, Team: "workshops", Share: pomelorelay.Weight(1 + i%7), TokenHashes: []string{pomeloconfig.HashToken(string(name))},
		})
	}
	c.FillDefaults()
	return c
}

// packed is a configuration as it is stored and spread.
type packed struct {
	root  pomeloconfig.Root
	parts map[pomelorelay.Hash][]byte
	bytes float64
}

func pack(c pomeloconfig.Configuration) (packed, error) {
	p := packed{root: pomeloconfig.Root{Generation: 1, Author: "operator"}, parts: make(map[pomelorelay.Hash][]byte)}
	parts, err := pomeloconfig.Parts(c)
	if err != nil {
		return p, err
	}
	for _, part := range parts {
		p.root.Parts = append(p.root.Parts, part.Hash)
		p.parts[part.Hash] = part.Data
		p.bytes += float64(len(part.Data))
	}
	return p, nil
}

// compile makes what a router has in force.
func (p packed) compile() (*pomeloconfig.Snapshot, error) {
	c, err := pomeloconfig.Assemble(p.root, p.parts)
	if err != nil {
		return nil, err
	}
	return pomeloconfig.NewSnapshot(p.root, c)
}

func measureConfiguration(t Target) (ConfigurationFigures, error) {
	var f ConfigurationFigures
	var memory, kept, compile, stored, garbage []Point
	for _, accounts := range []int{100, 1_000, 10_000, t.Accounts} {
		p, err := pack(sample(t, accounts))
		if err != nil {
			return f, err
		}
		x := float64(accounts)
		stored = append(stored, Point{x, p.bytes})
		var failed error
		memory = append(memory, Point{x, held(func() any {
			s, err := p.compile()
			failed = err
			return s
		})})
		compile = append(compile, Point{x, micros(timed(func() func() {
			return func() { _, failed = p.compile() }
		}))})
		garbage = append(garbage, Point{x, allocated(func() { _, failed = p.compile() })})
		if failed != nil {
			return f, failed
		}
		// The spreader keeps the parts compressed, for peers that ask.
		kept = append(kept, Point{x, p.bytes})
		if err := f.measureChange(p); err != nil {
			return f, err
		}
	}
	const role, sizes = "Configuration", "accounts"
	f.Memory = Series{role, "compiled snapshot", "B a node", sizes, Fit(memory)}
	f.Held = Series{role, "parts kept for peers", "B a node", sizes, Fit(kept)}
	f.Compile = Series{role, "processor time of one change", "µs a node", sizes, Fit(compile)}
	f.Garbage = Series{role, "allocated by one change", "B a node", sizes, Fit(garbage)}
	f.Stored = Series{role, "bytes in the store", "B the fleet", sizes, Fit(stored)}
	return f, nil
}

func (f *ConfigurationFigures) measureChange(p packed) error {
	root, err := pomeloconfig.EncodeRoot(p.root)
	if err != nil {
		return err
	}
	f.Root = float64(len(root))
	f.Part = p.bytes / float64(len(p.parts))
	return nil
}

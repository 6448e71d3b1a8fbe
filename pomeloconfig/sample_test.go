package pomeloconfig_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// sample returns a valid configuration with the given number of accounts.
func sample(accounts int) pomeloconfig.Configuration {
	c := pomeloconfig.Configuration{
		Teams:    []pomeloconfig.Team{{Name: "team"}},
		Regions:  []pomeloconfig.Region{{Name: "east", FailureDomains: []pomelorelay.DomainID{"east-a", "east-b"}}},
		Services: []pomeloconfig.Service{{Name: "draft", Team: "team", Kind: pomeloconfig.ServiceModel}, {Name: "book", Team: "team", Kind: pomeloconfig.ServicePlain, NonIdempotent: true}},
		Upstreams: []pomeloconfig.Upstream{
			{Name: "engine-1", Service: "draft", Model: "m", Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "east-a", Region: "east"},
			{Name: "plain-1", Service: "book", Address: netip.MustParseAddrPort("10.0.0.2:80"), FailureDomain: "east-b", Region: "east"},
		},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		c.Accounts = append(c.Accounts, pomeloconfig.Account{
			Name: pomelorelay.AccountID(name), Team: "team", Share: pomelorelay.Weight(1 + i%7),
			TokenHashes: []string{pomeloconfig.HashToken(name)},
		})
	}
	c.FillDefaults()
	return c
}

func mustParts(t testing.TB, c pomeloconfig.Configuration) ([]pomelorelay.Hash, map[pomelorelay.Hash][]byte) {
	t.Helper()
	parts, err := pomeloconfig.Split(c)
	if err != nil {
		t.Fatal(err)
	}
	var hashes []pomelorelay.Hash
	byHash := make(map[pomelorelay.Hash][]byte)
	for _, part := range parts {
		hashes = append(hashes, part.Hash)
		byHash[part.Hash] = part.Data
	}
	return hashes, byHash
}

func wantCode(t testing.TB, err error, code pomelorelay.ResultCode) {
	t.Helper()
	if !pomelorelay.IsErrCode(err, code) {
		t.Fatalf("got %v, want code %d", err, code)
	}
}

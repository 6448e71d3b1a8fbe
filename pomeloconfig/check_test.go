package pomeloconfig_test

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// Each case makes one entry of a valid configuration invalid. Check must report a problem with the path of that entry; a fault
// that it misses would reach the routers.
func TestCheckReportsPathOfInvalidEntry(t *testing.T) {
	for _, c := range []struct {
		path    string
		corrupt func(c *pomeloconfig.Configuration)
	}{
		{"Teams[0].ShareTotal", func(c *pomeloconfig.Configuration) { c.Teams[0].ShareTotal = 4 }},
		{"Teams[1].Name", func(c *pomeloconfig.Configuration) { c.Teams = append(c.Teams, c.Teams[0]) }},
		{"Teams", func(c *pomeloconfig.Configuration) { c.Teams = nil }},
		{"Regions[0].FailureDomains[1]", func(c *pomeloconfig.Configuration) {
			c.Regions[0].FailureDomains = []pomelorelay.DomainID{"east-a", "east-a", "east-b"}
		}},
		{"Services[0].Kind", func(c *pomeloconfig.Configuration) { c.Services[0].Kind = "Engine" }},
		{"Services[0].Team", func(c *pomeloconfig.Configuration) { c.Services[0].Team = "nobody" }},
		{"Services[0].KeyOptional", func(c *pomeloconfig.Configuration) { c.Services[0].KeyOptional = true }},
		{"Services[0].MaxCost", func(c *pomeloconfig.Configuration) { c.Services[0].MaxCost = pomelorelay.Cost(math.NaN()) }},
		{"Services[0].SpillRegion", func(c *pomeloconfig.Configuration) { c.Services[0].SpillRegion = c.Services[0].SpillDomain / 2 }},
		{"Services[0].RetryBudget", func(c *pomeloconfig.Configuration) { c.Services[0].RetryBudget = 2 }},
		{"Services[1]", func(c *pomeloconfig.Configuration) { c.Upstreams = c.Upstreams[:1] }},
		{"Upstreams[0].Service", func(c *pomeloconfig.Configuration) { c.Upstreams[0].Service = "nothing" }},
		{"Upstreams[0].Region", func(c *pomeloconfig.Configuration) { c.Upstreams[0].Region = "west" }},
		{"Upstreams[0].FailureDomain", func(c *pomeloconfig.Configuration) { c.Upstreams[0].FailureDomain = "west-a" }},
		{"Upstreams[0].Model", func(c *pomeloconfig.Configuration) { c.Upstreams[0].Model = "" }},
		{"Upstreams[1].Model", func(c *pomeloconfig.Configuration) { c.Upstreams[1].Model = "m" }},
		{"Upstreams[1].Address", func(c *pomeloconfig.Configuration) { c.Upstreams[1].Address = c.Upstreams[0].Address }},
		{"Upstreams[1].Address", func(c *pomeloconfig.Configuration) { c.Upstreams[1].Address = netip.AddrPort{} }},
		{"Upstreams[1].Name", func(c *pomeloconfig.Configuration) { c.Upstreams[1].Name = c.Upstreams[0].Name }},
		{"Upstreams[1].MinSlots", func(c *pomeloconfig.Configuration) { c.Upstreams[1].MinSlots = 99 }},
		{"Accounts[1].Name", func(c *pomeloconfig.Configuration) { c.Accounts[1].Name = c.Accounts[0].Name }},
		{"Accounts[1].Name", func(c *pomeloconfig.Configuration) { c.Accounts[1].Name = "a/b" }},
		{"Accounts[1].Team", func(c *pomeloconfig.Configuration) { c.Accounts[1].Team = "nobody" }},
		{"Accounts[1].Share", func(c *pomeloconfig.Configuration) { c.Accounts[1].Share = -1 }},
		{"Accounts[1].Shares.nothing", func(c *pomeloconfig.Configuration) {
			c.Accounts[1].Shares = map[pomelorelay.ServiceID]pomelorelay.Weight{"nothing": 1}
		}},
		{"Accounts[1].TokenHashes", func(c *pomeloconfig.Configuration) { c.Accounts[1].TokenHashes = nil }},
		{"Accounts[1].TokenHashes[0]", func(c *pomeloconfig.Configuration) { c.Accounts[1].TokenHashes = c.Accounts[0].TokenHashes }},
		{"Accounts[1].TokenHashes[0]", func(c *pomeloconfig.Configuration) { c.Accounts[1].TokenHashes = []string{"the token itself"} }},
		{"Accounts[1].TokenHashes[0]", func(c *pomeloconfig.Configuration) {
			c.Accounts[1].TokenHashes = []string{strings.ToUpper(c.Accounts[0].TokenHashes[0])}
		}},
	} {
		bad := sample(3)
		c.corrupt(&bad)
		problems := pomeloconfig.Check(bad)
		found := false
		for _, p := range problems {
			found = found || p.Path == c.path && p.Fix != "" && p.Code == pomelorelay.CodeConfigInvalid
		}
		if !found {
			t.Errorf("want a problem at %s, got %v", c.path, problems)
		}
	}
	if problems := pomeloconfig.Check(sample(3)); len(problems) > 0 {
		t.Errorf("the valid configuration has problems: %v", problems)
	}
}

func TestParseErrorsNameFileAndLine(t *testing.T) {
	good := string(encode(t, sample(3)))
	for _, c := range []struct {
		from, to string
		code     pomelorelay.ResultCode
	}{
		{"Team: team\n", "Team: nobody\n", pomelorelay.CodeConfigInvalid},
		{"MaxSlots: 32", "MaxSlotz: 32", pomelorelay.CodeConfigUnknownField},
		{"MaxSlots: 32", "MaxSlots: many", pomelorelay.CodeConfigSyntax},
		{"Accounts:", "Accounts: [", pomelorelay.CodeConfigSyntax},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		line := 1 + strings.Count(good[:strings.Index(good, c.from)], "\n")
		_, err := pomeloconfig.Parse("conf.yaml", []byte(text))
		if !pomelorelay.IsErrCode(err, c.code) {
			t.Errorf("%s: got %v, want code %d", c.to, err, c.code)
			continue
		}
		if c.code != pomelorelay.CodeConfigSyntax && !strings.Contains(err.Error(), fmt.Sprintf("conf.yaml:%d:", line)) {
			t.Errorf("%s: %v does not name line %d", c.to, err, line)
		}
	}
}

const goodSettings = `Host: {Name: router-1, FailureDomain: east-a, Region: east}
Listen:
  Caller: 127.0.0.1:8080
  Control: 127.0.0.1:8081
  Operator: 127.0.0.1:8082
Store: {Addresses: ["127.0.0.1:9000"]}
TLS: {Insecure: true}
`

func TestSettingsDefaultsAndValidation(t *testing.T) {
	s, err := pomeloconfig.ParseSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.HostList.Addresses[0] != s.Store.Addresses[0] || s.Control.Shards != pomeloconfig.DefaultShards || s.Log.Level != pomelorelay.LevelInfo {
		t.Fatalf("defaults are missing: %+v", s)
	}
	for _, c := range []struct {
		from, to, want string
		code           pomelorelay.ResultCode
	}{
		{"Insecure: true", "Insecure: false", "settings:7: TLS: CertFile, KeyFile and AuthorityFile are not all given", pomelorelay.CodeSettingsInvalid},
		{"127.0.0.1:8081", "127.0.0.1:8082", "settings:3: Listen: two of the three addresses are the same", pomelorelay.CodeSettingsInvalid},
		{"127.0.0.1:8081", "localhost:8081", `settings:4: "localhost:8081" cannot be read; give an IP number`, pomelorelay.CodeConfigSyntax},
		{"Name: router-1, ", "", "settings:1: Host.Name: it is missing", pomelorelay.CodeSettingsInvalid},
		{"TLS:", "Control: {LedgerInterval: 5h}\nTLS:", "settings:7: Control.LedgerInterval: 5h0m0s is out of bounds", pomelorelay.CodeSettingsInvalid},
		{"TLS:", "Log: {Level: loud}\nTLS:", "settings:7: Log.Level", pomelorelay.CodeSettingsInvalid},
		{"TLS:", "Log: {Level: [info]}\nTLS:", "settings:7", pomelorelay.CodeConfigSyntax},
		{"TLS:", "Control: {StopWait: soon}\nTLS:", `settings:7: "soon" cannot be read`, pomelorelay.CodeConfigSyntax},
		{"Listen:", "Listens:", "settings:2", pomelorelay.CodeConfigUnknownField},
		{"TLS:", "Seeds: [{Name: a, Address: \"1.1.1.1:1\", FailureDomain: a, Region: r}, {Name: a, Address: \"1.1.1.1:2\", FailureDomain: a, Region: r}]\nTLS:", "settings:7: Seeds[1].Name", pomelorelay.CodeSettingsInvalid},
	} {
		_, err := pomeloconfig.ParseSettings([]byte(strings.Replace(goodSettings, c.from, c.to, 1)))
		if !pomelorelay.IsErrCode(err, c.code) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.to, err, c.want)
		}
	}
	if _, err := pomeloconfig.LoadSettings("../examples/settings/router.yaml"); err != nil {
		t.Error(err)
	}
	_, err = pomeloconfig.LoadSettings("no-such-file")
	wantCode(t, err, pomelorelay.CodeFileUnreadable)
}

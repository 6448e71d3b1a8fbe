package pomeloconfig_test

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

// minimalSettings sets only the settings that have no default.
const minimalSettings = `
Host: {Name: r1, FailureDomain: a, Region: north}
Listen: {Caller: "127.0.0.1:1", Control: "127.0.0.1:2", Operator: "127.0.0.1:3"}
Store: {Addresses: ["127.0.0.1:4"]}
TLS: {Insecure: true}
`

// inheritedDefaults maps a setting to the setting whose value it takes by default.
var inheritedDefaults = map[string]string{"HostList.Addresses": "Store.Addresses", "HostList.Timeout": "Store.Timeout"}

// collectSettings collects the formatted settings of a value by YAML path; a slice of structs is described by one element.
func collectSettings(prefix string, v reflect.Value, into map[string]string) {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct && v.Type().Elem() != reflect.TypeFor[netip.AddrPort]() {
		v = reflect.New(v.Type().Elem()).Elem()
	}
	if v.Kind() != reflect.Struct || v.Type() == reflect.TypeFor[netip.AddrPort]() {
		into[prefix] = fmt.Sprint(v.Interface())
		return
	}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		collectSettings(strings.TrimPrefix(prefix+"."+name, "."), v.Field(i), into)
	}
}

func TestSettingsPageMatchesCode(t *testing.T) {
	s, err := pomeloconfig.ParseSettings([]byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	inCode := make(map[string]string)
	collectSettings("", reflect.ValueOf(s), inCode)
	// minimalSettings sets TLS.Insecure so that no key files are needed; the default of TLS.Insecure is false.
	inCode["TLS.Insecure"] = "false"
	page, err := os.ReadFile("../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	onPage := make(map[string]string)
	for _, row := range regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| ([^|]+) \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		onPage[row[1]] = row[2]
	}
	for name, value := range inCode {
		stated, ok := onPage[name]
		switch {
		case !ok:
			t.Errorf("%s has no row on the settings page", name)
		case inheritedDefaults[name] != "" && stated == inheritedDefaults[name]:
		case strings.HasPrefix(stated, "required"):
			if !isRequired(name) {
				t.Errorf("%s is not required", name)
			}
		case stated != value:
			t.Errorf("%s: the page has default %s, the code has %s", name, stated, value)
		}
		delete(onPage, name)
	}

	for name := range onPage {
		t.Errorf("the page has %s, which is not a setting", name)
	}
}

// isRequired reports whether settings without the value are invalid.
func isRequired(name string) bool {
	section, field, _ := strings.Cut(name, ".")
	if section == "Seeds" {
		_, err := pomeloconfig.ParseSettings([]byte(minimalSettings + "Seeds: [{}]\n"))
		return err != nil && strings.Contains(err.Error(), "Seeds[0]."+field)
	}
	if section == "TLS" {
		_, err := pomeloconfig.ParseSettings([]byte(strings.Replace(minimalSettings, "TLS: {Insecure: true}", "", 1)))
		return err != nil && strings.Contains(err.Error(), field)
	}
	text := regexp.MustCompile(field+`: ("[^"]*"|\[[^\]]*\]|\w+)`).ReplaceAllString(minimalSettings, field+": ")
	_, err := pomeloconfig.ParseSettings([]byte(text))
	return err != nil
}

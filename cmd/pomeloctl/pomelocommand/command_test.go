package pomelocommand_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomeloctl/pomelocommand"
)

const (
	jewellersAnswers = "../../../examples/answers/jewellers.yaml"
	hearthwayAnswers = "../../../examples/answers/hearthway.yaml"
)

// fakePlatform serves the store's protocol and the operator port of one router that has the store's configuration in force.
type fakePlatform struct {
	mu      sync.Mutex
	records map[string]pomelorelay.Record
	// reportsPrevious makes the router report the generation of the previous configuration.
	reportsPrevious bool
	drained         bool
}

func newFakePlatform(t *testing.T) (*fakePlatform, string) {
	p := &fakePlatform{records: make(map[string]pomelorelay.Record)}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, strings.TrimPrefix(server.URL, "http://")
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, isRecord := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case r.URL.Path == "/drain" && r.Method == http.MethodPost:
		p.drained = true
	case r.URL.Path == "/status":
		fmt.Fprintf(w, `{"Node":"router-1","Domain":"recife-a","Region":"recife","Generation":%d,"Ready":true,"Members":[1,2]}`, p.generation())
	case isRecord && r.Method == http.MethodGet && p.records[key].Revision == 0:
		w.WriteHeader(http.StatusNotFound)
	case isRecord && r.Method == http.MethodGet:
		json.NewEncoder(w).Encode(p.records[key])
	case isRecord:
		p.write(w, r, key)
	}
}

func (p *fakePlatform) write(w http.ResponseWriter, r *http.Request, key string) {
	record := p.records[key]
	if r.URL.Query().Get("old") != strconv.FormatUint(uint64(record.Revision), 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	value, _ := io.ReadAll(r.Body)
	p.records[key] = pomelorelay.Record{Key: pomelorelay.StoreKey(key), Value: value, Revision: record.Revision + 1}
	fmt.Fprintf(w, `{"Revision":%d}`, record.Revision+1)
}

func (p *fakePlatform) generation() int {
	var root struct{ Generation int }
	json.Unmarshal(p.records["config/root"].Value, &root)
	if p.reportsPrevious {
		return root.Generation - 1
	}
	return root.Generation
}

// runCommand runs pomeloctl and returns its exit code, standard output and standard error.
func runCommand(args ...string) (int, string, string) {
	var out, diag bytes.Buffer
	code := pomelocommand.Run(args, strings.NewReader(""), &out, &diag)
	return code, out.String(), diag.String()
}

func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, diag := runCommand(args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d: %s", args, code, diag)
	}
	return out
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestConfigurationLifecycle(t *testing.T) {
	p, address := newFakePlatform(t)
	text := mustRun(t, "generate", "--answers", jewellersAnswers, "--answers", hearthwayAnswers)
	first := writeFile(t, text)
	mustRun(t, "check", first)
	out := mustRun(t, "apply", first, "--store", address, "--why", "first", "--author", "ana", "--wait", "--router", address)
	if !strings.Contains(out, "Generation 1,") || !strings.Contains(out, "In force on "+address) {
		t.Fatalf("apply printed %q, want generation 1 in force on %s", out, address)
	}
	second := writeFile(t, strings.Replace(text, "MaxSlots: 8", "MaxSlots: 9", 1))
	if diff := mustRun(t, "diff", second, "--store", address); !strings.Contains(diff, "MaxSlots: 8 -> 9") {
		t.Fatalf("diff printed %q, want the change of MaxSlots", diff)
	}
	mustRun(t, "apply", second, "--store", address, "--why", "one more", "--author", "bea", "--base", "1")
	if diff := mustRun(t, "diff", second, "--store", address); diff != "Nothing differs.\n" {
		t.Fatalf("diff after apply printed %q, want no difference", diff)
	}
	if shown := mustRun(t, "show", "--store", address); !strings.HasPrefix(shown, "# Generation 2,") || !strings.Contains(shown, "MaxSlots: 9") {
		t.Fatalf("show printed %q..., want generation 2 with MaxSlots 9", shown[:80])
	}
	if trail := mustRun(t, "audit", "--store", address); !strings.Contains(trail, "bea") || !strings.Contains(trail, "why: one more") || !strings.Contains(trail, "why: first") {
		t.Fatalf("audit printed %q, want the authors and reasons of both changes", trail)
	}
	if status := mustRun(t, "status", "--router", address); !strings.Contains(status, "router-1") || !strings.Contains(status, "ready") {
		t.Fatalf("status printed %q, want router-1 as ready", status)
	}
	mustRun(t, "drain", "--router", address)
	if !p.drained {
		t.Fatal("the router got no drain request")
	}
}

func TestJSONOutputIsValid(t *testing.T) {
	_, address := newFakePlatform(t)
	file := writeFile(t, mustRun(t, "generate", "--answers", jewellersAnswers))
	for _, args := range [][]string{
		{"questionnaire"}, {"generate", "--answers", jewellersAnswers}, {"check", file}, {"apply", file, "--store", address, "--why", "w"},
		{"diff", file, "--store", address}, {"show", "--store", address}, {"audit", "--store", address}, {"status", "--router", address}, {"token"},
	} {
		if out := mustRun(t, append([]string{"--output", "json"}, args...)...); !json.Valid([]byte(out)) {
			t.Errorf("%v printed %s, want valid JSON", args, out)
		}
	}
	_, _, diag := runCommand("--output", "json", "check", "no-such-file")
	var failure struct{ Code int }
	if err := json.Unmarshal([]byte(diag), &failure); err != nil || failure.Code != int(pomelorelay.CodeFileUnreadable) {
		t.Errorf("decoding the error report: %v; got %s, want code CodeFileUnreadable", err, diag)
	}
}

// Scripts act on the exit code alone, so each kind of failure needs an exit code of its own. Operators read the message, so it must
// contain the error code and advice.
func TestExitCodesDistinguishFailures(t *testing.T) {
	p, address := newFakePlatform(t)
	text := mustRun(t, "generate", "--answers", hearthwayAnswers)
	good := writeFile(t, text)
	bad := writeFile(t, strings.Replace(text, "Region: boston", "Region: nowhere", 1))
	mustRun(t, "apply", good, "--store", address, "--why", "w")
	p.reportsPrevious = true
	for _, c := range []struct {
		code int
		want string
		args []string
	}{
		{2, "1005", []string{"nonsense"}},
		{2, "1005", []string{"status", "--router", "localhost:80"}},
		{2, "2013", []string{"check", "no-such-file"}},
		{2, bad + ":", []string{"check", bad}},
		{2, "2003", []string{"apply", bad, "--store", address, "--why", "w"}},
		{3, "2005 ConfigConflict: generation 1 by", []string{"apply", good, "--store", address, "--why", "w", "--base", "7"}},
		{5, "2012", []string{"--timeout", "3s", "apply", good, "--store", address, "--why", "w", "--wait", "--router", address}},
		{6, "2014", []string{"status", "--router", "127.0.0.1:1"}},
		{6, "2100", []string{"show", "--store", "127.0.0.1:1"}},
	} {
		code, _, diag := runCommand(c.args...)
		if code != c.code || !strings.Contains(diag, c.want) || !strings.Contains(diag, "What to do:") {
			t.Errorf("%v: exit code %d, want %d with %q: %s", c.args, code, c.code, c.want, diag)
		}
	}
	if code, _, _ := runCommand("--help"); code != 0 {
		t.Errorf("--help has exit code %d, want 0", code)
	}
}

// Guards against an evacuation that is missing from the audit trail, changes anything else, or cannot be cancelled.
func TestEvacuateAndCancel(t *testing.T) {
	_, address := newFakePlatform(t)
	file := writeFile(t, mustRun(t, "generate", "--answers", jewellersAnswers))
	mustRun(t, "apply", file, "--store", address, "--why", "first")
	out := mustRun(t, "evacuate", "recife-a", "--store", address, "--why", "power work", "--author", "ana", "--wait", "--router", address)
	if !strings.Contains(out, "recife-a gets nothing new") || !strings.Contains(out, "Generation 2,") || !strings.Contains(out, "In force on "+address) {
		t.Fatalf("evacuate printed %q, want generation 2 in force on %s", out, address)
	}
	if shown := mustRun(t, "show", "--store", address); strings.Count(shown, "Evacuated:") != 1 {
		t.Fatalf("show printed %q, want one evacuated failure domain", shown)
	}
	if trail := mustRun(t, "audit", "--store", address); !strings.Contains(trail, "why: power work") {
		t.Fatalf("audit printed %q, want the reason of the evacuation", trail)
	}
	for _, args := range [][]string{{"recife-a"}, {"nowhere"}, {"salvador-a", "--cancel"}} {
		if code, _, diag := runCommand(append([]string{"evacuate", "--store", address, "--why", "w"}, args...)...); code == 0 || !strings.Contains(diag, fmt.Sprint(int(pomelorelay.CodeConfigInvalid))) {
			t.Errorf("evacuate %v: exit code %d, %s; want a failure with CodeConfigInvalid", args, code, diag)
		}
	}
	mustRun(t, "evacuate", "recife-a", "--cancel", "--store", address, "--why", "power is back")
	if diff := mustRun(t, "diff", file, "--store", address); diff != "Nothing differs.\n" {
		t.Fatalf("diff after the cancelled evacuation printed %q, want no difference", diff)
	}
}

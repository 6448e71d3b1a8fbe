package pomelobounds_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelobounds"
)

const output = `goos: linux
pkg: example.org/pomeloslot
BenchmarkGrant-12    	  1000	       412.5 ns/op	       1 allocs/op
BenchmarkTable/Seed1-12 	     1	 9 ns/op	 8.25 gap-median	 0.9991 utilisation
PASS
pkg: example.org/pomelofair
BenchmarkGrant-12    	  1000	       412.5 ns/op	       7 allocs/op
`

func TestCompare(t *testing.T) {
	runs, err := pomelobounds.ParseRuns(strings.NewReader(output))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, bound string
		met         bool
	}{
		{"at the bound", "{Package: pomeloslot, Benchmark: BenchmarkGrant, Metric: allocs/op, Most: 1}", true},
		{"over the bound", "{Package: pomelofair, Benchmark: BenchmarkGrant, Metric: allocs/op, Most: 1}", false},
		{"within both limits", "{Package: pomeloslot, Benchmark: BenchmarkTable/Seed1, Metric: gap-median, Least: 1, Most: 9}", true},
		{"below the minimum", "{Package: pomeloslot, Benchmark: BenchmarkTable/Seed1, Metric: utilisation, Least: 0.9995}", false},
		{"a benchmark that did not run", "{Package: pomeloslot, Benchmark: BenchmarkGone, Metric: allocs/op, Most: 1}", false},
		{"a metric that is not reported", "{Package: pomeloslot, Benchmark: BenchmarkGrant, Metric: B/op, Most: 1}", false},
	} {
		file := write(t, "Bounds:\n- "+c.bound+"\n")
		bounds, err := pomelobounds.Read(file)
		if err != nil {
			t.Fatal(err)
		}
		if v := bounds.Compare(runs)[0]; v.Met != c.met {
			t.Errorf("bound %s: got verdict %v, want the opposite", c.name, v)
		}
	}
}

func TestBoundWithoutLimitIsRejected(t *testing.T) {
	// A bound without a limit, for instance because its key is misspelt, would be met by every run without checking anything.
	for _, text := range []string{"{Package: a, Benchmark: b, Metric: c}", "{Package: a, Benchmark: b, Metric: c, Mots: 1}"} {
		if _, err := pomelobounds.Read(write(t, "Bounds:\n- "+text+"\n")); !pomelorelay.IsErrCode(err, pomelorelay.CodeBenchPlan) {
			t.Errorf("bound %s: got error %v, want CodeBenchPlan", text, err)
		}
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "bounds.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

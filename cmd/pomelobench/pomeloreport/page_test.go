package pomeloreport_test

import (
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloreport"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

func testReport() pomeloload.Report {
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	pool := pomelorelay.PoolID("booking")
	report := pomeloload.Report{
		Faults:     []pomeloload.FaultMark{{At: start.Add(3 * time.Second), Text: "kill r3"}},
		Violations: []pomelocheck.Violation{{Kind: pomelocheck.CutOff, Subject: "a1", At: start, Detail: "cut off by <r2>"}},
		Result:     pomeloload.Result{CutOff: 1, Pools: []pomeloload.PoolResult{{Pool: pool, FairnessBound: 10}}},
	}
	for n := 1; n <= 5; n++ {
		report.Samples = append(report.Samples, pomeloload.Sample{
			Second: n, At: start.Add(time.Duration(n) * time.Second),
			Gaps: map[pomelorelay.PoolID]pomelorelay.Tag{pool: pomelorelay.Tag(n)},
		})
	}
	return report
}

func TestPageShowsPlotsFaultsAndViolations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.html")
	if err := pomeloreport.Write(path, "A <run>", testReport()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, want := range []string{"A &lt;run&gt;", "Failed checks", "CutOff", "cut off by &lt;r2&gt;", "kill r3"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n != 5 {
		t.Errorf("%d plots, want 5", n)
	}
	checkPlots(t, page)
}

// checkPlots fails when a plot is not well-formed XML, since browsers do not show such a plot.
func checkPlots(t *testing.T, page string) {
	t.Helper()
	for _, rest := range strings.Split(page, "<svg")[1:] {
		svg, _, _ := strings.Cut(rest, "</svg>")
		decoder := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>"))
		for {
			if _, err := decoder.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestUnwritablePathIsReported(t *testing.T) {
	err := pomeloreport.Write(filepath.Join(t.TempDir(), "missing", "report.html"), "", testReport())
	if !pomelorelay.IsErrCode(err, pomelorelay.CodeBenchRecord) {
		t.Errorf("got error %v, want CodeBenchRecord", err)
	}
}

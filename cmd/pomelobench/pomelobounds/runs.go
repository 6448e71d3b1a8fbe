package pomelobounds

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
)

// Run is one result line of go test -bench.
type Run struct {
	// Package is the last element of the import path.
	Package   string
	Benchmark string
	Metrics   map[string]float64
}

// Runs are the result lines of one or more invocations of go test -bench.
type Runs []Run

// processorSuffix matches the number of processors that go test appends to a benchmark's name.
var processorSuffix = regexp.MustCompile(`-\d+$`)

// ReadRuns parses a file with the output of go test -bench; it fails as ParseRuns does, or when the file cannot be opened.
func ReadRuns(name string) (Runs, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeBenchRecord, "open benchmark output", err)
	}
	defer file.Close()
	return ParseRuns(file)
}

// ParseRuns parses the output of go test -bench; it fails with CodeBenchRecord on a result line that it cannot parse.
func ParseRuns(r io.Reader) (Runs, error) {
	var runs Runs
	pkg := ""
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if name, found := strings.CutPrefix(lines.Text(), "pkg: "); found {
			pkg = path.Base(name)
			continue
		}
		run, found, err := parseLine(lines.Text())
		if err != nil {
			return nil, err
		}
		if found {
			run.Package = pkg
			runs = append(runs, run)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, pomelorelay.NewError(pomelorelay.CodeBenchRecord, "read benchmark output", err)
	}
	return runs, nil
}

// parseLine parses a line such as "BenchmarkName-8  100  12.5 ns/op  0 allocs/op"; it returns false for other lines.
func parseLine(line string) (Run, bool, error) {
	words := strings.Fields(line)
	if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
		return Run{}, false, nil
	}
	run := Run{Benchmark: processorSuffix.ReplaceAllString(words[0], ""), Metrics: make(map[string]float64)}
	for i := 2; i+1 < len(words); i += 2 {
		value, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return Run{}, false, pomelorelay.NewError(pomelorelay.CodeBenchRecord, fmt.Sprintf("parse benchmark line %q", line), err)
		}
		run.Metrics[words[i+1]] = value
	}
	return run, true, nil
}

// Mean returns a metric's mean over the runs of a benchmark; it fails when no run reports the metric.
func (runs Runs) Mean(benchmark, metric string) (float64, error) {
	sum, n := 0.0, 0.0
	for _, run := range runs {
		if value, found := run.Metrics[metric]; found && run.Benchmark == benchmark {
			sum += value
			n++
		}
	}
	if n == 0 {
		return 0, errors.Errorf("no run of %s reports %s", benchmark, metric)
	}
	return sum / n, nil
}

package pomelobounds

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pomelorelay/pomelorelay"

	"github.com/goccy/go-yaml"
)

// Bound is the allowed range of one metric of a benchmark; Min or Max may be nil, but not both.
type Bound struct {
	Package   string   `yaml:"Package"`
	Benchmark string   `yaml:"Benchmark"`
	Metric    string   `yaml:"Metric"`
	Min       *float64 `yaml:"Least,omitempty"`
	Max       *float64 `yaml:"Most,omitempty"`
}

// File is the content of a bounds file.
type File struct {
	Bounds []Bound `yaml:"Bounds"`
}

// Read reads a bounds file; it fails with CodeBenchPlan when the file is invalid or a bound has neither Least nor Most.
func Read(name string) (File, error) {
	var f File
	data, err := os.ReadFile(name)
	if err != nil {
		return f, pomelorelay.NewError(pomelorelay.CodeBenchPlan, "read bounds", err)
	}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&f); err != nil {
		return f, pomelorelay.NewError(pomelorelay.CodeBenchPlan, "decode bounds", err)
	}
	for _, b := range f.Bounds {
		if b.Min == nil && b.Max == nil {
			return f, pomelorelay.NewError(pomelorelay.CodeBenchPlan, b.label()+" has neither Least nor Most", nil)
		}
	}
	return f, nil
}

func (b Bound) label() string { return b.Package + " " + b.Benchmark + " " + b.Metric }

// Verdict is a bound with the measured values.
type Verdict struct {
	Bound Bound
	// Values are the measured values, one per run of the benchmark that reported the metric; if there are none, Met is false.
	Values []float64
	Met    bool
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	state := "ok        "
	if !v.Met {
		state = "VIOLATED  "
	}
	text := state + v.Bound.label() + ":"
	if len(v.Values) == 0 {
		return text + " not measured"
	}
	for _, value := range v.Values {
		text += fmt.Sprintf(" %g", value)
	}
	if v.Bound.Min != nil {
		text += fmt.Sprintf(", at least %g", *v.Bound.Min)
	}
	if v.Bound.Max != nil {
		text += fmt.Sprintf(", at most %g", *v.Bound.Max)
	}
	return text
}

// Compare checks every bound against all runs; a bound without a measured value is not met.
func (f File) Compare(runs Runs) []Verdict {
	var verdicts []Verdict
	for _, b := range f.Bounds {
		v := Verdict{Bound: b}
		for _, run := range runs {
			if value, found := run.Metrics[b.Metric]; found && run.Package == b.Package && run.Benchmark == b.Benchmark {
				v.Values = append(v.Values, value)
			}
		}
		v.Met = len(v.Values) > 0
		for _, value := range v.Values {
			v.Met = v.Met && (b.Min == nil || value >= *b.Min) && (b.Max == nil || value <= *b.Max)
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

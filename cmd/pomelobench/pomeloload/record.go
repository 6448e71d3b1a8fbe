package pomeloload

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// recordLine is one line of a record; exactly one field is set.
type recordLine struct {
	Sample    *Sample                `json:",omitempty"`
	Fault     *FaultMark             `json:",omitempty"`
	Violation *pomelocheck.Violation `json:",omitempty"`
	Result    *Result                `json:",omitempty"`
}

// WriteRecord writes a report as JSON lines, the result last; it fails with CodeBenchRecord.
func WriteRecord(path string, report Report) error {
	file, err := os.Create(path)
	if err != nil {
		return recordError(path, err)
	}
	if err := writeLines(file, report); err != nil {
		_ = file.Close()
		return recordError(path, err)
	}
	if err := file.Close(); err != nil {
		return recordError(path, err)
	}
	return nil
}

func recordError(path string, cause error) error {
	return pomelorelay.NewError(pomelorelay.CodeBenchRecord, path, cause)
}

func writeLines(w io.Writer, report Report) error {
	encoder := json.NewEncoder(w)
	var lines []recordLine
	for i := range report.Samples {
		lines = append(lines, recordLine{Sample: &report.Samples[i]})
	}
	for i := range report.Faults {
		lines = append(lines, recordLine{Fault: &report.Faults[i]})
	}
	for i := range report.Violations {
		lines = append(lines, recordLine{Violation: &report.Violations[i]})
	}
	lines = append(lines, recordLine{Result: &report.Result})
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// ReadRecord reads a report written by WriteRecord. It fails with CodeBenchRecord, including for the record of an aborted run, which
// contains no result.
func ReadRecord(path string) (Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return Report{}, recordError(path, err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var report Report
	for {
		var line recordLine
		if err := decoder.Decode(&line); err != nil {
			return Report{}, recordError(path, err)
		}
		if line.Result != nil {
			report.Result = *line.Result
			return report, nil
		}
		report.add(line)
	}
}

func (report *Report) add(line recordLine) {
	if line.Sample != nil {
		report.Samples = append(report.Samples, *line.Sample)
	}
	if line.Fault != nil {
		report.Faults = append(report.Faults, *line.Fault)
	}
	if line.Violation != nil {
		report.Violations = append(report.Violations, *line.Violation)
	}
}

package pomeloload

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// recordLine is one line of a record; one of its fields is set.
type recordLine struct {
	Sample    *Sample                `json:",omitempty"`
	Fault     *FaultMark             `json:",omitempty"`
	Violation *pomelocheck.Violation `json:",omitempty"`
	Result    *Result                `json:",omitempty"`
}

// WriteRecord writes what a run showed as JSON lines, the result last; it fails with CodeBenchRecord.
func WriteRecord(path string, j Judgement) error {
	file, err := os.Create(path)
	if err != nil {
		return recordError(path, err)
	}
	if err := writeLines(file, j); err != nil {
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

func writeLines(w io.Writer, j Judgement) error {
	encoder := json.NewEncoder(w)
	var lines []recordLine
	for i := range j.Samples {
		lines = append(lines, recordLine{Sample: &j.Samples[i]})
	}
	for i := range j.Faults {
		lines = append(lines, recordLine{Fault: &j.Faults[i]})
	}
	for i := range j.Violations {
		lines = append(lines, recordLine{Violation: &j.Violations[i]})
	}
	lines = append(lines, recordLine{Result: &j.Result})
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// ReadRecord reads a record; it fails with CodeBenchRecord, also when the result is missing since the run broke off.
func ReadRecord(path string) (Judgement, error) {
	file, err := os.Open(path)
	if err != nil {
		return Judgement{}, recordError(path, err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var j Judgement
	for {
		var line recordLine
		if err := decoder.Decode(&line); err != nil {
			return Judgement{}, recordError(path, err)
		}
		if line.Result != nil {
			j.Result = *line.Result
			return j, nil
		}
		j.take(line)
	}
}

func (j *Judgement) take(line recordLine) {
	if line.Sample != nil {
		j.Samples = append(j.Samples, *line.Sample)
	}
	if line.Fault != nil {
		j.Faults = append(j.Faults, *line.Fault)
	}
	if line.Violation != nil {
		j.Violations = append(j.Violations, *line.Violation)
	}
}

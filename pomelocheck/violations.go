package pomelocheck

import (
	"fmt"
	"time"
)

// Kind names what did not hold.
type Kind string

// The kinds of violation.
const (
	GapOverBound      Kind = "GapOverBound"
	Starved           Kind = "Starved"
	WrongAnswer       Kind = "WrongAnswer"
	FalseNotRun       Kind = "FalseNotRun"
	DoubleRun         Kind = "DoubleRun"
	NewWorkAfterLeave Kind = "NewWorkAfterLeave"
	CutOff            Kind = "CutOff"
	GenerationFell    Kind = "GenerationFell"
	GenerationLate    Kind = "GenerationLate"
	HeldBack          Kind = "HeldBack"
)

// Violation is one observation that contradicts what must hold.
type Violation struct {
	Kind Kind
	// Subject names the attempt, content, account, upstream or router that it is about.
	Subject string
	At      time.Time
	Detail  string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s at %s: %s", v.Kind, v.Subject, v.At.Format(time.RFC3339Nano), v.Detail)
}

// Count returns how many of the violations are of the kind.
func Count(violations []Violation, kind Kind) int {
	n := 0
	for _, v := range violations {
		if v.Kind == kind {
			n++
		}
	}
	return n
}

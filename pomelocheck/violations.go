package pomelocheck

import (
	"fmt"
	"time"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
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

// Violation is one violated invariant.
type Violation struct {
	Kind Kind
	// Subject is the ID of the attempt, request (its ContentID), account, upstream, router or pool concerned.
	Subject string
	At      time.Time
	Detail  string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s at %s: %s", v.Kind, v.Subject, v.At.Format(time.RFC3339Nano), v.Detail)
}

// Count returns the number of violations of the given kind.
func Count(violations []Violation, kind Kind) int {
	n := 0
	for _, v := range violations {
		if v.Kind == kind {
			n++
		}
	}
	return n
}

// Package finding is a list of diagnostics: the problems found in an input, with
// their places, which are all reported in one error.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is the position of a Finding in an input.
type Place struct {
	// File is the path of a file or, for other inputs, the name of a part of the
	// input, such as "body".
	File string
	// Line starts at 1. It is 0 if the place is the whole file.
	Line int
	// Column is in bytes and starts at 1. It is 0 if the place is the whole line.
	Column int
}

// String returns the place in the form file:line:column, without a column or line
// of 0.
func (p Place) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.Column == 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
}

// Finding is a problem in an input.
type Finding struct {
	Place Place
	// Problem describes the problem in one sentence without a full stop.
	Problem string
	// Advice suggests a correction. It may be empty.
	Advice string
}

// String returns the finding as one line.
func (f Finding) String() string {
	text := f.Problem
	if f.Place != (Place{}) {
		text = f.Place.String() + ": " + text
	}
	if f.Advice != "" {
		text += "; " + f.Advice
	}
	return text
}

// List holds the findings in one input. The zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(place Place, problem, advice string) {
	l.findings = append(l.findings, Finding{Place: place, Problem: problem, Advice: advice})
}

// Append appends all findings of other.
func (l *List) Append(other List) {
	l.findings = append(l.findings, other.findings...)
}

// Len returns the number of findings.
func (l *List) Len() int {
	return len(l.findings)
}

// All returns a copy of the findings, sorted by file, line and column.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return placeBefore(sorted[i].Place, sorted[j].Place)
	})
	return sorted
}

// Err returns nil if the list is empty, and otherwise an error of type *Error with
// all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is an error with all findings in an input.
type Error struct {
	// Findings is sorted by place and not empty.
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func placeBefore(a, b Place) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

// Package finding collects what is wrong with an input, each with its place, so
// that the whole is reported at once (diagnostics).
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is where in an input a Finding was made.
type Place struct {
	// File is a path, or the name of a part of an input that is no file, such
	// as "body".
	File string
	// Line counts from 1. It is 0 if the place is the whole file.
	Line int
	// Column counts from 1 in bytes. It is 0 if the place is the whole line.
	Column int
}

// String returns the place in the form file:line:column.
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

// Finding is one thing that is wrong with an input.
type Finding struct {
	Place Place
	// Problem says what is wrong, in one sentence without a full stop.
	Problem string
	// Advice says what to write instead. It may be empty.
	Advice string
}

// String returns the finding as one line.
func (f Finding) String() string {
	line := f.Problem
	if f.Place != (Place{}) {
		line = f.Place.String() + ": " + line
	}
	if f.Advice != "" {
		line += "; " + f.Advice
	}
	return line
}

// List is the findings made in one input. The zero value is an empty list.
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
		return before(sorted[i].Place, sorted[j].Place)
	})
	return sorted
}

// Err returns nil if the list is empty, and otherwise an error of type *Error
// that reports every finding.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error reports every finding made in an input.
type Error struct {
	// Findings is not empty and is sorted by place.
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

func before(a, b Place) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

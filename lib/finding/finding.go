// Package finding collects problems with their locations, so that all problems
// of an input are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem of an input.
type Finding struct {
	// File is the name of the input; it may be empty.
	File string `json:"file,omitempty"`
	// Line is the line number, starting at 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Key is the path of the offending value, such as services[2].profile.
	Key string `json:"key,omitempty"`
	// Problem describes what is wrong and what is expected.
	Problem string `json:"problem"`
}

// String returns the finding as file:line: key: problem, or as line N: key:
// problem if the input has no name.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	} else if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// List is a collection of findings. The zero value is ready to use.
type List struct {
	Findings []Finding
}

// Add appends a finding for a key.
func (l *List) Add(key, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{Key: key, Problem: fmt.Sprintf(format, args...)})
}

// AddAt appends a finding with file, line and key.
func (l *List) AddAt(file string, line int, key, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{File: file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Err returns nil if there are no findings and an *Error otherwise.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings}
}

// Error reports all findings of an input.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

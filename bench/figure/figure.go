// Package figure prints the figures that a benchmark measured, one per line, and
// compares them with their targets.
package figure

import (
	"fmt"
	"io"
	"strings"
)

// Bound is the target of a figure.
type Bound struct {
	// Text describes the target, such as "at most 2".
	Text string
	// Met reports whether a value meets the target; nil means no target.
	Met func(value float64) bool
}

// AtMost returns the target that a value is not above limit.
func AtMost(limit float64) Bound {
	return Bound{Text: fmt.Sprintf("at most %g", limit), Met: func(v float64) bool { return v <= limit }}
}

// AtLeast returns the target that a value is not below limit.
func AtLeast(limit float64) Bound {
	return Bound{Text: fmt.Sprintf("at least %g", limit), Met: func(v float64) bool { return v >= limit }}
}

// NoBound is for figures without a target.
var NoBound = Bound{}

// Report prints figures and records which of them missed their target.
type Report struct {
	out    io.Writer
	missed []string
}

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report { return &Report{out: out} }

// Add prints a figure and compares it with its target. The unit "ratio" stands
// for a dimensionless value.
func (r *Report) Add(name string, value float64, unit string, bound Bound) {
	line := fmt.Sprintf("figure %s %.4g %s", name, value, unit)
	if bound.Met != nil {
		verdict := "met"
		if !bound.Met(value) {
			verdict = "MISSED"
			r.missed = append(r.missed, name)
		}
		line += fmt.Sprintf(" (%s: %s)", bound.Text, verdict)
	}
	_, _ = fmt.Fprintln(r.out, line)
}

// Note prints a formatted remark on a line of its own.
func (r *Report) Note(format string, args ...any) {
	_, _ = fmt.Fprintln(r.out, "note "+strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// Missed returns the names of the figures that missed their target.
func (r *Report) Missed() []string { return r.missed }

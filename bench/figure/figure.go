// Package figure prints what a benchmark measured, one line a figure, and
// compares it with its target.
package figure

import (
	"fmt"
	"io"
	"strings"
)

// Bound is a target of a figure.
type Bound struct {
	// Text says what is aimed at, such as "at most 2".
	Text string
	// Met tells whether a value reaches the target; nil means no target.
	Met func(value float64) bool
}

// AtMost is the target that a value does not exceed limit.
func AtMost(limit float64) Bound {
	return Bound{Text: fmt.Sprintf("at most %g", limit), Met: func(v float64) bool { return v <= limit }}
}

// AtLeast is the target that a value reaches limit.
func AtLeast(limit float64) Bound {
	return Bound{Text: fmt.Sprintf("at least %g", limit), Met: func(v float64) bool { return v >= limit }}
}

// NoBound is for figures without a target.
var NoBound = Bound{}

// Report prints figures and remembers which missed their target.
type Report struct {
	out    io.Writer
	missed []string
}

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report { return &Report{out: out} }

// Add prints a figure. The unit "ratio" marks a value without a dimension.
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

// Note prints a remark beside the figures.
func (r *Report) Note(format string, args ...any) {
	_, _ = fmt.Fprintln(r.out, "note "+strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// Missed returns the names of the figures that missed their target.
func (r *Report) Missed() []string { return r.missed }

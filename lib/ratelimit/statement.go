// Package ratelimit keeps the rates of requests that upstreams state for all
// processes together, and divides each among the processes. It performs no I/O and
// has no clock.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Kind says whether an answer states a limit.
type Kind uint8

// The kinds of statement.
const (
	// None means that the answer states no limit.
	None Kind = iota
	// Stated means that the answer states a limit.
	Stated
	// Unreadable means that the answer states a limit that cannot be parsed. The
	// upstream is in need, so that it does not end an earlier limit.
	Unreadable
)

// Statement is what one answer of an upstream says about its limit.
type Statement struct {
	Kind Kind
	// PerSecond is the number of requests per second that the upstream takes from
	// all processes together.
	PerSecond float64
}

// maxPerSecond bounds the limits that are told apart; greater ones count as this.
const maxPerSecond = 1e6

// Parse returns the statement of the values of a header: the lowest of those that
// can be parsed as a finite number that is not negative.
func Parse(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	s := Statement{Kind: Unreadable}
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || !ValidRate(n) {
			continue
		}
		if n = min(n, maxPerSecond); s.Kind == Unreadable || n < s.PerSecond {
			s = Statement{Kind: Stated, PerSecond: n}
		}
	}
	return s
}

// ValidRate reports whether a number is finite and not negative.
func ValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// String returns the statement as logs show it.
func (s Statement) String() string {
	switch s.Kind {
	case Stated:
		return strconv.FormatFloat(s.PerSecond, 'g', -1, 64)
	case Unreadable:
		return "unreadable"
	}
	return "none"
}

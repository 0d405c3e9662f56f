package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that is ignored, or that stops all traffic, because the
// upstream wrote a value that is no rate or wrote several.
func TestStatementsOfUnusualHeaders(t *testing.T) {
	stated := func(n float64) Statement { return Statement{Kind: Stated, PerSecond: n} }
	unreadable := Statement{Kind: Unreadable}
	cases := []struct {
		values []string
		want   Statement
	}{
		{nil, Statement{}},
		{[]string{"4.25"}, stated(4.25)},
		{[]string{" 3 "}, stated(3)},
		{[]string{"0"}, stated(0)},
		{[]string{"1e300"}, stated(maxPerSecond)},
		{[]string{"-1"}, unreadable},
		{[]string{"NaN"}, unreadable},
		{[]string{"+Inf"}, unreadable},
		{[]string{""}, unreadable},
		{[]string{"4,5"}, unreadable},
		{[]string{"9", "2.5"}, stated(2.5)},
		{[]string{"x", "7"}, stated(7)},
		{[]string{"x", "-3"}, unreadable},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Parse(c.values), "%q", c.values)
	}
}

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// Guards against a count that an upstream did not state readably and that is taken for no
// load, which would draw requests to a full engine.
func TestUnknownCountsDoNotLowerTheLoad(t *testing.T) {
	u := &upstream{Upstream: &published.Upstream{Slots: 4}}
	u.observe(start, Observation{Load: &Load{Running: UnknownCount, Waiting: UnknownCount, Slots: 4, Slowdown: 2}})
	require.Zero(t, u.load(start), "nothing is known yet")
	u.observe(start, Observation{Load: &Load{Running: 3, Waiting: 1, Slots: 4}})
	require.Equal(t, 4, u.load(start))
	u.observe(start, Observation{Load: &Load{Running: UnknownCount, Waiting: 0, Slots: 4}})
	require.Equal(t, 4, u.load(start), "the running requests are unknown")
	u.observe(start, Observation{Load: &Load{Running: 2, Waiting: UnknownCount, Slots: 4}})
	require.Equal(t, 4, u.load(start), "more may wait")
	u.observe(start, Observation{Load: &Load{Running: 6, Waiting: UnknownCount, Slots: 8}})
	require.Equal(t, 6, u.load(start), "at least these run")
	u.observe(start, Observation{Load: &Load{Running: 1, Slots: 4}})
	require.Equal(t, 1, u.load(start))

	later := start.Add(loadReportTTL + time.Millisecond)
	u.observe(later, Observation{Load: &Load{Running: 3, Waiting: UnknownCount, Slots: 4}})
	require.Equal(t, 3, u.load(later), "the earlier load is too old to count")
}

// Guards against an unreadable number of slots that makes a refusal by a full upstream look
// unexplained, and against an unknown number of requests that makes a refusal look explained.
func TestFullUpstreamWithUnknownCounts(t *testing.T) {
	u := &upstream{Upstream: &published.Upstream{Slots: 4}}
	for _, c := range []struct {
		load Load
		full bool
	}{
		{Load{Running: 4, Slots: UnknownCount}, true},
		{Load{Running: 3, Slots: UnknownCount}, false},
		{Load{Running: UnknownCount, Waiting: 2, Slots: UnknownCount}, false},
		{Load{Running: UnknownCount, Waiting: UnknownCount, Slots: 0}, false},
	} {
		u.observe(start, Observation{Load: &c.load})
		assert.Equal(t, c.full, u.statedFull, c.load.String())
	}
}

// Guards against log lines that show an unknown count as a number, and against lines that
// change for upstreams that state no speed.
func TestLoadInLogs(t *testing.T) {
	for text, load := range map[string]*Load{
		"unknown":    nil,
		"3+1/8":      {Running: 3, Waiting: 1, Slots: 8},
		"3+1/8*2.5":  {Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5},
		"?+1/?*0.87": {Running: UnknownCount, Waiting: 1, Slots: UnknownCount, Slowdown: 0.87},
	} {
		assert.Equal(t, text, load.String())
	}
}

package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261204") }

var (
	start = time.Unix(1000, 0)
	key   = Key{ID: "a", StartTime: 1}
)

func stated(perSecond float64) Statement { return Statement{Kind: Stated, PerSecond: perSecond} }

// limitAt returns the limit of an upstream, or zero if it has none.
func limitAt(t *Table, now time.Time) Limit {
	l, _ := t.Limit(now, key)
	return l
}

// Guards against a limit that ends because answers overtake each other: only an answer
// to a request that was sent after the limit was stated can end it.
func TestOvertakenAnswerEndsNoLimit(t *testing.T) {
	table := NewTable()
	require.True(t, table.Observe(start, start, key, stated(4)))
	require.False(t, table.Observe(start.Add(time.Second), start, key, Statement{}))
	require.Equal(t, Limit{PerSecond: 4, Factor: 1}, limitAt(table, start.Add(time.Second)))
	require.True(t, table.Observe(start.Add(2*time.Second), start.Add(time.Second), key, Statement{}))
	require.Equal(t, Limit{PerSecond: 4, Factor: 2}, limitAt(table, start.Add(2*time.Second)))
}

// Guards against a wave of requests at the end of a limit, and against a limit that
// never ends.
func TestLimitRisesStepByStepAfterItsEnd(t *testing.T) {
	table := NewTable()
	table.Observe(start, start, key, stated(4))
	table.Observe(start.Add(time.Second), start.Add(time.Millisecond), key, Statement{})
	end := start.Add(time.Second)
	for i, factor := range []int{2, 4, 8, 16, 0} {
		require.Equal(t, factor, limitAt(table, end.Add(time.Duration(i)*rampStep)).Factor)
	}
}

// Guards against a limit that ends because an answer states it in a way that cannot be
// parsed, and against a later start of the upstream that is taken to be in need.
func TestUnreadableStatementAndLaterStart(t *testing.T) {
	table := NewTable()
	require.False(t, table.Observe(start, start, key, Statement{Kind: Unreadable}))
	table.Observe(start, start, key, stated(4))
	require.False(t, table.Observe(start.Add(time.Second), start.Add(time.Millisecond), key, Statement{Kind: Unreadable}))
	require.Equal(t, 1, limitAt(table, start.Add(time.Second)).Factor)
	_, ok := table.Limit(start, Key{ID: key.ID, StartTime: 2})
	require.False(t, ok)
}

// Guards against a report that a paused process sends or reads late: it must not bring
// back what has changed since, and a process that has just started must not take the end
// of an earlier limit for one that ends now.
func TestLateReportsChangeNothing(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(start, start, key, stated(4))
	late := a.Reports()
	require.True(t, b.Merge(start, late))
	b.Observe(start.Add(time.Second), start.Add(time.Millisecond), key, Statement{})
	require.False(t, b.Merge(start.Add(5*time.Second), late))
	_, ok := b.Limit(start.Add(5*time.Second), key)
	require.False(t, ok)
	ended := NewTable()
	ended.Merge(start.Add(5*time.Second), b.Reports())
	_, ok = ended.Limit(start.Add(5*time.Second), key)
	require.False(t, ok)
	require.Equal(t, 1, a.Active())
	a.Merge(start.Add(5*time.Second), b.Reports())
	require.Zero(t, a.Active())
}

// Guards against processes that go on to disagree about a limit: whatever each observes
// and however late reports arrive, all hold the same once nothing changes and all have
// heard from each other.
func TestTablesAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := start
		var delayed [][]Report
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(t, "process")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.Observe(now, now, key, stated(float64(rapid.IntRange(1, 5).Draw(t, "limit"))))
			case 1:
				table.Observe(now, now, key, Statement{})
			case 2:
				delayed = append(delayed, table.Reports())
			case 3:
				for _, r := range delayed {
					table.Merge(now, r)
				}
			}
		}
		for range 3 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(now, from.Reports())
				}
			}
		}
		now = now.Add(rampTime)
		for _, other := range tables[1:] {
			require.Equal(t, limitAt(tables[0], now), limitAt(other, now))
		}
	})
}

// Guards against messages that grow with the number of upstreams in need, and against
// one whose changes are never reported.
func TestReportsAreBounded(t *testing.T) {
	a, b := NewTable(), NewTable()
	const upstreams = 200
	for i := range upstreams {
		a.Observe(start, start, Key{ID: fleet.InstanceID(rune('a' + i)), StartTime: 1}, stated(3))
	}
	for range messagesPerChange * (upstreams/maxChanges + 1) {
		reports := a.Reports()
		require.LessOrEqual(t, len(reports), MaxReports)
		b.Merge(start, reports)
	}
	require.Equal(t, upstreams, b.Active())
	started := NewTable()
	for range messagesPerRepeat * upstreams / maxRepeats {
		started.Merge(start, a.Reports())
	}
	require.Equal(t, upstreams, started.Active(), "a process that starts later learns all")
	require.LessOrEqual(t, len(a.Reports()), maxRepeats)
	a.Retain(start.Add(absenceTTL), func(Key) bool { return false })
	require.Zero(t, a.Active())
	require.Empty(t, a.Reports())
}

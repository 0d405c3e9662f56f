package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// delivery is a message on its way.
type delivery struct {
	at time.Time
	to *Table
	m  *Message
}

// exchangeUntil lets tables send their messages every SendInterval, with a delay of 10 ms, and
// calls check after each round until a time.
func exchangeUntil(tables map[string]*Table, from, until time.Time, check func(now time.Time)) {
	var pending []delivery
	for now := from; now.Before(until); now = now.Add(SendInterval) {
		var late []delivery
		for _, d := range pending {
			d.to.Record(d.at, d.m)
		}
		for address, t := range tables {
			m := &Message{From: address, Region: "north", Peers: t.KnownPeers(), Processes: t.StatedProcesses(now)}
			for _, target := range t.Targets(now) {
				if to := tables[target]; to != nil {
					late = append(late, delivery{at: now.Add(10 * time.Millisecond), to: to, m: m})
				}
			}
		}
		pending = late
		check(now)
	}
}

// newFleet returns the tables of a number of processes that know three seeds.
func newFleet(n int) map[string]*Table {
	name := func(i int) string { return fmt.Sprintf("gateway-%02d", i) }
	tables := map[string]*Table{}
	for i := range n {
		tables[name(i)] = NewTable(name(i), "north", []string{name(0), name(1), name(2)})
	}
	return tables
}

// Guards against a cold upstream that is flooded when many processes start at the same moment:
// each took a fourth of the budget until it had heard of the others, and heard of them one by
// one.
func TestProcessesThatStartTogetherKeepABudget(t *testing.T) {
	const total = 12
	tables := newFleet(21)
	exchangeUntil(tables, start, start.Add(2*time.Second), func(now time.Time) {
		for offset := range 64 {
			sum := 0
			for _, table := range tables {
				sum += table.Place(now).EqualPart(total, offset)
			}
			require.LessOrEqual(t, sum, total, "%s after the start", now.Sub(start))
		}
	})
	for _, table := range tables {
		require.Equal(t, 21, table.Place(start.Add(2*time.Second)).Processes)
	}
}

// Guards against a process that gets next to nothing of a budget after its restart, although
// its peers know how many share it.
func TestRestartedProcessIsToldTheNumber(t *testing.T) {
	tables := newFleet(5)
	exchangeUntil(tables, start, start.Add(2*time.Second), func(time.Time) {})
	now := start.Add(2 * time.Second)
	restarted := newFleet(5)["gateway-04"]
	tables["gateway-04"] = restarted
	require.Equal(t, unknownProcesses, restarted.Place(now).Processes)
	exchangeUntil(tables, now, now.Add(4*SendInterval), func(time.Time) {})
	require.Equal(t, 5, restarted.Place(now.Add(4*SendInterval)).Processes)
}

// Guards against a process that shares budgets with others that are not there for as long as
// it hears of none.
func TestLoneProcessTakesItsPart(t *testing.T) {
	table := NewTable("a", "north", []string{"b"})
	require.Equal(t, unknownProcesses, table.Place(start).Processes)
	require.Equal(t, 1, table.Place(start.Add(discoveryTime)).Processes)
	require.Equal(t, 1, NewTable("a", "north", []string{"a"}).Place(start).Processes, "it is the only seed")
}

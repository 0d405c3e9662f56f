package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

const (
	// contactTime is the time from the first statement of a limit after which it must
	// hold for all entries together, and tick the step of the simulated time.
	contactTime = 3 * time.Second
	tick        = 100 * time.Millisecond
)

// limitFleet is a fleet of entries that exchange messages about one upstream.
type limitFleet struct {
	t       *rapid.T
	now     time.Time
	entries []*limitEntry
	limit   ratelimit.Statement
	next    Ticket
}

// limitEntry is one entry of a limitFleet.
type limitEntry struct {
	core  *Core
	table *peering.Table
	// cutUntil is when the entry hears of the others again, disturbedAt when it last
	// was cut off or restarted.
	cutUntil    time.Time
	disturbedAt time.Time
	// demand is the number of requests that arrive at the entry in each tick.
	demand int
	sends  []time.Time
}

func newLimitFleet(t *rapid.T, entries int) *limitFleet {
	f := &limitFleet{t: t, now: start}
	for i := range entries {
		f.entries = append(f.entries, &limitEntry{demand: 1})
		f.start(i)
	}
	return f
}

// start starts an entry without any knowledge.
func (f *limitFleet) start(i int) {
	e := f.entries[i]
	name := fmt.Sprintf("entry-%d", i)
	s := settings()
	s.Self = name
	e.core, e.table = New(s), peering.NewTable(name, "north", []string{"entry-0", "entry-1"})
	v := view(deskUpstream("a", "north-a"))
	v.Upstreams[0].Slots = 1000
	e.core.Update(f.now, v)
}

// step lets the time pass by one tick: entries exchange messages and get requests, which
// the upstream answers at once.
func (f *limitFleet) step() {
	f.now = f.now.Add(tick)
	for i, e := range f.entries {
		e.table.Expire(f.now)
		demands := e.core.Demands(f.now)
		e.core.SetPeerLoads(f.now, e.table.PeerLoads(f.now), e.table.Shares(f.now, demands))
		e.core.SetSharing(f.now, e.table.Sharing(f.now))
		m := &peering.Message{From: fmt.Sprintf("entry-%d", i), Region: "north", Demands: demands, Limits: e.core.LimitReports()}
		for _, to := range f.entries {
			if to != e && !f.now.Before(e.cutUntil) && !f.now.Before(to.cutUntil) {
				to.table.Record(f.now, m)
				f.answer(to, to.core.ApplyLimits(f.now, m.Limits))
			}
		}
	}
	for _, e := range f.entries {
		f.answer(e, e.core.Tick(f.now))
		for range e.demand {
			f.next++
			f.answer(e, e.core.Arrive(f.now, f.next, Call{Host: "h", Path: "/read/1", Key: "key", TimeBudget: time.Second}))
		}
	}
}

// answer answers the requests that an entry sends, and those that it sends then.
func (f *limitFleet) answer(e *limitEntry, actions []Action) {
	for len(actions) > 0 {
		var more []Action
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				e.sends = append(e.sends, f.now)
				e.core.Observe(f.now, s.Ticket, Observation{Limit: f.limit})
				more = append(more, e.core.AttemptEnded(f.now, s.Ticket, AttemptResult{End: retry.Answered})...)
			}
		}
		actions = more
	}
}

// counted returns the times of the sends of all entries in a span, without those of
// entries that were disturbed in it or shortly before.
func (f *limitFleet) counted(from, until time.Time) int {
	n := 0
	for _, e := range f.entries {
		if !e.disturbedAt.IsZero() && e.disturbedAt.After(from.Add(-contactTime)) {
			continue
		}
		for _, at := range e.sends {
			if !at.Before(from) && at.Before(until) {
				n++
			}
		}
	}
	return n
}

// Guards against entries that together send an upstream more than the limit that it
// states: if demand moves between them, if some are restarted, and if some are cut off
// from the others and do not know what those send. Those that are not disturbed must keep
// the limit together with what the others are allowed.
func TestStatedLimitUnderSeveralEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitFleet(t, rapid.IntRange(1, 9).Draw(t, "entries"))
		for range 30 {
			f.step()
		}
		perSecond := float64(rapid.IntRange(0, 120).Draw(t, "tenths")) / 10
		f.limit = ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: perSecond}
		stated := f.now
		allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5
		for range 120 {
			e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 39).Draw(t, "event") {
			case 0:
				e.demand = rapid.IntRange(1, 4).Draw(t, "demand")
				e = nil
			case 1:
				e.cutUntil = f.now.Add(time.Duration(rapid.IntRange(1, 10000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				f.start(slices.Index(f.entries, e))
			default:
				e = nil
			}
			f.step()
			for _, other := range f.entries {
				if other == e || f.now.Before(other.cutUntil) {
					other.disturbedAt = f.now
				}
			}
			if from := f.now.Add(-limitWindow); !from.Before(stated.Add(contactTime)) {
				require.LessOrEqual(t, f.counted(from, f.now.Add(time.Nanosecond)), allowed, "limit of %v after %s", perSecond, f.now.Sub(stated))
			}
		}
	})
}

// Guards against a limit that stops an upstream's traffic altogether although its
// entries have demand, or of which little is used because none owns it.
func TestStatedLimitIsUsed(t *testing.T) {
	for _, entries := range []int{1, 4, 21} {
		f := newLimitFleet(nil, entries)
		f.limit = ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: 5}
		for range 350 {
			f.step()
		}
		from := f.now.Add(-10 * time.Second)
		require.GreaterOrEqual(t, f.counted(from, f.now), 40, "%d entries", entries)
		var late []time.Time
		for _, e := range f.entries {
			for _, at := range e.sends {
				if !at.Before(from) {
					late = append(late, at)
				}
			}
		}
		slices.SortFunc(late, time.Time.Compare)
		require.LessOrEqual(t, mostWithin(late, limitWindow), 20, "%d entries", entries)
	}
}

// Guards against a wave of requests when a limit ends, and against a limit that goes on
// at entries that own nothing of it and get no answers of the upstream.
func TestEndOfStatedLimitReachesAllEntries(t *testing.T) {
	f := newLimitFleet(nil, 6)
	f.limit = ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: 1}
	for range 100 {
		f.step()
	}
	require.Equal(t, 1, f.entries[0].core.StatedLimits())
	f.limit = ratelimit.Statement{}
	ended := f.now
	for range 100 {
		f.step()
	}
	for i, e := range f.entries {
		require.Nil(t, e.core.upstreams["a"].limit, "entry %d", i)
	}
	require.Less(t, f.counted(ended, ended.Add(2*time.Second)), 24, "the limit rises step by step")
}

// Guards against a retry, or a request under suspicion, that is sent beyond a limit.
func TestStatedLimitBindsRetries(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arrive("/stream/1")
	first := h.sent(actions).Upstream
	for _, id := range []fleet.InstanceID{"a", "b"} {
		if id != first {
			h.core.upstreams[id].limit = &limitPart{}
		}
	}
	for _, a := range h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "3", Version: 1}) {
		_, sent := a.(Send)
		require.False(t, sent, "the other upstream has no part left")
	}
}

// idleFleet returns a fleet whose upstream states a limit and gets no requests any more.
func idleFleet() *limitFleet {
	f := newLimitFleet(nil, 4)
	f.limit = ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: 5}
	for range 200 {
		f.step()
	}
	for _, e := range f.entries {
		e.demand = 0
	}
	for range 600 {
		f.step()
	}
	return f
}

// Guards against entries that each count a little demand of their own which the others do
// not hear of: each would own nearly all of the limit of an idle upstream.
func TestLimitOfAnIdleUpstreamIsDividedOnce(t *testing.T) {
	sum := 0
	for _, e := range idleFleet().entries {
		sum += e.core.upstreams["a"].limit.allowance
	}
	require.LessOrEqual(t, sum, 20)
}

// Guards against an entry that learns of a limit before it knows its peers, as after a
// restart, and never owns any of it while no demand changes.
func TestRestartedEntryOwnsItsPartOfALimit(t *testing.T) {
	f := idleFleet()
	f.start(0)
	for range 300 {
		f.step()
	}
	require.Positive(t, f.entries[0].core.upstreams["a"].limit.allowance)
}

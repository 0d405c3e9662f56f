package bodybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const kb = 1 << 10

var start = time.Unix(1_000_000, 0)

// after returns the time a number of seconds after the start.
func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// openWith adds a body that holds bytes.
func openWith(t *testing.T, c *core, bytes int64, at time.Time) *account {
	t.Helper()
	a := &account{}
	c.open(a, at)
	require.Equal(t, granted, c.reserve(a, bytes, at))
	return a
}

// Guards against stalled clients that shut out others: a body that has just begun must
// get memory from the one that has held the most for the longest time.
func TestAFullBudgetDisplacesTheMostCostlyIncompleteBody(t *testing.T) {
	c := &core{limit: 100 * kb}
	old := openWith(t, c, 40*kb, after(0))
	large := openWith(t, c, 50*kb, after(9))
	young := &account{}
	c.open(young, after(10))
	require.Equal(t, queued, c.reserve(young, 20*kb, after(10)))
	require.Equal(t, evicted, old.state)
	require.Equal(t, reading, large.state)
	require.Equal(t, []action{{interrupt, old}}, c.actions)
	c.close(old)
	require.Equal(t, action{grant, young}, c.actions[1])
	require.Equal(t, int64(70*kb), c.held)
	require.Zero(t, c.evicting)
}

// Guards against bodies that displace each other in turn, and against a body that is
// displaced in vain: one that asks for much after a long time must give way itself.
func TestACostlyBodyIsRefusedAndDisplacesNobody(t *testing.T) {
	c := &core{limit: 100 * kb}
	old := openWith(t, c, 50*kb, after(0))
	young := openWith(t, c, 10*kb, after(9))
	require.Equal(t, refused, c.reserve(old, 60*kb, after(10)))
	require.Equal(t, reading, young.state)
	tooMuch := &account{}
	c.open(tooMuch, after(20))
	require.Equal(t, refused, c.reserve(tooMuch, 200*kb, after(20)))
	require.Equal(t, reading, old.state)
	require.Empty(t, c.actions)
	require.Equal(t, uint64(2), c.refusals)
}

// Guards against the loss of a request that was read whole, and against complete bodies
// that cannot be worked on because incomplete ones hold the rest.
func TestACompleteBodyIsNotDisplacedAndDisplacesIncompleteOnes(t *testing.T) {
	c := &core{limit: 100 * kb}
	whole := openWith(t, c, 60*kb, after(0))
	require.True(t, c.finish(whole))
	stalled := openWith(t, c, 40*kb, after(50))
	require.Equal(t, queued, c.reserve(whole, 10*kb, after(51)))
	require.Equal(t, evicted, stalled.state)
	require.False(t, c.finish(stalled))
	c.close(stalled)
	require.Equal(t, int64(70*kb), c.held)
	young := &account{}
	c.open(young, after(52))
	require.Equal(t, refused, c.reserve(young, 40*kb, after(52)))
	require.Equal(t, complete, whole.state)
}

// Guards against bytes that nobody releases: a handler may ask for more after its body was closed
// on another goroutine.
func TestAClosedBodyGetsNothing(t *testing.T) {
	c := &core{limit: 100 * kb}
	gone := openWith(t, c, 10*kb, after(0))
	c.close(gone)
	stalled := openWith(t, c, 90*kb, after(0))
	require.Equal(t, closedBefore, c.reserve(gone, 10*kb, after(10)), "there is room")
	require.Equal(t, closedBefore, c.reserve(gone, 20*kb, after(10)), "there is none")
	require.Equal(t, reading, stalled.state, "displaced for a body that is closed")
	c.close(gone)
	c.close(stalled)
	require.Zero(t, c.held)
	require.Zero(t, c.evicting)
}

// Guards against a few large complete bodies that leave nothing for ordinary requests.
func TestLargeBodiesLeaveAPartToSmallOnes(t *testing.T) {
	c := &core{limit: 8 << 20}
	for range 7 {
		require.True(t, c.finish(openWith(t, c, 1<<20, after(0))))
	}
	large := &account{}
	c.open(large, after(1))
	require.Equal(t, refused, c.reserve(large, 1<<20, after(1)))
	openWith(t, c, smallBytes, after(1))
}

// Guards against a body that waits for memory and is displaced itself, but waits on, or
// whose place in the queue holds up those behind it.
func TestABodyThatWaitsCanBeDisplaced(t *testing.T) {
	c := &core{limit: 100 * kb}
	old := openWith(t, c, 90*kb, after(0))
	waiting := openWith(t, c, 10*kb, after(9))
	require.Equal(t, queued, c.reserve(waiting, 50*kb, after(10)))
	young := &account{}
	c.open(young, after(20))
	require.Equal(t, queued, c.reserve(young, 60*kb, after(20)))
	require.Equal(t, []action{{interrupt, old}, {interruptWaiter, waiting}}, c.actions)
	require.Equal(t, displaced, c.reserve(waiting, 1, after(20)))
	c.close(waiting)
	c.close(old)
	require.Equal(t, action{grant, young}, c.actions[2])
	require.Equal(t, int64(60*kb), c.held)
}

// Guards against room for connections that is made by displacing a complete body.
func TestEvictWorstLeavesCompleteBodies(t *testing.T) {
	c := &core{limit: 100 * kb}
	whole := openWith(t, c, 50*kb, after(0))
	c.finish(whole)
	require.Zero(t, c.evictWorst(1, 0, after(1)))
	stalled := openWith(t, c, kb, after(1))
	require.Zero(t, c.evictWorst(1, 2*time.Second, after(2)), "the body may be an ordinary one")
	require.Equal(t, 1, c.evictWorst(2, time.Second, after(2)))
	require.Equal(t, evicted, stalled.state)
	require.Zero(t, c.evictWorst(1, 0, after(2)))
}

// Guards against one large body that has just begun and keeps all stalled ones from giving way to
// connections.
func TestYoungBodyDoesNotProtectStalledOnes(t *testing.T) {
	c := &core{limit: 10000 * kb}
	for range 3 {
		openWith(t, c, 24*kb, after(0))
	}
	young := openWith(t, c, 2048*kb, after(10))
	require.Equal(t, 3, c.evictWorst(4, time.Second, after(10)))
	require.Equal(t, reading, young.state)
}

// model is a core with the bodies that a property test has opened.
type model struct {
	core core
	now  time.Time
	open []*account
}

// check compares the sums of the core with its bodies.
func (m *model) check(t *rapid.T) {
	var held, evicting, wanted int64
	incomplete, waiting := 0, 0
	for _, a := range m.open {
		held += a.bytes
		wanted += a.wanted
		if a.wanted > 0 {
			waiting++
		}
		switch a.state {
		case evicted:
			evicting += a.bytes
			require.Zero(t, a.wanted, "an evicted body must not wait")
		case reading:
			incomplete++
			require.Same(t, a, m.core.reading[a.position])
		}
	}
	require.Equal(t, held, m.core.held)
	require.Equal(t, evicting, m.core.evicting)
	require.Equal(t, wanted, m.core.wanted)
	require.Len(t, m.core.reading, incomplete)
	require.Len(t, m.core.queue, waiting)
	require.LessOrEqual(t, held, m.core.limit, "more is held than the limit")
	if evicting == 0 {
		require.Empty(t, m.core.queue, "a body waits although no memory is about to be released")
	}
}

// choose returns one of the open bodies that a condition holds for, or nil.
func (m *model) choose(t *rapid.T, holds func(*account) bool) *account {
	var found []*account
	for _, a := range m.open {
		if holds(a) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(t, "body")
}

func (m *model) close(a *account) {
	m.core.close(a)
	for i, other := range m.open {
		if other == a {
			m.open = append(m.open[:i], m.open[i+1:]...)
			return
		}
	}
}

// Guards against bytes that are counted twice or never freed, against more bytes than
// the limit, and against a body that waits for memory which nobody is going to release,
// in any order of events.
func TestAccountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{core: core{limit: rapid.Int64Range(kb, 4<<20).Draw(t, "limit")}, now: start}
		idle := func(a *account) bool { return a.wanted == 0 && a.state != evicted }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				a := &account{}
				m.core.open(a, m.now)
				m.open = append(m.open, a)
			},
			"reserve": func(t *rapid.T) {
				if a := m.choose(t, idle); a != nil {
					m.core.reserve(a, rapid.Int64Range(1, 1<<20).Draw(t, "bytes"), m.now)
				}
			},
			"finish": func(t *rapid.T) {
				if a := m.choose(t, idle); a != nil {
					m.core.finish(a)
				}
			},
			"give back": func(t *rapid.T) {
				if a := m.choose(t, func(a *account) bool { return a.wanted == 0 && a.bytes > 0 }); a != nil {
					m.core.giveBack(a, rapid.Int64Range(1, a.bytes).Draw(t, "bytes"))
				}
			},
			"withdraw": func(t *rapid.T) {
				if a := m.choose(t, func(a *account) bool { return a.wanted > 0 }); a != nil {
					m.core.withdraw(a)
				}
			},
			"close": func(t *rapid.T) {
				if a := m.choose(t, func(*account) bool { return true }); a != nil {
					m.close(a)
				}
			},
			"evict": func(*rapid.T) { m.core.evictWorst(1, 0, m.now) },
			"time":  func(*rapid.T) { m.now = m.now.Add(time.Second) },
			"":      m.check,
		})
		for len(m.open) > 0 {
			m.close(m.open[0])
			m.check(t)
		}
		require.Zero(t, m.core.held)
	})
}

// Guards against a crowd that shuts out an ordinary request: whatever incomplete bodies
// hold, a small one that begins later gets its memory once they have released theirs.
func TestASmallBodyIsAlwaysAdmittedBesideIncompleteOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const small = 24 * kb
		c := &core{limit: rapid.Int64Range(4*small, 4<<20).Draw(t, "limit")}
		for range rapid.IntRange(0, 200).Draw(t, "clients") {
			a := &account{}
			c.open(a, start)
			c.reserve(a, rapid.Int64Range(small, 1<<20).Draw(t, "bytes"), start)
		}
		now := start.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
		ordinary := &account{}
		c.open(ordinary, now)
		v := c.reserve(ordinary, small, now)
		if v == granted {
			return
		}
		require.Equal(t, queued, v)
		for i := 0; i < len(c.actions); i++ {
			if a := c.actions[i]; a.kind != grant {
				c.close(a.account)
			}
		}
		require.Zero(t, ordinary.wanted)
		require.Equal(t, int64(small), ordinary.bytes)
	})
}

package gate_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
)

// seed makes every run of the properties the same.
const seed = "20251204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start   = time.Unix(1_700_000_000, 0)
	rootA   = fleet.Digest{1}
	rootB   = fleet.Digest{2}
	options = gate.Options{
		StaleAfter: 3 * time.Second, PauseAfter: time.Second, WakeHold: 2 * time.Second,
		ReserveFor: 2 * time.Second, ReserveEvery: 10 * time.Second,
	}
	service = config.Service{Kind: config.KindModel, Limits: config.Limits{Cold: 2, Warm: 16, RampStep: 3}}
)

func open(t *testing.T) *gate.Gate {
	t.Helper()
	g := gate.New(options)
	g.Configure(&service, true)
	g.Observe(start, gate.Upstream{Asked: start, Healthy: true, Warm: true, BootID: "one", Root: rootA})
	return g
}

func call(now time.Time) gate.Call { return gate.Call{Root: rootA, Deadline: now.Add(time.Minute)} }

// Guards against a call that runs although one of the reasons to refuse holds.
func TestRefusals(t *testing.T) {
	cases := map[gate.Reason]func(g *gate.Gate, c *gate.Call, now *time.Time){
		gate.NoConfig:     func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Configure(nil, true) },
		gate.DomainOut:    func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Configure(&service, false) },
		gate.Leaving:      func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Leave() },
		gate.WrongVersion: func(_ *gate.Gate, c *gate.Call, _ *time.Time) { c.Root = rootB },
		gate.PastDeadline: func(_ *gate.Gate, c *gate.Call, now *time.Time) { c.Deadline = *now },
		gate.Paused:       func(_ *gate.Gate, _ *gate.Call, now *time.Time) { *now = now.Add(2 * time.Second) },
		gate.NotHealthy: func(g *gate.Gate, _ *gate.Call, now *time.Time) {
			g.Observe(*now, gate.Upstream{Asked: *now})
		},
	}
	for reason, change := range cases {
		now := start
		g := open(t)
		c := call(now)
		ticket, got := g.Admit(now, c)
		require.Equal(t, gate.Admitted, got)
		change(g, &c, &now)
		_, got = g.Admit(now, c)
		require.Equal(t, reason, got)
		if reason != gate.WrongVersion && reason != gate.PastDeadline {
			require.Equal(t, reason, g.Recheck(now, ticket), "held call")
			require.Zero(t, g.InFlight(), reason)
		}
	}
}

// Guards against an upstream that gets its warm load right after it restarted,
// turned cold by itself, or loaded another version.
func TestReturnToCold(t *testing.T) {
	warm := gate.Upstream{Asked: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	cases := map[string]func(u *gate.Upstream){
		"restart":     func(u *gate.Upstream) { u.BootID = "two" },
		"cold report": func(u *gate.Upstream) { u.Warm = false },
		"new version": func(u *gate.Upstream) { u.Root = rootB },
	}
	for name, change := range cases {
		g := open(t)
		for range 12 {
			ticket, _ := g.Admit(start, call(start))
			g.Done(start, ticket, gate.Completed)
		}
		require.Equal(t, 16, g.Limit(), name)
		held, _ := g.Admit(start, call(start))
		u := warm
		change(&u)
		g.Observe(start, u)
		require.Equal(t, 2, g.Limit(), name)
		require.NotEqual(t, gate.Admitted, g.Recheck(start, held), name)
	}
}

// Guards against a limit that stays above or below what a newly adopted
// configuration says.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	configure := func(g *gate.Gate, cold, warm int) {
		s := service
		s.Limits = config.Limits{Cold: cold, Warm: warm, RampStep: 1}
		g.Configure(&s, true)
	}
	g := open(t)
	configure(g, 3, 12)
	require.Equal(t, 3, g.Limit(), "a cold upstream takes the new cold limit")
	for range 2 {
		ticket, _ := g.Admit(start, call(start))
		g.Done(start, ticket, gate.Completed)
	}
	require.Equal(t, 12, g.Limit())
	configure(g, 3, 8)
	require.Equal(t, 8, g.Limit())
	configure(g, 3, 24)
	require.Equal(t, 8, g.Limit(), "a greater limit is reached by completions")
	configure(g, 10, 24)
	require.Equal(t, 10, g.Limit())
}

// Guards against calls that reach a restarted upstream between the break of
// its connections and the next health check, and against a check from before.
func TestLostConnectionClosesUntilNextCheck(t *testing.T) {
	g := open(t)
	ticket, _ := g.Admit(start, call(start))
	now := start.Add(100 * time.Millisecond)
	g.Done(now, ticket, gate.Lost)
	_, r := g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r)
	u := gate.Upstream{Asked: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	g.Observe(now, u)
	_, r = g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r, "the check began before the break")
	u.Asked = now
	require.False(t, g.Observe(now, u).Cold, "same start")
	_, r = g.Admit(now, call(now))
	require.Equal(t, gate.Admitted, r)
}

// Guards against calls over a connection to a start of the upstream that the
// gate has not taken in, whose cold start it does not know of.
func TestConnectionToUnknownStartCloses(t *testing.T) {
	g := open(t)
	require.True(t, g.Connected(start, "one", true))
	require.False(t, g.Connected(start, "one", false), "cold without a restart")
	now := start.Add(time.Millisecond)
	require.False(t, g.Connected(now, "two", true))
	_, r := g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r)
	up := gate.Upstream{Asked: now, Healthy: true, Warm: true, BootID: "two", Root: rootA}
	require.True(t, g.Observe(now, up).Cold)
	require.True(t, g.Connected(now, "two", true))
}

// Guards against innocent or repeated blame: a crash names each call that was
// in flight once, and a broken connection of a live upstream names none.
func TestCrashNamesCallsInFlight(t *testing.T) {
	g := open(t)
	admit := func(f string) gate.Ticket {
		c := call(start)
		c.Fingerprint = f
		ticket, r := g.Admit(start, c)
		require.Equal(t, gate.Admitted, r)
		return ticket
	}
	up := gate.Upstream{Asked: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	g.Done(start, admit("broken"), gate.Lost)
	require.Empty(t, g.Observe(start, up).Crashed)
	g.Done(start, admit("finished"), gate.Completed)
	lost, held := admit("lost"), admit("held")
	g.Done(start, lost, gate.Lost)
	require.Equal(t, []string{"lost"}, g.Observe(start, gate.Upstream{Asked: start}).Crashed)
	up.BootID = "two"
	require.Equal(t, []string{"held"}, g.Observe(start, up).Crashed)
	g.Done(start, held, gate.Lost)
	require.Empty(t, g.Observe(start, up).Crashed)
}

// Guards against a suspected call that shares the upstream with others, and
// against one that never runs because the upstream is always busy.
func TestSuspectRunsAlone(t *testing.T) {
	g := open(t)
	g.SetSuspects([]string{"bad"})
	other, _ := g.Admit(start, call(start))
	bad := call(start)
	bad.Fingerprint = "bad"
	_, r := g.Admit(start, bad)
	require.Equal(t, gate.Exclusive, r)
	_, ok := g.Reserve(start, bad)
	require.True(t, ok)
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Exclusive, r, "kept out by the reservation")
	g.Done(start, other, gate.Completed)
	ticket, r := g.Admit(start, bad)
	require.Equal(t, gate.Admitted, r)
	require.True(t, ticket.Suspect())
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Exclusive, r)
	g.Done(start, ticket, gate.Completed)
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Admitted, r)
	_, ok = g.Reserve(start, bad)
	require.False(t, ok, "one reservation in ReserveEvery")
}

// naive keeps the whole history and replays it for every question.
type naive struct {
	limits  config.Limits
	history []any
	tickets map[int]fleet.Digest
}

type (
	coldEvent     struct{}
	completeEvent struct{ epoch int }
	overloadEvent struct{ epoch int }
)

func (n *naive) epoch() int {
	e := 0
	for _, ev := range n.history {
		if _, ok := ev.(coldEvent); ok {
			e++
		}
	}
	return e
}

func (n *naive) limit() int {
	limit, done, epoch := n.limits.Cold, 0, 0
	for _, ev := range n.history {
		switch ev := ev.(type) {
		case coldEvent:
			epoch++
			limit, done = n.limits.Cold, 0
		case completeEvent:
			if ev.epoch != epoch || limit >= n.limits.Warm {
				continue
			}
			if done++; done == n.limits.RampStep {
				limit, done = min(limit*2, n.limits.Warm), 0
			}
		case overloadEvent:
			if ev.epoch == epoch {
				limit, done = max(limit/2, n.limits.Cold), 0
			}
		}
	}
	return limit
}

// Guards against any difference in counts and limit between the gate and a
// version that replays its whole history.
func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := service
		s.Limits.Cold = rapid.IntRange(1, 4).Draw(t, "cold")
		s.Limits.Warm = s.Limits.Cold * rapid.IntRange(1, 9).Draw(t, "warm")
		s.Limits.RampStep = rapid.IntRange(1, 4).Draw(t, "step")
		n := &naive{limits: s.Limits, tickets: map[int]fleet.Digest{}}
		g := gate.New(options)
		g.Configure(&s, true)
		up := gate.Upstream{Asked: start, Healthy: true, Warm: true, BootID: "0", Root: rootA}
		g.Observe(start, up)
		n.history = append(n.history, coldEvent{})
		tickets := map[int]gate.Ticket{}
		epochs := map[int]int{}
		boots, next := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				c := gate.Call{Root: up.Root, Deadline: start.Add(time.Minute)}
				ticket, r := g.Admit(start, c)
				if want := len(n.tickets) < n.limit(); want != (r == gate.Admitted) {
					t.Fatalf("admit: %q with %d of %d in flight", r, len(n.tickets), n.limit())
				}
				if r == gate.Admitted {
					next++
					tickets[next], epochs[next], n.tickets[next] = ticket, n.epoch(), c.Root
				}
			case 3, 4:
				id, ok := drawTicket(t, n.tickets)
				if !ok {
					continue
				}
				o := rapid.SampledFrom([]gate.Outcome{gate.Completed, gate.Completed, gate.Failed, gate.Overloaded}).Draw(t, "outcome")
				g.Done(start, tickets[id], o)
				switch o {
				case gate.Completed:
					n.history = append(n.history, completeEvent{epochs[id]})
				case gate.Overloaded:
					n.history = append(n.history, overloadEvent{epochs[id]})
				}
				delete(n.tickets, id)
			case 5:
				id, ok := drawTicket(t, n.tickets)
				if !ok {
					continue
				}
				want := n.tickets[id] == up.Root && epochs[id] == n.epoch()
				got := g.Recheck(start, tickets[id]) == gate.Admitted
				if want != got {
					t.Fatalf("recheck: %v, want %v", got, want)
				}
				if !got {
					delete(n.tickets, id)
				}
			case 6:
				if rapid.Bool().Draw(t, "restart") {
					boots++
					up.BootID = string(rune('0' + boots%10))
				} else {
					up.Root[0]++
				}
				g.Observe(start, up)
				n.history = append(n.history, coldEvent{})
			}
			if g.Limit() != n.limit() || g.InFlight() != len(n.tickets) {
				t.Fatalf("limit %d want %d, in flight %d want %d", g.Limit(), n.limit(), g.InFlight(), len(n.tickets))
			}
			byRoot := 0
			for _, root := range n.tickets {
				if root == up.Root {
					byRoot++
				}
			}
			if g.InFlightOf(up.Root) != byRoot {
				t.Fatalf("by root %d want %d", g.InFlightOf(up.Root), byRoot)
			}
		}
	})
}

func drawTicket(t *rapid.T, tickets map[int]fleet.Digest) (int, bool) {
	if len(tickets) == 0 {
		return 0, false
	}
	low := -1
	skip := rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
	for id := 0; skip >= 0; id++ {
		if _, ok := tickets[id]; ok {
			low, skip = id, skip-1
		}
	}
	return low, true
}

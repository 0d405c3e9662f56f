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
	"rattanspur.example/lib/poison"
)

// seed is the fixed seed of the property tests, so that runs are reproducible.
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
		StaleAfter: 3 * time.Second, PauseAfter: time.Second, PauseHold: 2 * time.Second,
		ReservationTime: 2 * time.Second, ReservationInterval: 10 * time.Second,
	}
	service = config.Service{Kind: config.KindModel, Limits: config.Limits{Cold: 2, Warm: 16, RampStep: 3}}
)

func newOpenGate(t *testing.T) *gate.Gate {
	t.Helper()
	g := gate.New(options)
	g.Configure(&service, true)
	g.Observe(start, gate.HealthCheck{StartedAt: start, Healthy: true, Warm: true, BootID: "one", Root: rootA})
	return g
}

func call(now time.Time) gate.Call { return gate.Call{Root: rootA, Deadline: now.Add(time.Minute)} }

// Guards against admitting a call that must be refused for one of the reasons.
func TestRefusals(t *testing.T) {
	cases := map[gate.Reason]func(g *gate.Gate, c *gate.Call, now *time.Time){
		gate.NoConfig:     func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Configure(nil, true) },
		gate.DomainOut:    func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Configure(&service, false) },
		gate.Leaving:      func(g *gate.Gate, _ *gate.Call, _ *time.Time) { g.Leave() },
		gate.WrongVersion: func(_ *gate.Gate, c *gate.Call, _ *time.Time) { c.Root = rootB },
		gate.PastDeadline: func(_ *gate.Gate, c *gate.Call, now *time.Time) { c.Deadline = *now },
		gate.Paused:       func(_ *gate.Gate, _ *gate.Call, now *time.Time) { *now = now.Add(2 * time.Second) },
		gate.NotHealthy: func(g *gate.Gate, _ *gate.Call, now *time.Time) {
			g.Observe(*now, gate.HealthCheck{StartedAt: *now})
		},
	}
	for reason, change := range cases {
		now := start
		g := newOpenGate(t)
		c := call(now)
		ticket, got := g.Admit(now, c)
		require.Equal(t, gate.Admitted, got)
		change(g, &c, &now)
		_, got = g.Admit(now, c)
		require.Equal(t, reason, got)
		if reason != gate.WrongVersion && reason != gate.PastDeadline {
			require.Equal(t, reason, g.Recheck(now, ticket), "call admitted before the change")
			require.Zero(t, g.InFlight(), reason)
		}
	}
}

// Guards against sending the warm load to an upstream that just restarted,
// reported cold start, or loaded another version.
func TestReturnToCold(t *testing.T) {
	warm := gate.HealthCheck{StartedAt: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	cases := map[string]func(check *gate.HealthCheck){
		"restart":     func(check *gate.HealthCheck) { check.BootID = "two" },
		"cold report": func(check *gate.HealthCheck) { check.Warm = false },
		"new version": func(check *gate.HealthCheck) { check.Root = rootB },
	}
	for name, change := range cases {
		g := newOpenGate(t)
		for range 12 {
			ticket, _ := g.Admit(start, call(start))
			g.Done(start, ticket, gate.Completed)
		}
		require.Equal(t, 16, g.Limit(), name)
		earlier, _ := g.Admit(start, call(start))
		check := warm
		change(&check)
		g.Observe(start, check)
		require.Equal(t, 2, g.Limit(), name)
		require.NotEqual(t, gate.Admitted, g.Recheck(start, earlier), name)
	}
}

// Guards against a limit outside the bounds of a newly adopted configuration.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	configure := func(g *gate.Gate, cold, warm int) {
		s := service
		s.Limits = config.Limits{Cold: cold, Warm: warm, RampStep: 1}
		g.Configure(&s, true)
	}
	g := newOpenGate(t)
	configure(g, 3, 12)
	require.Equal(t, 3, g.Limit(), "a cold upstream gets the new cold limit")
	for range 2 {
		ticket, _ := g.Admit(start, call(start))
		g.Done(start, ticket, gate.Completed)
	}
	require.Equal(t, 12, g.Limit())
	configure(g, 3, 8)
	require.Equal(t, 8, g.Limit())
	configure(g, 3, 24)
	require.Equal(t, 8, g.Limit(), "a higher warm limit must be reached by completed calls")
	configure(g, 10, 24)
	require.Equal(t, 10, g.Limit())
}

// Guards against calls that reach a restarted upstream after its connections
// broke and before the next health check, and against relying on a health check
// that was started before the break.
func TestLostConnectionClosesUntilNextCheck(t *testing.T) {
	g := newOpenGate(t)
	ticket, _ := g.Admit(start, call(start))
	now := start.Add(100 * time.Millisecond)
	g.Done(now, ticket, gate.ConnectionLost)
	_, r := g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r)
	check := gate.HealthCheck{StartedAt: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	g.Observe(now, check)
	_, r = g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r, "the check was started before the break")
	check.StartedAt = now
	require.False(t, g.Observe(now, check).BecameCold, "same boot ID")
	_, r = g.Admit(now, call(now))
	require.Equal(t, gate.Admitted, r)
}

// Guards against calls over a new connection to an upstream that restarted or
// became cold since the last health check.
func TestConnectionToUnknownStartCloses(t *testing.T) {
	g := newOpenGate(t)
	require.True(t, g.RecordConnection(start, "one", true))
	require.False(t, g.RecordConnection(start, "one", false), "cold without a restart")
	now := start.Add(time.Millisecond)
	require.False(t, g.RecordConnection(now, "two", true))
	_, r := g.Admit(now, call(now))
	require.Equal(t, gate.NotHealthy, r)
	up := gate.HealthCheck{StartedAt: now, Healthy: true, Warm: true, BootID: "two", Root: rootA}
	require.True(t, g.Observe(now, up).BecameCold)
	require.True(t, g.RecordConnection(now, "two", true))
}

// Guards against blaming the wrong calls or the same call twice: a crash reports
// each call that was in flight and had no answer yet once, for the start of the
// upstream that crashed, and a broken connection of an upstream that did not crash
// reports none.
func TestCrashNamesCallsInFlight(t *testing.T) {
	g := newOpenGate(t)
	admit := func(trait poison.Trait) gate.Ticket {
		c := call(start)
		c.Traits = []poison.Trait{trait}
		ticket, r := g.Admit(start, c)
		require.Equal(t, gate.Admitted, r)
		return ticket
	}
	const broken, finished, survived, begun, lost, held, repeated poison.Trait = 1, 2, 3, 4, 5, 6, 7
	up := gate.HealthCheck{StartedAt: start, Healthy: true, Warm: true, BootID: "one", Root: rootA}
	first := gate.Start{BootID: "one"}
	g.Done(start, admit(broken), gate.ConnectionLost)
	require.Equal(t, gate.Change{Start: first, BrokenAt: start}, g.Observe(start, up))
	require.Equal(t, gate.Change{Start: first}, g.Observe(start, up), "reported once")
	g.Done(start, admit(finished), gate.Completed)
	answered := admit(survived)
	g.Began(start, answered)
	g.Survived(answered)
	g.Done(start, answered, gate.ConnectionLost)
	require.Empty(t, g.Observe(start, gate.HealthCheck{StartedAt: start}).Crashed, "the upstream had survived it")
	g.Observe(start, up)
	answering := admit(begun)
	g.Began(start.Add(-time.Second), answering)
	g.Done(start, answering, gate.ConnectionLost)
	midAnswer := g.Observe(start, gate.HealthCheck{StartedAt: start}).Crashed
	require.Equal(t, []gate.LostCall{{Traits: []poison.Trait{begun}, Answered: time.Second}}, midAnswer, "a call may crash the upstream after its answer began")
	g.Observe(start, up)
	lostCall, heldCall := admit(lost), admit(held)
	g.Done(start, lostCall, gate.ConnectionLost)
	down := g.Observe(start, gate.HealthCheck{StartedAt: start})
	require.Equal(t, []gate.LostCall{{Traits: []poison.Trait{lost}}}, down.Crashed)
	require.Equal(t, first, down.Start)
	up.BootID = "two"
	restarted := g.Observe(start, up)
	require.Equal(t, []gate.LostCall{{Traits: []poison.Trait{held}}}, restarted.Crashed)
	require.Equal(t, first, restarted.Start)
	second := gate.Start{BootID: "two"}
	g.Done(start, heldCall, gate.ConnectionLost)
	require.Equal(t, gate.Change{Start: second}, g.Observe(start, up), "a call of an earlier start")
	g.Done(start, admit(repeated), gate.ConnectionLost)
	again := g.Observe(start, gate.HealthCheck{StartedAt: start})
	require.Equal(t, []gate.LostCall{{Traits: []poison.Trait{repeated}}}, again.Crashed)
	require.Equal(t, second, again.Start)
}

// Guards against two crashes of an upstream without boot IDs that count as one.
func TestStartOfUpstreamWithoutBootID(t *testing.T) {
	g := gate.New(options)
	observe := func(after time.Duration, healthy bool) gate.Start {
		g.Observe(start, gate.HealthCheck{StartedAt: start.Add(after), Healthy: healthy, Warm: true})
		return g.Start()
	}
	first := observe(0, true)
	require.Equal(t, first, observe(time.Second, true))
	require.Equal(t, first, observe(2*time.Second, false))
	require.Equal(t, gate.Start{HealthySince: start.Add(3 * time.Second)}, observe(3*time.Second, true))
}

// Guards against a suspected call that runs together with others, and against
// one that never runs because the upstream is always busy.
func TestSuspectRunsAlone(t *testing.T) {
	g := newOpenGate(t)
	other, _ := g.Admit(start, call(start))
	bad := call(start)
	bad.Suspect = 1
	_, r := g.Admit(start, bad)
	require.Equal(t, gate.Exclusive, r)
	_, ok := g.Reserve(start, call(start))
	require.False(t, ok, "only a suspect gets a reservation")
	_, ok = g.Reserve(start, bad)
	require.True(t, ok)
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Exclusive, r, "excluded by the reservation")
	g.Done(start, other, gate.Completed)
	ticket, r := g.Admit(start, bad)
	require.Equal(t, gate.Admitted, r)
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Exclusive, r)
	g.Done(start, ticket, gate.Completed)
	_, r = g.Admit(start, call(start))
	require.Equal(t, gate.Admitted, r)
	_, ok = g.Reserve(start, bad)
	require.False(t, ok, "one reservation per ReservationInterval")
}

// naiveGate is a reference implementation that keeps the whole event history
// and computes each result from it.
type naiveGate struct {
	limits  config.Limits
	history []any
	tickets map[int]fleet.Digest
}

type (
	coldEvent     struct{}
	completeEvent struct{ epoch int }
	overloadEvent struct{ epoch int }
)

func (n *naiveGate) epoch() int {
	e := 0
	for _, ev := range n.history {
		if _, ok := ev.(coldEvent); ok {
			e++
		}
	}
	return e
}

func (n *naiveGate) limit() int {
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

// Guards against differences in counts and limit between the gate and the
// reference implementation.
func TestGateAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := service
		s.Limits.Cold = rapid.IntRange(1, 4).Draw(t, "cold")
		s.Limits.Warm = s.Limits.Cold * rapid.IntRange(1, 9).Draw(t, "warm")
		s.Limits.RampStep = rapid.IntRange(1, 4).Draw(t, "step")
		n := &naiveGate{limits: s.Limits, tickets: map[int]fleet.Digest{}}
		g := gate.New(options)
		g.Configure(&s, true)
		up := gate.HealthCheck{StartedAt: start, Healthy: true, Warm: true, BootID: "0", Root: rootA}
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

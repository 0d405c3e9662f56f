package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

const (
	model  = "m"
	engine = fleet.Service("engine")
	desk   = fleet.Service("desk")
)

var start = time.Unix(1000, 0)

func settings() Settings {
	return Settings{
		Region:        "north",
		Regions:       map[fleet.FailureDomain]fleet.Region{"north-a": "north", "south-a": "south"},
		Retries:       retry.WindowLimits{Ratio: 0.2, Reserve: 400, Window: 10 * time.Second},
		VersionWithin: 8 * time.Second,
		ColdOverrun:   1.5,
		ColdSlack:     5,
		Random:        func(int) int { return 0 },
	}
}

func config() *published.Config {
	c := &published.Config{
		KeysRequired: true,
		Routes: []published.Route{
			{
				Name: "stream", Host: "h", Prefix: "/stream/", Kind: published.Streaming, Resumable: true, MaxAttempts: 2,
				Timeout: 6 * time.Second, LatencyGoal: 400 * time.Millisecond, GapGoal: 300 * time.Millisecond,
				Targets: []published.Target{{Service: engine, Weight: 1}},
			},
			{
				Name: "once", Host: "h", Prefix: "/once/", Kind: published.Unsafe, MaxAttempts: 2, Timeout: time.Second,
				LatencyGoal: 150 * time.Millisecond, Targets: []published.Target{{Service: desk, Weight: 1}},
			},
			{
				Name: "read", Host: "h", Prefix: "/read/", Kind: published.Safe, MaxAttempts: 2, Timeout: time.Second,
				LatencyGoal: 150 * time.Millisecond, Targets: []published.Target{{Service: desk, Weight: 1}},
			},
			{
				Name: "home", Host: "h", Prefix: "/home/", Kind: published.Safe, MaxAttempts: 2, Timeout: time.Second,
				LatencyGoal: 150 * time.Millisecond, Targets: []published.Target{{Service: desk, Weight: 1}},
				Regions: []fleet.Region{"south"},
			},
		},
		Services: map[fleet.Service]*published.Service{
			engine: {Name: engine, Engine: &published.Engine{
				Layers: 16, Models: []string{model}, PromptTokensPerSecond: 10000, TimePerToken: 10 * time.Millisecond,
			}},
			desk: {Name: desk},
		},
		Customers: map[string]*published.Customer{"key": {Name: "customer"}},
	}
	c.Index()
	return c
}

func replica(id string, version int64) *published.Upstream {
	return &published.Upstream{
		ID: fleet.InstanceID(id), Service: engine, Address: id, Domain: "north-a", Slots: 4, StartTime: 1,
		Copies: []published.Copy{{Model: model, Version: version, Layers: 16}},
	}
}

func counter(id string, domain fleet.FailureDomain) *published.Upstream {
	return &published.Upstream{ID: fleet.InstanceID(id), Service: desk, Address: id, Domain: domain, Slots: 2}
}

func view(upstreams ...*published.Upstream) *published.View {
	return &published.View{
		Config: config(), Upstreams: upstreams, OutOfService: map[fleet.FailureDomain]bool{}, Desired: map[string]published.DesiredVersion{},
	}
}

// bench drives one core through time.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Time
	next Ticket
}

func newBench(t *testing.T, v *published.View) *bench {
	b := &bench{t: t, core: New(settings()), now: start}
	b.core.Update(b.now, v)
	return b
}

func (b *bench) arrive(path string) (Ticket, []Action) {
	b.next++
	return b.next, b.core.Arrive(b.now, b.next, Call{
		ID: "id", Host: "h", Path: path, Key: "key", Patience: 6 * time.Second, Model: model, Prompt: 100, Answer: 50,
		Fingerprint: path + time.Duration(b.next).String(),
	})
}

func (b *bench) sent(actions []Action) Send {
	b.t.Helper()
	require.Len(b.t, actions, 1)
	s, ok := actions[0].(Send)
	require.True(b.t, ok, "%T %+v", actions[0], actions[0])
	return s
}

func (b *bench) refused(actions []Action) Refuse {
	b.t.Helper()
	require.Len(b.t, actions, 1)
	r, ok := actions[0].(Refuse)
	require.True(b.t, ok, "%T %+v", actions[0], actions[0])
	return r
}

// Guards against a request that may run once and is sent again after its
// outcome became unknown, and against a caller who is told it has not run.
func TestUnsafeRequestIsNeverSentTwice(t *testing.T) {
	for _, end := range []retry.End{retry.Lost, retry.Silent, retry.Mismatched} {
		b := newBench(t, view(counter("a", "north-a"), counter("b", "north-a")))
		ticket, actions := b.arrive("/once/1")
		b.sent(actions)
		r := b.refused(b.core.End(b.now, ticket, Ended{End: end}))
		require.Equal(t, Unknown, r.Verdict, end.String())
		require.Zero(t, r.After)
	}
}

// Guards against a request that certainly has not run and is given up all the
// same, or is sent to the upstream that refused it.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a"), counter("b", "north-a")))
	ticket, actions := b.arrive("/once/1")
	first := b.sent(actions)
	second := b.sent(b.core.End(b.now, ticket, Ended{End: retry.Busy}))
	require.NotEqual(t, first.Upstream, second.Upstream)
	require.Equal(t, 2, second.Number)
}

// Guards against a promise that a request has not run after one attempt may
// have run and a later one was refused.
func TestRefusalAfterUnknownAttemptPromisesNothing(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a"), counter("b", "north-a")))
	ticket, actions := b.arrive("/read/1")
	b.sent(actions)
	b.sent(b.core.End(b.now, ticket, Ended{End: retry.Lost}))
	r := b.refused(b.core.End(b.now, ticket, Ended{End: retry.Busy}))
	require.Equal(t, Unknown, r.Verdict)
}

// Guards against more runs of one request than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a"), counter("b", "north-a"), counter("c", "north-a")))
	ticket, actions := b.arrive("/read/1")
	b.sent(actions)
	b.sent(b.core.End(b.now, ticket, Ended{End: retry.Lost}))
	require.Equal(t, Unknown, b.refused(b.core.End(b.now, ticket, Ended{End: retry.Lost})).Verdict)
}

// Guards against a stream that goes on elsewhere without the event after which
// it was cut: events would be missing or come twice.
func TestStreamGoesOnOnlyFromAnEvent(t *testing.T) {
	b := newBench(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	require.Equal(t, Unknown, b.refused(b.core.End(b.now, ticket, Ended{End: retry.Lost, Started: true})).Verdict)
	ticket, actions = b.arrive("/stream/2")
	b.sent(actions)
	b.sent(b.core.End(b.now, ticket, Ended{End: retry.Lost, Started: true, Resume: "7", Version: 1}))
}

// Guards against work for an upstream that leaves, is out of service, holds no
// weights, or lies outside the regions of the route.
func TestUnacceptableUpstreamsGetNothing(t *testing.T) {
	leaving := counter("leaving", "north-a")
	leaving.Draining = true
	partial := replica("partial", 1)
	partial.Copies[0].Layers = 8
	v := view(leaving, counter("out", "south-a"), partial, replica("empty", 0))
	v.Upstreams[3].Copies = nil
	v.OutOfService["south-a"] = true
	b := newBench(t, v)
	for _, path := range []string{"/once/1", "/read/1", "/stream/1"} {
		_, actions := b.arrive(path)
		require.Equal(t, NotRun, b.refused(actions).Verdict, path)
	}
	b = newBench(t, view(counter("north", "north-a")))
	_, actions := b.arrive("/home/1")
	b.refused(actions)
	b = newBench(t, view(counter("north", "north-a"), counter("south", "south-a")))
	_, actions = b.arrive("/home/1")
	require.Equal(t, fleet.InstanceID("south"), b.sent(actions).Upstream)
}

// Guards against a request that waits for an upstream which left meanwhile and
// is sent to it when room appears.
func TestWaitingRequestDoesNotGoToLeavingUpstream(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a")))
	var running []Ticket
	for range int(plainRoom) * 2 {
		ticket, actions := b.arrive("/once/1")
		b.sent(actions)
		running = append(running, ticket)
	}
	_, actions := b.arrive("/once/1")
	require.Empty(t, actions)
	gone := counter("a", "north-a")
	gone.Draining = true
	b.core.Update(b.now, view(gone))
	for _, a := range b.core.End(b.now, running[0], Ended{End: retry.Answered}) {
		_, ok := a.(Send)
		require.False(t, ok)
	}
}

// Guards against a caller who left while its request waited, and whose request
// is sent later.
func TestCallerThatLeftIsNotServed(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	b.core.SetOthers(b.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	ticket, _ := b.arrive("/stream/1")
	b.core.Left(b.now, ticket)
	b.core.SetOthers(b.now, nil, nil)
	require.Empty(t, b.core.Tick(b.now))
	require.Zero(t, len(b.core.requests))
}

// Guards against a caller who leaves between the order to send and the send:
// the upstream's count would never go down again.
func TestCallerThatLeavesBeforeTheSendIsCountedOut(t *testing.T) {
	b := newBench(t, view(replica("a", 1)))
	ticket, actions := b.arrive("/stream/1")
	b.sent(actions)
	b.core.Left(b.now, ticket)
	require.Empty(t, b.core.Loads())
	require.Zero(t, len(b.core.requests))
}

// Guards against a request that crashes every upstream which runs it.
func TestCrashingRequestIsStopped(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a"), counter("b", "north-a"), counter("c", "north-a"), counter("d", "north-a")))
	sends := 0
	for range 5 {
		b.now = b.now.Add(10 * time.Second)
		b.next++
		actions := b.core.Arrive(b.now, b.next, Call{ID: "id", Host: "h", Path: "/read/1", Key: "key", Patience: time.Second, Fingerprint: "same"})
		for len(actions) == 1 {
			if _, ok := actions[0].(Send); !ok {
				break
			}
			sends++
			actions = b.core.End(b.now, b.next, Ended{End: retry.Lost})
		}
	}
	require.Equal(t, retry.BlockAfter, sends)
}

// Guards against answers of the system's own that no verdict justifies.
func TestUnknownRouteKeyAndConfiguration(t *testing.T) {
	b := newBench(t, view())
	_, actions := b.arrive("/none/1")
	require.Equal(t, NoRoute, b.refused(actions).Verdict)
	b.next++
	r := b.refused(b.core.Arrive(b.now, b.next, Call{Host: "h", Path: "/read/1", Key: "other"}))
	require.Equal(t, NoKey, r.Verdict)
	fresh := New(settings())
	r = b.refused(fresh.Arrive(b.now, 1, Call{Host: "h", Path: "/read/1", Key: "key"}))
	require.Equal(t, NotRun, r.Verdict)
}

// Guards against an upstream that is avoided for an error which belongs to the
// request, and against one that is not avoided although it fails all of them.
func TestErrorsInARowMakeAnUpstreamAvoided(t *testing.T) {
	b := newBench(t, view(counter("a", "north-a")))
	fail := func() {
		ticket, actions := b.arrive("/once/1")
		b.sent(actions)
		b.core.End(b.now, ticket, Ended{End: retry.Answered, Failed: true})
	}
	fail()
	u := b.core.upstreams["a"]
	require.False(t, b.now.Before(u.avoid))
	for range errorsInARow - 1 {
		fail()
	}
	require.True(t, b.now.Before(u.avoid))
}

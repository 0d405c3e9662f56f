package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/poison"
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
		Region:          "north",
		Regions:         map[fleet.FailureDomain]fleet.Region{"north-a": "north", "south-a": "south"},
		Retries:         retry.WindowLimits{Ratio: 0.2, Reserve: 400, Window: 10 * time.Second},
		OldVersionGrace: 8 * time.Second,
		ColdOverrun:     1.5,
		ColdSlack:       5,
		Random:          func(int) int { return 0 },
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

// replica returns an upstream of the engine service with complete weights.
func replica(id string, version int64) *published.Upstream {
	return &published.Upstream{
		ID: fleet.InstanceID(id), Service: engine, Address: id, Domain: "north-a", Slots: 4, StartTime: 1,
		Copies: []published.Copy{{Model: model, Version: version, Layers: 16}},
	}
}

// deskUpstream returns an upstream of the plain service.
func deskUpstream(id string, domain fleet.FailureDomain) *published.Upstream {
	return &published.Upstream{ID: fleet.InstanceID(id), Service: desk, Address: id, Domain: domain, Slots: 2}
}

func view(upstreams ...*published.Upstream) *published.View {
	return &published.View{
		Config: config(), Upstreams: upstreams, OutOfService: map[fleet.FailureDomain]bool{}, Desired: map[string]published.DesiredVersion{},
	}
}

// harness drives one core with a simulated clock.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Time
	next Ticket
}

func newHarness(t *testing.T, v *published.View) *harness {
	h := &harness{t: t, core: New(settings()), now: start}
	h.core.Update(h.now, v)
	return h
}

func (h *harness) arrive(path string) (Ticket, []Action) {
	h.next++
	return h.next, h.core.Arrive(h.now, h.next, Call{
		ID: "id", Host: "h", Path: path, Key: "key", TimeBudget: 6 * time.Second, Model: model, PromptTokens: 100, MaxAnswerTokens: 50,
		Traits: []poison.Trait{poison.RequestTrait("key", path, []byte{byte(h.next)})},
	})
}

func (h *harness) sent(actions []Action) Send {
	h.t.Helper()
	require.Len(h.t, actions, 1)
	s, ok := actions[0].(Send)
	require.True(h.t, ok, "%T %+v", actions[0], actions[0])
	return s
}

func (h *harness) refused(actions []Action) Refuse {
	h.t.Helper()
	require.Len(h.t, actions, 1)
	r, ok := actions[0].(Refuse)
	require.True(h.t, ok, "%T %+v", actions[0], actions[0])
	return r
}

// Guards against a request that must not run twice but is retried after an
// unknown outcome, and against a caller that is told it has not run.
func TestUnsafeRequestIsNeverSentTwice(t *testing.T) {
	for _, end := range []retry.End{retry.Lost, retry.Stalled, retry.Mismatched} {
		h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "north-a")))
		ticket, actions := h.arrive("/once/1")
		h.sent(actions)
		r := h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: end}))
		require.Equal(t, OutcomeUnknown, r.Verdict, end.String())
		require.Zero(t, r.RetryAfter)
	}
}

// Guards against a request that certainly has not run but is given up, or is
// retried at the upstream that refused it.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "north-a")))
	ticket, actions := h.arrive("/once/1")
	first := h.sent(actions)
	second := h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}))
	require.NotEqual(t, first.Upstream, second.Upstream)
	require.Equal(t, 2, second.Attempt)
}

// Guards against a verdict that a request has not run although an earlier
// attempt may have run; only the later one was refused.
func TestRefusalAfterPossibleRunIsOutcomeUnknown(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "north-a")))
	ticket, actions := h.arrive("/read/1")
	h.sent(actions)
	h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost}))
	require.Empty(t, h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Busy}), "it waits for the one that was busy")
	h.core.Update(h.now, view())
	h.now = h.now.Add(600 * time.Millisecond)
	r := h.refused(h.core.Tick(h.now))
	require.Equal(t, OutcomeUnknown, r.Verdict)
}

// Guards against more runs of one request than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a"), deskUpstream("b", "north-a"), deskUpstream("c", "north-a")))
	ticket, actions := h.arrive("/read/1")
	h.sent(actions)
	h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost}))
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost})).Verdict)
}

// Guards against a stream that is resumed at another upstream although the last
// event that was passed on is not known: events would be lost or repeated.
func TestStreamResumesOnlyAfterAnEvent(t *testing.T) {
	h := newHarness(t, view(replica("a", 1), replica("b", 1)))
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	require.Equal(t, OutcomeUnknown, h.refused(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true})).Verdict)
	ticket, actions = h.arrive("/stream/2")
	h.sent(actions)
	h.sent(h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Lost, Started: true, LastEventID: "7", Version: 1}))
}

// Guards against requests to an upstream that is draining, out of service,
// without complete weights, or outside the regions of the route.
func TestUnacceptableUpstreamsGetNothing(t *testing.T) {
	draining := deskUpstream("leaving", "north-a")
	draining.Draining = true
	partial := replica("partial", 1)
	partial.Copies[0].Layers = 8
	v := view(draining, deskUpstream("out", "south-a"), partial, replica("empty", 0))
	v.Upstreams[3].Copies = nil
	v.OutOfService["south-a"] = true
	h := newHarness(t, v)
	for _, path := range []string{"/once/1", "/read/1", "/stream/1"} {
		_, actions := h.arrive(path)
		require.Equal(t, NotRun, h.refused(actions).Verdict, path)
	}
	h = newHarness(t, view(deskUpstream("north", "north-a")))
	_, actions := h.arrive("/home/1")
	h.refused(actions)
	h = newHarness(t, view(deskUpstream("north", "north-a"), deskUpstream("south", "south-a")))
	_, actions = h.arrive("/home/1")
	require.Equal(t, fleet.InstanceID("south"), h.sent(actions).Upstream)
}

// Guards against a queued request that is sent to an upstream which started
// draining while the request waited.
func TestWaitingRequestDoesNotGoToLeavingUpstream(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a")))
	var running []Ticket
	for range int(maxPlainLoad) * 2 {
		ticket, actions := h.arrive("/once/1")
		h.sent(actions)
		running = append(running, ticket)
	}
	_, actions := h.arrive("/once/1")
	require.Empty(t, actions)
	draining := deskUpstream("a", "north-a")
	draining.Draining = true
	h.core.Update(h.now, view(draining))
	for _, a := range h.core.AttemptEnded(h.now, running[0], AttemptResult{End: retry.Answered}) {
		_, ok := a.(Send)
		require.False(t, ok)
	}
}

// Guards against a queued request that is sent after its caller disconnected.
func TestCanceledWaitingRequestIsNotSent(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	h.core.SetPeerLoads(h.now, map[fleet.InstanceID]peering.Load{"a": {Requests: 4}}, nil)
	ticket, _ := h.arrive("/stream/1")
	h.core.Cancel(h.now, ticket)
	h.core.SetPeerLoads(h.now, nil, nil)
	require.Empty(t, h.core.Tick(h.now))
	require.Zero(t, len(h.core.requests))
}

// Guards against a count of requests in flight that never goes down again
// because the caller disconnected between the Send action and the actual send.
func TestCancelBeforeSendReleasesTheUpstream(t *testing.T) {
	h := newHarness(t, view(replica("a", 1)))
	ticket, actions := h.arrive("/stream/1")
	h.sent(actions)
	h.core.Cancel(h.now, ticket)
	require.Empty(t, h.core.Loads(h.now))
	require.Zero(t, len(h.core.requests))
}

// Guards against a wrong verdict for an unknown route, an unknown key, or a
// process without a configuration.
func TestUnknownRouteKeyAndConfiguration(t *testing.T) {
	h := newHarness(t, view())
	_, actions := h.arrive("/none/1")
	require.Equal(t, NoRoute, h.refused(actions).Verdict)
	h.next++
	r := h.refused(h.core.Arrive(h.now, h.next, Call{Host: "h", Path: "/read/1", Key: "other"}))
	require.Equal(t, NoKey, r.Verdict)
	unconfigured := New(settings())
	r = h.refused(unconfigured.Arrive(h.now, 1, Call{Host: "h", Path: "/read/1", Key: "key"}))
	require.Equal(t, NotRun, r.Verdict)
}

// Guards against an upstream that is avoided after a single server error, which
// may be the fault of the request, and against one that is not avoided although
// it fails all requests.
func TestConsecutiveErrorsMakeAnUpstreamAvoided(t *testing.T) {
	h := newHarness(t, view(deskUpstream("a", "north-a")))
	fail := func() {
		ticket, actions := h.arrive("/once/1")
		h.sent(actions)
		h.core.AttemptEnded(h.now, ticket, AttemptResult{End: retry.Answered, ServerError: true})
	}
	fail()
	u := h.core.upstreams["a"]
	require.False(t, h.now.Before(u.avoidUntil))
	for range maxConsecutiveErrors - 1 {
		fail()
	}
	require.True(t, h.now.Before(u.avoidUntil))
}

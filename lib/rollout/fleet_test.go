package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/rollout"
)

// fakeEngine is an engine with a limited number of loaded versions. It checks
// fencing tokens.
type fakeEngine struct {
	loaded    []engine.Loaded
	fence     int64
	maxLoaded int
}

// fakeAgent combines a core, its engine and the number of calls per root.
type fakeAgent struct {
	id      fleet.InstanceID
	core    *rollout.Core
	engine  fakeEngine
	order   rollout.Action
	calls   map[fleet.Digest]int
	drains  []rollout.Drain
	state   fleet.Instance
	fetched fleet.Digest
}

// fakeFleet is a service of agents whose views of each other may be outdated.
type fakeFleet struct {
	t      *rapid.T
	now    time.Time
	agents []*fakeAgent
	views  map[fleet.InstanceID][]fleet.Instance
	target rollout.Target
}

func newFakeFleet(t *rapid.T, agents int, first rollout.Target) *fakeFleet {
	f := &fakeFleet{t: t, now: start, target: first, views: map[fleet.InstanceID][]fleet.Instance{}}
	for i := range agents {
		id := fleet.InstanceID(fmt.Sprint("agent-", i))
		a := &fakeAgent{id: id, calls: map[fleet.Digest]int{}, state: fleet.Instance{ID: id}}
		a.core = rollout.New(rollout.Options{Self: id, StartedAt: start, OrderSettleTime: time.Second})
		a.engine.maxLoaded = 1
		if first.LoadsAlongside {
			a.engine.maxLoaded = 2
		}
		f.agents = append(f.agents, a)
	}
	return f
}

// updateView gives an agent a current view of the members. The others keep
// theirs.
func (f *fakeFleet) updateView(a *fakeAgent) {
	var members []fleet.Instance
	for _, other := range f.agents {
		members = append(members, other.state)
	}
	f.views[a.id] = members
}

func (f *fakeFleet) step(a *fakeAgent, e rollout.Event) {
	for _, action := range a.core.Step(f.now, e) {
		switch action := action.(type) {
		case rollout.Serve:
			a.state.Serving, a.state.Switching = action.Root, action.Switching
			if !action.Root.IsZero() && !f.target.ActiveRoots[action.Root] {
				f.t.Fatalf("%s serves a root that is not active", a.id)
			}
		case rollout.Load, rollout.Unload:
			if a.order != nil {
				f.t.Fatalf("%s has two orders in progress", a.id)
			}
			a.order = action
		case rollout.Drain:
			a.drains = append(a.drains, action)
		case rollout.Fetch:
			a.fetched = action.Profile.Weights.Root
		}
	}
}

func (f *fakeFleet) setTarget(a *fakeAgent) {
	t := f.target
	t.Members = f.views[a.id]
	if a.fetched != t.Profile.Weights.Root {
		// A transfer ends when the configuration no longer names its root.
		a.fetched = fleet.Digest{}
	}
	f.step(a, t)
}

func (f *fakeFleet) report(a *fakeAgent) {
	r := &engine.Report{BootID: "one", Warm: true, Fence: a.engine.fence}
	r.Loaded = append(r.Loaded, a.engine.loaded...)
	f.step(a, rollout.Reported{RequestedAt: f.now, Report: r})
}

func (f *fakeFleet) endOrder(a *fakeAgent, fail bool) {
	order := a.order
	if order == nil {
		return
	}
	a.order = nil
	if fail {
		f.step(a, rollout.OrderEnded{Err: engine.ErrRefused})
		return
	}
	var err error
	switch o := order.(type) {
	case rollout.Load:
		err = a.engine.load(o)
	case rollout.Unload:
		err = a.engine.unload(o, a.calls[o.Root])
	}
	if err != nil {
		f.t.Fatalf("%s: %v", a.id, err)
	}
	f.step(a, rollout.OrderEnded{})
}

func (e *fakeEngine) load(o rollout.Load) error {
	if o.Fence <= e.fence {
		return fmt.Errorf("token %d after %d", o.Fence, e.fence)
	}
	e.fence = o.Fence
	if len(e.loaded) >= e.maxLoaded {
		return fmt.Errorf("load beside %d versions, the engine holds %d", len(e.loaded), e.maxLoaded)
	}
	e.loaded = append(e.loaded, engine.Loaded{Model: "m", Root: o.Profile.Weights.Root})
	return nil
}

func (e *fakeEngine) unload(o rollout.Unload, calls int) error {
	if o.Fence <= e.fence {
		return fmt.Errorf("token %d after %d", o.Fence, e.fence)
	}
	e.fence = o.Fence
	if calls > 0 {
		return fmt.Errorf("unload of a root with %d calls", calls)
	}
	var kept []engine.Loaded
	for _, l := range e.loaded {
		if l.Root != o.Root {
			kept = append(kept, l)
		}
	}
	e.loaded = kept
	return nil
}

// tick executes everything that is due at one agent.
func (f *fakeFleet) tick(a *fakeAgent) {
	f.updateView(a)
	f.setTarget(a)
	if !a.fetched.IsZero() {
		f.step(a, rollout.WeightsReady{Root: a.fetched})
	}
	drains := a.drains
	a.drains = nil
	for _, d := range drains {
		if a.calls[d.Root] > 0 {
			a.drains = append(a.drains, d)
			continue
		}
		f.step(a, rollout.Drained(d))
	}
	f.endOrder(a, false)
	f.report(a)
}

func (f *fakeFleet) checkUnavailable(limit int) {
	switching := 0
	for _, a := range f.agents {
		if a.state.Switching {
			switching++
		}
	}
	if switching > limit {
		f.t.Fatalf("%d agents switch, the limit is %d", switching, limit)
	}
}

// random applies one random event to one agent.
func (f *fakeFleet) random() {
	a := rapid.SampledFrom(f.agents).Draw(f.t, "agent")
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(f.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(f.t, "event") {
	case 0:
		f.target.Profile = profile(byte(rapid.IntRange(1, 3).Draw(f.t, "target")))
	case 1:
		f.setTarget(a)
	case 2:
		f.report(a)
	case 3:
		f.endOrder(a, rapid.Bool().Draw(f.t, "fail"))
	case 4:
		f.step(a, rollout.Reported{RequestedAt: f.now})
	case 5:
		f.updateView(a)
	case 6:
		if root := a.state.Serving; !root.IsZero() {
			a.calls[root]++
		}
	case 7:
		clear(a.calls)
	case 8:
		if a.order == nil {
			a.engine.loaded = nil
			clear(a.calls)
		}
	default:
		f.tick(a)
	}
}

// Guards against an unload while calls are running, two orders at a time, an old
// fencing token, a version loaded beside another without capacity, more agents
// than allowed without a version, and a rollout that does not end.
func TestFleetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := target(1, rapid.Bool().Draw(t, "alongside"))
		first.MaxUnavailable = rapid.IntRange(0, 2).Draw(t, "unavailable")
		f := newFakeFleet(t, rapid.IntRange(1, 5).Draw(t, "agents"), first)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			f.random()
			f.checkUnavailable(max(first.MaxUnavailable, 1))
		}
		for range 400 {
			f.now = f.now.Add(time.Second)
			for _, a := range f.agents {
				clear(a.calls)
				f.tick(a)
				f.checkUnavailable(max(first.MaxUnavailable, 1))
			}
		}
		for _, a := range f.agents {
			if a.state.Serving != f.target.Profile.Weights.Root || len(a.engine.loaded) != 1 {
				t.Fatalf("%s serves %v with %d loaded, switching %v", a.id, a.state.Serving, len(a.engine.loaded), a.state.Switching)
			}
		}
	})
}

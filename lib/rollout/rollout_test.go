package rollout_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/rollout"
)

// seed makes the property tests reproducible.
const seed = "20251204"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.UnixMilli(1_700_000_000_000)

func profile(n byte) *config.Profile {
	return &config.Profile{Model: "m", Weights: config.Weights{Root: fleet.Digest{n}}}
}

func target(n byte, alongside bool) rollout.Target {
	t := rollout.Target{LoadsAlongside: alongside, ChecksFence: true, ActiveRoots: map[fleet.Digest]bool{}}
	for i := byte(1); i < 5; i++ {
		t.ActiveRoots[fleet.Digest{i}] = true
	}
	if n != 0 {
		t.Profile = profile(n)
	}
	return t
}

func report(fence int64, roots ...byte) *engine.Report {
	r := &engine.Report{BootID: "one", Warm: true, Fence: fence}
	for _, n := range roots {
		r.Loaded = append(r.Loaded, engine.Loaded{Model: "m", Root: fleet.Digest{n}})
	}
	return r
}

// driver passes events to a core with its own clock.
type driver struct {
	t    *testing.T
	core *rollout.Core
	now  time.Time
}

func (d *driver) step(e rollout.Event) []rollout.Action { return d.core.Step(d.now, e) }

func (d *driver) report(r *engine.Report) []rollout.Action {
	d.now = d.now.Add(time.Second)
	return d.step(rollout.Reported{RequestedAt: d.now, Report: r})
}

// load advances the core until it orders the load of a root.
func (d *driver) load(n byte, r *engine.Report) rollout.Load {
	d.t.Helper()
	actions := d.report(r)
	actions = append(actions, d.step(rollout.WeightsReady{Root: fleet.Digest{n}})...)
	for _, a := range actions {
		if l, ok := a.(rollout.Load); ok {
			require.Equal(d.t, fleet.Digest{n}, l.Profile.Weights.Root)
			return l
		}
	}
	d.t.Fatal("no load ordered")
	return rollout.Load{}
}

func newDriver(t *testing.T, settle time.Duration) *driver {
	return &driver{t: t, now: start, core: rollout.New(rollout.Options{Self: "a", StartedAt: start, OrderSettleTime: settle})}
}

// Guards against an order that an engine refuses because an earlier agent process
// with a faster clock sent a greater fencing token.
func TestFenceGrowsBeyondReport(t *testing.T) {
	d := newDriver(t, time.Second)
	d.step(target(1, true))
	d.report(report(0))
	first := d.load(1, report(0))
	require.Equal(t, start.UnixMilli(), first.Fence)
	d.step(rollout.OrderEnded{Err: engine.ErrFenced})
	ahead := start.UnixMilli() + 50_000
	second := d.load(1, report(ahead))
	require.Equal(t, ahead+1, second.Fence)
}

// Guards against an order that overlaps with one of an earlier agent process, or
// with one that timed out, at an engine that ignores fencing tokens.
func TestWaitsToSettleWhereTokensAreIgnored(t *testing.T) {
	settle := 10 * time.Second
	d := newDriver(t, settle)
	ignoring := target(1, true)
	ignoring.ChecksFence = false
	d.step(ignoring)
	d.report(report(0))
	d.step(rollout.WeightsReady{Root: fleet.Digest{1}})
	require.Empty(t, d.report(report(0)))
	d.now = start.Add(settle)
	d.load(1, report(0))
	d.step(rollout.OrderEnded{Err: errors.New("timeout")})
	require.Empty(t, d.report(report(0)))
	d.now = d.now.Add(settle)
	d.load(1, report(0))
}

// Guards against serving a root or sending an order because of a report from
// before the last order ended, or because of an order's response without a new
// report.
func TestServesOnlyAfterNewReport(t *testing.T) {
	d := newDriver(t, time.Second)
	d.step(target(1, true))
	d.report(report(0))
	d.load(1, report(0))
	requestedAt := d.now
	d.now = d.now.Add(time.Second)
	require.Empty(t, d.step(rollout.OrderEnded{}))
	require.Empty(t, d.step(rollout.Reported{RequestedAt: requestedAt, Report: report(0)}), "no second load")
	require.Contains(t, d.report(report(0, 1)), rollout.Action(rollout.Serve{Root: fleet.Digest{1}}))
}

// Guards against orders in quick succession to an engine that refuses them,
// and against a transfer that is not requested again after its chunks were freed.
func TestRetriesWithGrowingDelay(t *testing.T) {
	d := newDriver(t, time.Second)
	d.step(target(1, true))
	d.report(report(0))
	var waits []time.Duration
	for range 4 {
		d.load(1, report(0))
		ended := d.now
		actions := d.step(rollout.OrderEnded{Err: engine.ErrRefused})
		require.Empty(t, actions)
		for len(actions) == 0 || !isLoad(actions[0]) {
			d.now = d.now.Add(100 * time.Millisecond)
			actions = d.step(rollout.Reported{RequestedAt: d.now, Report: report(0)})
			if len(actions) > 0 && !isLoad(actions[0]) {
				require.IsType(t, rollout.Fetch{}, actions[0])
				d.step(rollout.WeightsReady{Root: fleet.Digest{1}})
			}
			require.Less(t, d.now.Sub(ended), time.Minute)
		}
		waits = append(waits, d.now.Sub(ended))
		d.step(rollout.OrderEnded{Err: engine.ErrFenced})
		d.now = d.now.Add(time.Minute)
	}
	for i := 1; i < len(waits); i++ {
		require.Greater(t, waits[i], waits[i-1])
	}
}

func isLoad(a rollout.Action) bool {
	_, ok := a.(rollout.Load)
	return ok
}

// Guards against an unload while calls still use the version.
func TestUnloadsAfterStreamsEnd(t *testing.T) {
	d := newDriver(t, time.Second)
	d.step(target(1, true))
	d.report(report(0, 1))
	d.step(target(2, true))
	d.load(2, report(0, 1))
	d.step(rollout.OrderEnded{})
	actions := d.report(report(0, 1, 2))
	require.Equal(t, []rollout.Action{
		rollout.Serve{Root: fleet.Digest{2}}, rollout.Drain{Root: fleet.Digest{1}, Seq: 1},
	}, actions)
	require.Empty(t, d.report(report(0, 1, 2)))
	d.step(target(1, true))
	d.step(target(2, true))
	require.Empty(t, d.step(rollout.Drained{Root: fleet.Digest{1}, Seq: 1}), "Drained answers a canceled drain")
	require.IsType(t, rollout.Unload{}, d.step(rollout.Drained{Root: fleet.Digest{1}, Seq: 3})[0])
}

// Guards against a retired version that stays in memory or is served.
func TestRetireFreesMemory(t *testing.T) {
	d := newDriver(t, time.Second)
	d.step(target(1, true))
	d.report(report(0, 1))
	actions := d.step(target(0, true))
	require.Equal(t, rollout.Serve{}, actions[0])
	require.IsType(t, rollout.Unload{}, d.step(rollout.Drained{Root: fleet.Digest{1}, Seq: 1})[0])
}

// Guards against a rollout that waits forever for an agent that is dead but still
// listed.
func TestDeadMemberDoesNotBlockTheRollout(t *testing.T) {
	for i := range 8 {
		first := target(1, false)
		first.Members = []fleet.Instance{{ID: fleet.InstanceID(fmt.Sprint("dead-", i)), Serving: fleet.Digest{1}}}
		second := first
		second.Profile = profile(2)
		d := newDriver(t, time.Second)
		d.step(first)
		d.report(report(0, 1))
		d.step(second)
		d.step(rollout.WeightsReady{Root: fleet.Digest{2}})
		d.now = d.now.Add(time.Minute)
		d.step(rollout.Reported{RequestedAt: d.now, Report: report(0, 1)})
		d.now = d.now.Add(time.Minute)
		d.step(rollout.Reported{RequestedAt: d.now, Report: report(0, 1)})
		require.True(t, d.core.Serving().IsZero(), "dead-%d", i)
	}
}

// Guards against a switch that waits forever after the target changed away from
// a root and back in mid-transfer: the first transfer of the root has ended.
func TestSwitchBackAndForthRequestsWeightsAgain(t *testing.T) {
	d := newDriver(t, time.Second)
	fetch := rollout.Action(rollout.Fetch{Profile: profile(2)})
	d.step(target(1, true))
	d.report(report(0, 1))
	require.Contains(t, d.step(target(2, true)), fetch)
	require.Empty(t, d.step(target(1, true)))
	require.Contains(t, d.step(target(2, true)), fetch)
	d.load(2, report(0, 1))
}

package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
)

// convergenceSeconds is the time after the end of faults within which all
// members must agree.
const convergenceSeconds = 30

// evidenceTTL is how long evidence about a crash is kept after its last change.
const evidenceTTL = 30 * time.Minute

// Guards against adoption that depends on the order of delivery: under loss,
// delay, partition, pause and restart no process may return to an older
// configuration, and afterwards all must hold the greatest stamp.
func TestAllReachTheGreatestStamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "n")
		w := newNetwork(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 3).Draw(t, "regions"))
		w.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		var greatest config.Stamp
		next := uint64(0)
		previous := map[*peer]config.Stamp{}
		check := func() {
			for _, p := range w.peers {
				require.GreaterOrEqual(t, p.Stamp().Compare(previous[p]), 0, "a process returned to an older configuration")
				previous[p] = p.Stamp()
				if p.accepted.Compare(greatest) > 0 {
					greatest = p.accepted
				}
			}
		}
		any := func(label string) *peer {
			return w.peers[rapid.SampledFrom(w.ids).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { check() },
			"step":    func(*rapid.T) { w.step() },
			"publish": func(*rapid.T) { next++; w.service = stamp(next) },
			"stale":   func(*rapid.T) { w.service = stamp(max(1, next/2)) },
			"service": func(*rapid.T) { w.serviceDown = !w.serviceDown },
			"pause":   func(*rapid.T) { p := any("paused"); p.paused = !p.paused },
			"cut": func(t *rapid.T) {
				k := rapid.SampledFrom(w.ids).Draw(t, "cut")
				w.partitioned = func(a, b fleet.InstanceID) bool { return (a < k) != (b < k) }
			},
			"restart": func(*rapid.T) {
				// At least one other process must hold the greatest stamp.
				p := any("restarted")
				for _, q := range w.peers {
					if q != p && !q.down && q.accepted == greatest {
						w.start(p.self)
						return
					}
				}
			},
		})
		w.lossRate, w.partitioned = 0, func(_, _ fleet.InstanceID) bool { return false }
		for _, p := range w.peers {
			p.paused = false
		}
		for range convergenceSeconds {
			w.step()
			check()
		}
		for _, p := range w.peers {
			require.Equal(t, greatest, p.Stamp())
		}
	})
}

// Guards against failed watchers that are not replaced, and against too many
// watchers.
func TestWatchersAreBoundedAndReplaced(t *testing.T) {
	const n, regions = 120, 3
	w := newNetwork(3, n, regions)
	w.service = stamp(1)
	for range convergenceSeconds {
		w.step()
	}
	require.Equal(t, map[fleet.Region]int{"r0": WatchersPerRegion, "r1": WatchersPerRegion, "r2": WatchersPerRegion}, w.watchers())
	for _, p := range w.peers {
		if p.Watching() {
			p.down = true
		}
	}
	for i := range 2 * convergenceSeconds {
		w.step()
		require.LessOrEqual(t, w.reads, 3*randomReadsPerSecond, "second %d", i)
	}
	for region, count := range w.watchers() {
		require.GreaterOrEqual(t, count, WatchersPerRegion, region)
		require.LessOrEqual(t, count, 2*WatchersPerRegion, region)
	}
}

// Guards against a thundering herd at the configuration service while it is
// down.
func TestRandomReadsAreBounded(t *testing.T) {
	w := newNetwork(4, 200, 4)
	w.serviceDown = true
	total := 0
	for range convergenceSeconds {
		w.step()
		total += w.reads
	}
	require.Positive(t, total)
	require.LessOrEqual(t, total, 2*randomReadsPerSecond*convergenceSeconds)
}

// Guards against decisions based on a lagging instance list: a member that
// announces that it leaves must be leaving everywhere although the list has it
// as live, and a restarted member must be live although the list does not name
// it yet.
func TestMemberStateOverridesLaggingList(t *testing.T) {
	w := newNetwork(5, 60, 3)
	for range 10 {
		w.step()
	}
	leaver := w.peers[w.ids[7]]
	w.execute(leaver, leaver.Leave(w.now))
	for range 8 {
		w.step()
	}
	for _, p := range w.peers {
		require.Equal(t, fleet.StateLeaving, memberOf(p.Members(), leaver.self.ID).State)
	}
	w.list = append(append([]fleet.Instance(nil), w.list[:7]...), w.list[8:]...)
	w.revision++
	leaver.down = true
	for range 15 {
		w.step()
	}
	for _, p := range w.peers {
		if p != leaver {
			require.Empty(t, memberOf(p.Members(), leaver.self.ID).ID)
		}
	}
	w.start(leaver.self)
	for range 15 {
		w.step()
	}
	for _, p := range w.peers {
		require.Equal(t, fleet.StateLive, memberOf(p.Members(), leaver.self.ID).State)
	}
}

func memberOf(list []fleet.Instance, id fleet.InstanceID) fleet.Instance {
	for _, m := range list {
		if m.ID == id {
			return m
		}
	}
	return fleet.Instance{}
}

// Guards against treating a running process as removed because the list dropped
// it by mistake.
func TestRunningProcessReturnsAfterTheListDroppedIt(t *testing.T) {
	w := newNetwork(6, 30, 1)
	for range 10 {
		w.step()
	}
	w.list = w.list[1:]
	w.revision++
	for range convergenceSeconds {
		w.step()
	}
	for _, p := range w.peers {
		require.Len(t, p.Members(), 30)
	}
}

// Guards against crash counts that grow with repeated delivery or get lost, against
// evidence that an answer does not clear everywhere, and against evidence that does
// not expire.
func TestCrashesCountOnceClearAndExpire(t *testing.T) {
	const f, g poison.Trait = 1, 2
	w := newNetwork(8, 40, 2)
	for range 5 {
		w.step()
	}
	crash := func(id int, s poison.Suspect) poison.Report {
		return poison.Report{Crash: poison.CrashID(id), Suspects: []poison.Suspect{s}}
	}
	for i := range poison.BlockAfter {
		p := w.peers[w.ids[i]]
		w.execute(p, p.AddCrashes(w.now, []poison.Report{crash(i, poison.Suspect{Trait: f}), crash(10+i, poison.Suspect{Trait: g})}))
		w.step()
	}
	for range convergenceSeconds {
		w.step()
	}
	blocked := func(t poison.Trait) poison.Decision {
		return poison.Decision{Verdict: poison.Blocked, Trait: t, Episodes: poison.BlockAfter}
	}
	for _, p := range w.peers {
		require.Equal(t, []poison.Decision{blocked(f), blocked(g)}, p.Suspicions(w.now))
	}
	for i := range poison.BlockAfter {
		p := w.peers["p0009"]
		w.execute(p, p.AddCrashes(w.now, []poison.Report{crash(i, poison.Suspect{Trait: f, Cleared: true})}))
	}
	for range convergenceSeconds {
		w.step()
	}
	for _, p := range w.peers {
		require.Equal(t, []poison.Decision{blocked(g)}, p.Suspicions(w.now))
	}
	w.now = w.now.Add(evidenceTTL)
	for range 2 {
		w.step()
	}
	for _, p := range w.peers {
		require.Empty(t, p.Suspicions(w.now))
		require.Empty(t, p.Crashes(w.now))
	}
}

// Guards against merges that depend on order or repetition. The reference keeps
// all records and takes the maximum of each part.
func TestMergeAgreesWithNaiveMaximum(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) Member {
		m := Member{Instance: instance(1, 1)}
		m.Version.Incarnation = fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		m.Version.Sequence = uint64(rapid.IntRange(1, 3).Draw(t, "sequence"))
		m.Listed = Listing{
			Revision:    uint64(rapid.IntRange(0, 3).Draw(t, "revision")),
			State:       ListState(rapid.IntRange(0, int(Delisted)).Draw(t, "state")),
			Incarnation: fleet.Incarnation(rapid.IntRange(0, 3).Draw(t, "listed")),
		}
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(record, 1, 8).Draw(t, "records")
		var version Version
		var listed Listing
		merged := list[0]
		for _, m := range list {
			if version.Less(m.Version) {
				version = m.Version
			}
			if listed.less(m.Listed) {
				listed = m.Listed
			}
			merged = combineMembers(merged, m)
		}
		require.Equal(t, version, merged.Version)
		require.Equal(t, listed, merged.Listed)
		require.Equal(t, merged, combineMembers(list[len(list)/2], merged))
	})
}

// Guards against applying a configuration at start before peers have answered.
func TestStartWaitsForAnswersOrTime(t *testing.T) {
	list := []fleet.Instance{instance(0, 1), instance(1, 1)}
	start := func() *Core {
		c := New(Options{Self: list[0], Now: epoch, StartWait: 2 * time.Second, Rand: rand.New(rand.NewPCG(9, 9))})
		c.SetInstanceList(epoch, list, 1)
		c.ConfigAccepted(epoch, stamp(1))
		return c
	}
	c := start()
	c.HandleAnswer(epoch, &Heartbeat{From: Member{Instance: list[1]}, Stamp: stamp(1), Starting: true, ServiceReadAge: -1})
	require.False(t, c.Started(epoch), "the peer is starting as well")
	c.HandleAnswer(epoch, &Heartbeat{From: Member{Instance: list[1]}, Stamp: stamp(2), ServiceReadAge: -1})
	require.False(t, c.Started(epoch), "a greater document is still expected")
	c.ConfigAccepted(epoch, stamp(2))
	require.True(t, c.Started(epoch))
	require.True(t, start().Started(epoch.Add(2*time.Second)))
	c = New(Options{Self: list[0], Now: epoch, StartWait: 2 * time.Second, Rand: rand.New(rand.NewPCG(9, 9))})
	c.SetInstanceList(epoch, nil, 1)
	require.False(t, c.Started(epoch), "the list does not name this process yet")
	c.SetInstanceList(epoch, list[:1], 2)
	require.True(t, c.Started(epoch), "no peer is listed")
}

// Guards against traffic above the limit when a whole failure domain leaves at
// once, and against members that still treat leaving ones as live.
func TestManyLeaveAtOnce(t *testing.T) {
	w := newNetwork(12, 120, 3)
	for range 10 {
		w.step()
	}
	for _, id := range w.ids {
		if p := w.peers[id]; p.self.Region == "r1" {
			w.execute(p, p.Leave(w.now))
		}
	}
	for _, p := range w.peers {
		p.sent = 0
	}
	const seconds = 12
	for range seconds {
		w.step()
	}
	for _, p := range w.peers {
		// One heartbeat a second and pushFanout messages per
		// urgentPushInterval.
		require.LessOrEqual(t, p.sent, seconds+pushFanout*(1+seconds/2))
		leaving := 0
		for _, m := range p.Members() {
			if m.State == fleet.StateLeaving {
				leaving++
			}
		}
		require.Equal(t, 40, leaving)
	}
}

// adoptionLimitSeconds is the target time within which a configuration change
// reaches all members.
const adoptionLimitSeconds = 19

// Guards against a configuration change that reaches all members only through
// the service. It must spread from one reader within the limit; if the regions
// are partitioned, from one reader in each.
func TestChangeSpreadsFromOneReader(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "regions partitioned": true} {
		const regions = 6
		w := newNetwork(11, 180, regions)
		for range 5 {
			w.step()
		}
		w.serviceDown = true
		if cut {
			w.partitioned = func(a, b fleet.InstanceID) bool { return w.peers[a].self.Region != w.peers[b].self.Region }
			for range convergenceSeconds {
				w.step()
			}
		}
		for _, id := range w.ids[:regions] {
			w.accept(w.peers[id], stamp(5))
			if !cut {
				break
			}
		}
		seconds := 0
		for missing := 1; missing > 0; seconds++ {
			require.LessOrEqual(t, seconds, adoptionLimitSeconds, name)
			w.step()
			missing = 0
			for _, p := range w.peers {
				if p.accepted != stamp(5) {
					missing++
				}
			}
		}
		t.Logf("%s: %d s", name, seconds)
	}
}

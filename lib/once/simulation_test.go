package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// runCounter is the reference: it counts the runs of each key or token over all
// instances and all their starts and never removes an entry.
type runCounter struct{ runs map[string]int }

// node is an instance with its clock, its current start and the published
// document that it uses. Times are in milliseconds.
type node struct {
	id        fleet.InstanceID
	skew      int
	startedAt int
	starts    int
	version   int
	memory    *Memory
	pending   []pending
}

type pending struct {
	ticket Ticket
	name   string
	from   int
}

const (
	simClockStep = 50
	simLifetime  = 1500
	simGrace     = 200
)

func simRules() Rules {
	return Rules{
		ClockStep: simClockStep * time.Millisecond, KeyLifetime: simLifetime * time.Millisecond,
		MaxFutureWait: 30 * time.Millisecond, TokenLifetime: 400 * time.Millisecond,
		Grace: simGrace * time.Millisecond, MaxRecords: 8, MaxRecordsPerCustomer: 8, MaxAnswerBytes: 100, MaxCachedBytes: 300,
	}
}

// simulation is a fleet whose publisher never changes final owners.
type simulation struct {
	now       int
	published []config.Owners
	nodes     []*node
	counter   runCounter
	tokens    []string
	keys      []string
	// random draws from uniform distributions. rapid's own draws favor small
	// values, which lead to few repeated submissions after long pauses.
	random *rand.Rand
}

func (sim *simulation) clock(n *node) Clock {
	return Clock{Wall: at(sim.now + n.skew), Elapsed: time.Duration(sim.now-n.startedAt) * time.Millisecond}
}

func (sim *simulation) restart(n *node) {
	n.starts++
	n.startedAt = sim.now
	n.pending = nil
	n.memory = NewMemory(Start{
		Instance: n.id, ID: fmt.Sprint(n.starts), Secret: []byte{byte(n.starts)}, StartedAt: at(sim.now + n.skew),
	}, simRules())
	n.memory.Configure(sim.published[n.version])
}

// publish publishes new owners that apply from the Until of the last document
// on, so that no final owner changes.
func (sim *simulation) publish() {
	last := sim.published[len(sim.published)-1]
	epochs := append([]config.OwnerEpoch(nil), last.Epochs...)
	ids := []fleet.InstanceID{"a", "b", "c"}
	sim.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	epochs = append(epochs, config.OwnerEpoch{Start: last.Until, Instances: ids[:1+sim.random.IntN(3)]})
	ahead := time.Duration(1+sim.random.IntN(800)) * time.Millisecond
	sim.published = append(sim.published, config.Owners{Epochs: epochs, Until: last.Until.Add(ahead)})
}

func (sim *simulation) submit(rt *rapid.T, n *node) {
	s := Submission{Customer: "c", Waited: sim.random.IntN(2) == 0}
	name := ""
	switch {
	case sim.random.IntN(4) == 0 && len(sim.tokens) > 0:
		s.Token = sim.tokens[len(sim.tokens)-1-sim.random.IntN(min(len(sim.tokens), 4))]
		name = s.Token
	case sim.random.IntN(4) == 0 || len(sim.keys) == 0:
		made := sim.now + sim.random.IntN(100) - 50
		sim.keys = append(sim.keys, keyAt(made, uint64(sim.random.IntN(4))).String())
		fallthrough
	default:
		s.Key = sim.keys[len(sim.keys)-1-sim.random.IntN(min(len(sim.keys), 8))]
		name = s.Key
	}
	v := n.memory.Admit(sim.clock(n), s)
	switch v.Kind {
	case Run:
		n.pending = append(n.pending, pending{ticket: v.Ticket, name: name, from: n.starts})
	case Replay:
		require.Equal(rt, name, string(v.Answer.Body), "the answer of another request")
		require.Equal(rt, 1, sim.counter.runs[name])
	case AnswerGone:
		require.Equal(rt, 1, sim.counter.runs[name])
	case Refuse:
		// Only the owner, whose memory covers the key or token, gives these
		// reasons: no earlier submission may have run.
		if v.Reason == KeyExpired || v.Reason == Full || v.Reason == InFuture || v.Reason == TokenExpired {
			require.Zero(rt, sim.counter.runs[name], "request that ran was reported as not run: %s", v.Reason)
		}
	}
}

// handOver confirms and finishes one of the admitted runs, which may have been
// pending for long.
func (sim *simulation) handOver(rt *rapid.T, n *node) {
	if len(n.pending) == 0 {
		return
	}
	i := sim.random.IntN(len(n.pending))
	p := n.pending[i]
	n.pending = append(n.pending[:i], n.pending[i+1:]...)
	if n.memory.Confirm(sim.clock(n), p.ticket) != "" {
		n.memory.Finish(sim.clock(n), p.ticket, NotRun, nil)
		return
	}
	sim.counter.runs[p.name]++
	require.LessOrEqual(rt, sim.counter.runs[p.name], 1, "ran twice: %s", p.name)
	if sim.random.IntN(2) == 0 {
		n.memory.Finish(sim.clock(n), p.ticket, Ran, &Answer{Body: []byte(p.name)})
	} else {
		n.memory.Finish(sim.clock(n), p.ticket, AnswerLost, nil)
	}
}

// step performs one random action of the fleet or injects one fault.
func (sim *simulation) step(rt *rapid.T) {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	switch sim.random.IntN(30) {
	case 0, 1, 2:
		sim.now += sim.random.IntN(60)
	case 3:
		if sim.random.IntN(4) == 0 {
			sim.now += sim.random.IntN(simLifetime)
		}
	case 4, 29:
		sim.restart(n)
	case 5, 6:
		// Between two readings, the clock is stepped by less than ClockStep.
		n.skew = sim.random.IntN(simClockStep) - simClockStep/2
	case 7:
		sim.publish()
	case 8, 9:
		n.version += sim.random.IntN(len(sim.published) - n.version)
		require.False(rt, n.memory.Configure(sim.published[n.version]), "reported changed final owners although none changed")
	case 10, 11:
		text, _, err := n.memory.Issue(sim.clock(n), "c")
		require.NoError(rt, err)
		sim.tokens = append(sim.tokens, text)
	case 12, 13, 14, 15:
		sim.handOver(rt, n)
	default:
		sim.submit(rt, n)
	}
}

// Guards against running a request twice and against reporting a request that
// ran as not run, in a fleet of three instances with restarts, pauses, clock
// steps, outdated documents and repeated submissions.
func TestFleetAgainstRunCounter(t *testing.T) {
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		sim := &simulation{counter: runCounter{runs: map[string]int{}}, random: rand.New(rand.NewPCG(seed, 1))}
		sim.published = []config.Owners{{
			Epochs: []config.OwnerEpoch{{Start: at(0), Instances: []fleet.InstanceID{"a", "b"}}}, Until: at(500),
		}}
		for _, id := range []fleet.InstanceID{"a", "b", "c"} {
			n := &node{id: id}
			sim.nodes = append(sim.nodes, n)
			sim.restart(n)
		}
		for range 1000 {
			sim.step(rt)
		}
		runs += len(sim.counter.runs)
	})
	require.Greater(t, runs, 1000, "too few requests ran for a meaningful check")
}

// Guards against an owner that depends on anything but the key, the epochs and
// the set of instances. The reference is a linear search through all epochs.
func TestOwnerAgainstNaiveSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var o config.Owners
		start := 0
		for range rapid.IntRange(0, 5).Draw(rt, "epochs") {
			start += rapid.IntRange(1, 50).Draw(rt, "length")
			ids := rapid.SliceOfN(rapid.SampledFrom([]fleet.InstanceID{"a", "b", "c", "d"}), 1, 4).Draw(rt, "ids")
			o.Epochs = append(o.Epochs, config.OwnerEpoch{Start: at(start), Instances: ids})
		}
		k := keyAt(rapid.IntRange(0, 200).Draw(rt, "made"), rapid.Uint64().Draw(rt, "n"))
		var want fleet.InstanceID
		for _, e := range o.Epochs {
			if k.Time().Before(e.Start) {
				continue
			}
			want = ""
			for _, id := range e.Instances {
				if want == "" || fleet.RendezvousWeight(k.String(), string(id)) > fleet.RendezvousWeight(k.String(), string(want)) {
					want = id
				}
			}
		}
		require.Equal(rt, want, Owner(o, k))
	})
}

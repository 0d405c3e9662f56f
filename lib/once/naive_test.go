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

func (w *simulation) clock(n *node) Clock {
	return Clock{Wall: at(w.now + n.skew), Elapsed: time.Duration(w.now-n.startedAt) * time.Millisecond}
}

func (w *simulation) restart(n *node) {
	n.starts++
	n.startedAt = w.now
	n.pending = nil
	n.memory = NewMemory(Start{
		Instance: n.id, ID: fmt.Sprint(n.starts), Secret: []byte{byte(n.starts)}, StartedAt: at(w.now + n.skew),
	}, simRules())
	n.memory.Configure(w.published[n.version])
}

// publish publishes new owners that apply from the Until of the last document
// on, so that no final owner changes.
func (w *simulation) publish() {
	last := w.published[len(w.published)-1]
	epochs := append([]config.OwnerEpoch(nil), last.Epochs...)
	ids := []fleet.InstanceID{"a", "b", "c"}
	w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	epochs = append(epochs, config.OwnerEpoch{Start: last.Until, Instances: ids[:1+w.random.IntN(3)]})
	ahead := time.Duration(1+w.random.IntN(800)) * time.Millisecond
	w.published = append(w.published, config.Owners{Epochs: epochs, Until: last.Until.Add(ahead)})
}

func (w *simulation) submit(rt *rapid.T, n *node) {
	s := Submission{Customer: "c", Waited: w.random.IntN(2) == 0}
	name := ""
	switch {
	case w.random.IntN(4) == 0 && len(w.tokens) > 0:
		s.Token = w.tokens[len(w.tokens)-1-w.random.IntN(min(len(w.tokens), 4))]
		name = s.Token
	case w.random.IntN(4) == 0 || len(w.keys) == 0:
		made := w.now + w.random.IntN(100) - 50
		w.keys = append(w.keys, keyAt(made, uint64(w.random.IntN(4))).String())
		fallthrough
	default:
		s.Key = w.keys[len(w.keys)-1-w.random.IntN(min(len(w.keys), 8))]
		name = s.Key
	}
	v := n.memory.Admit(w.clock(n), s)
	switch v.Kind {
	case Run:
		n.pending = append(n.pending, pending{ticket: v.Ticket, name: name, from: n.starts})
	case Replay:
		require.Equal(rt, name, string(v.Answer.Body), "the answer of another request")
		require.Equal(rt, 1, w.counter.runs[name])
	case Gone:
		require.Equal(rt, 1, w.counter.runs[name])
	case Refuse:
		// Only the owner, whose memory covers the key or token, gives these
		// reasons: no earlier submission may have run.
		if v.Reason == KeyExpired || v.Reason == Full || v.Reason == InFuture || v.Reason == TokenExpired {
			require.Zero(rt, w.counter.runs[name], "request that ran was reported as not run: %s", v.Reason)
		}
	}
}

// handOver confirms and finishes one of the admitted runs, which may have been
// pending for long.
func (w *simulation) handOver(rt *rapid.T, n *node) {
	if len(n.pending) == 0 {
		return
	}
	i := w.random.IntN(len(n.pending))
	p := n.pending[i]
	n.pending = append(n.pending[:i], n.pending[i+1:]...)
	if n.memory.Confirm(w.clock(n), p.ticket) != "" {
		n.memory.Finish(w.clock(n), p.ticket, NotRun, nil)
		return
	}
	w.counter.runs[p.name]++
	require.LessOrEqual(rt, w.counter.runs[p.name], 1, "ran twice: %s", p.name)
	if w.random.IntN(2) == 0 {
		n.memory.Finish(w.clock(n), p.ticket, Ran, &Answer{Body: []byte(p.name)})
	} else {
		n.memory.Finish(w.clock(n), p.ticket, AnswerLost, nil)
	}
}

// step performs one random action of the fleet or injects one fault.
func (w *simulation) step(rt *rapid.T) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(30) {
	case 0, 1, 2:
		w.now += w.random.IntN(60)
	case 3:
		if w.random.IntN(4) == 0 {
			w.now += w.random.IntN(simLifetime)
		}
	case 4, 29:
		w.restart(n)
	case 5, 6:
		// Between two readings, the clock is stepped by less than ClockStep.
		n.skew = w.random.IntN(simClockStep) - simClockStep/2
	case 7:
		w.publish()
	case 8, 9:
		n.version += w.random.IntN(len(w.published) - n.version)
		require.False(rt, n.memory.Configure(w.published[n.version]), "reported changed final owners although none changed")
	case 10, 11:
		text, _, err := n.memory.Issue(w.clock(n), "c")
		require.NoError(rt, err)
		w.tokens = append(w.tokens, text)
	case 12, 13, 14, 15:
		w.handOver(rt, n)
	default:
		w.submit(rt, n)
	}
}

// Guards against running a request twice and against reporting a request that
// ran as not run, in a fleet of three instances with restarts, pauses, clock
// steps, outdated documents and repeated submissions.
func TestFleetAgainstRunCounter(t *testing.T) {
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := &simulation{counter: runCounter{runs: map[string]int{}}, random: rand.New(rand.NewPCG(seed, 1))}
		w.published = []config.Owners{{
			Epochs: []config.OwnerEpoch{{Start: at(0), Instances: []fleet.InstanceID{"a", "b"}}}, Until: at(500),
		}}
		for _, id := range []fleet.InstanceID{"a", "b", "c"} {
			n := &node{id: id}
			w.nodes = append(w.nodes, n)
			w.restart(n)
		}
		for range 1000 {
			w.step(rt)
		}
		runs += len(w.counter.runs)
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
				if want == "" || fleet.Rank(k.String(), string(id)) > fleet.Rank(k.String(), string(want)) {
					want = id
				}
			}
		}
		require.Equal(rt, want, Owner(o, k))
	})
}

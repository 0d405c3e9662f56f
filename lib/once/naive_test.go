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

// everything is the naive version: one memory that sees all hand-overs of all
// instances and starts and never forgets.
type everything struct{ runs map[string]int }

// node is an instance with the clock, the start and the document it has.
type node struct {
	id      fleet.InstanceID
	skew    int
	began   int
	starts  int
	version int
	memory  *Memory
	pending []pending
}

type pending struct {
	ticket Ticket
	name   string
	from   int
}

const (
	simStep     = 50
	simLifetime = 1500
	simGrace    = 200
)

func simRules() Rules {
	return Rules{
		ClockStep: simStep * time.Millisecond, KeyLifetime: simLifetime * time.Millisecond,
		FutureWait: 30 * time.Millisecond, TokenLifetime: 400 * time.Millisecond,
		Grace: simGrace * time.Millisecond, MaxRecords: 8, MaxOfCustomer: 8, MaxAnswerBytes: 100, MaxHeldBytes: 300,
	}
}

// world is a fleet whose publisher keeps its promise.
type world struct {
	now   int
	docs  []config.Owners
	nodes []*node
	all   everything
	texts []string
	keys  []string
	// random chooses evenly; rapid's own draws favour small values, which
	// reach few repeats after long pauses.
	random *rand.Rand
}

func (w *world) clock(n *node) Clock {
	return Clock{Wall: at(w.now + n.skew), Elapsed: time.Duration(w.now-n.began) * time.Millisecond}
}

func (w *world) restart(n *node) {
	n.starts++
	n.began = w.now
	n.pending = nil
	n.memory = NewMemory(Start{
		Instance: n.id, ID: fmt.Sprint(n.starts), Secret: []byte{byte(n.starts)}, Began: at(w.now + n.skew),
	}, simRules())
	n.memory.Configure(w.docs[n.version])
}

// publish announces owners from a time that no earlier document had promised.
func (w *world) publish() {
	last := w.docs[len(w.docs)-1]
	epochs := append([]config.OwnerEpoch(nil), last.Epochs...)
	ids := []fleet.InstanceID{"a", "b", "c"}
	w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	epochs = append(epochs, config.OwnerEpoch{Start: last.Until, Instances: ids[:1+w.random.IntN(3)]})
	ahead := time.Duration(1+w.random.IntN(800)) * time.Millisecond
	w.docs = append(w.docs, config.Owners{Epochs: epochs, Until: last.Until.Add(ahead)})
}

func (w *world) submit(rt *rapid.T, n *node) {
	s := Submission{Customer: "c", Waited: w.random.IntN(2) == 0}
	name := ""
	switch {
	case w.random.IntN(4) == 0 && len(w.texts) > 0:
		s.Token = w.texts[len(w.texts)-1-w.random.IntN(min(len(w.texts), 4))]
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
		require.Equal(rt, 1, w.all.runs[name])
	case Gone:
		require.Equal(rt, 1, w.all.runs[name])
	case Refuse:
		// These reasons are given only by the one owner, whose memory covers
		// the key: no submission may have been handed over before.
		if v.Reason == KeyExpired || v.Reason == Full || v.Reason == InFuture || v.Reason == TokenExpired {
			require.Zero(rt, w.all.runs[name], "told that a request was not run that was: %s", v.Reason)
		}
	}
}

// handOver confirms an admitted run, which may have waited for long, and ends it.
func (w *world) handOver(rt *rapid.T, n *node) {
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
	w.all.runs[p.name]++
	require.LessOrEqual(rt, w.all.runs[p.name], 1, "ran twice: %s", p.name)
	if w.random.IntN(2) == 0 {
		n.memory.Finish(w.clock(n), p.ticket, Ran, &Answer{Body: []byte(p.name)})
	} else {
		n.memory.Finish(w.clock(n), p.ticket, Lost, nil)
	}
}

// step carries out one action of the fleet or one fault.
func (w *world) step(rt *rapid.T) {
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
		// Two readings of a clock differ by at most the clock step.
		n.skew = w.random.IntN(simStep) - simStep/2
	case 7:
		w.publish()
	case 8, 9:
		n.version += w.random.IntN(len(w.docs) - n.version)
		require.False(rt, n.memory.Configure(w.docs[n.version]), "a kept promise was taken for a broken one")
	case 10, 11:
		text, _, err := n.memory.Issue(w.clock(n), "c")
		require.NoError(rt, err)
		w.texts = append(w.texts, text)
	case 12, 13, 14, 15:
		w.handOver(rt, n)
	default:
		w.submit(rt, n)
	}
}

// Guards against a second run and a wrong "not run" of any fleet of three
// instances under restarts, pauses, clock steps, stale documents and repeats.
func TestFleetAgainstMemoryThatSeesEverything(t *testing.T) {
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		w := &world{all: everything{runs: map[string]int{}}, random: rand.New(rand.NewPCG(seed, 1))}
		w.docs = []config.Owners{{
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
		runs += len(w.all.runs)
	})
	require.Greater(t, runs, 1000, "too few requests ran for the check to mean anything")
}

// Guards against an owner that depends on more than the key, the epochs and
// the set of instances: a naive search through all epochs must agree.
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

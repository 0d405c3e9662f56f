package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// cuts are the ways in which the path to the store is cut.
var cuts = map[string]func(r *registry, on bool){
	"silent":  func(r *registry, on bool) { r.silent = on },
	"refused": func(r *registry, on bool) { r.refused = on },
}

// eachCut plays cuts of several lengths and kinds with several phases.
func eachCut(t *testing.T, upstreams int, f func(t *testing.T, p *trial, cut func(on bool), length time.Duration)) {
	eachLength(t, cuts, upstreams, f)
}

func eachLength(
	t *testing.T, cuts map[string]func(r *registry, on bool), upstreams int,
	f func(t *testing.T, p *trial, cut func(on bool), length time.Duration),
) {
	for name, cut := range cuts {
		for _, length := range []time.Duration{1500, 3000, 4600, 5500, 9000} {
			length *= time.Millisecond
			for seed := range uint64(12) {
				t.Run(fmt.Sprintf("%s/%v/%d", name, length, seed), func(t *testing.T) {
					play(t, seed, upstreams, func(t *testing.T, p *trial) {
						f(t, p, func(on bool) { p.registry.set(func() { cut(p.registry, on) }) }, length)
					})
				})
			}
		}
	}
}

// playRemoval removes an upstream at any moment of a cut, after which it must not be in use.
func playRemoval(t *testing.T, p *trial, cut func(on bool), length time.Duration) {
	cut(true)
	before := time.Duration(p.registry.random.Int64N(int64(length)))
	time.Sleep(before)
	p.leave("u00")
	time.Sleep(length - before)
	cut(false)
	time.Sleep(contactTime)
	require.False(t, p.uses("u00"), "removed %v after the begin", before)
	p.requireUsedAlways(t, "the others never left")
}

// Guards against an upstream that gets requests although its registration was removed while only
// the path of this process to the store was cut: the removal counted as a lapse, whose grace began
// with the first read that succeeded.
func TestRemovalDuringACut(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 20} {
		eachCut(t, upstreams, playRemoval)
	}
}

// Guards against a removal that is read late and then waits for the grace of a lapse: the connections
// of a cut stay silent after it, and the first read that succeeds is a snapshot, though the store has
// the history that shows that it was available.
func TestRemovalDuringACutThatLeavesDeadConnections(t *testing.T) {
	dead := map[string]func(r *registry, on bool){"dead": func(r *registry, on bool) { r.dead = on }}
	for _, upstreams := range []int{2, 3, 20} {
		eachLength(t, dead, upstreams, playRemoval)
	}
}

// Guards against a removal that waits for the grace of a lapse although the renewals of others show
// that the store was available.
func TestRenewalsShowThatTheStoreWasAvailable(t *testing.T) {
	play(t, 1, 20, func(t *testing.T, p *trial) {
		p.registry.set(func() { p.registry.silent = true })
		time.Sleep(5 * time.Second)
		p.leave("u00")
		time.Sleep(500 * time.Millisecond)
		p.registry.set(func() { p.registry.silent = false })
		time.Sleep(time.Second)
		require.False(t, p.uses("u00"))
		p.requireUsedAlways(t, "the others never left")
	})
}

// Guards against a cut whose end finds no history, so that nothing tells when a registration was
// removed: it was compacted, or the store was restored from a copy and has other numbers.
func TestRemovalDuringACutWithoutHistory(t *testing.T) {
	for name, forget := range map[string]func(r *registry){
		"compacted": func(r *registry) { r.compacted = true },
		"restored":  func(r *registry) { r.revision = published.NewRevision(2, r.revision.Number()-1) },
	} {
		t.Run(name, func(t *testing.T) {
			eachCut(t, 3, func(t *testing.T, p *trial, cut func(bool), length time.Duration) {
				cut(true)
				time.Sleep(length / 2)
				p.leave("u00")
				p.registry.set(func() { forget(p.registry) })
				time.Sleep(length / 2)
				cut(false)
				time.Sleep(contactTime)
				require.False(t, p.uses("u00"))
				p.requireUsedAlways(t, "the others never left")
			})
		})
	}
}

// Guards against an upstream that was known to be draining before a cut, or is then, and gets
// requests again after it, and against one that started again under its name and gets none.
func TestDrainAroundACut(t *testing.T) {
	eachCut(t, 3, func(t *testing.T, p *trial, cut func(bool), length time.Duration) {
		drain := func(id string) {
			p.mu.Lock()
			u := p.beating[id]
			u.Draining = true
			p.beating[id] = u
			p.mu.Unlock()
			p.registry.put(u)
		}
		drain("u00")
		time.Sleep(renewal)
		require.False(t, p.uses("u00"))
		cut(true)
		drain("u01")
		time.Sleep(length / 2)
		p.leave("u00")
		p.leave("u01")
		p.mu.Lock()
		again := p.beating["u02"]
		again.StartTime = 5
		p.beating["u02"] = again
		p.mu.Unlock()
		p.registry.remove("u02")
		p.registry.put(again)
		time.Sleep(length / 2)
		cut(false)
		for range 100 {
			time.Sleep(contactTime / 100)
			require.False(t, p.uses("u00"))
		}
		require.False(t, p.uses("u01"))
		p.requireUsedAlways(t, "it is registered again")
	})
}

// Guards against a service that is empty for seconds because the store was away for so long that
// all registrations expired, though nobody left, and against upstreams that ended in such an outage
// and stay in use.
func TestRegistrationsThatExpireInAnOutage(t *testing.T) {
	for _, upstreams := range []int{1, 3, 20} {
		for _, length := range []time.Duration{3800, 4500, 5500, 9000} {
			for seed := range uint64(12) {
				t.Run(fmt.Sprintf("%d/%v/%d", upstreams, length, seed), func(t *testing.T) {
					play(t, seed, upstreams, func(t *testing.T, p *trial) {
						removedAfter := time.Duration(p.registry.random.Int64N(int64(backFrom)))
						if seed%2 == 0 {
							removedAfter = 0
						}
						p.outage(length*time.Millisecond, removedAfter)
						time.Sleep(time.Second)
						p.requireUsedAlways(t, "nobody left")
					})
				})
			}
		}
	}
	for seed := range uint64(12) {
		play(t, seed, 20, func(t *testing.T, p *trial) {
			p.registry.set(func() { p.registry.down = true })
			p.end("u07")
			p.outage(5500*time.Millisecond, 0)
			time.Sleep(contactTime - backUntil)
			require.False(t, p.uses("u07"), "it has ended")
			p.requireUsedAlways(t, "the others are back")
		})
	}
}

package watcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

const (
	// contactTime is the time after an interruption within which a process must know what is
	// published again.
	contactTime = 3 * time.Second
	// renewal is the time between two renewals of a registration, and expiry the one after which
	// one that is not renewed is removed.
	renewal = published.DefaultRenewalInterval
	expiry  = 3 * renewal
	// backFrom and backUntil are the times after an outage of the store in which registrations
	// that expired in it are written again.
	backFrom  = 1300 * time.Millisecond
	backUntil = 2 * time.Second
	// dialTime bounds an attempt to reach the store, and redialTime the time in which one
	// notices that the path is back.
	dialTime   = time.Second
	redialTime = 250 * time.Millisecond
)

// registry is a store to which upstreams write, with a path that can be cut.
type registry struct {
	mu       sync.Mutex
	revision published.Revision
	items    map[string]published.Change
	written  map[string]time.Time
	history  []published.Change
	changed  chan struct{}
	// silent is set while the path drops packets, refused while it refuses connections, and
	// down while the store neither answers nor takes up what is written.
	silent, refused, down bool
	compacted             bool
	// closed is set while the store takes up nothing but what renewAnyway writes.
	closed bool
	random *rand.Rand
}

func newRegistry(seed uint64) *registry {
	return &registry{
		items: map[string]published.Change{}, written: map[string]time.Time{}, changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// put writes a registration, if the store is there.
func (r *registry) put(u published.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.closed {
		return
	}
	r.write(published.Change{Key: string(u.ID), Item: &u})
	r.written[string(u.ID)] = time.Now()
}

// write adds a change. The caller holds the lock.
func (r *registry) write(c published.Change) {
	r.revision++
	c.Revision = r.revision
	r.history = append(r.history, c)
	delete(r.items, c.Key)
	if !c.Removed {
		r.items[c.Key] = c
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.items[id]; ok {
		r.write(published.Change{Key: id, Removed: true})
	}
}

// expire removes the registrations that were not renewed.
func (r *registry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.items)) {
		if !r.down && !r.closed && time.Since(r.written[id]) > expiry {
			r.write(published.Change{Key: id, Removed: true})
		}
	}
}

func (r *registry) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// reach waits for the path, as the client of the store does.
func (r *registry) reach() error {
	begin, noticed := time.Now(), time.Time{}
	for {
		r.mu.Lock()
		refused, away := r.refused, r.silent || r.down
		if noticed.IsZero() && !away {
			noticed = time.Now()
			if time.Since(begin) > 0 {
				noticed = noticed.Add(time.Duration(r.random.Int64N(int64(redialTime))))
			}
		}
		r.mu.Unlock()
		switch {
		case refused:
			return fmt.Errorf("%w: %w", published.ErrUnreachable, published.ErrUnavailable)
		case !noticed.IsZero() && !time.Now().Before(noticed):
			return nil
		case time.Since(begin) >= dialTime:
			return published.ErrUnreachable
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *registry) Snapshot(context.Context, string, bool) (published.Batch, error) {
	if err := r.reach(); err != nil {
		return published.Batch{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := published.Batch{Revision: r.revision}
	for _, c := range r.items {
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

func (r *registry) Watch(ctx context.Context, _ string, after published.Revision, wait time.Duration) (published.Batch, error) {
	if err := r.reach(); err != nil {
		return published.Batch{}, err
	}
	end := time.Now().Add(wait)
	for {
		r.mu.Lock()
		b, cut, changed := r.since(after), r.silent || r.refused || r.down, r.changed
		compacted := r.compacted && after < r.revision
		r.mu.Unlock()
		switch {
		case cut && wait > resumeWait:
			// The connection is silent.
			_ = duty.Sleep(ctx, time.Until(end)+time.Second)
			return published.Batch{}, errSilent
		case compacted:
			r.set(func() { r.compacted = false })
			return published.Batch{}, published.ErrCompacted
		case len(b.Changes) > 0 || !time.Now().Before(end) || ctx.Err() != nil:
			return b, nil
		}
		timer := time.NewTimer(min(time.Until(end), 20*time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (r *registry) since(after published.Revision) published.Batch {
	b := published.Batch{Revision: r.revision}
	for _, c := range r.history {
		if c.Revision > after {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// trial is a play of upstreams that write to a registry and of a process that reads it.
type trial struct {
	registry *registry
	watcher  *Watcher
	mu       sync.Mutex
	beating  map[string]published.Upstream
	// used holds the upstreams that the process uses.
	used map[string]bool
	// absent holds for how long each upstream was not in use since it first was.
	absent map[string]time.Duration
}

// play starts upstreams whose renewals have random phases, and calls f after some seconds.
func play(t *testing.T, seed uint64, upstreams int, f func(t *testing.T, p *trial)) {
	synctest.Test(t, func(t *testing.T) {
		p := &trial{registry: newRegistry(seed), beating: map[string]published.Upstream{}, used: map[string]bool{}, absent: map[string]time.Duration{}}
		p.watcher = New(p.registry, "", 1250*time.Millisecond, log.NewLogfmtLogger(io.Discard))
		views := p.watcher.Subscribe()
		g := duty.NewGroup(t.Context())
		for i := range upstreams {
			p.start(g, fmt.Sprintf("u%02d", i), time.Duration(p.registry.random.Int64N(int64(renewal))))
		}
		g.Go("expiry", func(ctx context.Context) error {
			for duty.Sleep(ctx, 10*time.Millisecond) == nil {
				p.registry.expire()
			}
			return nil
		})
		g.Go("views", func(ctx context.Context) error {
			for {
				v, err := views.Take(ctx)
				if err != nil {
					return nil
				}
				p.note(v)
			}
		})
		g.Go("absence", func(ctx context.Context) error {
			for duty.Sleep(ctx, 10*time.Millisecond) == nil {
				p.count(10 * time.Millisecond)
			}
			return nil
		})
		p.watcher.Start(g)
		time.Sleep(2*renewal + time.Duration(p.registry.random.Int64N(int64(renewal))))
		f(t, p)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// start lets an upstream renew its registration.
func (p *trial) start(g *duty.Group, id string, phase time.Duration) {
	p.beating[id] = published.Upstream{ID: fleet.InstanceID(id), Service: "s"}
	p.registry.put(p.beating[id])
	g.Go("upstream", func(ctx context.Context) error {
		for next := phase; duty.Sleep(ctx, next) == nil; next = renewal {
			p.renew(id)
		}
		return nil
	})
}

func (p *trial) renew(id string) {
	p.mu.Lock()
	u, ok := p.beating[id]
	p.mu.Unlock()
	if ok {
		p.registry.put(u)
	}
}

// renewAnyway writes the registration of an upstream to a store that is closed to others.
func (p *trial) renewAnyway(id string) {
	p.registry.set(func() { p.registry.closed = false })
	p.renew(id)
	p.registry.set(func() { p.registry.closed = true })
}

// end stops the renewals of an upstream.
func (p *trial) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.beating, id)
}

// leave ends an upstream and removes its registration.
func (p *trial) leave(id string) {
	p.end(id)
	p.registry.remove(id)
}

// note records the upstreams of a view that may get requests.
func (p *trial) note(v *published.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = map[string]bool{}
	for _, u := range v.Upstreams {
		if !u.Draining {
			p.used[string(u.ID)] = true
			p.absent[string(u.ID)] += 0
		}
	}
}

func (p *trial) count(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.absent {
		if !p.used[id] {
			p.absent[id] += d
		}
	}
}

func (p *trial) uses(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used[id]
}

// requireUsedAlways fails the test if an upstream that runs all the time was not in use.
func (p *trial) requireUsedAlways(t *testing.T, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.beating {
		require.Zero(t, p.absent[id], "%s: %s was not in use", why, id)
	}
}

// cuts are the ways in which the path to the store is cut.
var cuts = map[string]func(r *registry, on bool){
	"silent":  func(r *registry, on bool) { r.silent = on },
	"refused": func(r *registry, on bool) { r.refused = on },
}

// eachCut plays cuts of several lengths and kinds with several phases.
func eachCut(t *testing.T, upstreams int, f func(t *testing.T, p *trial, cut func(on bool), length time.Duration)) {
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

// Guards against an upstream that gets requests although its registration was removed while only
// the path of this process to the store was cut: the removal counted as a lapse, whose grace began
// with the first read that succeeded.
func TestRemovalDuringACut(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 20} {
		eachCut(t, upstreams, func(t *testing.T, p *trial, cut func(bool), length time.Duration) {
			cut(true)
			before := time.Duration(p.registry.random.Int64N(int64(length)))
			time.Sleep(before)
			p.leave("u00")
			time.Sleep(length - before)
			cut(false)
			time.Sleep(contactTime)
			require.False(t, p.uses("u00"), "removed %v after the begin", before)
			p.requireUsedAlways(t, "the others never left")
		})
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

// Guards against a cut whose end finds the history compacted, so that nothing tells when a
// registration was removed.
func TestRemovalDuringACutWithoutHistory(t *testing.T) {
	eachCut(t, 3, func(t *testing.T, p *trial, cut func(bool), length time.Duration) {
		cut(true)
		time.Sleep(length / 2)
		p.leave("u00")
		time.Sleep(length / 2)
		p.registry.set(func() { p.registry.compacted = true })
		cut(false)
		time.Sleep(contactTime)
		require.False(t, p.uses("u00"))
		p.requireUsedAlways(t, "the others never left")
	})
}

// Guards against a cut whose end finds a store that was restored from a copy, which has other
// numbers and no history.
func TestRemovalDuringACutAndARestore(t *testing.T) {
	eachCut(t, 3, func(t *testing.T, p *trial, cut func(bool), length time.Duration) {
		cut(true)
		time.Sleep(length / 2)
		p.leave("u00")
		p.registry.set(func() { p.registry.revision = published.NewRevision(2, p.registry.revision.Number()-1) })
		time.Sleep(length / 2)
		cut(false)
		time.Sleep(contactTime)
		require.False(t, p.uses("u00"))
		p.requireUsedAlways(t, "the others never left")
	})
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

// outage makes the store unavailable for a time. All registrations are removed a moment after its
// end, and those of upstreams that still run are back soon after it.
func (p *trial) outage(length, removedAfter time.Duration) {
	r := p.registry
	r.set(func() { r.down = true })
	time.Sleep(length)
	p.mu.Lock()
	ids := slices.Sorted(maps.Keys(p.beating))
	p.mu.Unlock()
	r.set(func() { r.down, r.closed = false, true })
	time.Sleep(removedAfter)
	r.set(func() {
		for _, id := range slices.Sorted(maps.Keys(r.items)) {
			r.write(published.Change{Key: id, Removed: true})
		}
	})
	time.Sleep(backFrom - removedAfter)
	for _, id := range ids {
		p.renewAnyway(id)
		time.Sleep((backUntil - backFrom) / time.Duration(len(ids)))
	}
	r.set(func() { r.closed = false })
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

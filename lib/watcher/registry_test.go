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
	// watchMargin is the time that a watch may take beyond its wait, and snapshotTime the one of a
	// snapshot.
	watchMargin  = time.Second
	snapshotTime = 1500 * time.Millisecond
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
	// dead is set while connections open, and what is sent on them is never answered.
	dead      bool
	compacted bool
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

func (r *registry) isDead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

func (r *registry) Snapshot(ctx context.Context, _ string, _ bool) (published.Batch, error) {
	if err := r.reach(); err != nil {
		return published.Batch{}, err
	}
	if r.isDead() {
		_ = duty.Sleep(ctx, snapshotTime)
		return published.Batch{}, errSilent
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
	if r.isDead() {
		_ = duty.Sleep(ctx, wait+watchMargin)
		return published.Batch{}, errSilent
	}
	for {
		r.mu.Lock()
		b, cut, changed := r.since(after), r.silent || r.refused || r.down || r.dead, r.changed
		compacted := r.compacted && after < r.revision
		r.mu.Unlock()
		switch {
		case cut && wait > resumeWait:
			// The connection is silent.
			_ = duty.Sleep(ctx, time.Until(end)+watchMargin)
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

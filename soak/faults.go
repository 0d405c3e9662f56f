package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// faultPause bounds the time between the beginnings of two faults, and
	// faultLeast and faultMost that between a fault's beginning and its end.
	faultPause = 700 * time.Millisecond
	faultLeast = 300 * time.Millisecond
	faultMost  = 2500 * time.Millisecond
)

// step is one action of the plan.
type step struct {
	at   time.Duration
	name string
	do   func()
}

// director injects faults by a plan that its seed determines. It is the only
// one that signals processes and changes links.
type director struct {
	world  *world
	random *rand.Rand
	plan   []step
	log    func(format string, values ...any)
	// busy holds what a fault in progress uses.
	busy map[any]time.Duration
	// version is the newest version of the weights.
	version int64
}

// add puts an action into the plan.
func (d *director) add(at time.Duration, name string, do func()) {
	d.plan = append(d.plan, step{at: at, name: name, do: do})
}

// claim reserves something for a fault, so that the faults of one thing follow
// each other.
func (d *director) claim(what any, from, to time.Duration) bool {
	if d.busy[what] > from {
		return false
	}
	d.busy[what] = to
	return true
}

// make draws the plan of a soak.
func (d *director) make(length time.Duration) {
	kinds := []func(from, to time.Duration) bool{
		d.pause, d.killAndStart, d.stopAndStart, d.hangup, d.storeFault, d.frontFault, d.replicaFault, d.crash,
		d.leave, d.spoil, d.compact,
	}
	if d.world.options.Weights {
		kinds = append(kinds, d.originFault)
	}
	for at := time.Duration(0); at < length; at += time.Duration(d.random.Int64N(int64(faultPause))) {
		to := at + faultLeast + time.Duration(d.random.Int64N(int64(faultMost-faultLeast)))
		kinds[d.random.IntN(len(kinds))](at, to)
	}
	d.changes(length)
	slices.SortStableFunc(d.plan, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}

// changes plans what operators do.
func (d *director) changes(length time.Duration) {
	c := d.world.config
	for at := time.Second; at < length; at += 3 * (configTime + contactTime) {
		d.add(at, "a key is added", c.add)
		d.add(at+configTime+contactTime, "callers use the new key", c.use)
		d.add(at+2*(configTime+contactTime), "the old key is revoked", c.revoke)
	}
	if d.world.options.Weights {
		for at := 2 * time.Second; at < length; at += versionTime + time.Duration(d.random.Int64N(int64(versionTime))) {
			d.add(at, "new weights are named", d.nameVersion)
		}
	}
	at := time.Duration(d.random.Int64N(int64(length)))
	d.evacuate(at, at+2*evacuateTime)
}

func (d *director) nameVersion() {
	d.version++
	at := d.world.store.put(keyVersion+modelName, map[string]any{"model": modelName, "version": d.version})
	d.world.ledger.names("version", fmt.Sprint(d.version), at)
}

// run carries out the plan.
func (d *director) run(ctx context.Context) {
	begun := time.Now()
	for _, s := range d.plan {
		if duty.Sleep(ctx, s.at-time.Since(begun)) != nil || ctx.Err() != nil {
			return
		}
		d.log("%6.2f s  %s", time.Since(begun).Seconds(), s.name)
		s.do()
	}
}

func pick[T any](d *director, of []T) T { return of[d.random.IntN(len(of))] }

// during notes a disturbance between two actions.
func (d *director) during(what string, from, to time.Duration, name string, begin, end func()) bool {
	var ended func()
	d.add(from, name, func() {
		ended = d.world.ledger.disturbed(what)
		begin()
	})
	d.add(to, "end: "+name, func() {
		end()
		ended()
	})
	return true
}

// pause freezes a process.
func (d *director) pause(from, to time.Duration) bool {
	p := pick(d, d.world.processes())
	return d.claim(p, from, to) && d.during(p.machine.name, from, to, "freeze "+p.name(),
		func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// killAndStart ends a process at once and starts it again.
func (d *director) killAndStart(from, to time.Duration) bool {
	p := pick(d, d.world.processes())
	return d.claim(p, from, to) && d.during(p.machine.name, from, to, "kill "+p.name(), p.kill, d.again(p))
}

func (d *director) again(p *process) func() {
	return func() {
		if err := p.launch(d.world); err != nil {
			d.world.ledger.breaks("START: " + err.Error())
		}
	}
}

// stopAndStart asks a process to end and starts it again after its grace.
func (d *director) stopAndStart(from, _ time.Duration) bool {
	p := pick(d, d.world.processes())
	to := from + graceTime + time.Second
	return d.claim(p, from, to) && d.during(p.machine.name, from, to, "stop "+p.name(),
		func() { p.signal(syscall.SIGTERM) },
		func() {
			select {
			case <-p.done:
			default:
				d.world.ledger.breaks(fmt.Sprintf("GRACE: %s has not ended %s after SIGTERM", p.name(), to-from))
				p.kill()
			}
			d.again(p)()
		})
}

// hangup sends SIGHUP to a process.
func (d *director) hangup(from, to time.Duration) bool {
	p := pick(d, d.world.processes())
	if d.claim(p, from, to) {
		d.add(from, "SIGHUP to "+p.name(), func() { p.signal(syscall.SIGHUP) })
	}
	return true
}

var badModes = []linkMode{slow, refusing, deaf, mute, silent}

func (d *director) linkFault(l *link, what, name string, from, to time.Duration) bool {
	if !d.claim(l, from, to) {
		return false
	}
	mode := pick(d, badModes)
	return d.during(what, from, to, fmt.Sprintf("link fault %d at %s", mode, name),
		func() {
			l.set(mode)
			if mode == refusing {
				l.reset()
			}
		}, func() { l.set(passing) })
}

// storeFault harms the link between the store and one machine, or all of them.
func (d *director) storeFault(from, to time.Duration) bool {
	if d.random.IntN(3) > 0 {
		m := pick(d, d.world.processes()).machine
		return d.linkFault(m.store, m.name, "the store of "+m.name, from, to)
	}
	seen := map[*machine]bool{}
	for _, p := range d.world.processes() {
		if m := p.machine; !seen[m] {
			seen[m] = true
			d.linkFault(m.store, m.name, "the store of "+m.name, from, to)
		}
	}
	return true
}

// frontFault harms the link between callers and a gateway.
func (d *director) frontFault(from, to time.Duration) bool {
	m := pick(d, d.world.gateways).machine
	return d.linkFault(m.front, m.name, "the front of "+m.name, from, to)
}

// replicaFault harms the link between gateways and a replica.
func (d *director) replicaFault(from, to time.Duration) bool {
	r := pick(d, d.world.replicas())
	return d.claim(r, from, to) && d.linkFault(r.link, r.link.address, r.name, from, to)
}

func (d *director) originFault(from, to time.Duration) bool {
	return d.linkFault(d.world.origin, "origin", "the origin", from, to)
}

// crash ends a replica, which starts again under a new id.
func (d *director) crash(from, to time.Duration) bool {
	r := pick(d, d.world.replicas())
	power := d.random.IntN(2) == 0
	return d.claim(r, from, to) && d.claim(r.link, from, to) &&
		d.during(r.link.address, from, to, "crash "+r.name, func() { r.crash(power) }, r.boot)
}

// leave drains a replica, which ends later and starts again at its address.
func (d *director) leave(from, _ time.Duration) bool {
	r := pick(d, d.world.replicas())
	to := from + drainTime + 2*time.Second
	silent := d.random.IntN(2) == 0
	if !d.claim(r, from, to) || !d.claim(r.link, from, to) {
		return false
	}
	d.add(from, "drain "+r.name, func() {
		id, at := r.leave(silent)
		d.world.ledger.names("leaving", id, at)
	})
	d.add(to, "end: drain "+r.name, func() {
		r.crash(true)
		r.boot()
	})
	return true
}

// spoil turns a piece that lies at an engine bad.
func (d *director) spoil(from, _ time.Duration) bool {
	e := pick(d, d.world.engines)
	d.add(from, "a piece at "+e.name+" turns bad", func() { tell(e.now, func(s *start) { s.weights.rot() }) })
	return true
}

// compact makes the store discard its history.
func (d *director) compact(from, _ time.Duration) bool {
	d.add(from, "the store discards its history", d.world.store.compact)
	return true
}

// evacuate takes a zone out of service and back.
func (d *director) evacuate(from, to time.Duration) {
	zone := pick(d, zones)
	var ended func()
	d.add(from, "evacuate "+zone, func() {
		ended = d.world.ledger.names("evacuated", zone, d.world.store.put(keyOut+zone, map[string]any{}))
	})
	d.add(to, "end: evacuate "+zone, func() {
		ended()
		d.world.store.remove(keyOut + zone)
	})
}

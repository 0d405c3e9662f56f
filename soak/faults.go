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
	// maxFaultInterval bounds the interval between the starts of two faults.
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	maxFaultInterval = 700 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// step is one action of the plan. at is relative to the start of the plan.
type step struct {
	at     time.Duration
	name   string
	action func()
}

// faultInjector injects faults by a plan that the seed of the soak determines.
// While the plan runs, nothing else signals processes or changes the modes of links.
type faultInjector struct {
	env     *environment
	callers *callerGroup
	random  *rand.Rand
	plan    []step
	log     func(format string, values ...any)
	// busyUntil holds for each process, link and replica when the last fault
	// planned for it ends.
	busyUntil map[any]time.Duration
	// version is the newest published version of the weights, and versionsAt are the times
	// at which versions are planned to be published.
	version    int64
	versionsAt []time.Duration
}

// add adds an action to the plan, to be run at the given time from its start.
func (f *faultInjector) add(at time.Duration, name string, action func()) {
	f.plan = append(f.plan, step{at: at, name: name, action: action})
}

// claim reserves a target for a fault, so that faults of one target do not
// overlap. It reports false if the target is still reserved at from.
func (f *faultInjector) claim(target any, from, to time.Duration) bool {
	if f.busyUntil[target] > from {
		return false
	}
	f.busyUntil[target] = to
	return true
}

// planPart is a part of the plan with a source of its own, so that changes of a part leave the
// others as the seed determined them before.
type planPart uint64

const (
	faultPart planPart = iota
	restorePart
	limitPart
	pausePart
	silencePart
	burstPart
	outagePart
)

// source returns the source of a part of the plan.
func (f *faultInjector) source(part planPart) *rand.Rand {
	return rand.New(rand.NewPCG(f.env.options.Seed, uint64(part)))
}

// makePlan generates the plan of a soak. Faults begin within length from the start
// of the plan; their ends and the last changes may come later.
func (f *faultInjector) makePlan(length, pauseLength time.Duration) {
	f.random = f.source(faultPart)
	kinds := []func(from, to time.Duration) bool{
		f.freeze, f.killAndRestart, f.stopAndRestart, f.sendHangup, f.storeFault, f.frontFault, f.replicaFault, f.crashReplica,
		f.drainReplica, f.corruptPiece, f.compactStore,
	}
	if f.env.options.Weights {
		kinds = append(kinds, f.originFault)
	}
	for at := time.Duration(0); at < length; at += time.Duration(f.random.Int64N(int64(maxFaultInterval))) {
		to := at + minFaultDuration + time.Duration(f.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		kinds[f.random.IntN(len(kinds))](at, to)
	}
	f.planChanges(length)
	f.planRestores(length)
	f.planLimits(length)
	f.planStoreSilences(length)
	f.planStoreOutage()
	f.planPauses(length, pauseLength)
	if f.env.options.Bursts {
		f.planBursts(length, pauseLength)
	}
	slices.SortStableFunc(f.plan, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}

// planChanges plans the changes that operators make: new keys, new weights and
// one evacuation.
func (f *faultInjector) planChanges(length time.Duration) {
	c := f.env.config
	for at := time.Second; at < length; at += 3 * (configTime + undisturbedTime) {
		f.add(at, "a key is added", c.addKey)
		f.add(at+configTime+undisturbedTime, "callers use the new key", c.switchKey)
		f.add(at+2*(configTime+undisturbedTime), "the old key is revoked", c.revokeKey)
	}
	if f.env.options.Weights {
		for at := 2 * time.Second; at < length; at += versionTime + time.Duration(f.random.Int64N(int64(versionTime))) {
			f.add(at, "new weights are named", f.publishVersion)
			f.versionsAt = append(f.versionsAt, at)
		}
	}
	at := time.Duration(f.random.Int64N(int64(length)))
	f.evacuateZone(at, at+2*evacuateTime)
}

// publishVersion publishes a new target version of the weights.
func (f *faultInjector) publishVersion() {
	f.version++
	at := f.env.store.put(keyVersion+modelName, map[string]any{"model": modelName, "version": f.version})
	f.env.ledger.addChange("version", fmt.Sprint(f.version), at)
}

// run carries out the plan and returns early if ctx ends.
func (f *faultInjector) run(ctx context.Context) {
	startedAt := time.Now()
	for _, s := range f.plan {
		if duty.Sleep(ctx, s.at-time.Since(startedAt)) != nil || ctx.Err() != nil {
			return
		}
		f.log("%6.2f s  %s", time.Since(startedAt).Seconds(), s.name)
		s.action()
	}
}

// pick returns a random item.
func pick[T any](f *faultInjector, items []T) T { return items[f.random.IntN(len(items))] }

// addDisturbance plans a fault that begins and ends with the given actions, and
// records the target as disturbed in between, and as interrupted if the fault may end
// requests there. It returns true, as the functions that plan faults do on success.
func (f *faultInjector) addDisturbance(target string, interrupts bool, from, to time.Duration, name string, begin, end func()) bool {
	markEnd, markInterruptionEnd := func() {}, func() {}
	f.add(from, name, func() {
		markEnd = f.env.ledger.startDisturbance(target)
		if interrupts {
			markInterruptionEnd = f.env.ledger.startInterruption(target)
		}
		begin()
	})
	f.add(to, "end: "+name, func() {
		end()
		markEnd()
		markInterruptionEnd()
	})
	return true
}

// freeze suspends a process with SIGSTOP and resumes it with SIGCONT.
func (f *faultInjector) freeze(from, to time.Duration) bool {
	p := pick(f, f.env.processes())
	return f.claim(p, from, to) && f.addDisturbance(p.machine.name, p.isGateway(), from, to, "freeze "+p.name(),
		func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// killAndRestart kills a process with SIGKILL and starts it again.
func (f *faultInjector) killAndRestart(from, to time.Duration) bool {
	p := pick(f, f.env.processes())
	return f.claim(p, from, to) && f.addDisturbance(p.machine.name, p.isGateway(), from, to, "kill "+p.name(), p.kill, f.restart(p))
}

// restart returns an action that starts a process again. A failure to start is
// a violation.
func (f *faultInjector) restart(p *process) func() {
	return func() {
		if err := p.launch(f.env); err != nil {
			f.env.ledger.addViolation("START: " + err.Error())
		}
	}
}

// stopAndRestart stops a process with SIGTERM and starts it again one second after
// its grace period. A process that has not ended by then is a violation.
func (f *faultInjector) stopAndRestart(from, _ time.Duration) bool {
	return f.stopProcess(pick(f, f.env.processes()), from)
}

// stopProcess plans a planned stop of a process. That interrupts no request.
func (f *faultInjector) stopProcess(p *process, from time.Duration) bool {
	to := from + graceTime + time.Second
	return f.claim(p, from, to) && f.addDisturbance(p.machine.name, false, from, to, "stop "+p.name(),
		func() {
			if p.isGateway() {
				f.env.ledger.addStop(p.machine.name)
				p.stopping.Store(true)
			}
			p.signal(syscall.SIGTERM)
		},
		func() {
			select {
			case <-p.done:
			default:
				f.env.ledger.addViolation(fmt.Sprintf("GRACE: %s has not ended %s after SIGTERM", p.name(), to-from))
				p.kill()
			}
			f.restart(p)()
		})
}

// sendHangup sends SIGHUP to a process. That does not count as a disturbance.
func (f *faultInjector) sendHangup(from, to time.Duration) bool {
	p := pick(f, f.env.processes())
	if f.claim(p, from, to) {
		f.add(from, "SIGHUP to "+p.name(), func() { p.signal(syscall.SIGHUP) })
	}
	return true
}

// faultModes are the modes of a link that count as faults.
var faultModes = []linkMode{slow, refusing, blockToTarget, blockFromTarget, blockBoth}

// linkFault plans a random fault mode for a link. target is what it disturbs, name
// is the link's name in the plan. interrupts says that requests of callers pass it.
func (f *faultInjector) linkFault(l *link, interrupts bool, target, name string, from, to time.Duration) bool {
	if !f.claim(l, from, to) {
		return false
	}
	mode := pick(f, faultModes)
	return f.addDisturbance(target, interrupts, from, to, fmt.Sprintf("link fault %d at %s", mode, name),
		func() {
			l.setMode(mode)
			if mode == refusing {
				l.reset()
			}
		}, func() { l.setMode(forwarding) })
}

// storeFault disturbs the link between the store and one machine, or in a third
// of the cases the links of all machines.
func (f *faultInjector) storeFault(from, to time.Duration) bool {
	if f.random.IntN(3) > 0 {
		m := pick(f, f.env.processes()).machine
		return f.linkFault(m.store, false, m.name, "the store of "+m.name, from, to)
	}
	for _, m := range f.machines() {
		f.linkFault(m.store, false, m.name, "the store of "+m.name, from, to)
	}
	return true
}

// machines returns the machines of all processes.
func (f *faultInjector) machines() []*machine {
	var machines []*machine
	for _, p := range f.env.processes() {
		if !slices.Contains(machines, p.machine) {
			machines = append(machines, p.machine)
		}
	}
	return machines
}

// frontFault disturbs the link between callers and one gateway.
func (f *faultInjector) frontFault(from, to time.Duration) bool {
	m := pick(f, f.env.gateways).machine
	return f.linkFault(m.front, true, m.name, "the front of "+m.name, from, to)
}

// replicaFault disturbs the link between gateways and one replica.
func (f *faultInjector) replicaFault(from, to time.Duration) bool {
	r := pick(f, f.env.replicas())
	return f.claim(r, from, to) && f.linkFault(r.link, true, r.link.address, r.name, from, to)
}

// originFault disturbs the link to the origin of the weights.
func (f *faultInjector) originFault(from, to time.Duration) bool {
	return f.linkFault(f.env.origin, false, "origin", "the origin", from, to)
}

// crashReplica crashes a replica, in half of the cases by a power loss. The replica
// restarts under a new id.
func (f *faultInjector) crashReplica(from, to time.Duration) bool {
	r := pick(f, f.env.replicas())
	powerLoss := f.random.IntN(2) == 0
	return f.claim(r, from, to) && f.claim(r.link, from, to) &&
		f.addDisturbance(r.link.address, true, from, to, "crash "+r.name, func() { r.crash(powerLoss) }, r.boot)
}

// drainReplica drains a replica, in half of the cases unannounced. Two seconds after
// drainTime, the replica ends and restarts at the same address under a new id.
func (f *faultInjector) drainReplica(from, _ time.Duration) bool {
	r := pick(f, f.env.replicas())
	to := from + drainTime + 2*time.Second
	unannounced := f.random.IntN(2) == 0
	if !f.claim(r, from, to) || !f.claim(r.link, from, to) {
		return false
	}
	f.add(from, "drain "+r.name, func() {
		id, at := r.drain(unannounced)
		f.env.ledger.addChange("leaving", id, at)
	})
	f.add(to, "end: drain "+r.name, func() {
		defer f.env.ledger.startInterruption(r.link.address)()
		r.crash(true)
		r.boot()
	})
	return true
}

// corruptPiece corrupts a piece that is staged at an engine.
func (f *faultInjector) corruptPiece(from, _ time.Duration) bool {
	e := pick(f, f.env.engines)
	f.add(from, "a piece at "+e.name+" turns bad", func() { apply(e.state, func(s *replicaState) { s.weights.corruptPiece() }) })
	return true
}

// compactStore makes the store discard its history.
func (f *faultInjector) compactStore(from, _ time.Duration) bool {
	f.add(from, "the store discards its history", f.env.store.compact)
	return true
}

// evacuateZone evacuates a random zone and puts it back into service later.
func (f *faultInjector) evacuateZone(from, to time.Duration) {
	zone := pick(f, zones)
	var markEnd func()
	f.add(from, "evacuate "+zone, func() {
		markEnd = f.env.ledger.addChange("evacuated", zone, f.env.store.put(keyEvacuation+zone, map[string]any{}))
	})
	f.add(to, "end: evacuate "+zone, func() {
		markEnd()
		f.env.store.remove(keyEvacuation + zone)
	})
}

const (
	// maxRestoreAge bounds the age of the copy from which the store is restored.
	maxRestoreAge = 5 * time.Second
	// lostVersions is the number of versions of the configuration that are published
	// shortly before a restore. Only the last one is written again, so that the store's
	// revisions stay below those that are known for a while.
	lostVersions = 40
	// maxSilentChange is how long after the connections to the store fell silent a replica
	// leaves, or new weights are named, at the latest.
	maxSilentChange = 2500 * time.Millisecond
	// maxSilenceSpread is how much later than the first machine others lose their
	// connections to the store, so that they also notice it one after the other.
	maxSilenceSpread = 2 * time.Second
	// minOutage and maxOutage bound how long the store refuses all requests after new weights
	// were named.
	minOutage = time.Second
	maxOutage = 4 * time.Second
	// limitTime is how long replicas name a limit.
	limitTime = 9 * time.Second
	// minNamedLimit and maxNamedLimit bound the limits, in tenths of requests per second.
	// They are far below what a replica gets.
	minNamedLimit = 5
	maxNamedLimit = 20
)

// planRestores plans one or two restores of the store.
func (f *faultInjector) planRestores(length time.Duration) {
	random := f.source(restorePart)
	for range 1 + random.IntN(2) {
		at := length/4 + time.Duration(random.Int64N(int64(length/2)))
		age := time.Duration(random.Int64N(int64(maxRestoreAge)))
		f.add(max(at-age/2, 0), "the configuration is published several times", func() { f.env.config.republish(lostVersions) })
		f.add(at, fmt.Sprintf("the store is restored from a copy that is %s old", age.Round(time.Millisecond)), func() {
			f.env.restoreStore(age, random)
		})
	}
}

// planStoreSilences plans that all open connections to the store fall silent for good, right
// before changes that they miss: those of all machines at once before a replica leaves, and
// one after the other around the naming of new weights.
func (f *faultInjector) planStoreSilences(length time.Duration) {
	random := f.source(silencePart)
	for range 1 + random.IntN(2) {
		at := time.Duration(random.Int64N(int64(length)))
		for _, m := range f.machines() {
			f.silenceStore(m, at)
		}
		f.drainReplica(at+time.Duration(random.Int64N(int64(maxSilentChange))), 0)
	}
	if len(f.versionsAt) == 0 {
		return
	}
	at := f.versionsAt[random.IntN(len(f.versionsAt))] - time.Duration(random.Int64N(int64(maxSilentChange)))
	for _, m := range f.machines() {
		f.silenceStore(m, max(at+time.Duration(random.Int64N(int64(maxSilenceSpread))), 0))
	}
}

// planStoreOutage plans that the store refuses all requests while new weights are named.
func (f *faultInjector) planStoreOutage() {
	if len(f.versionsAt) == 0 {
		return
	}
	random := f.source(outagePart)
	named := f.versionsAt[random.IntN(len(f.versionsAt))]
	from := max(named-time.Duration(random.Int64N(int64(maxSilentChange))), 0)
	to := named + minOutage + time.Duration(random.Int64N(int64(maxOutage-minOutage)))
	for _, m := range f.machines() {
		f.addDisturbance(m.name, false, from, to, "the store refuses "+m.name, func() {
			f.env.store.refusing.Store(true)
			m.store.reset()
		}, func() { f.env.store.refusing.Store(false) })
	}
}

// silenceStore plans that the open connections of a machine to the store fall silent.
func (f *faultInjector) silenceStore(m *machine, at time.Duration) {
	f.addDisturbance(m.name, false, at, at, "the connections of "+m.name+" to the store fall silent", m.store.silence, func() {})
}

// planLimits plans that some replicas name limits for a while.
func (f *faultInjector) planLimits(length time.Duration) {
	random := f.source(limitPart)
	at := time.Duration(random.Int64N(int64(length / 2)))
	for _, r := range f.env.replicas() {
		if random.IntN(2) == 0 {
			continue
		}
		perSecond := float64(minNamedLimit+random.IntN(maxNamedLimit-minNamedLimit)) / 10
		var markEnd func()
		f.add(at, fmt.Sprintf("%s names a limit of %v", r.name, perSecond), func() {
			id := r.setLimit(perSecond)
			markEnd = f.env.ledger.addChange("limit", fmt.Sprint(id, " ", perSecond), time.Now())
		})
		f.add(at+limitTime, "end: "+r.name+" names a limit", func() {
			markEnd()
			r.setLimit(0)
		})
	}
}

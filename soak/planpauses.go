package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// minPause and maxPause bound how long a replica is silent. Callers bear it.
	minPause = 800 * time.Millisecond
	maxPause = 1800 * time.Millisecond
	// armTime is how long a pause waits for a request to reach its point.
	armTime = time.Second
	// pauseInterval is the mean interval between two pauses amid all other faults,
	// calmInterval that between two actions of the time with few other faults.
	pauseInterval = 2 * time.Second
	calmInterval  = 450 * time.Millisecond
	// turnInterval is the interval between pauses of replicas one after the other.
	turnInterval = 500 * time.Millisecond
	// stormVersions is the number of configurations in a storm, stormInterval the time
	// between two.
	stormVersions = 20
	stormInterval = 25 * time.Millisecond
	// launchTime is the time in which a launched process begins to handle signals.
	launchTime = 300 * time.Millisecond
	// maxSecondSignal bounds the time from a SIGTERM to a second one.
	maxSecondSignal = 4 * time.Second
)

// pausePlan plans pauses of replicas and what comes with them.
type pausePlan struct {
	*faultInjector
	random *rand.Rand
}

// planPauses plans pauses amid the other faults, which begin within length, and a time of
// pauses and planned stops with few other faults after that.
func (f *faultInjector) planPauses(length, pauseLength time.Duration) {
	if pauseLength == 0 {
		return
	}
	p := &pausePlan{f, f.source(pausePart)}
	for at := p.below(pauseInterval); at < length; at += p.below(2 * pauseInterval) {
		p.pauseOne(at)
	}
	kinds := []func(at time.Duration){
		p.pauseOne, p.pauseOne, p.pauseOne, p.pauseAll, p.pauseInTurn, p.silence, p.change, p.change, p.change,
		p.stopGateway, p.stopGateway, p.restart,
	}
	for at := length; at < length+pauseLength; at += p.below(2 * calmInterval) {
		kinds[p.random.IntN(len(kinds))](at)
	}
}

// below draws a duration below a maximum.
func (p *pausePlan) below(longest time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(longest)))
}

// replica draws a replica.
func (p *pausePlan) replica() *replica {
	all := append(p.env.replicas(), p.env.annex)
	return all[p.random.IntN(len(all))]
}

// service draws all replicas of a service.
func (p *pausePlan) service() []*replica {
	if p.random.IntN(2) == 0 {
		return p.env.engines
	}
	return p.env.plainReplicas
}

// addPause plans a pause of a replica.
func (p *pausePlan) addPause(r *replica, at time.Duration, point pausePoint) {
	duration := minPause + p.below(maxPause-minPause)
	p.add(at, fmt.Sprintf("%s pauses for %s, %s", r.name, duration.Round(time.Millisecond), point), func() { r.pause(point, duration) })
	if point != anywhere {
		p.add(at+armTime, r.name+" pauses if it has not yet", r.triggerPause)
	}
}

func (p *pausePlan) pauseOne(at time.Duration) {
	p.addPause(p.replica(), at, pausePoint(p.random.IntN(int(pausePoints))))
}

func (p *pausePlan) pauseAll(at time.Duration) {
	for _, r := range p.service() {
		p.addPause(r, at, anywhere)
	}
}

func (p *pausePlan) pauseInTurn(at time.Duration) {
	for i, r := range p.service() {
		p.addPause(r, at+time.Duration(i)*turnInterval, anywhere)
	}
}

// silence makes the connections to a replica silent for good.
func (p *pausePlan) silence(at time.Duration) {
	r := p.replica()
	p.add(at, "connections to "+r.name+" fall silent", r.link.silence)
}

// change plans a change of the configuration that is taken back, or a storm of versions.
func (p *pausePlan) change(at time.Duration) {
	c := p.env.config
	to := at + minFaultDuration + p.below(maxFaultDuration)
	if !p.claim(c, at, to) {
		return
	}
	var back func()
	switch p.random.IntN(4) {
	case 0:
		name := []string{plainService, engineService, annexService}[p.random.IntN(3)]
		p.add(at, name+" leaves the configuration", func() { c.leaveOut(name) })
		p.add(to, "end: "+name+" leaves the configuration", func() { c.leaveOut("") })
	case 1:
		p.add(at, "routes move to the annex", func() { back = c.moveRoutes() })
		p.add(to, "end: routes move to the annex", func() { back() })
	case 2:
		p.add(at, "timeouts are short", func() { back = c.shortenTimeouts() })
		p.add(to, "end: timeouts are short", func() { back() })
	default:
		for i := range stormVersions {
			p.add(at+time.Duration(i)*stormInterval, "the configuration is published again", func() { c.republish(1) })
		}
	}
}

// stopGateway plans a planned stop of a gateway, in half of the cases with a second
// SIGTERM. Stops of several gateways may overlap.
func (p *pausePlan) stopGateway(at time.Duration) {
	g := p.env.gateways[p.random.IntN(len(p.env.gateways))]
	if p.stopProcess(g, at) && p.random.IntN(2) == 0 {
		p.add(at+p.below(maxSecondSignal), "second SIGTERM to "+g.name(), func() { g.signal(syscall.SIGTERM) })
	}
}

// restart plans the crash of a replica or a SIGHUP of a gateway.
func (p *pausePlan) restart(at time.Duration) {
	g := p.env.gateways[p.random.IntN(len(p.env.gateways))]
	if p.random.IntN(2) == 0 {
		// A signal ends a process that does not handle signals yet.
		if p.claim(g, at-launchTime, at) {
			p.add(at, "SIGHUP to "+g.name(), func() { g.signal(syscall.SIGHUP) })
		}
		return
	}
	replicas := p.env.replicas()
	r := replicas[p.random.IntN(len(replicas))]
	to := at + minFaultDuration + p.below(maxFaultDuration)
	if p.claim(r, at, to) && p.claim(r.link, at, to) {
		p.addDisturbance(r.link.address, true, at, to, "crash "+r.name, func() { r.crash(false) }, r.boot)
	}
}

package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// delayedNetwork delivers all messages after a delay. Its processes tick out of phase.
type delayedNetwork struct {
	*network
	delay  time.Duration
	events []timedEvent
}

type timedEvent struct {
	at  time.Time
	run func()
}

func (d *delayedNetwork) after(delay time.Duration, run func()) {
	e := timedEvent{at: d.now.Add(delay), run: run}
	i, _ := slices.BinarySearchFunc(d.events, e, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	d.events = slices.Insert(d.events, i, e)
}

func (d *delayedNetwork) tick(p *peer) {
	d.send(p, p.Tick(d.now))
	d.after(HeartbeatInterval, func() { d.tick(p) })
}

func (d *delayedNetwork) send(p *peer, actions []Action) {
	for _, a := range actions {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		q := d.peers[s.To.ID]
		d.after(d.delay, func() {
			answer, further := q.HandleHeartbeat(d.now, &s.Message)
			d.send(q, further)
			d.after(d.delay, func() { d.send(p, p.HandleAnswer(d.now, &answer)) })
		})
	}
}

func (d *delayedNetwork) runUntil(end time.Time) {
	for len(d.events) > 0 && d.events[0].at.Before(end) {
		e := d.events[0]
		d.events = d.events[1:]
		d.now = e.at
		e.run()
	}
	d.now = end
}

// Guards against a fleet that takes its configuration for fresh although no process has read
// the service for long: each process reports the youngest read that it heard of, and the delay
// of each message makes that younger.
func TestDelayOfHeartbeatsMakesNoReadYounger(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		d := delayedNetwork{network: newNetwork(1, 60, 2), delay: delay}
		for i, id := range d.ids {
			p := d.peers[id]
			d.after(time.Duration(i)*HeartbeatInterval/time.Duration(len(d.ids)), func() { d.tick(p) })
		}
		d.peers[fleet.InstanceID("p0000")].ServiceRead(epoch)
		const silence = 30 * time.Second
		d.runUntil(epoch.Add(silence))
		for _, p := range d.peers {
			age, known := p.ServiceReadAge(d.now)
			require.True(t, known)
			require.GreaterOrEqual(t, age, silence, "delay %s", delay)
			require.False(t, p.Fresh(d.now))
		}
	}
}

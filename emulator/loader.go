package emulator

import (
	"time"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/staging"
)

const (
	// loaderTick is the time between two steps of a loader, placeTime the time in
	// which it stores a copy at its engine.
	loaderTick = 100 * time.Millisecond
	placeTime  = 50 * time.Millisecond
)

// loader runs the product's staging core beside one engine. Copies of published
// versions become complete at times that the scenario sets.
type loader struct {
	sim     *simulation
	engine  *engine
	core    *staging.Core
	placing bool
	served  int64
}

func newLoader(s *simulation, e *engine) *loader {
	return &loader{sim: s, engine: e, core: staging.New(modelName, layers, s.scenario.Weights.Window), served: e.version}
}

// step reports the engine's state to the core and carries out its next action.
func (l *loader) step() {
	e := l.engine
	if e.down {
		l.core.ReportFailed()
		return
	}
	l.core.SetEngines(e.address, l.sim.addresses)
	l.core.SetTarget(l.sim.desired())
	l.core.SetReport(l.report())
	switch action, version := l.core.Next(l.sim.clock.now); action {
	case staging.Place:
		l.place(version)
	case staging.Order:
		l.order(version)
	case staging.Idle, staging.Fetch:
	}
}

func (l *loader) report() staging.Report {
	e := l.engine
	r := staging.Report{StartTime: e.starts, Busy: e.loading != 0, Running: len(e.running), Waiting: len(e.waiting)}
	if e.version > 0 {
		r.Copies = []published.Copy{{Model: modelName, Version: e.version, Layers: layers}}
	}
	return r
}

func (l *loader) place(version int64) {
	if l.placing {
		return
	}
	l.placing = true
	l.sim.clock.after(placeTime, func() {
		l.placing = false
		l.core.MarkPlaced(version)
	})
}

// order makes the engine load a version and tells the gateways, as the loader role
// does.
func (l *loader) order(version int64) {
	e := l.engine
	orderedAt := l.sim.clock.now
	l.core.MarkOrdered(orderedAt, version)
	l.sim.notify(e, 0, l.served)
	previous := l.served
	e.order(version, func() {
		l.served = version
		l.sim.engineLoaded(e, previous, l.sim.clock.now.Sub(orderedAt))
	})
}

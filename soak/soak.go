// Package soak runs the programs of rattanspur as separate processes on
// loopback, injects faults from outside them, and checks from what callers and
// replicas see whether the promises hold.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
)

// Options say what a soak runs.
type Options struct {
	// Seed determines the faults.
	Seed uint64
	// Binary is the program under test, Gateway the one that stands between
	// callers and replicas.
	Binary  string
	Gateway string
	// Logs is the folder for what the processes print.
	Logs string
	// Gateways, Engines and Desks are the numbers of each, Callers that of
	// callers.
	Gateways int
	Engines  int
	Desks    int
	Callers  int
	// Weights starts the processes that bring weights to engines.
	Weights bool
	// Length is how long faults are injected.
	Length time.Duration
	// Timed checks the promises with a time.
	Timed bool
	// Out receives the faults as they happen.
	Out io.Writer
}

// Report is what a soak saw.
type Report struct {
	Faults   int
	Attempts int
	Runs     int
	Answers  int
	// Broken are the promises that were broken.
	Broken []string
}

const (
	// readyMost bounds the time until the processes serve, and recoverMost that
	// after the last fault.
	readyMost   = 60 * time.Second
	recoverMost = 60 * time.Second
	// recoverTime is that bound where promises with a time are checked.
	recoverTime = 15 * time.Second
	// servedShare is the part of requests that must be served again.
	servedShare = 0.9
	// countTime is the time over which served requests are counted.
	countTime = time.Second
	// settle is how long runs may go on after the last caller left.
	settle = 300 * time.Millisecond
)

// Run plays one soak.
func Run(ctx context.Context, o Options) (*Report, error) {
	w, err := newWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	b := &balancer{world: w, out: make([]atomic.Bool, len(w.gateways))}
	callers := duty.NewGroup(w.group.Context())
	callers.Go("balancer", b.run)
	var asked, served atomic.Int64
	for i := range o.Callers {
		c := &caller{name: fmt.Sprintf("caller-%d", i), world: w, balancer: b, asked: &asked, served: &served}
		callers.Go(c.name, c.run)
	}
	serves := func(most time.Duration) bool { return w.serves(ctx, &asked, &served, most) }
	if !serves(readyMost) {
		return nil, eris.New("requests are not served before the first fault")
	}
	d := &director{
		world: w, random: rand.New(rand.NewPCG(o.Seed, 0)), busy: map[any]time.Duration{}, version: 1,
		log: func(format string, values ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", values...) },
	}
	d.make(o.Length)
	d.run(ctx)
	most := recoverMost
	if o.Timed {
		most = recoverTime
	}
	if !serves(most) {
		w.ledger.breaks(fmt.Sprintf("RECOVER: requests are not served %s after the last fault", most))
	}
	callers.Stop()
	if err := callers.Wait(); err != nil {
		return nil, err
	}
	_ = duty.Sleep(ctx, settle)
	r := w.ledger.take()
	report := &Report{Faults: len(d.plan), Attempts: len(r.sent), Answers: len(r.answers), Broken: check(r, o.Timed)}
	for _, runs := range r.runs {
		report.Runs += len(runs)
	}
	return report, ctx.Err()
}

// serves waits until most requests are served and engines serve the wanted
// weights.
func (w *world) serves(ctx context.Context, asked, served *atomic.Int64, most time.Duration) bool {
	until := time.Now().Add(most)
	for ctx.Err() == nil && time.Now().Before(until) {
		before, beforeServed := asked.Load(), served.Load()
		_ = duty.Sleep(ctx, countTime)
		n := asked.Load() - before
		if n > 0 && float64(served.Load()-beforeServed) >= servedShare*float64(n) && w.current() {
			return true
		}
	}
	return false
}

// current reports whether every engine serves the newest weights.
func (w *world) current() bool {
	if !w.options.Weights {
		return true
	}
	wanted := w.ledger.newest("version")
	for _, e := range w.engines {
		if ask(e.now, func(s *start) int64 { return s.weights.loaded }) < wanted {
			return false
		}
	}
	return true
}

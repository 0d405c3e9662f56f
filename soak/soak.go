// Package soak runs the programs of rattanspur as separate processes on
// loopback, injects faults from the outside, and checks the guarantees against
// what callers and replicas observe. The output of the commands calls a violation
// a broken promise.
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

// Options configure a soak.
type Options struct {
	// Seed determines the plan of faults.
	Seed uint64
	// Binary is the path of the program under test, Gateway that of the program
	// that runs as gateway.
	Binary  string
	Gateway string
	// Logs is the folder for the logs of the processes.
	Logs string
	// Gateways, Engines, PlainReplicas and Callers are the number of each. A plain
	// replica runs the service that is not a model engine.
	Gateways      int
	Engines       int
	PlainReplicas int
	Callers       int
	// Weights starts the processes that distribute weights to engines.
	Weights bool
	// Length is the time in which new faults begin. PauseLength is the time after that in
	// which replicas fall silent and go on, amid planned stops and changes of the
	// configuration but few other faults. If it is 0, replicas neither pause nor work
	// slowly.
	Length      time.Duration
	PauseLength time.Duration
	// Timed enables the checks of guarantees with a time limit.
	Timed bool
	// Out receives one line for each action of the plan when it happens.
	Out io.Writer
}

// Report is the result of a soak.
type Report struct {
	// Actions is the number of actions in the plan: starts and ends of faults, and
	// changes that operators make.
	Actions int
	// Attempts is the number of requests that callers sent, retries included, Runs
	// the number of runs at replicas, and Answers the number of answers that callers
	// received.
	Attempts int
	Runs     int
	Answers  int
	// Violations describes each violation of a guarantee.
	Violations []string
}

const (
	// startTimeout bounds the time until requests are served at the start, and
	// recoveryTimeout the time until they are served again after the last fault.
	startTimeout    = 60 * time.Second
	recoveryTimeout = 60 * time.Second
	// timedRecoveryTimeout replaces recoveryTimeout if time limits are checked.
	timedRecoveryTimeout = 15 * time.Second
	// minServedShare is the share of requests that must be served.
	minServedShare = 0.9
	// countInterval is the interval over which served requests are counted.
	countInterval = time.Second
	// settleTime is how long runs may still be recorded after the callers stopped.
	settleTime = 300 * time.Millisecond
)

// Run runs one soak. Violations are part of the report. It returns an error if the
// soak could not be carried out or ctx ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	env, err := newEnvironment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer env.close()
	b := &balancer{env: env, excluded: make([]atomic.Bool, len(env.gateways))}
	callers := duty.NewGroup(env.group.Context())
	callers.Go("balancer", b.run)
	var expected, served atomic.Int64
	for i := range o.Callers {
		c := &caller{name: callerName(i), faithful: i%faithfulOneIn == 0, env: env, balancer: b, expected: &expected, served: &served}
		callers.Go(c.name, c.run)
	}
	waitServing := func(timeout time.Duration) bool { return env.waitServing(ctx, &expected, &served, timeout) }
	if !waitServing(startTimeout) {
		return nil, eris.New("requests are not served before the first fault")
	}
	injector := &faultInjector{
		env: env, random: rand.New(rand.NewPCG(o.Seed, 0)), busyUntil: map[any]time.Duration{}, version: 1,
		log: func(format string, values ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", values...) },
	}
	injector.makePlan(o.Length, o.PauseLength)
	injector.run(ctx)
	timeout := recoveryTimeout
	if o.Timed {
		timeout = timedRecoveryTimeout
	}
	if !waitServing(timeout) {
		env.ledger.addViolation(fmt.Sprintf("RECOVER: requests are not served %s after the last fault", timeout))
	}
	callers.Stop()
	if err := callers.Wait(); err != nil {
		return nil, err
	}
	_ = duty.Sleep(ctx, settleTime)
	r := env.ledger.take()
	report := &Report{Actions: len(injector.plan), Attempts: len(r.requests), Violations: check(r, o.Timed)}
	for _, a := range r.answers {
		if a.status != 0 {
			report.Answers++
		}
	}
	for _, runs := range r.runs {
		report.Runs += len(runs)
	}
	return report, ctx.Err()
}

// waitServing waits until most requests are served and engines serve the target
// version of the weights. It reports false after the timeout.
func (env *environment) waitServing(ctx context.Context, expected, served *atomic.Int64, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		expectedBefore, servedBefore := expected.Load(), served.Load()
		_ = duty.Sleep(ctx, countInterval)
		n := expected.Load() - expectedBefore
		if n > 0 && float64(served.Load()-servedBefore) >= minServedShare*float64(n) && env.weightsCurrent() {
			return true
		}
	}
	return false
}

// weightsCurrent reports whether every engine serves the newest version of the
// weights.
func (env *environment) weightsCurrent() bool {
	if !env.options.Weights {
		return true
	}
	target := env.ledger.latestNumber("version")
	for _, e := range env.engines {
		if call(e.state, func(s *replicaState) int64 { return s.weights.loaded }) < target {
			return false
		}
	}
	return true
}

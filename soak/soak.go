// Package soak runs the programs of rattanspur as separate processes on
// loopback, injects faults from the outside, and checks the guarantees against
// what callers and replicas observe. The output of the commands calls a violation
// a broken promise.
package soak

import (
	"context"
	"fmt"
	"io"
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
	// Length is the time in which new faults begin; without it, there are none. PauseLength is the time after that in
	// which replicas fall silent and go on, amid planned stops and changes of the
	// configuration but few other faults. If it is 0, replicas neither pause nor work
	// slowly.
	Length      time.Duration
	PauseLength time.Duration
	// Bursts adds bursts of more requests than the replicas can serve: one before the
	// first fault, and others amid the faults and amid the pauses.
	Bursts bool
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
	callers := newCallerGroup(env)
	if !callers.waitServing(ctx, startTimeout) {
		return nil, eris.New("requests are not served before the first fault")
	}
	injector := &faultInjector{
		env: env, callers: callers, busyUntil: map[any]time.Duration{}, version: 1,
		log: func(format string, values ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", values...) },
	}
	if o.Length > 0 {
		injector.makePlan(o.Length, o.PauseLength)
	}
	if o.Bursts {
		callers.runBurst(ctx)
	}
	injector.run(ctx)
	timeout := recoveryTimeout
	if o.Timed {
		timeout = timedRecoveryTimeout
	}
	if !callers.waitServing(ctx, timeout) {
		env.ledger.addViolation(fmt.Sprintf("RECOVER: requests are not served %s after the last fault", timeout))
	}
	callers.group.Stop()
	if err := callers.group.Wait(); err != nil {
		return nil, err
	}
	_ = duty.Sleep(ctx, settleTime)
	r := env.ledger.take()
	if r == nil {
		// The owner of the ledger has ended with the context.
		return nil, ctx.Err()
	}
	for i := range r.changes {
		if r.changes[i].category == "burst" {
			injector.log("served of the calls in a burst: %v", r.burstShares(&r.changes[i]))
		}
	}
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

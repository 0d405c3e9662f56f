package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/standin"
)

const (
	// coldAgents, coldEntries and coldCallers are the numbers of processes and
	// of concurrent callers. The callers exceed the capacity of all engines.
	coldAgents  = 4
	coldEntries = 4
	coldCallers = 96
	// coldFaults is the number of times that an engine returns to cold start:
	// the first half by a restart, the other half without one.
	coldFaults = 8
	// coldFaultInterval is the time between two faults, in which engines ramp
	// up.
	coldFaultInterval = time.Second
	// failureDelay is how long a caller waits after a refused or failed call.
	failureDelay = 10 * time.Millisecond
)

// coldLimits are the limits of the stand-in engines. In the run with the ramp,
// the configuration has the same limits.
var coldLimits = config.Limits{Cold: 4, Warm: 16, RampStep: 4}

// Cold measures how many calls beyond their limit engines receive in cold start,
// while they restart and turn cold under load from several entries. A second run
// without the ramp must exceed the limit; otherwise the measurement would detect
// nothing.
func Cold(ctx context.Context, env Env) error {
	withRamp, err := coldRun(ctx, env, coldLimits)
	if err != nil {
		return err
	}
	env.Report.Add("cold.over_limit", float64(withRamp.OverBound), "calls", figure.AtMost(0))
	env.Report.Add("cold.over_before_report", float64(withRamp.OverBeforeReport), "calls", figure.NoBound)
	env.Report.Add("cold.answered", float64(withRamp.Finished), "calls", figure.NoBound)
	limits := coldLimits
	limits.Cold = limits.Warm
	withoutRamp, err := coldRun(ctx, env, limits)
	if err != nil {
		return err
	}
	env.Report.Note("cold: without the ramp (limits.cold = limits.warm) %d calls over the limit, %d answered",
		withoutRamp.OverBound, withoutRamp.Finished)
	if withoutRamp.OverBound == 0 {
		return fmt.Errorf("no call was over the limit without the ramp, so the check detects nothing")
	}
	return nil
}

// coldRun runs the load and the faults with the given limits in the
// configuration. It returns the sums of the counts of all engines.
func coldRun(ctx context.Context, env Env, limits config.Limits) (standin.EngineCounts, error) {
	var sum standin.EngineCounts
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: coldAgents, Entries: coldEntries, Regions: regions, Limits: limits,
		Engine: standin.EngineOptions{
			ChecksFence: true, KeepsVersions: true, TokenTime: 2 * time.Millisecond, WarmAfter: 8,
			ColdBound: coldLimits.Cold, WarmBound: coldLimits.Warm,
		},
	})
	if err != nil {
		return sum, err
	}
	defer l.Close()
	stop := startCallers(ctx, l, coldCallers, func(lab.Answer, error) {})
	for i := range coldFaults {
		if err := duty.Sleep(ctx, coldFaultInterval); err != nil {
			stop()
			return sum, err
		}
		e := l.Agents[i%coldAgents].Engine
		if i < coldFaults/2 {
			e.Restart(ctx)
		} else {
			e.TurnCold(ctx)
		}
	}
	err = duty.Sleep(ctx, coldFaultInterval)
	stop()
	for _, p := range l.Agents {
		c := p.Engine.Counts(ctx)
		sum.OverBound += c.OverBound
		sum.OverBeforeReport += c.OverBeforeReport
		sum.Finished += c.Finished
	}
	return sum, err
}

// startCallers starts callers that send chat completions, each through one
// entry, until the returned function is called, which waits for them. observe
// receives every response and is called from several goroutines.
func startCallers(ctx context.Context, l *lab.Lab, callers int, observe func(lab.Answer, error)) (stop func()) {
	var group sync.WaitGroup
	var stopping atomic.Bool
	for i := range callers {
		group.Go(func() {
			for !stopping.Load() && ctx.Err() == nil {
				a, err := l.Chat(ctx, i%len(l.Entries), "load")
				observe(a, err)
				if err != nil || a.Status != 200 {
					_ = duty.Sleep(ctx, failureDelay)
				}
			}
		})
	}
	return func() {
		stopping.Store(true)
		group.Wait()
	}
}

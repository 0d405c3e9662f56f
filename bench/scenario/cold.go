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
	// coldAgents, coldEntries and coldCallers size the scenario: the callers
	// are more than all engines can bear.
	coldAgents  = 4
	coldEntries = 4
	coldCallers = 96
	// coldFaults is the number of times that an engine turns cold.
	coldFaults = 8
	// coldBetween is the time between two faults, in which engines ramp up.
	coldBetween = time.Second
	// refusedPause is how long a refused caller waits before it comes again.
	refusedPause = 10 * time.Millisecond
)

// coldLimits are the bounds of the stand-in engine and, with the gate's ramp
// in force, of the configuration.
var coldLimits = config.Limits{Cold: 4, Warm: 16, RampStep: 4}

// Cold measures how many calls beyond its bound an engine in cold start gets
// while engines restart and turn cold under load from several entries.
func Cold(ctx context.Context, env Env) error {
	on, err := coldRun(ctx, env, coldLimits)
	if err != nil {
		return err
	}
	env.Report.Add("cold.over_limit", float64(on.OverBound), "calls", figure.AtMost(0))
	env.Report.Add("cold.over_before_report", float64(on.OverBeforeReport), "calls", figure.NoBound)
	env.Report.Add("cold.answered", float64(on.Finished), "calls", figure.NoBound)
	without := coldLimits
	without.Cold = without.Warm
	off, err := coldRun(ctx, env, without)
	if err != nil {
		return err
	}
	env.Report.Note("cold: without the ramp (limits.cold = limits.warm) %d calls over the limit, %d answered",
		off.OverBound, off.Finished)
	if off.OverBound == 0 {
		return fmt.Errorf("the check finds nothing without the ramp")
	}
	return nil
}

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
	stop := callAll(ctx, l, coldCallers, func(lab.Answer, error) {})
	for i := range coldFaults {
		if err := duty.Sleep(ctx, coldBetween); err != nil {
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
	err = duty.Sleep(ctx, coldBetween)
	stop()
	for _, p := range l.Agents {
		c := p.Engine.Counts(ctx)
		sum.OverBound += c.OverBound
		sum.OverBeforeReport += c.OverBeforeReport
		sum.Finished += c.Finished
	}
	return sum, err
}

// callAll keeps callers sending chat completions through all entries until the
// returned function is called. seen gets every answer, from several goroutines.
func callAll(ctx context.Context, l *lab.Lab, callers int, seen func(lab.Answer, error)) (stop func()) {
	var group sync.WaitGroup
	var ending atomic.Bool
	for i := range callers {
		group.Go(func() {
			for !ending.Load() && ctx.Err() == nil {
				a, err := l.Chat(ctx, i%len(l.Entries), "load")
				seen(a, err)
				if err != nil || a.Status != 200 {
					_ = duty.Sleep(ctx, refusedPause)
				}
			}
		})
	}
	return func() {
		ending.Store(true)
		group.Wait()
	}
}

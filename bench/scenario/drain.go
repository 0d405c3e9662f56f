package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

const (
	// drainAgents, drainEntries and drainCallers are the numbers of processes
	// and of concurrent callers.
	drainAgents  = 4
	drainEntries = 2
	drainCallers = 24
	// drainTokenTime is the time between two tokens; a streamed response takes
	// about 0.2 s.
	drainTokenTime = 25 * time.Millisecond
	// drainInterval is the time under load before each stop and after the last.
	drainInterval = 500 * time.Millisecond
)

// callCounts counts the results of calls while agents stop: complete responses,
// calls that were not run, and calls that were cut or failed otherwise.
type callCounts struct {
	cut, complete, refused atomic.Int64
}

func (c *callCounts) add(a lab.Answer, err error) {
	switch {
	case err == nil && a.Status == 200 && strings.Contains(a.Body, "data: [DONE]"):
		c.complete.Add(1)
	case err == nil && a.Outcome == wire.NotRun:
		c.refused.Add(1)
	default:
		c.cut.Add(1)
	}
}

// Drain measures how many calls are cut while the agents are stopped gracefully
// under load and restarted, one after the other. A second run without the drain
// must cut calls; otherwise the measurement would detect nothing.
func Drain(ctx context.Context, env Env) error {
	withDrain, err := drainRun(ctx, env, "")
	if err != nil {
		return err
	}
	env.Report.Add("drain.cut_requests", float64(withDrain.cut.Load()), "calls", figure.AtMost(0))
	env.Report.Add("drain.whole_requests", float64(withDrain.complete.Load()), "calls", figure.NoBound)
	env.Report.Add("drain.refused_requests", float64(withDrain.refused.Load()), "calls", figure.NoBound)
	withoutDrain, err := drainRun(ctx, env, "leave_linger = 1ms\ndrain_timeout = 1ms\n")
	if err != nil {
		return err
	}
	env.Report.Note("drain: without waiting for calls in progress %d cut, %d whole", withoutDrain.cut.Load(), withoutDrain.complete.Load())
	if withoutDrain.cut.Load() == 0 {
		return fmt.Errorf("no call was cut without the drain, so the check detects nothing")
	}
	return nil
}

// drainRun stops and restarts all agents under load and returns the results of
// the calls. extra is appended to the settings files of the agents.
func drainRun(ctx context.Context, env Env, extra string) (*callCounts, error) {
	counts := &callCounts{}
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: drainAgents, Entries: drainEntries, Regions: regions, ExtraAgent: extra,
		Engine: standin.EngineOptions{ChecksFence: true, TokenTime: drainTokenTime},
		Limits: config.Limits{Cold: 8, Warm: 32, RampStep: 4},
	})
	if err != nil {
		return counts, err
	}
	defer l.Close()
	stop := startCallers(ctx, l, drainCallers, counts.add)
	defer stop()
	for _, p := range l.Agents {
		if err := duty.Sleep(ctx, drainInterval); err != nil {
			return counts, err
		}
		if err := stopAndStart(ctx, l, p); err != nil {
			return counts, err
		}
	}
	return counts, duty.Sleep(ctx, drainInterval)
}

// stopAndStart stops an agent gracefully, starts it again and waits until it
// serves the same weights.
func stopAndStart(ctx context.Context, l *lab.Lab, p *lab.Process) error {
	before, err := l.Status(ctx, p)
	if err != nil {
		return err
	}
	if err := l.Signal(p, syscall.SIGTERM); err != nil {
		return err
	}
	if err := l.Wait(ctx, p); err != nil {
		return err
	}
	if err := l.Launch(p); err != nil {
		return err
	}
	return l.AwaitReady(ctx, before.Gate.Serving, p)
}

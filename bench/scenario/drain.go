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
	// drainAgents, drainEntries and drainCallers size the scenario.
	drainAgents  = 4
	drainEntries = 2
	drainCallers = 24
	// drainToken makes a streamed answer last about 0.2 s.
	drainToken = 25 * time.Millisecond
	// drainBetween is the time under load between two stops.
	drainBetween = 500 * time.Millisecond
)

// cutCounts say how callers fared while agents stopped.
type cutCounts struct {
	cut, whole, refused atomic.Int64
}

func (c *cutCounts) add(a lab.Answer, err error) {
	switch {
	case err == nil && a.Status == 200 && strings.Contains(a.Body, "data: [DONE]"):
		c.whole.Add(1)
	case err == nil && a.Outcome == wire.NotRun:
		c.refused.Add(1)
	default:
		c.cut.Add(1)
	}
}

// Drain measures how many calls are cut while each agent is stopped gracefully
// under load and started again.
func Drain(ctx context.Context, env Env) error {
	on, err := drainRun(ctx, env, "")
	if err != nil {
		return err
	}
	env.Report.Add("drain.cut_requests", float64(on.cut.Load()), "calls", figure.AtMost(0))
	env.Report.Add("drain.whole_requests", float64(on.whole.Load()), "calls", figure.NoBound)
	env.Report.Add("drain.refused_requests", float64(on.refused.Load()), "calls", figure.NoBound)
	off, err := drainRun(ctx, env, "leave_linger = 1ms\ndrain_timeout = 1ms\n")
	if err != nil {
		return err
	}
	env.Report.Note("drain: without waiting for calls in progress %d cut, %d whole", off.cut.Load(), off.whole.Load())
	if off.cut.Load() == 0 {
		return fmt.Errorf("the check finds nothing without the drain")
	}
	return nil
}

func drainRun(ctx context.Context, env Env, extra string) (*cutCounts, error) {
	counts := &cutCounts{}
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: drainAgents, Entries: drainEntries, Regions: regions, ExtraAgent: extra,
		Engine: standin.EngineOptions{ChecksFence: true, TokenTime: drainToken},
		Limits: config.Limits{Cold: 8, Warm: 32, RampStep: 4},
	})
	if err != nil {
		return counts, err
	}
	defer l.Close()
	stop := callAll(ctx, l, drainCallers, counts.add)
	defer stop()
	for _, p := range l.Agents {
		if err := duty.Sleep(ctx, drainBetween); err != nil {
			return counts, err
		}
		if err := stopAndStart(ctx, l, p); err != nil {
			return counts, err
		}
	}
	return counts, duty.Sleep(ctx, drainBetween)
}

// stopAndStart stops an agent gracefully and waits until it serves again.
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

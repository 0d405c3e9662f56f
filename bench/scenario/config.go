package scenario

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// configProcesses is the number of processes that the target names.
	configProcesses = 100
	// configBound is the target for config.in_force_s in seconds.
	configBound = 5
	// configPatience bounds the wait for a generation that does not arrive.
	configPatience = 30 * time.Second
	// callsWindow is how long the calls at the configuration service are counted.
	callsWindow = 10 * time.Second
	// startPatience bounds the start of all processes.
	startPatience = 60 * time.Second
)

var regions = []string{"north", "middle", "south"}

// idle returns options for processes without weights: a quarter are entries.
func idle(env Env, processes int) lab.Options {
	return lab.Options{
		Binary: env.Binary, Agents: processes - processes/4, Entries: processes / 4, Regions: regions,
		Limits: config.Limits{Cold: 4, Warm: 32, RampStep: 4},
	}
}

// Config measures the time from a publication until it is in force on the last
// of 100 processes, also when the service goes down after one read of it.
func Config(ctx context.Context, env Env) error {
	l, err := lab.Start(idle(env, configProcesses))
	if err != nil {
		return err
	}
	defer l.Close()
	if err := startIdle(ctx, l); err != nil {
		return err
	}
	before := l.Config.Calls.Load()
	if err := duty.Sleep(ctx, callsWindow); err != nil {
		return err
	}
	calls := float64(l.Config.Calls.Load()-before) / callsWindow.Seconds()
	env.Report.Add("config.calls_s", calls, "calls/s", figure.NoBound)
	env.Report.Add("config.pending_watches", float64(l.Config.Pending.Load()), "watches", figure.NoBound)
	const up, down = 2, 3
	if err := inForce(ctx, env, l, "config.in_force_s", up); err != nil {
		return err
	}
	l.Config.FailAfter(1)
	return inForce(ctx, env, l, "config.in_force_service_down_s", down)
}

// startIdle publishes generation 1 and waits until every process adopted it.
func startIdle(ctx context.Context, l *lab.Lab) error {
	limited, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := l.Publish(func(*config.Document) {}); err != nil {
		return err
	}
	return lab.Await(limited, func() error {
		_, missing := adoptedAt(limited, l, 1)
		return missing
	})
}

// inForce publishes a generation and reports when the last process adopted it.
// The clocks agree, since all processes run on one machine.
func inForce(ctx context.Context, env Env, l *lab.Lab, name string, g fleet.Generation) error {
	limited, cancel := context.WithTimeout(ctx, configPatience)
	defer cancel()
	published := time.Now()
	if err := l.Publish(func(*config.Document) {}); err != nil {
		return err
	}
	var last time.Time
	err := lab.Await(limited, func() error {
		if err := duty.Sleep(limited, time.Second); err != nil {
			return err
		}
		at, missing := adoptedAt(limited, l, g)
		last = at
		return missing
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		env.Report.Note("%s: after %s: %v", name, configPatience, err)
		last = published.Add(configPatience)
	}
	env.Report.Add(name, last.Sub(published).Seconds(), "s", figure.AtMost(configBound))
	return nil
}

// adoptedAt reads all time lines and returns when the last process adopted a
// generation. The error counts the processes that have not adopted it.
func adoptedAt(ctx context.Context, l *lab.Lab, g fleet.Generation) (time.Time, error) {
	client := &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	var last time.Time
	missing := 0
	for _, p := range processes(l) {
		at, err := adoption(ctx, client, p.Address, g)
		if err != nil {
			missing++
			continue
		}
		if at.After(last) {
			last = at
		}
	}
	if missing > 0 {
		return last, eris.Errorf("%d processes have not adopted generation %d", missing, g)
	}
	return last, nil
}

func adoption(ctx context.Context, c *wire.Client, address string, g fleet.Generation) (time.Time, error) {
	var events []timeline.Event
	if err := c.GetJSON(ctx, address, wire.PathTimeline, &events); err != nil {
		return time.Time{}, err
	}
	for _, e := range events {
		if e.Kind == timeline.ConfigAdopted && e.Generation == g {
			return time.UnixMilli(e.Stamp.Wall), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s: %s", address, http.StatusText(http.StatusNotFound))
}

func processes(l *lab.Lab) []*lab.Process {
	return append(append([]*lab.Process(nil), l.Agents...), l.Entries...)
}

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
	// configProcesses is the number of processes for which the target is defined.
	configProcesses = 100
	// configBound is the target for config.in_force_s in seconds.
	configBound = 5
	// configTimeout bounds the wait until all processes adopt a generation.
	configTimeout = 30 * time.Second
	// callCountTime is how long the calls to the configuration service are
	// counted.
	callCountTime = 10 * time.Second
	// startTimeout bounds the start of all processes.
	startTimeout = 60 * time.Second
)

var regions = []string{"north", "middle", "south"}

// idleOptions returns the options of a lab without weights, in which a quarter
// of the processes are entries.
func idleOptions(env Env, processes int) lab.Options {
	return lab.Options{
		Binary: env.Binary, Agents: processes - processes/4, Entries: processes / 4, Regions: regions,
		Limits: config.Limits{Cold: 4, Warm: 32, RampStep: 4},
	}
}

// Config measures the time from the publication of a generation until the last
// of 100 processes has adopted it, first with the configuration service up and
// then with a service that goes down after one read of the new generation.
func Config(ctx context.Context, env Env) error {
	l, err := lab.Start(idleOptions(env, configProcesses))
	if err != nil {
		return err
	}
	defer l.Close()
	if err := startIdle(ctx, l); err != nil {
		return err
	}
	before := l.Config.Calls.Load()
	if err := duty.Sleep(ctx, callCountTime); err != nil {
		return err
	}
	calls := float64(l.Config.Calls.Load()-before) / callCountTime.Seconds()
	env.Report.Add("config.calls_s", calls, "calls/s", figure.NoBound)
	env.Report.Add("config.pending_watches", float64(l.Config.Pending.Load()), "watches", figure.NoBound)
	const up, down = 2, 3
	if err := measureInForce(ctx, env, l, "config.in_force_s", up); err != nil {
		return err
	}
	l.Config.FailAfter(1)
	return measureInForce(ctx, env, l, "config.in_force_service_down_s", down)
}

// startIdle publishes generation 1 and waits until every process has adopted it.
func startIdle(ctx context.Context, l *lab.Lab) error {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := l.Publish(func(*config.Document) {}); err != nil {
		return err
	}
	return lab.Await(limited, func() error {
		_, missing := lastAdoption(limited, l, 1)
		return missing
	})
}

// measureInForce publishes a generation and reports the time until the last
// process adopted it, or configTimeout if that did not happen. The timestamps
// are comparable because all processes run on one machine.
func measureInForce(ctx context.Context, env Env, l *lab.Lab, name string, g fleet.Generation) error {
	limited, cancel := context.WithTimeout(ctx, configTimeout)
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
		at, missing := lastAdoption(limited, l, g)
		last = at
		return missing
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		env.Report.Note("%s: after %s: %v", name, configTimeout, err)
		last = published.Add(configTimeout)
	}
	env.Report.Add(name, last.Sub(published).Seconds(), "s", figure.AtMost(configBound))
	return nil
}

// lastAdoption reads the time lines of all processes and returns when the last
// one adopted a generation. It returns an error with the number of processes
// that have not adopted it or cannot be read.
func lastAdoption(ctx context.Context, l *lab.Lab, g fleet.Generation) (time.Time, error) {
	client := &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	var last time.Time
	missing := 0
	for _, p := range processes(l) {
		adopted, err := adoptionTime(ctx, client, p.Address, g)
		if err != nil {
			missing++
			continue
		}
		if adopted.After(last) {
			last = adopted
		}
	}
	if missing > 0 {
		return last, eris.Errorf("%d processes have not adopted generation %d", missing, g)
	}
	return last, nil
}

func adoptionTime(ctx context.Context, c *wire.Client, address string, g fleet.Generation) (time.Time, error) {
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

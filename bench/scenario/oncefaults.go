package scenario

import (
	"context"
	"syscall"
	"time"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
)

// fault is a temporary failure or a planned change that the scenario injects.
type fault struct {
	name  string
	begin func(ctx context.Context, r *onceRun) error
	end   func(ctx context.Context, r *onceRun) error
	// reported makes the scenario print which submissions were not reported as
	// run while this fault was injected alone.
	reported bool
}

func onceFaultList() []fault {
	return []fault{
		{name: "agent killed and started again", begin: killAgent, end: relaunchAgent},
		{name: "agent paused", begin: pauseAgent, end: resumeAgent},
		{name: "entry paused", begin: pauseEntry, end: resumeEntry},
		{name: "configuration service down", begin: stopConfigService, end: startConfigService, reported: true},
		{name: "failure domain out and in", begin: takeDomainOut, end: bringDomainBack, reported: true},
	}
}

// inject begins the faults, ends them after faultDuration, and waits for the
// same time once more.
func (r *onceRun) inject(ctx context.Context, set []fault) error {
	for _, f := range set {
		if err := f.begin(ctx, r); err != nil {
			return err
		}
	}
	_ = duty.Sleep(ctx, faultDuration)
	for _, f := range set {
		if err := f.end(ctx, r); err != nil {
			return err
		}
	}
	_ = duty.Sleep(ctx, faultDuration)
	return nil
}

// killTarget and pauseTarget are different agents, so that a pair of faults can
// act at the same time.
func (r *onceRun) killTarget() *lab.Process  { return r.lab.Agents[0] }
func (r *onceRun) pauseTarget() *lab.Process { return r.lab.Agents[1] }

func killAgent(ctx context.Context, r *onceRun) error {
	if err := r.lab.Signal(r.killTarget(), syscall.SIGKILL); err != nil {
		return err
	}
	return r.lab.Wait(ctx, r.killTarget())
}

func relaunchAgent(_ context.Context, r *onceRun) error { return r.lab.Launch(r.killTarget()) }

func pauseAgent(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.pauseTarget(), syscall.SIGSTOP)
}

func resumeAgent(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.pauseTarget(), syscall.SIGCONT)
}

func pauseEntry(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.lab.Entries[0], syscall.SIGSTOP)
}

func resumeEntry(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.lab.Entries[0], syscall.SIGCONT)
}

func stopConfigService(_ context.Context, r *onceRun) error {
	r.lab.Config.Down.Store(true)
	return nil
}

func startConfigService(_ context.Context, r *onceRun) error {
	r.lab.Config.Down.Store(false)
	return nil
}

func takeDomainOut(_ context.Context, r *onceRun) error {
	return r.lab.PublishDomain("middle", config.DomainOut)
}

func bringDomainBack(_ context.Context, r *onceRun) error {
	return r.lab.PublishDomain("middle", config.DomainIn)
}

// oncePartition changes the owners of the keys while an entry and half of the
// agents are partitioned and have only the previous document. It then also
// kills one agent and pauses another.
func oncePartition(ctx context.Context, env Env, total *verdict) error {
	partitioned := func(p *lab.Process) bool {
		return p.ID == "agent-0" || p.ID == "agent-2" || p.ID == "entry-0"
	}
	r, err := startOnce(ctx, env.Binary, partitioned)
	if err != nil {
		return err
	}
	defer r.lab.Close()
	owners := config.Owners{
		Epochs: []config.OwnerEpoch{{
			Start: time.Now().Add(-time.Hour), Instances: []fleet.InstanceID{"agent-0", "agent-2"},
		}},
		Until: time.Now().Add(1500 * time.Millisecond),
	}
	if err := r.lab.PublishAllocation(owners); err != nil {
		return err
	}
	if err := r.lab.PublishToPartition(); err != nil {
		return err
	}
	err = r.bookDuring(ctx, func(ctx context.Context) error {
		nextEpoch := config.OwnerEpoch{Start: owners.Until, Instances: []fleet.InstanceID{"agent-1", "agent-3"}}
		next := config.Owners{Epochs: append(owners.Epochs, nextEpoch), Until: owners.Until.Add(time.Hour)}
		if err := r.lab.PublishAllocation(next); err != nil {
			return err
		}
		_ = duty.Sleep(ctx, 3*time.Second)
		return r.inject(ctx, []fault{{begin: killAgent, end: relaunchAgent}, {begin: pauseAgent, end: resumeAgent}})
	})
	if err != nil {
		return err
	}
	total.add(r.history.check(r.lab.Options.Ledger))
	r.report(env.Report, "partition with owner change")
	return nil
}

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

// fault is something that goes wrong for a while, or a planned move.
type fault struct {
	name  string
	begin func(ctx context.Context, r *onceRun) error
	end   func(ctx context.Context, r *onceRun) error
	// counted faults print what was refused while they lasted.
	counted bool
}

func onceFaultList() []fault {
	return []fault{
		{name: "agent killed and started again", begin: killAgent, end: relaunchAgent},
		{name: "agent paused", begin: pauseAgent, end: resumeAgent},
		{name: "entry paused", begin: pauseEntry, end: resumeEntry},
		{name: "configuration service down", begin: serviceDown, end: serviceUp, counted: true},
		{name: "failure domain out and in", begin: domainOut, end: domainIn, counted: true},
	}
}

// inject begins the faults, waits, ends them, and waits again.
func (r *onceRun) inject(ctx context.Context, set []fault) error {
	for _, f := range set {
		if err := f.begin(ctx, r); err != nil {
			return err
		}
	}
	_ = duty.Sleep(ctx, faultTime)
	for _, f := range set {
		if err := f.end(ctx, r); err != nil {
			return err
		}
	}
	_ = duty.Sleep(ctx, faultTime)
	return nil
}

// killed and paused are different agents, so that pairs of faults combine.
func (r *onceRun) killed() *lab.Process { return r.lab.Agents[0] }
func (r *onceRun) paused() *lab.Process { return r.lab.Agents[1] }

func killAgent(ctx context.Context, r *onceRun) error {
	if err := r.lab.Signal(r.killed(), syscall.SIGKILL); err != nil {
		return err
	}
	return r.lab.Wait(ctx, r.killed())
}

func relaunchAgent(_ context.Context, r *onceRun) error { return r.lab.Launch(r.killed()) }

func pauseAgent(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.paused(), syscall.SIGSTOP)
}

func resumeAgent(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.paused(), syscall.SIGCONT)
}

func pauseEntry(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.lab.Entries[0], syscall.SIGSTOP)
}

func resumeEntry(_ context.Context, r *onceRun) error {
	return r.lab.Signal(r.lab.Entries[0], syscall.SIGCONT)
}

func serviceDown(_ context.Context, r *onceRun) error {
	r.lab.Config.Down.Store(true)
	return nil
}

func serviceUp(_ context.Context, r *onceRun) error {
	r.lab.Config.Down.Store(false)
	return nil
}

func domainOut(_ context.Context, r *onceRun) error {
	return r.lab.PublishDomain("middle", config.DomainOut)
}

func domainIn(_ context.Context, r *onceRun) error {
	return r.lab.PublishDomain("middle", config.DomainIn)
}

// oncePartition changes the owners while an entry and half of the agents are
// cut off and know only the earlier document.
func oncePartition(ctx context.Context, env Env, total *verdict) error {
	cut := func(p *lab.Process) bool {
		return p.ID == "agent-0" || p.ID == "agent-2" || p.ID == "entry-0"
	}
	r, err := startOnce(ctx, env.Binary, cut)
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
	err = r.during(ctx, func(ctx context.Context) error {
		change := config.OwnerEpoch{Start: owners.Until, Instances: []fleet.InstanceID{"agent-1", "agent-3"}}
		next := config.Owners{Epochs: append(owners.Epochs, change), Until: owners.Until.Add(time.Hour)}
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

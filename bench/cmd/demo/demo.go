package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
)

// demo holds the state of one demonstration.
type demo struct {
	lab   *lab.Lab
	start time.Time
}

func (d *demo) say(format string, args ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.firstBurst, d.switchVersion, d.moveDomain}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("done")
	return nil
}

func (d *demo) firstBurst(ctx context.Context) error {
	return d.burst(ctx, "burst-1", "v1", 1)
}

// burst publishes a profile and waits until every engine holds its weights.
func (d *demo) burst(ctx context.Context, name fleet.ProfileName, version fleet.Version, seed uint64) error {
	store, weights, err := d.lab.AddStore(seed)
	if err != nil {
		return err
	}
	d.say("publish profile %s (version %s, root %.12s…)", name, version, weights.Root)
	published := time.Now()
	if err := d.lab.PublishProfile(name, version, weights); err != nil {
		return err
	}
	if err := d.lab.AwaitServing(ctx, weights.Root.String(), len(d.lab.Agents)); err != nil {
		return err
	}
	size := float64(d.lab.Options.ModelBytes)
	d.say("%d engines hold %s after %.2fs; %.2f copies drawn from the origin",
		len(d.lab.Agents), version, time.Since(published).Seconds(), float64(store.Bytes())/size)
	return d.awaitVersion(ctx, string(version))
}

// awaitVersion waits until an answer comes from the version.
func (d *demo) awaitVersion(ctx context.Context, version string) error {
	err := lab.Await(ctx, func() error {
		a, err := d.lab.Chat(ctx, 0, "text 7")
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK || !strings.Contains(a.Body, version+" ") {
			return fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return nil
	})
	if err == nil {
		d.say("a request is answered by %s", version)
	}
	return err
}

func (d *demo) switchVersion(ctx context.Context) error {
	t := startTraffic(ctx, d.lab)
	err := d.burst(ctx, "burst-2", "v2", 2)
	d.sayTraffic("switch", t.stop())
	return err
}

func (d *demo) moveDomain(ctx context.Context) error {
	t := startTraffic(ctx, d.lab)
	err := d.outAndIn(ctx, "south")
	d.sayTraffic("move of the failure domain", t.stop())
	return err
}

func (d *demo) outAndIn(ctx context.Context, name fleet.FailureDomain) error {
	d.say("take failure domain %s out", name)
	if err := d.lab.PublishDomain(name, config.DomainOut); err != nil {
		return err
	}
	if err := duty.Sleep(ctx, domainOutTime); err != nil {
		return err
	}
	d.say("bring failure domain %s back in", name)
	return d.lab.PublishDomain(name, config.DomainIn)
}

func (d *demo) sayTraffic(during string, c counts) {
	d.say("during the %s: %d requests answered, %d refused, %d failed", during, c.answered, c.refused, c.failed)
}

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

// demo is one run of the demonstration in a lab.
type demo struct {
	lab   *lab.Lab
	start time.Time
}

func (d *demo) printf(format string, args ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.firstBurst, d.switchVersion, d.moveDomain}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printf("done")
	return nil
}

func (d *demo) firstBurst(ctx context.Context) error {
	return d.burst(ctx, "burst-1", "v1", 1)
}

// burst publishes a profile with new weights and waits until every engine has
// loaded them and a request is answered by the new version.
func (d *demo) burst(ctx context.Context, name fleet.ProfileName, version fleet.Version, seed uint64) error {
	store, weights, err := d.lab.AddStore(seed)
	if err != nil {
		return err
	}
	d.printf("publish profile %s (version %s, root %.12s…)", name, version, weights.Root)
	published := time.Now()
	if err := d.lab.PublishProfile(name, version, weights); err != nil {
		return err
	}
	if err := d.lab.AwaitLoaded(ctx, weights.Root.String(), len(d.lab.Agents)); err != nil {
		return err
	}
	size := float64(d.lab.Options.ModelBytes)
	d.printf("%d engines hold %s after %.2fs; %.2f copies drawn from the origin",
		len(d.lab.Agents), version, time.Since(published).Seconds(), float64(store.Bytes())/size)
	return d.awaitVersion(ctx, string(version))
}

// awaitVersion waits until a request is answered by the given version.
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
		d.printf("a request is answered by %s", version)
	}
	return err
}

func (d *demo) switchVersion(ctx context.Context) error {
	t := startTraffic(ctx, d.lab)
	err := d.burst(ctx, "burst-2", "v2", 2)
	d.printTraffic("switch", t.stop())
	return err
}

func (d *demo) moveDomain(ctx context.Context) error {
	t := startTraffic(ctx, d.lab)
	err := d.takeOutAndBack(ctx, "south")
	d.printTraffic("move of the failure domain", t.stop())
	return err
}

func (d *demo) takeOutAndBack(ctx context.Context, name fleet.FailureDomain) error {
	d.printf("take failure domain %s out", name)
	if err := d.lab.PublishDomain(name, config.DomainOut); err != nil {
		return err
	}
	if err := duty.Sleep(ctx, domainOutTime); err != nil {
		return err
	}
	d.printf("bring failure domain %s back in", name)
	return d.lab.PublishDomain(name, config.DomainIn)
}

func (d *demo) printTraffic(during string, c counts) {
	d.printf("during the %s: %d requests answered, %d refused, %d failed", during, c.answered, c.refused, c.failed)
}

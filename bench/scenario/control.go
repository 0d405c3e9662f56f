package scenario

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/wire"
)

const (
	// controlSettle lets the processes pass on the news of their start, with at
	// most 8 changes a message, before the window.
	controlSettle = 25 * time.Second
	// controlWindow is how long an idle fleet is observed.
	controlWindow = 20 * time.Second
	// publishEvery is the time between two publications at 12,000 a day.
	publishEvery = 7200 * time.Millisecond
	// fleetSize is the number of processes at the expected size.
	fleetSize = 5060
)

// The targets for one process.
const (
	coreBound  = 2.7
	rssBound   = 256
	bytesBound = 18_000
)

// control is what one process spends on average.
type control struct {
	n                       int
	core, rss, bytes, calls float64
}

// Control measures what idle processes spend and how it grows with their number.
func Control(ctx context.Context, env Env) error {
	var points []control
	for _, n := range env.Sizes {
		c, err := measureControl(ctx, env, n)
		if err != nil {
			return err
		}
		points = append(points, c)
		env.Report.Add(fmt.Sprintf("control.core_percent.n%d", n), c.core, "%", figure.AtMost(coreBound))
		env.Report.Add(fmt.Sprintf("control.rss_mb.n%d", n), c.rss, "MB", figure.AtMost(rssBound))
		env.Report.Add(fmt.Sprintf("control.bytes_s.n%d", n), c.bytes, "B/s", figure.AtMost(bytesBound))
		env.Report.Add(fmt.Sprintf("control.service_calls_s.n%d", n), c.calls, "calls/s", figure.NoBound)
	}
	if len(points) > 0 {
		if err := busyControl(ctx, env, slices.Max(env.Sizes)); err != nil {
			return err
		}
	}
	if err := fullControl(ctx, env); err != nil {
		return err
	}
	reportSlope(env, points, "control.core_percent", "%", func(c control) float64 { return c.core })
	reportSlope(env, points, "control.rss_mb", "MB", func(c control) float64 { return c.rss })
	reportSlope(env, points, "control.bytes_s", "B/s", func(c control) float64 { return c.bytes })
	return nil
}

// busyControl measures what processes spend while the configuration and the
// members change as often as in a fleet of the expected size. Every process
// hears of every change, so the rate does not depend on n.
func busyControl(ctx context.Context, env Env, n int) error {
	c, err := measure(ctx, env, n, churn)
	if err != nil {
		return err
	}
	env.Report.Add(fmt.Sprintf("control.busy_core_percent.n%d", n), c.core, "%", figure.AtMost(coreBound))
	env.Report.Add(fmt.Sprintf("control.busy_bytes_s.n%d", n), c.bytes, "B/s", figure.AtMost(bytesBound))
	return nil
}

// churn publishes a document and, at every fourth publication, restarts a
// process: 12,000 publications and 1,500 restarts a day make one publication
// in 7.2 s and one restart in 58 s; the restarts here are twice as frequent.
// What the two restarted processes spent before is not counted.
func churn(ctx context.Context, l *lab.Lab) error {
	const publications, restartEvery = 8, 4
	for i := range publications {
		if err := l.Publish(func(d *config.Document) { pad(d, i) }); err != nil {
			return err
		}
		if i%restartEvery == 0 {
			p := l.Agents[i%len(l.Agents)]
			if err := restart(ctx, l, p); err != nil {
				return err
			}
		}
		if err := duty.Sleep(ctx, publishEvery); err != nil {
			return err
		}
	}
	return nil
}

// pad gives the document customers, so that it has about 25 KB, and changes one.
func pad(d *config.Document, change int) {
	const customers = 200
	for i := len(d.Customers); i < customers; i++ {
		sum := sha256.Sum256([]byte{byte(i)})
		d.Customers = append(d.Customers, config.Customer{
			Name: fleet.Customer(fmt.Sprintf("customer-%d", i)), KeySHA256: hex.EncodeToString(sum[:]),
		})
	}
	d.Customers[customers-1].Weight = change + 1
}

func restart(ctx context.Context, l *lab.Lab, p *lab.Process) error {
	if err := l.Signal(p, os.Kill); err != nil {
		return err
	}
	if err := l.Wait(ctx, p); err != nil {
		return err
	}
	return l.Launch(p)
}

func measureControl(ctx context.Context, env Env, n int) (control, error) {
	return measure(ctx, env, n, func(ctx context.Context, _ *lab.Lab) error { return duty.Sleep(ctx, controlWindow) })
}

// measure starts n processes and observes them while run goes on.
func measure(ctx context.Context, env Env, n int, run func(context.Context, *lab.Lab) error) (control, error) {
	c := control{n: n}
	l, err := lab.Start(idle(env, n))
	if err != nil {
		return c, err
	}
	defer l.Close()
	if err := startIdle(ctx, l); err != nil {
		return c, err
	}
	if err := duty.Sleep(ctx, controlSettle); err != nil {
		return c, err
	}
	c, err = observe(ctx, l, run)
	c.n = n
	return c, err
}

// observe returns what the processes of a lab spend on average while run goes on.
func observe(ctx context.Context, l *lab.Lab, run func(context.Context, *lab.Lab) error) (control, error) {
	var c control
	n := len(processes(l))
	before, err := totals(ctx, l)
	if err != nil {
		return c, err
	}
	if err := run(ctx, l); err != nil {
		return c, err
	}
	after, err := totals(ctx, l)
	if err != nil {
		return c, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	perProcess := float64(n) * seconds
	c.core = 100 * (after.processor - before.processor).Seconds() / perProcess
	c.rss = float64(after.rss) / float64(n) / 1e6
	c.bytes = float64(after.bytes-before.bytes) / perProcess
	c.calls = float64(after.calls-before.calls) / seconds
	return c, nil
}

// total sums the counters of all processes.
type total struct {
	at        time.Time
	processor time.Duration
	rss       int64
	bytes     int64
	calls     int64
}

func totals(ctx context.Context, l *lab.Lab) (total, error) {
	t := total{at: time.Now(), calls: l.Config.Calls.Load()}
	client := &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}}
	for _, p := range processes(l) {
		used, err := processorTime(p.PID())
		if err != nil {
			return t, err
		}
		rss, err := residentBytes(p.PID())
		if err != nil {
			return t, err
		}
		t.processor += used
		t.rss += rss
		bytes, err := controlBytes(ctx, client, p)
		if err != nil {
			return t, err
		}
		t.bytes += bytes
	}
	return t, nil
}

// controlBytes returns the bytes of control messages that a process sent and
// received. A process counts the exchanges that it starts; each exchange with
// a peer is also received and answered there, and therefore counts twice.
func controlBytes(ctx context.Context, client *wire.Client, p *lab.Process) (int64, error) {
	var s node.Status
	if err := client.GetJSON(ctx, p.Address, wire.PathStatus, &s); err != nil {
		return 0, err
	}
	t := s.Traffic
	return int64(2*(t.PeersSent+t.PeersReceived) + t.PlatformSent + t.PlatformReceived), nil
}

// reportSlope fits a line through the points and reports its slope. The noise of
// small fleets is too great to extrapolate it; fullControl measures a table of
// the expected size instead.
func reportSlope(env Env, points []control, name, unit string, value func(control) float64) {
	if len(points) < 2 {
		return
	}
	var n, x, y, xx, xy float64
	for _, p := range points {
		n++
		x += float64(p.n)
		y += value(p)
		xx += float64(p.n) * float64(p.n)
		xy += float64(p.n) * value(p)
	}
	slope := (n*xy - x*y) / (n*xx - x*x)
	env.Report.Add(name+".slope", slope, unit+" per process", figure.NoBound)
}

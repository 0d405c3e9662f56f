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
	// controlSettle is the time before the observation in which the processes
	// spread the records of their start, with at most 8 changes per message.
	controlSettle = 25 * time.Second
	// controlWindow is how long an idle fleet is observed.
	controlWindow = 20 * time.Second
	// publishInterval is the interval between publications at 12,000 per day.
	publishInterval = 7200 * time.Millisecond
	// fleetSize is the number of processes at the expected size.
	fleetSize = 5060
)

// The targets for one process.
const (
	corePercentBound    = 2.7
	rssMBBound          = 256
	bytesPerSecondBound = 18_000
)

// processCost is the mean cost of one process in a fleet of n processes. Only
// callsPerSecond is for the whole fleet: its calls to the configuration service.
type processCost struct {
	n                                                  int
	corePercent, rssMB, bytesPerSecond, callsPerSecond float64
}

// Control measures the cost of control traffic per process: in idle fleets of
// several sizes, under frequent changes, and with a member table of the expected
// size.
func Control(ctx context.Context, env Env) error {
	var points []processCost
	for _, n := range env.Sizes {
		c, err := measureControl(ctx, env, n)
		if err != nil {
			return err
		}
		points = append(points, c)
		env.Report.Add(fmt.Sprintf("control.core_percent.n%d", n), c.corePercent, "%", figure.AtMost(corePercentBound))
		env.Report.Add(fmt.Sprintf("control.rss_mb.n%d", n), c.rssMB, "MB", figure.AtMost(rssMBBound))
		env.Report.Add(fmt.Sprintf("control.bytes_s.n%d", n), c.bytesPerSecond, "B/s", figure.AtMost(bytesPerSecondBound))
		env.Report.Add(fmt.Sprintf("control.service_calls_s.n%d", n), c.callsPerSecond, "calls/s", figure.NoBound)
	}
	if len(points) > 0 {
		if err := busyControl(ctx, env, slices.Max(env.Sizes)); err != nil {
			return err
		}
	}
	if err := controlAtFullSize(ctx, env); err != nil {
		return err
	}
	reportSlope(env, points, "control.core_percent", "%", func(c processCost) float64 { return c.corePercent })
	reportSlope(env, points, "control.rss_mb", "MB", func(c processCost) float64 { return c.rssMB })
	reportSlope(env, points, "control.bytes_s", "B/s", func(c processCost) float64 { return c.bytesPerSecond })
	return nil
}

// busyControl measures the cost per process while the configuration and the
// members change as often as in a fleet of the expected size. Every process
// receives every change, so that the rate does not depend on n.
func busyControl(ctx context.Context, env Env, n int) error {
	c, err := measure(ctx, env, n, churn)
	if err != nil {
		return err
	}
	env.Report.Add(fmt.Sprintf("control.busy_core_percent.n%d", n), c.corePercent, "%", figure.AtMost(corePercentBound))
	env.Report.Add(fmt.Sprintf("control.busy_bytes_s.n%d", n), c.bytesPerSecond, "B/s", figure.AtMost(bytesPerSecondBound))
	return nil
}

// churn publishes 8 documents and restarts a process at every fourth one. At
// 12,000 publications and 1,500 restarts per day, there is one publication every
// 7.2 s and one restart every 58 s; the restarts here are twice as frequent. The
// cost of the two restarted processes before their restart is not counted.
func churn(ctx context.Context, l *lab.Lab) error {
	const publications, restartEvery = 8, 4
	for i := range publications {
		if err := l.Publish(func(d *config.Document) { padDocument(d, i) }); err != nil {
			return err
		}
		if i%restartEvery == 0 {
			p := l.Agents[i%len(l.Agents)]
			if err := restart(ctx, l, p); err != nil {
				return err
			}
		}
		if err := duty.Sleep(ctx, publishInterval); err != nil {
			return err
		}
	}
	return nil
}

// padDocument adds customers until the document has about 25 KB, and changes the
// weight of one customer.
func padDocument(d *config.Document, number int) {
	const customers = 200
	for i := len(d.Customers); i < customers; i++ {
		sum := sha256.Sum256([]byte{byte(i)})
		d.Customers = append(d.Customers, config.Customer{
			Name: fleet.Customer(fmt.Sprintf("customer-%d", i)), KeySHA256: hex.EncodeToString(sum[:]),
		})
	}
	d.Customers[customers-1].Weight = number + 1
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

func measureControl(ctx context.Context, env Env, n int) (processCost, error) {
	return measure(ctx, env, n, func(ctx context.Context, _ *lab.Lab) error { return duty.Sleep(ctx, controlWindow) })
}

// measure starts n processes and measures their mean cost during run.
func measure(ctx context.Context, env Env, n int, run func(context.Context, *lab.Lab) error) (processCost, error) {
	c := processCost{n: n}
	l, err := lab.Start(idleOptions(env, n))
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

// observe returns the mean cost of the processes of a lab during run.
func observe(ctx context.Context, l *lab.Lab, run func(context.Context, *lab.Lab) error) (processCost, error) {
	var c processCost
	n := len(processes(l))
	before, err := readUsage(ctx, l)
	if err != nil {
		return c, err
	}
	if err := run(ctx, l); err != nil {
		return c, err
	}
	after, err := readUsage(ctx, l)
	if err != nil {
		return c, err
	}
	seconds := after.readAt.Sub(before.readAt).Seconds()
	perProcess := float64(n) * seconds
	c.corePercent = 100 * (after.processorTime - before.processorTime).Seconds() / perProcess
	c.rssMB = float64(after.rssBytes) / float64(n) / 1e6
	c.bytesPerSecond = float64(after.bytes-before.bytes) / perProcess
	c.callsPerSecond = float64(after.calls-before.calls) / seconds
	return c, nil
}

// fleetUsage holds the sums of the counters of all processes at one time.
type fleetUsage struct {
	readAt        time.Time
	processorTime time.Duration
	rssBytes      int64
	// bytes counts those of control messages, calls the calls to the
	// configuration service.
	bytes int64
	calls int64
}

func readUsage(ctx context.Context, l *lab.Lab) (fleetUsage, error) {
	t := fleetUsage{readAt: time.Now(), calls: l.Config.Calls.Load()}
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
		t.processorTime += used
		t.rssBytes += rss
		bytes, err := controlBytes(ctx, client, p)
		if err != nil {
			return t, err
		}
		t.bytes += bytes
	}
	return t, nil
}

// controlBytes returns the bytes of control messages that a process sent and
// received. A process counts only the exchanges that it starts. Each exchange
// with a peer is also received and answered by that peer, and therefore counts
// twice.
func controlBytes(ctx context.Context, client *wire.Client, p *lab.Process) (int64, error) {
	var s node.Status
	if err := client.GetJSON(ctx, p.Address, wire.PathStatus, &s); err != nil {
		return 0, err
	}
	t := s.Traffic
	return int64(2*(t.PeersSent+t.PeersReceived) + t.PlatformSent + t.PlatformReceived), nil
}

// reportSlope fits a line through the points and reports its slope. It must not
// be extrapolated, because the noise of small fleets is too great;
// controlAtFullSize measures a table of the expected size instead.
func reportSlope(env Env, points []processCost, name, unit string, value func(processCost) float64) {
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

package scenario

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
)

const (
	routeAgents = 4
	// routeWorkers is the concurrency at which latency is measured. It is low,
	// so that calls wait for work on their path and not for processors.
	routeWorkers = 2
	// routeRounds alternate between the ways to the engines, so that a busy
	// phase of the machine falls on all of them.
	routeRounds     = 10
	routeRoundCalls = 400
	// busyWorkers is the concurrency at which processor time is measured.
	busyWorkers = 32
	busyCalls   = 20000
)

// way is one way from the caller to the engines.
type way struct {
	name string
	call func(context.Context) error
	seen *latencies
}

// Route measures what entry and agent add to a call, against the engines
// called directly and against a naive round-robin proxy in the same run.
func Route(ctx context.Context, env Env) error {
	l, model, err := startServing(ctx, env, lab.Options{
		Agents: routeAgents, Entries: 1, Regions: []string{"north"},
		Limits: config.Limits{Cold: 64, Warm: 64, RampStep: 1},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	limited, cancel := context.WithCancel(ctx)
	naiveURL, naive, err := startNaive(limited, env, l)
	if err != nil {
		cancel()
		return err
	}
	defer func() {
		cancel()
		_ = naive.Wait()
	}()
	body, direct := chatBody(string(lab.Service), "text", false), chatBody(model, "text", false)
	client := newClient()
	ways := []*way{
		{name: "direct", call: sender(client, l.Agents[0].EngineURL, direct)},
		{name: "naive", call: sender(client, naiveURL, direct)},
		{name: "route", call: sender(client, "http://"+l.Entries[0].Address, body)},
	}
	if err := measureWays(ctx, ways); err != nil {
		return err
	}
	reportRoute(env.Report, ways)
	base, err := reportProcessorTime(ctx, env.Report, "naive_", naive.Process.Pid, ways[1].call)
	if err != nil {
		return err
	}
	perCore, err := reportProcessorTime(ctx, env.Report, "", l.Entries[0].PID(), ways[2].call)
	if err != nil {
		return err
	}
	env.Report.Add("route.per_core_ratio", perCore/base, "ratio", figure.NoBound)
	return nil
}

func sender(client *http.Client, base string, body []byte) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := post(ctx, client, base+"/v1/chat/completions", body)
		return err
	}
}

// measureWays calls all ways in turn; the first round only warms them up.
func measureWays(ctx context.Context, ways []*way) error {
	for round := range 1 + routeRounds {
		for _, w := range ways {
			if round <= 1 {
				w.seen = newLatencies()
			}
			closedLoop(ctx, routeWorkers, routeRoundCalls, w.seen, w.call)
			if w.seen.failed > 0 {
				return eris.Wrapf(w.seen.lastError, "%d of %d calls failed on the way %q", w.seen.failed, w.seen.calls, w.name)
			}
		}
	}
	return nil
}

func reportRoute(r *figure.Report, ways []*way) {
	direct, naive, route := ways[0].seen, ways[1].seen, ways[2].seen
	r.Note("route: %d calls on each way, %d at a time", route.calls, routeWorkers)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		base := direct.quantile(q.at)
		r.Add("route.direct_"+q.name+"_us", base, "us", figure.NoBound)
		r.Add("route.added_"+q.name+"_us", route.quantile(q.at)-base, "us", figure.NoBound)
		r.Add("route."+q.name+"_ratio", route.quantile(q.at)/base, "ratio", figure.NoBound)
		r.Add("route.naive_added_"+q.name+"_us", naive.quantile(q.at)-base, "us", figure.NoBound)
	}
}

// reportProcessorTime measures the calls that a process carries with one core.
func reportProcessorTime(ctx context.Context, r *figure.Report, name string, pid int, call func(context.Context) error) (float64, error) {
	before, err := processorTime(pid)
	if err != nil {
		return 0, err
	}
	seen := newLatencies()
	start := time.Now()
	closedLoop(ctx, busyWorkers, busyCalls, seen, call)
	elapsed := time.Since(start)
	after, err := processorTime(pid)
	if err != nil {
		return 0, err
	}
	if seen.failed > 0 {
		return 0, eris.Wrapf(seen.lastError, "%d of %d calls failed", seen.failed, seen.calls)
	}
	r.Note("route: %s%d calls at %.0f a second, %d at a time", name, seen.calls, float64(seen.calls)/elapsed.Seconds(), busyWorkers)
	perCore := float64(seen.calls) / (after - before).Seconds()
	r.Add("route."+name+"requests_per_core_s", perCore, "requests/core-s", figure.NoBound)
	r.Add("route."+name+"busy_p99_us", seen.quantile(99), "us", figure.NoBound)
	return perCore, nil
}

// startNaive starts the naive proxy as a process of its own, so that both ways
// cross processes, and returns its base URL. The stand-ins' binary lies beside
// the one that ships.
func startNaive(ctx context.Context, env Env, l *lab.Lab) (string, *exec.Cmd, error) {
	args := []string{"proxy"}
	for _, a := range l.Agents {
		args = append(args, "--upstream", a.EngineURL)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(filepath.Dir(env.Binary), "standin"), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", nil, eris.Wrap(err, "naive proxy")
	}
	if err := cmd.Start(); err != nil {
		return "", nil, eris.Wrap(err, "naive proxy")
	}
	var address string
	if _, err := fmt.Fscanf(out, "listening %s\n", &address); err != nil {
		return "", nil, eris.Wrap(err, "address of the naive proxy")
	}
	return "http://" + address, cmd, nil
}

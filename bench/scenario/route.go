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
	// so that the latency consists of work for the call and not of waiting for
	// a processor.
	routeWorkers = 2
	// routeRounds is the number of measured rounds. Each round calls all variants
	// in turn, so that a busy phase of the machine affects all of them.
	routeRounds     = 10
	routeRoundCalls = 400
	// busyWorkers is the concurrency at which processor time is measured.
	busyWorkers = 32
	busyCalls   = 20000
)

// variant is one way to call the engines: directly, through the naive proxy, or
// through an entry.
type variant struct {
	name    string
	call    func(context.Context) error
	results *latencies
}

// Route measures the latency that entry and agent add to a call, compared with
// direct calls to the engines and with a naive round-robin proxy in the same run,
// and how many requests a core of the entry and of the proxy can carry.
func Route(ctx context.Context, env Env) error {
	l, model, err := startServing(ctx, env, lab.Options{
		Agents: routeAgents, Entries: 1, Regions: []string{"north"},
		Limits: config.Limits{Cold: 64, Warm: 64, RampStep: 1},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	proxyCtx, cancel := context.WithCancel(ctx)
	naiveURL, naive, err := startNaive(proxyCtx, env, l)
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
	variants := []*variant{
		{name: "direct", call: chatSender(client, l.Agents[0].UpstreamURL, direct)},
		{name: "naive", call: chatSender(client, naiveURL, direct)},
		{name: "route", call: chatSender(client, "http://"+l.Entries[0].Address, body)},
	}
	if err := measureVariants(ctx, variants); err != nil {
		return err
	}
	reportRoute(env.Report, variants)
	base, err := reportProcessorTime(ctx, env.Report, "naive_", naive.Process.Pid, variants[1].call)
	if err != nil {
		return err
	}
	perCore, err := reportProcessorTime(ctx, env.Report, "", l.Entries[0].PID(), variants[2].call)
	if err != nil {
		return err
	}
	env.Report.Add("route.per_core_ratio", perCore/base, "ratio", figure.NoBound)
	return nil
}

func chatSender(client *http.Client, base string, body []byte) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := post(ctx, client, base+"/v1/chat/completions", body)
		return err
	}
}

// measureVariants calls all variants in turn. The results of the first round are
// discarded, as it only warms them up.
func measureVariants(ctx context.Context, variants []*variant) error {
	for round := range 1 + routeRounds {
		for _, v := range variants {
			if round <= 1 {
				v.results = newLatencies()
			}
			closedLoop(ctx, routeWorkers, routeRoundCalls, v.results, v.call)
			if v.results.failed > 0 {
				return eris.Wrapf(v.results.lastError, "%d of %d calls of variant %q failed", v.results.failed, v.results.calls, v.name)
			}
		}
	}
	return nil
}

func reportRoute(r *figure.Report, variants []*variant) {
	direct, naive, route := variants[0].results, variants[1].results, variants[2].results
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

// reportProcessorTime makes busyCalls calls and reports how many of them the
// process handles per second of processor time, which it also returns. prefix
// is part of the figure names.
func reportProcessorTime(ctx context.Context, r *figure.Report, prefix string, pid int, call func(context.Context) error) (float64, error) {
	before, err := processorTime(pid)
	if err != nil {
		return 0, err
	}
	results := newLatencies()
	start := time.Now()
	closedLoop(ctx, busyWorkers, busyCalls, results, call)
	elapsed := time.Since(start)
	after, err := processorTime(pid)
	if err != nil {
		return 0, err
	}
	if results.failed > 0 {
		return 0, eris.Wrapf(results.lastError, "%d of %d calls failed", results.failed, results.calls)
	}
	r.Note("route: %s%d calls at %.0f a second, %d at a time", prefix, results.calls, float64(results.calls)/elapsed.Seconds(), busyWorkers)
	perCore := float64(results.calls) / (after - before).Seconds()
	r.Add("route."+prefix+"requests_per_core_s", perCore, "requests/core-s", figure.NoBound)
	r.Add("route."+prefix+"busy_p99_us", results.quantile(99), "us", figure.NoBound)
	return perCore, nil
}

// startNaive starts the naive proxy and returns its base URL. It is a separate
// process, so that calls cross a process boundary as they do with an entry. The
// standin binary is expected in the folder of the rattanspur binary.
func startNaive(ctx context.Context, env Env, l *lab.Lab) (string, *exec.Cmd, error) {
	args := []string{"proxy"}
	for _, a := range l.Agents {
		args = append(args, "--upstream", a.UpstreamURL)
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

package scenario

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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
	l, err := startServing(ctx, env, lab.Options{
		Agents: routeAgents, Entries: 1, Regions: []string{"burdwan"},
		Limits: config.Limits{Cold: 64, Warm: 64, RampStep: 1},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	naive := httptest.NewServer(roundRobin(l))
	defer naive.Close()
	model, err := engineModel(l)
	if err != nil {
		return err
	}
	body, direct := chatBody(string(lab.Service), "tray", false), chatBody(model, "tray", false)
	client := newClient()
	ways := []*way{
		{name: "direct", call: sender(client, l.Agents[0].EngineURL, direct)},
		{name: "naive", call: sender(client, naive.URL, direct)},
		{name: "route", call: sender(client, "http://"+l.Entries[0].Address, body)},
	}
	if err := measureWays(ctx, ways); err != nil {
		return err
	}
	reportRoute(env.Report, ways)
	return reportProcessorTime(ctx, env.Report, l, ways[2].call)
}

func sender(client *http.Client, base string, body []byte) func(context.Context) error {
	return func(ctx context.Context) error {
		return post(ctx, client, base+"/v1/chat/completions", body)
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

// reportProcessorTime measures the calls that the entry carries with one core.
func reportProcessorTime(ctx context.Context, r *figure.Report, l *lab.Lab, call func(context.Context) error) error {
	pid := l.Entries[0].PID()
	before, err := cpuTime(pid)
	if err != nil {
		return err
	}
	seen := newLatencies()
	start := time.Now()
	closedLoop(ctx, busyWorkers, busyCalls, seen, call)
	elapsed := time.Since(start)
	after, err := cpuTime(pid)
	if err != nil {
		return err
	}
	if seen.failed > 0 {
		return eris.Wrapf(seen.lastError, "%d of %d calls failed", seen.failed, seen.calls)
	}
	r.Note("route: %d calls at %.0f a second, %d at a time", seen.calls, float64(seen.calls)/elapsed.Seconds(), busyWorkers)
	r.Add("route.requests_per_core_s", float64(seen.calls)/(after-before).Seconds(), "requests/core-s", figure.NoBound)
	r.Add("route.busy_p99_us", seen.quantile(99), "us", figure.NoBound)
	return nil
}

// roundRobin is the naive baseline: it passes each request on to the next
// engine without load, versions, retries or limits.
func roundRobin(l *lab.Lab) http.Handler {
	client := newClient()
	var next atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engine := l.Agents[int(next.Add(1))%len(l.Agents)].EngineURL
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), r.Method, engine+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

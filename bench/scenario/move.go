package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/standin"
)

const (
	moveAgents  = 6
	moveEntries = 3
	// moveInterval is the time between two calls. A response has 8 tokens, so
	// that about 9 calls are in flight; the limit is 8 at each of the 6 engines.
	moveInterval  = 10 * time.Millisecond
	moveTokenTime = 10 * time.Millisecond
	// movePhase is the length of each of the three phases: all domains in
	// service, one domain out of service, and all domains in service again.
	movePhase = 5 * time.Second
	// moveWatchInterval is the interval at which the counters of the engines are
	// read. It is the resolution of move.last_new_work_s.
	moveWatchInterval = 10 * time.Millisecond
	// The targets of the design page.
	moveP99Bound      = 1.5
	moveNewWorkBoundS = 3
)

// movePlan holds the times at which the domain is taken out and in, and the
// latencies of the calls outside and during the move.
type movePlan struct {
	out, in        time.Time
	steady, moving *latencies
}

// phase returns where the latency of a call that was due at the given time is
// recorded. Calls in the second half of the last phase count as steady again.
func (p *movePlan) phase(due time.Time) *latencies {
	if due.Before(p.out) || due.After(p.in.Add(movePhase/2)) {
		return p.steady
	}
	return p.moving
}

// Move measures the success and latency of calls while one of three failure
// domains is taken out and back in under load, and for how long the engines of
// that domain still receive new calls.
func Move(ctx context.Context, env Env) error {
	regions := []string{"north", "middle", "south"}
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: moveAgents, Entries: moveEntries, Regions: regions,
		Engine: standin.EngineOptions{TokenTime: moveTokenTime},
		Limits: config.Limits{Cold: 8, Warm: 8, RampStep: 1},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	domain := fleet.FailureDomain(regions[1])
	runCtx, cancel := context.WithTimeout(ctx, 3*movePhase)
	defer cancel()
	start := time.Now()
	plan := &movePlan{
		out: start.Add(movePhase), in: start.Add(2 * movePhase),
		steady: newLatencies(), moving: newLatencies(),
	}
	var lastWork atomic.Int64
	published := make(chan error, 1)
	go func() { published <- plan.publish(runCtx, l, domain, &lastWork) }()
	client := newClient()
	openLoop(runCtx, moveInterval, plan.phase, func(ctx context.Context, i int) error { return moveCall(ctx, client, l, i) })
	if err := <-published; err != nil {
		return err
	}
	plan.report(env.Report, time.Duration(lastWork.Load()))
	return ctx.Err()
}

// publish takes the domain out and back in at the planned times. In between, it
// stores in last the time from the publication until the engines of the domain
// last started a call.
func (p *movePlan) publish(ctx context.Context, l *lab.Lab, domain fleet.FailureDomain, last *atomic.Int64) error {
	if err := duty.Sleep(ctx, time.Until(p.out)); err != nil {
		return err
	}
	published := time.Now()
	seen := startedCalls(ctx, l, domain)
	if err := l.PublishDomain(domain, config.DomainOut); err != nil {
		return err
	}
	for time.Now().Before(p.in) {
		if err := duty.Sleep(ctx, time.Until(time.Now().Add(moveWatchInterval))); err != nil {
			return err
		}
		if now := startedCalls(ctx, l, domain); now != seen {
			seen = now
			last.Store(int64(time.Since(published)))
		}
	}
	return l.PublishDomain(domain, config.DomainIn)
}

// startedCalls returns the number of calls that the engines of a domain have
// started.
func startedCalls(ctx context.Context, l *lab.Lab, domain fleet.FailureDomain) int {
	n := 0
	for _, p := range l.Agents {
		if p.FailureDomain == domain {
			n += p.Engine.Counts(ctx).Started
		}
	}
	return n
}

// moveCall sends a streaming call through one of the entries. It succeeds if the
// response is complete and belongs to this call.
func moveCall(ctx context.Context, client *http.Client, l *lab.Lab, i int) error {
	text := fmt.Sprintf("text-%d", i)
	url := "http://" + l.Entries[i%len(l.Entries)].Address + "/v1/chat/completions"
	answer, err := post(ctx, client, url, chatBody(string(lab.Service), text, true))
	if err != nil {
		return err
	}
	if !strings.Contains(answer, text+" ") || !strings.HasSuffix(strings.TrimSpace(answer), "data: [DONE]") {
		return fmt.Errorf("the response to %s is incomplete or belongs to another call: %q", text, answer)
	}
	return nil
}

func (p *movePlan) report(r *figure.Report, lastWork time.Duration) {
	calls, failed := p.steady.calls+p.moving.calls, p.steady.failed+p.moving.failed
	r.Note("move: %d calls, %d failed; %d of them during the move", calls, failed, p.moving.calls)
	for _, l := range []*latencies{p.steady, p.moving} {
		if l.lastError != nil {
			r.Note("move: last error: %v", l.lastError)
		}
	}
	r.Add("move.success_ratio", float64(calls-failed)/float64(calls), "ratio", figure.AtLeast(1))
	r.Add("move.steady_p99_us", p.steady.quantile(99), "us", figure.NoBound)
	r.Add("move.p99_ratio", p.moving.quantile(99)/p.steady.quantile(99), "ratio", figure.AtMost(moveP99Bound))
	r.Add("move.last_new_work_s", lastWork.Seconds(), "s", figure.AtMost(moveNewWorkBoundS))
}

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
	// moveEvery is the time between two calls. An answer takes 8 tokens, so
	// about 9 calls are in flight, against a limit of 8 at each of 6 engines.
	moveEvery = 10 * time.Millisecond
	moveToken = 10 * time.Millisecond
	// movePhase is the length of each of the three phases: all domains in
	// service, one out, and all again.
	movePhase = 5 * time.Second
	// moveWatch is the time between two looks at the engines' counters; it is
	// the resolution of move.last_new_work_s.
	moveWatch = 10 * time.Millisecond
	// The targets of the design page.
	moveP99Bound      = 1.5
	moveNewWorkBoundS = 3
)

// movePlan holds the times at which the phases begin.
type movePlan struct {
	out, in        time.Time
	steady, moving *latencies
}

// phase returns where a call that was due at a time is counted. The calls of
// the second half of the last phase count as steady again.
func (p *movePlan) phase(due time.Time) *latencies {
	if due.Before(p.out) || due.After(p.in.Add(movePhase/2)) {
		return p.steady
	}
	return p.moving
}

// Move measures callers' success and latency while one of three failure
// domains leaves and returns under load, and how long its engines still get
// new work.
func Move(ctx context.Context, env Env) error {
	regions := []string{"north", "middle", "south"}
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: moveAgents, Entries: moveEntries, Regions: regions,
		Engine: standin.EngineOptions{TokenTime: moveToken},
		Limits: config.Limits{Cold: 8, Warm: 8, RampStep: 1},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	domain := fleet.FailureDomain(regions[1])
	run, cancel := context.WithTimeout(ctx, 3*movePhase)
	defer cancel()
	start := time.Now()
	plan := &movePlan{
		out: start.Add(movePhase), in: start.Add(2 * movePhase),
		steady: newLatencies(), moving: newLatencies(),
	}
	var lastWork atomic.Int64
	published := make(chan error, 1)
	go func() { published <- plan.publish(run, l, domain, &lastWork) }()
	client := newClient()
	openLoop(run, moveEvery, plan.phase, func(ctx context.Context, i int) error { return moveCall(ctx, client, l, i) })
	if err := <-published; err != nil {
		return err
	}
	plan.report(env.Report, time.Duration(lastWork.Load()))
	return ctx.Err()
}

// publish takes the domain out and in again at the planned times. Meanwhile it
// notes when the engines of the domain last began a call, from the time at
// which the domain was published as out of service.
func (p *movePlan) publish(ctx context.Context, l *lab.Lab, domain fleet.FailureDomain, last *atomic.Int64) error {
	if err := duty.Sleep(ctx, time.Until(p.out)); err != nil {
		return err
	}
	published := time.Now()
	seen := startedIn(ctx, l, domain)
	if err := l.PublishDomain(domain, config.DomainOut); err != nil {
		return err
	}
	for time.Now().Before(p.in) {
		if err := duty.Sleep(ctx, time.Until(time.Now().Add(moveWatch))); err != nil {
			return err
		}
		if now := startedIn(ctx, l, domain); now != seen {
			seen = now
			last.Store(int64(time.Since(published)))
		}
	}
	return l.PublishDomain(domain, config.DomainIn)
}

// startedIn returns the calls that the engines of a domain have begun.
func startedIn(ctx context.Context, l *lab.Lab, domain fleet.FailureDomain) int {
	n := 0
	for _, p := range l.Agents {
		if p.FailureDomain == domain {
			n += p.Engine.Counts(ctx).Started
		}
	}
	return n
}

// moveCall sends a streamed call through one of the entries. It succeeds if the
// whole answer to this very call arrives.
func moveCall(ctx context.Context, client *http.Client, l *lab.Lab, i int) error {
	text := fmt.Sprintf("text-%d", i)
	url := "http://" + l.Entries[i%len(l.Entries)].Address + "/v1/chat/completions"
	answer, err := post(ctx, client, url, chatBody(string(lab.Service), text, true))
	if err != nil {
		return err
	}
	if !strings.Contains(answer, text+" ") || !strings.HasSuffix(strings.TrimSpace(answer), "data: [DONE]") {
		return fmt.Errorf("answer to %s is not whole: %q", text, answer)
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

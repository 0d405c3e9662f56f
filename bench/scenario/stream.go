package scenario

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/standin"
)

const (
	streamTokens  = 250
	streamWorkers = 64
	streamCalls   = 640
	// streamTokenTime is the target for the time between two tokens.
	streamTokenTime = 31 * time.Millisecond
)

// Stream measures the processor time that entry and agent spend on a streamed
// token, with as many tokens a call as at the expected size (7.1 million
// tokens and 28,000 requests a second).
func Stream(ctx context.Context, env Env) error {
	l, _, err := startServing(ctx, env, lab.Options{
		Agents: 1, Entries: 1, Regions: []string{"north"},
		Limits: config.Limits{Cold: streamWorkers, Warm: streamWorkers, RampStep: 1},
		Engine: standin.EngineOptions{Tokens: streamTokens, TokenTime: streamTokenTime},
	})
	if err != nil {
		return err
	}
	defer l.Close()
	entry, agent := l.Entries[0].PID(), l.Agents[0].PID()
	spentEntry, err := processorTime(entry)
	if err != nil {
		return err
	}
	spentAgent, err := processorTime(agent)
	if err != nil {
		return err
	}
	seen := newLatencies()
	call := sender(newClient(), "http://"+l.Entries[0].Address, chatBody(string(lab.Service), "text", true))
	closedLoop(ctx, streamWorkers, streamCalls, seen, call)
	if seen.failed > 0 {
		return eris.Wrapf(seen.lastError, "%d of %d streams failed", seen.failed, seen.calls)
	}
	return reportStream(env, entry, agent, spentEntry, spentAgent)
}

func reportStream(env Env, entry, agent int, spentEntry, spentAgent time.Duration) error {
	afterEntry, err := processorTime(entry)
	if err != nil {
		return err
	}
	afterAgent, err := processorTime(agent)
	if err != nil {
		return err
	}
	tokens := float64(streamCalls * streamTokens)
	perToken := func(spent time.Duration) float64 { return float64(spent.Microseconds()) / tokens }
	env.Report.Add("stream.entry_us_per_token", perToken(afterEntry-spentEntry), "us", figure.NoBound)
	env.Report.Add("stream.agent_us_per_token", perToken(afterAgent-spentAgent), "us", figure.NoBound)
	return nil
}

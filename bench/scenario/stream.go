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
	// streamTokenTime is the time between two tokens of the engine, which is set
	// to the target for that time.
	streamTokenTime = 31 * time.Millisecond
)

// Stream measures the processor time that the entry and the agent spend on a
// streamed token. A call has as many tokens as at the expected size, which is
// 7.1 million tokens and 28,000 requests per second.
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
	entryBefore, err := processorTime(entry)
	if err != nil {
		return err
	}
	agentBefore, err := processorTime(agent)
	if err != nil {
		return err
	}
	results := newLatencies()
	call := chatSender(newClient(), "http://"+l.Entries[0].Address, chatBody(string(lab.Service), "text", true))
	closedLoop(ctx, streamWorkers, streamCalls, results, call)
	if results.failed > 0 {
		return eris.Wrapf(results.lastError, "%d of %d streams failed", results.failed, results.calls)
	}
	return reportStream(env, entry, agent, entryBefore, agentBefore)
}

func reportStream(env Env, entry, agent int, entryBefore, agentBefore time.Duration) error {
	entryAfter, err := processorTime(entry)
	if err != nil {
		return err
	}
	agentAfter, err := processorTime(agent)
	if err != nil {
		return err
	}
	tokens := float64(streamCalls * streamTokens)
	perToken := func(spent time.Duration) float64 { return float64(spent.Microseconds()) / tokens }
	env.Report.Add("stream.entry_us_per_token", perToken(entryAfter-entryBefore), "us", figure.NoBound)
	env.Report.Add("stream.agent_us_per_token", perToken(agentAfter-agentBefore), "us", figure.NoBound)
	return nil
}

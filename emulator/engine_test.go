package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/retry"
)

func testEngine(c *clock) *engine {
	return &engine{
		model: &EngineModel{
			Slots: 2, Queue: 1, Step: 10 * time.Millisecond, Stride: 5, PromptTokensPerSecond: 10000, ChunkTokens: 1000,
			FirstToken: time.Millisecond, LoadWeights: 100 * time.Millisecond,
		},
		clock: c, version: 1, starts: 1,
	}
}

// testJob returns a request that records the times of its events and its end.
func testJob(c *clock, prompt, answer int) (j *job, events *[]time.Duration, end *retry.End) {
	start := c.now
	events, end = new([]time.Duration), new(retry.End)
	*end = retry.TimedOut
	j = &job{
		promptTokens: prompt, remaining: answer, onStart: func(dispatch.Observation) {},
		onEvent: func() { *events = append(*events, c.now.Sub(start)) },
		onEnd:   func(e retry.End) { *end = e },
	}
	return j, events, end
}

// Guards against an engine that generates events without reading the prompt first,
// or faster than its steps.
func TestEngineReadsThenGenerates(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	e := testEngine(c)
	j, events, end := testJob(c, 100, 10)
	require.True(t, e.submit(j, 1))
	c.runUntil(time.Unix(10, 0))
	require.Equal(t, []time.Duration{11 * time.Millisecond, 61 * time.Millisecond}, *events)
	require.Equal(t, retry.Answered, *end)
}

// Guards against an engine that accepts more than its slots and its queue, or any
// request while it waits for the end of its work to load weights.
func TestEngineRefuses(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	e := testEngine(c)
	for range 3 {
		j, _, _ := testJob(c, 100, 10)
		require.True(t, e.submit(j, 1))
	}
	j, _, _ := testJob(c, 100, 10)
	require.False(t, e.submit(j, 1))
	c.runUntil(c.now.Add(time.Second))
	loadedAt := time.Time{}
	j, _, end := testJob(c, 100, 10)
	require.True(t, e.submit(j, 1))
	e.order(2, func() { loadedAt = c.now })
	require.False(t, e.submit(j, 1))
	c.runUntil(c.now.Add(time.Second))
	require.Equal(t, retry.Answered, *end)
	require.False(t, loadedAt.IsZero())
	require.Equal(t, int64(2), e.version)
}

// Guards against work that survives a crash of its engine.
func TestEngineCrash(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	e := testEngine(c)
	j, events, end := testJob(c, 100, 10)
	require.True(t, e.submit(j, 1))
	c.runUntil(c.now.Add(20 * time.Millisecond))
	e.crash()
	c.runUntil(c.now.Add(time.Second))
	require.Len(t, *events, 1)
	require.Equal(t, retry.Lost, *end)
	e.restart(0)
	require.False(t, e.submit(j, 1), "no weights after a restart")
}

// Guards against an engine that works while it is paused, that loses the work which its
// pause interrupts, or that reads what arrived meanwhile before the end of the pause.
func TestPausedEngineGoesOn(t *testing.T) {
	s := &simulation{scenario: manyGateways(t), result: newResult(0)}
	s.clock.now = time.Unix(0, 0)
	e := testEngine(&s.clock)
	running, events, end := testJob(&s.clock, 100, 10)
	require.True(t, e.submit(running, 1))
	s.clock.runUntil(s.clock.now.Add(20 * time.Millisecond))
	e.pausedUntil = s.clock.now.Add(time.Second)
	late, lateEvents, lateEnd := testJob(&s.clock, 100, 5)
	(&attempt{gateway: &gateway{sim: s}, call: &call{}, engine: e, send: dispatch.Send{ExpectVersion: 1}}).arrive(late)
	s.clock.runUntil(s.clock.now.Add(990 * time.Millisecond))
	require.Len(t, *events, 1, "the first event was made before the pause")
	require.Empty(t, *lateEvents)
	s.clock.runUntil(s.clock.now.Add(time.Second))
	require.Equal(t, retry.Answered, *end)
	require.Equal(t, retry.Answered, *lateEnd)
	require.Greater(t, (*lateEvents)[0], time.Second)
}

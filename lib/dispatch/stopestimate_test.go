package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// stream sends a request for a stream with a caller's estimate of its length and the longest
// answer that it allows.
func (h *harness) stream(hint, most int) []Action {
	h.next++
	return h.core.Arrive(h.now, h.next, Call{
		ID: "id", Host: "h", Path: "/stream/1", Key: "key", TimeBudget: 6 * time.Second, Model: model, PromptTokens: 100,
		ExpectedAnswerTokens: hint, MaxAnswerTokens: most,
	})
}

// stopWith begins a stop and lets time pass until so much of it is left.
func (h *harness) stopWith(left time.Duration) {
	h.core.Stop(h.now, h.now.Add(7500*time.Millisecond))
	h.advance(7500*time.Millisecond - left)
}

// Guards against a stream that begins late in a planned stop and is cut at its end, because
// its caller estimates too few tokens.
func TestStopTrustsNoEstimateOfAStreamsLength(t *testing.T) {
	for _, c := range []struct {
		hint, most int
		left       time.Duration
		served     bool
	}{
		{50, 300, 4500 * time.Millisecond, false},
		{300, 300, 4500 * time.Millisecond, false},
		{0, 300, 4500 * time.Millisecond, false},
		{50, 300, 6600 * time.Millisecond, true},
		{50, 100, 4500 * time.Millisecond, true},
		{50, 0, 4500 * time.Millisecond, false},
	} {
		h := newHarness(t, longView(replica("a", 1)))
		h.stopWith(c.left)
		actions := h.stream(c.hint, c.most)
		if c.served {
			require.Positive(t, h.sent(actions).Expected, "%+v", c)
			continue
		}
		require.Equal(t, NotRun, h.refused(actions).Verdict, "%+v", c)
	}
}

// Guards against streams that are cut at the end of a planned stop because the engines are
// slower than their published figures.
func TestStopKnowsHowLongStreamsTake(t *testing.T) {
	for _, took := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		h := newHarness(t, longView(replica("a", 1)))
		h.answer(minAnswers, "/stream/1", took)
		h.stopWith(4500 * time.Millisecond)
		actions := h.stream(50, 50)
		if took < time.Second {
			h.sent(actions)
			continue
		}
		require.Equal(t, NotRun, h.refused(actions).Verdict)
	}
}

// Guards against a stream to a service without figures that begins late in a planned stop of
// a process that has seen few of its answers.
func TestStopRejectsStreamsOfUnknownLength(t *testing.T) {
	v := longView(replica("a", 1))
	v.Config.Services[engine].Engine = &published.Engine{Layers: 16, Models: []string{model}}
	h := newHarness(t, v)
	h.stopWith(4500 * time.Millisecond)
	require.Equal(t, NotRun, h.refused(h.stream(50, 300)).Verdict)
}

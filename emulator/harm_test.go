package emulator

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
)

const (
	// maxReachedLate is the number of harmful requests that may reach engines
	// although the cause of the crashes can be known.
	maxReachedLate = 3
	// minBegunBeside is the rate at which answers to sound requests begin that have
	// a first part in common with harmful ones, as a fraction of that of others.
	minBegunBeside = 0.5
	harmfulSeeds   = 3
)

func smallHarmful(t *testing.T) *Scenario {
	t.Helper()
	s, err := ReadScenario("scenarios/small-harmful-part.ini")
	require.NoError(t, err)
	return s
}

// Pattern: a part of the prompts of one class crashes each engine that begins to
// answer. Guards against gateways that pass on such requests as long as they come,
// because no two of them are the same, and against gateways that reject all requests
// with a first part that sound and harmful ones share.
func TestHarmfulPartIsKeptFromEngines(t *testing.T) {
	for seed := uint64(1); seed <= harmfulSeeds; seed++ {
		h := Run(smallHarmful(t), seed).Harm
		require.Positive(t, h.Requests, "seed %d", seed)
		require.Positive(t, h.Beside.Asked, "seed %d", seed)
		require.Positive(t, h.Apart.Asked, "seed %d", seed)
		require.LessOrEqual(t, h.ReachedLate, maxReachedLate, "seed %d", seed)
		require.GreaterOrEqual(t, h.Beside.BegunShare(), minBegunBeside*h.Apart.BegunShare(), "seed %d", seed)
	}
}

// Pattern: the engine crashes after the first events of an answer. Guards against gateways that
// take a request whose answer has begun for harmless: its part is never blocked, and each such
// request is sent to a second engine, which crashes as well.
func TestPartThatCrashesEnginesAfterAnswersBegan(t *testing.T) {
	for _, events := range []int{1, 2, 5} {
		for seed := uint64(1); seed <= harmfulSeeds; seed++ {
			s := smallHarmful(t)
			s.Harmful.Events = events
			// The answers of the class are long enough for the crash.
			s.Classes[0].Spread = 0.3
			h := Run(s, seed).Harm
			t.Logf("%d events, seed %d: %d crashes, %d late", events, seed, h.Crashes, h.ReachedLate)
			require.Positive(t, h.Crashes, "seed %d", seed)
			require.LessOrEqual(t, h.ReachedLate, maxReachedLate, "seed %d", seed)
			require.GreaterOrEqual(t, h.Beside.BegunShare(), minBegunBeside*h.Apart.BegunShare(), "seed %d", seed)
		}
	}
}

// Pattern: engines crash one after the other, by no fault of a request, under answers of
// several seconds whose prompts share all their parts, at several gateways. Guards against
// gateways that block what all these requests have in common.
func TestCrashesThatNoPartCausesBlockNothing(t *testing.T) {
	for _, turn := range []time.Duration{250 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		for seed := uint64(1); seed <= harmfulSeeds; seed++ {
			s := smallHarmful(t)
			s.Harmful = Harmful{}
			s.Prompts.FirstParts, s.Prompts.FurtherParts = 1, 0
			s.Traffic.PerSecond = 40
			s.Traffic.Length = 28 * time.Second
			for i := range s.Classes {
				s.Classes[i].Events, s.Classes[i].MaxEvents, s.Classes[i].Spread = 60, 90, 0.2
			}
			s.Crash = Crash{At: 6 * time.Second, Turn: turn, For: 3300 * time.Millisecond, Share: 1, KeepsWeights: true}
			r := Run(s, seed)
			require.Zero(t, r.Blocked, "every %v, seed %d", turn, seed)
			during, after := r.Between(6*time.Second, 24*time.Second), r.Between(24*time.Second, 27*time.Second)
			t.Logf("every %v, seed %d: %.3f in time during the crashes, %.3f after, %d blocked", turn, seed, during.InTimeShare(), after.InTimeShare(), r.Blocked)
			require.GreaterOrEqual(t, after.InTimeShare(), minInTimePerSecond, "every %v, seed %d", turn, seed)
		}
	}
}

// Guards against an outcome that depends on the order of a map: of the evidence, of
// the queues of suspected requests, or of the peers that a message names.
func TestSameSeedSameHarm(t *testing.T) {
	s := smallHarmful(t)
	s.Fleet.Gateways = 40
	s.Traffic.Length = 10 * time.Second
	require.Equal(t, Run(s, 7), Run(s, 7))
}

// Pattern: all engines of a failure domain crash at once and come back with their
// weights. Guards against gateways that take the requests lost there for the cause
// and block them, or all that have a part in common with them.
func TestCrashOfFailureDomainBlocksNothing(t *testing.T) {
	s := smallHarmful(t)
	s.Harmful = Harmful{}
	s.Traffic.Length = 20 * time.Second
	s.Crash = Crash{At: 8 * time.Second, For: 3300 * time.Millisecond, Region: "b", KeepsWeights: true}
	for seed := uint64(1); seed <= harmfulSeeds; seed++ {
		r := Run(s, seed)
		during := r.Between(8*time.Second, 11*time.Second)
		require.Less(t, during.InTimeShare(), minInTime, "the crash is felt with seed %d", seed)
		require.Zero(t, r.Blocked, "seed %d", seed)
		after := r.Between(14*time.Second, 20*time.Second)
		require.GreaterOrEqual(t, after.InTimeShare(), minInTimePerSecond, "seed %d", seed)
	}
}

// Guards against a harmful request that gets an event, or that crashes its engine
// before the pass that would make its first event.
func TestEngineCrashesInsteadOfAnswering(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	start := c.now
	e := testEngine(c)
	var crashedAfter time.Duration
	e.onHarm = func() {
		crashedAfter = c.now.Sub(start)
		e.crash()
	}
	sound, soundEvents, soundEnd := testJob(c, 100, 100)
	require.True(t, e.submit(sound, 1))
	harmful, events, end := testJob(c, 2000, 10)
	harmful.harmful = true
	c.runUntil(c.now.Add(20 * time.Millisecond))
	require.True(t, e.submit(harmful, 1))
	c.runUntil(c.now.Add(time.Second))
	require.Empty(t, *events)
	require.Equal(t, retry.Lost, *end)
	require.Len(t, *soundEvents, 2, "the pass in which the engine crashes makes no events")
	require.Equal(t, retry.Lost, *soundEnd)
	require.Equal(t, 311*time.Millisecond, crashedAfter)
	e.restart(1)
	sound, soundEvents, _ = testJob(c, 100, 10)
	require.True(t, e.submit(sound, 1), "the engine kept its weights")
	c.runUntil(c.now.Add(time.Second))
	require.Len(t, *soundEvents, 2)
}

// Guards against harmful requests that differ from sound ones in their customers or
// first parts, and against first parts that are all equally frequent.
func TestPromptsShareParts(t *testing.T) {
	s := smallHarmful(t)
	p := newPrompter(s, 1)
	harmfulKeys, soundKeys := map[string]int{}, map[string]int{}
	harmfulParts, soundParts := map[string]int{}, map[string]int{}
	for range 20000 {
		q := p.next(s.Harmful.Class, s.Harmful.From)
		if q.harmful {
			require.Equal(t, harmfulPart, q.shared[1])
			harmfulKeys[q.key]++
			harmfulParts[q.firstPart()]++
			continue
		}
		require.NotContains(t, q.shared, harmfulPart)
		soundKeys[q.key]++
		soundParts[q.firstPart()]++
	}
	require.Len(t, soundKeys, s.Prompts.Customers)
	require.Len(t, harmfulKeys, s.Prompts.Customers)
	require.Len(t, soundParts, s.Prompts.FirstParts)
	require.Subset(t, slices.Collect(maps.Keys(soundParts)), slices.Collect(maps.Keys(harmfulParts)))
	require.Greater(t, soundParts["review first 0"], 10*soundParts["review first 100"])
	require.False(t, p.next(s.Harmful.Class, s.Harmful.Until).harmful)
	require.False(t, p.next(s.Classes[1].Name, s.Harmful.From).harmful)
}

// Guards against a part of a scenario that is silently not played.
func TestHarmfulScenarioErrors(t *testing.T) {
	for _, c := range []struct {
		change func(s *Scenario)
		where  string
	}{
		{func(s *Scenario) { s.Harmful.Class = "other" }, "[harmful] class"},
		{func(s *Scenario) { s.Harmful.Class = "" }, "[harmful] needs class"},
		{func(s *Scenario) { s.Harmful.Share = 1.5 }, "[harmful] needs a share"},
		{func(s *Scenario) { s.Harmful.Until = 0 }, "[harmful] needs until"},
		{func(s *Scenario) { s.Harmful.Down = 0 }, "[harmful] needs until after from, and down"},
		{func(s *Scenario) { s.Prompts.FirstParts = 0 }, "[harmful] needs first_parts"},
		{func(s *Scenario) { s.Prompts.FurtherParts = 0 }, "[prompts] further_share"},
		{func(s *Scenario) { s.Crash.Region = "z" }, "[crash] region"},
	} {
		s := smallHarmful(t)
		require.NoError(t, s.check("file"))
		c.change(s)
		require.ErrorContains(t, s.check("file"), "scenario file: "+c.where)
	}
}

// Pattern: a few of many engines crash at once, without any harmful request, at many
// gateways. Guards against gateways that take the requests which the search for a
// cause held back as a sign of missing capacity: each then keeps to the slots that it
// owns, so that others must wait as well, and all do so for many seconds.
func TestCrashOfFewEnginesHoldsUpNobody(t *testing.T) {
	s, err := ReadScenario("scenarios/wide-harmful-part.ini")
	require.NoError(t, err)
	s.Harmful = Harmful{}
	s.Traffic.Length = 8 * time.Second
	s.Crash = Crash{At: 4 * time.Second, For: 3300 * time.Millisecond, Share: 0.015, KeepsWeights: true}
	r := Run(s, 2)
	require.Zero(t, r.Blocked)
	for second := 1; second < 8; second++ {
		require.GreaterOrEqual(t, r.Seconds[second].InTimeShare(), minInTimePerSecond, "second %d", second)
	}
}

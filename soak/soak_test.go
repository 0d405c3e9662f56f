package soak

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/standin/program"
)

// shortPauseLength is the time with pauses of replicas in such a soak.
const shortPauseLength = 8 * time.Second

// shortOptions returns the options of a soak that is short enough for every run of
// the tests. Guarantees with a time limit are checked in manual runs only.
func shortOptions(t *testing.T, seed uint64, binary, gateway string) Options {
	return Options{
		Seed: seed, Binary: binary, Gateway: gateway, Logs: t.TempDir(), Gateways: 2, Engines: 3, PlainReplicas: 2, Callers: 8,
		Weights: true, Length: 8 * time.Second, Out: io.Discard,
	}
}

// build builds the program in a folder of the repository and returns its path.
func build(t *testing.T, folder string) string {
	t.Helper()
	binary, err := program.Build(t.TempDir(), folder)
	require.NoError(t, err)
	return binary
}

// Guards against violations of guarantees under faults: a request that runs twice,
// a refused request that ran, mixed answers, weights loaded from incomplete pieces,
// a process that ends by itself or stops serving, a request that was read whole and ends
// without an answer beside replicas that pause.
func TestPromisesHoldUnderFaults(t *testing.T) {
	binary := build(t, program.Product)
	for _, seed := range []uint64{1, 2} {
		o := shortOptions(t, seed, binary, binary)
		o.PauseLength = shortPauseLength
		r, err := Run(context.Background(), o)
		require.NoError(t, err)
		require.Positive(t, r.Runs)
		require.Empty(t, r.Violations, "seed %d", seed)
	}
}

// Guards against overload in which a priority or a customer gets no service, a refused
// request ran, or a process ends.
func TestNobodyStarvesInABurst(t *testing.T) {
	binary := build(t, program.Product)
	o := shortOptions(t, 1, binary, binary)
	o.Length, o.Bursts = 0, true
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.Empty(t, r.Violations)
}

// naiveSeed is the seed of the soak of the naive baseline. With it, five orders lose
// their answers in the first 15 calls of the callers, and eight in the first 50. Later
// calls are not reached on a busy machine.
const naiveSeed = 16778

// Guards against a soak of the naive baseline that by chance contains no lost answer
// of a request that may not be repeated: the seed alone decides which attempts lose
// theirs.
func TestSeedDeterminesLostAnswers(t *testing.T) {
	require.GreaterOrEqual(t, lostOrders(t, 15), 5)
	require.GreaterOrEqual(t, lostOrders(t, 50), 8)
}

// lostOrders returns how many orders lose their answers in the first calls of each caller.
func lostOrders(t *testing.T, callsOfEach int) (lost int) {
	t.Helper()
	for i := range shortOptions(t, naiveSeed, "", "").Callers {
		for call := 1; call <= callsOfEach; call++ {
			name := callerName(i)
			if drawKind(seededRandom(naiveSeed, name, call)) != order {
				continue
			}
			if f := plainFault(seededRandom(naiveSeed, attemptID(name, call, 1), 0)); f == noAnswer || f == cutAnswer {
				lost++
			}
		}
	}
	return lost
}

// Guards against checks that find no violation at all: the naive baseline resends
// requests whose outcome is unknown.
func TestNaiveBaselineBreaksPromises(t *testing.T) {
	r, err := Run(context.Background(), shortOptions(t, naiveSeed, build(t, program.Product), build(t, "soak/cmd/naive")))
	require.NoError(t, err)
	require.Contains(t, strings.Join(r.Violations, "\n"), "TWICE")
}

// writeFunc is a writer that calls a function.
type writeFunc func()

func (f writeFunc) Write(p []byte) (int, error) {
	f()
	return len(p), nil
}

// Guards against a soak that panics, and leaves its processes, when it is interrupted.
func TestInterruptedSoakEndsWithAnError(t *testing.T) {
	binary := build(t, program.Product)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := shortOptions(t, 1, binary, binary)
	// The first fault is reported.
	o.Out = writeFunc(cancel)
	_, err := Run(ctx, o)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against processes that keep running after their soak.
func TestProcessesEndWithTheirSoak(t *testing.T) {
	binary := build(t, program.Product)
	env, err := newEnvironment(context.Background(), shortOptions(t, 1, binary, binary))
	require.NoError(t, err)
	started := env.processes()
	env.close()
	for _, p := range started {
		require.NotNil(t, p.cmd.ProcessState, p.name())
	}
}

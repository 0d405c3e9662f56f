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

// short returns the options of a soak that is short enough for every run of
// the tests. Promises with a time are left to runs by hand.
func short(t *testing.T, seed uint64, binary, gateway string) Options {
	return Options{
		Seed: seed, Binary: binary, Gateway: gateway, Logs: t.TempDir(), Gateways: 2, Engines: 3, Desks: 2, Callers: 8,
		Weights: true, Length: 8 * time.Second, Out: io.Discard,
	}
}

func build(t *testing.T, folder string) string {
	t.Helper()
	binary, err := program.Build(t.TempDir(), folder)
	require.NoError(t, err)
	return binary
}

// Guards against a change that breaks a promise under faults: a request that
// runs twice, a refusal that is not true, mixed answers, weights taken from
// incomplete pieces, a process that ends by itself or serves no more.
func TestPromisesHoldUnderFaults(t *testing.T) {
	binary := build(t, program.Product)
	for _, seed := range []uint64{1, 2} {
		r, err := Run(context.Background(), short(t, seed, binary, binary))
		require.NoError(t, err)
		require.Positive(t, r.Runs)
		require.Empty(t, r.Broken, "seed %d", seed)
	}
}

// Guards against checks that find nothing: the naive baseline sends a request
// again after its outcome became unknown.
func TestNaiveBaselineBreaksPromises(t *testing.T) {
	r, err := Run(context.Background(), short(t, 1, build(t, program.Product), build(t, "soak/cmd/naive")))
	require.NoError(t, err)
	require.Contains(t, strings.Join(r.Broken, "\n"), "TWICE")
}

// Guards against a soak that leaves processes behind.
func TestProcessesEndWithTheirSoak(t *testing.T) {
	binary := build(t, program.Product)
	w, err := newWorld(context.Background(), short(t, 1, binary, binary))
	require.NoError(t, err)
	started := w.processes()
	w.close()
	for _, p := range started {
		require.NotNil(t, p.cmd.ProcessState, p.name())
	}
}

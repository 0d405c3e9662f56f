package logline

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// buffer is a writer that tests may read concurrently.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Guards against logging that blocks while the log is not written, and against
// drops that are not reported.
func TestLogNeverBlocksAndCountsDrops(t *testing.T) {
	out := &buffer{}
	l := New(out)
	logger := l.Logger("g")
	for i := range ringCapacity + 10 {
		require.NoError(t, logger.Log("event", "e", "n", i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "event=log-dropped") }, 30*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.NotContains(t, out.String(), " n=0\n", "the oldest lines are dropped")
	require.Contains(t, out.String(), fmt.Sprintf("n=%d\n", ringCapacity+9))
}

// Guards against lines lost when a process stops.
func TestStopWritesQueuedLines(t *testing.T) {
	out := &buffer{}
	l := New(out)
	require.NoError(t, l.Logger("g").Log("event", "last"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, l.Run(ctx))
	require.Contains(t, out.String(), "instance=g event=last")
}

// Guards against lines as long as an odd entry of the store, whose text a finding shows: the
// lines that wait for the writer would take more memory than the machine has.
func TestLongLinesAreCut(t *testing.T) {
	out := &buffer{}
	l := New(out)
	require.NoError(t, l.Logger("g").Log("event", "item-unreadable", "err", strings.Repeat("é", 1<<20)))
	require.NoError(t, l.Logger("g").Log("event", "next"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, l.Run(ctx))
	lines := strings.SplitAfter(out.String(), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "event=item-unreadable")
	require.Less(t, len(lines[0]), 9<<10)
	require.True(t, utf8.ValidString(lines[0]))
	require.Contains(t, lines[1], "event=next")
}

package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/published"
)

// pausingSource is a source whose first watch returns late, as that of a store that pauses
// does, and whose second one removes the upstream a.
type pausingSource struct {
	scriptedSource
	pause time.Duration
}

func (s *pausingSource) Watch(ctx context.Context, prefix string, after published.Revision, wait time.Duration) (published.Batch, error) {
	s.mu.Lock()
	first := s.watches == 0
	s.mu.Unlock()
	if first {
		time.Sleep(wait + s.pause)
	}
	return s.scriptedSource.Watch(ctx, prefix, after, wait)
}

// Guards against a process that loses all upstreams because the store paused: their
// registrations expired meanwhile, and are renewed soon.
func TestRegistrationsThatExpireInAPauseOfTheStoreStay(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			removal := published.Batch{Changes: []published.Change{{Key: "a", Revision: 5, Removed: true}}, Revision: 5}
			s := &pausingSource{pause: pause, scriptedSource: scriptedSource{
				snapshot: []published.Change{upstream("a", 1), upstream("b", 2)},
				steps:    []step{{batch: published.Batch{Revision: 2}}, {batch: removal}, {batch: published.Batch{Revision: 5}, idle: true}},
			}}
			startedAt := time.Now()
			_, views := run(t, s, 50*time.Millisecond)
			require.Len(t, next(t, views).Upstreams, 2)
			require.Len(t, next(t, views).Upstreams, 1, "what is not renewed is removed")
			require.GreaterOrEqual(t, time.Since(startedAt), pause+published.LapseGrace)
		})
	}
}

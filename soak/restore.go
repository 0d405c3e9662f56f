package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// copyInterval is the least interval between two copies that the store makes of
	// itself, maxCopies the number of those that it keeps.
	copyInterval = 400 * time.Millisecond
	maxCopies    = 32
	// maxRewriteDelay is the time after a restore within which everything that was lost is
	// written again.
	maxRewriteDelay = time.Second
)

// storeCopy is a copy of the store at a time.
type storeCopy struct {
	at       time.Time
	revision uint64
	items    map[string]entry
}

// copyIfDue keeps a copy of the store as it is before a change.
func (st *storeState) copyIfDue(now time.Time) {
	if n := len(st.copies); n > 0 && now.Sub(st.copies[n-1].at) < copyInterval {
		return
	}
	st.copies = append(st.copies, storeCopy{at: now, revision: st.revision, items: maps.Clone(st.items)})
	if len(st.copies) > maxCopies {
		st.copies = st.copies[1:]
	}
}

// restore brings back the newest copy that is at least age old, or else the oldest one.
// Its revisions are given out again. It returns the keys whose last writes were lost.
func (s *store) restore(age time.Duration) (lost []string) {
	return call(s.state, func(st *storeState) []string {
		if len(st.copies) == 0 {
			return nil
		}
		index := 0
		for i, c := range st.copies {
			if time.Since(c.at) >= age {
				index = i
			}
		}
		from := st.copies[index]
		st.copies = st.copies[:index+1]
		for key, e := range st.items {
			if from.items[key].Revision != e.Revision {
				st.lost[key] = e
			}
		}
		for key := range from.items {
			if _, ok := st.items[key]; !ok {
				st.lost[key] = entry{Key: key, Deleted: true}
			}
		}
		st.era++
		st.revision, st.items = from.revision, maps.Clone(from.items)
		st.history = slices.DeleteFunc(slices.Clone(st.history), func(e entry) bool { return e.Revision > st.revision })
		st.compacted = min(st.compacted, st.revision)
		st.wake()
		return slices.Sorted(maps.Keys(st.lost))
	})
}

// rewrite writes a lost key again, unless its writer has written it since.
func (s *store) rewrite(key string) {
	apply(s.state, func(st *storeState) {
		if e, ok := st.lost[key]; ok {
			st.commit(entry{Key: key, Value: e.Value, Deleted: e.Deleted})
		}
	})
}

// restoreStore makes the store lose its last changes and lets their writers write them
// again, each after a delay of its own.
func (env *environment) restoreStore(age time.Duration, random *rand.Rand) {
	for _, key := range env.store.restore(age) {
		delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
		env.group.Go("writer of "+key, func(ctx context.Context) error {
			if duty.Sleep(ctx, delay) == nil && ctx.Err() == nil {
				env.store.rewrite(key)
			}
			return nil
		})
	}
}

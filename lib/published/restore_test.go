package published

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func configChange(version int64, r Revision) Change {
	return Change{Key: "config", Revision: r, Item: &Config{Version: version}}
}

func drainingUpstream(id string, r Revision) Change {
	c := upstream(id, r)
	c.Item.(*Upstream).Draining = true
	return c
}

func removed(key string, r Revision) Change { return Change{Key: key, Revision: r, Removed: true} }

func outOfService(domain string, r Revision) Change {
	return Change{Key: "out/" + domain, Revision: r, Item: OutOfService{Domain: "d"}}
}

// at returns a revision of an era.
func at(era, number uint64) Revision { return NewRevision(era, number) }

// Guards against an order of changes by their numbers alone, which are given out again
// after a restore.
func TestRevisionsOfLaterErasAreGreater(t *testing.T) {
	require.Greater(t, at(2, 1), at(1, MaxNumber))
	require.Greater(t, at(1, 2), at(1, 1))
	require.Equal(t, "2/7", at(2, 7).String())
	require.Equal(t, "7", at(0, 7).String())
	require.Equal(t, at(MaxEra, MaxNumber), at(1<<60, 1<<60))
}

// Guards against a confirmed configuration that comes back older because the store was
// restored, and against one that is kept although the store has a newer one.
func TestRestoredStoreBringsBackNoOlderConfiguration(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{configChange(5, at(1, 15))}, at(1, 15))
	s.Apply(start, []Change{configChange(12, at(1, 17))}, at(1, 17))
	s.Replace(start, []Change{configChange(5, at(2, 15))}, at(2, 15))
	require.Equal(t, int64(12), s.View().ConfigVersion())
	s.Apply(start, []Change{configChange(9, at(2, 16))}, at(2, 16))
	require.Equal(t, int64(12), s.View().ConfigVersion(), "the operator writes them again in their order")
	s.Apply(start, []Change{configChange(12, at(2, 17))}, at(2, 17))
	s.Apply(start, []Change{configChange(15, at(2, 18))}, at(2, 18))
	require.Equal(t, int64(15), s.View().ConfigVersion())
	s.Expire(start.Add(time.Hour))
	require.Equal(t, int64(15), s.View().ConfigVersion())
}

// Guards against a configuration, an evacuation or an upstream that is served for ever
// although its writer did not write it again after a restore.
func TestStoreCountsAfterTheGraceOfARestore(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{configChange(5, at(1, 1)), upstream("a", at(1, 2))}, at(1, 2))
	s.Apply(start, []Change{configChange(6, at(1, 3)), upstream("b", at(1, 4)), outOfService("d", at(1, 5))}, at(1, 5))
	s.Replace(start, []Change{configChange(5, at(2, 1)), upstream("a", at(2, 2))}, at(2, 2))
	require.Len(t, s.View().Upstreams, 2)
	require.True(t, s.View().OutOfService["d"])
	s.Expire(start.Add(LapseGrace))
	require.Len(t, s.View().Upstreams, 1, "registrations are renewed within two seconds")
	s.Expire(start.Add(RestoreGrace - time.Millisecond))
	require.Equal(t, int64(6), s.View().ConfigVersion())
	require.True(t, s.View().OutOfService["d"])
	s.Expire(start.Add(RestoreGrace))
	require.Equal(t, int64(5), s.View().ConfigVersion())
	require.Empty(t, s.View().OutOfService)
}

// Guards against requests to an upstream whose leaving was confirmed, because the copy of
// the store was made before it: as one that is ready, or that is still registered. An
// upstream that registers again must be used, whatever its number.
func TestRestoredStoreBringsBackNoLeavingUpstream(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{upstream("drains", at(1, 1)), upstream("gone", at(1, 2)), upstream("back", at(1, 3))}, at(1, 3))
	s.Apply(start, []Change{drainingUpstream("drains", at(1, 4)), removed("u/gone", at(1, 5)), removed("u/back", at(1, 9))}, at(1, 9))
	s.Replace(start, []Change{upstream("drains", at(2, 1)), upstream("gone", at(2, 2)), upstream("back", at(2, 3))}, at(2, 3))
	require.Len(t, s.View().Upstreams, 1)
	require.True(t, s.View().Upstreams[0].Draining)
	s.Apply(start, []Change{upstream("back", at(2, 4))}, at(2, 4))
	require.Len(t, s.View().Upstreams, 2)
	s.Apply(start, []Change{drainingUpstream("drains", at(2, 5)), removed("u/gone", at(2, 6))}, at(2, 6))
	s.Expire(start.Add(time.Hour))
	require.Len(t, s.View().Upstreams, 2)
	require.True(t, s.View().Upstreams[1].Draining)
}

// Guards against a failure domain that is used although its evacuation was confirmed, and
// against one that stays out of use after it was taken back.
func TestRestoredStoreBringsBackNoEvacuation(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{outOfService("d", at(1, 1))}, at(1, 1))
	s.Apply(start, []Change{removed("out/d", at(1, 4))}, at(1, 4))
	s.Replace(start, []Change{outOfService("d", at(2, 1))}, at(2, 1))
	require.Empty(t, s.View().OutOfService)
	s.Apply(start, []Change{outOfService("d", at(2, 2))}, at(2, 2))
	require.True(t, s.View().OutOfService["d"], "it was written after the restore")
}

// Guards against a snapshot or changes of an earlier era that arrive late, from the store
// or from a peer that has not heard of the restore.
func TestReadsOfEarlierErasAreIgnored(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{configChange(5, at(2, 3)), upstream("a", at(2, 1))}, at(2, 3))
	require.False(t, s.Replace(start, []Change{configChange(9, at(1, 90)), upstream("b", at(1, 80))}, at(1, 90)))
	require.False(t, s.ApplyPeer(start, []Change{upstream("b", at(1, 80)), removed("u/a", at(1, 81))}, at(1, 90)))
	require.Len(t, s.View().Upstreams, 1)
	require.Equal(t, int64(5), s.View().ConfigVersion())
}

// Guards against a process that starts after a restore, before what was lost is written
// again, and serves the old configuration although its peers know the confirmed one.
func TestProcessThatStartsAfterARestoreLearnsFromPeers(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{configChange(5, at(2, 3)), desired(1, at(2, 1))}, at(2, 3))
	require.True(t, s.ApplyPeer(start, []Change{configChange(12, at(1, 17)), desired(2, at(1, 16))}, at(2, 3)))
	require.Equal(t, int64(12), s.View().ConfigVersion())
	require.Equal(t, int64(2), s.View().Desired["m"].Version)
	s.Apply(start, []Change{configChange(15, at(2, 4))}, at(2, 4))
	require.Equal(t, int64(15), s.View().ConfigVersion())
	s.Expire(start.Add(RestoreGrace))
	require.Equal(t, int64(1), s.View().Desired["m"].Version, "it was not written again")
	require.False(t, s.ApplyPeer(start.Add(RestoreGrace), []Change{desired(2, at(1, 16))}, at(2, 3)))
}

// Guards against a process that is cut off from the store and hears of a restore from its
// peers only, and against two restores in a row.
func TestRestoresThatPeersReport(t *testing.T) {
	peer, cutOff := NewState(), NewState()
	for _, s := range []*State{peer, cutOff} {
		s.Replace(start, []Change{configChange(5, at(1, 3)), upstream("a", at(1, 1)), upstream("b", at(1, 2))}, at(1, 3))
	}
	peer.Apply(start, []Change{configChange(6, at(1, 4))}, at(1, 4))
	for era := uint64(2); era <= 3; era++ {
		peer.Replace(start, []Change{configChange(5, at(era, 3)), upstream("a", at(era, 1))}, at(era, 3))
	}
	require.Equal(t, int64(6), peer.View().ConfigVersion())
	peer.Apply(start, []Change{configChange(7, at(3, 4))}, at(3, 4))
	peer.Expire(start.Add(LapseGrace))
	b := peer.Since(start, cutOff.View().Revision)
	cutOff.ApplyPeer(start, b.Changes, b.Revision)
	require.Equal(t, int64(7), cutOff.View().ConfigVersion())
	require.Equal(t, peer.View().Revision, cutOff.View().Revision)
	require.Equal(t, len(peer.View().Upstreams), len(cutOff.View().Upstreams))
}

// Guards against a process that is cut off from the store, long after its last snapshot,
// and takes the copy's configuration from a peer that has just started.
func TestPeerBringsNoOlderConfigurationOfANewEra(t *testing.T) {
	cutOff, started := NewState(), NewState()
	cutOff.Replace(start, []Change{configChange(12, at(1, 17)), drainingUpstream("a", at(1, 16))}, at(1, 17))
	later := start.Add(time.Hour)
	started.Replace(later, []Change{configChange(5, at(2, 15)), upstream("a", at(2, 1))}, at(2, 15))
	b := started.Since(later, cutOff.View().Revision)
	cutOff.ApplyPeer(later, b.Changes, b.Revision)
	require.Equal(t, int64(12), cutOff.View().ConfigVersion())
	require.True(t, cutOff.View().Upstreams[0].Draining)
	cutOff.Expire(later.Add(RestoreGrace))
	require.Equal(t, int64(5), cutOff.View().ConfigVersion())
}

// Guards against weights whose window begins again because the store was restored and
// their version is written again under another revision.
func TestVersionWrittenAgainKeepsItsAge(t *testing.T) {
	s := NewState()
	s.Replace(start, []Change{desired(1, at(1, 1))}, at(1, 1))
	s.Apply(start.Add(time.Second), []Change{desired(2, at(1, 2))}, at(1, 2))
	s.Replace(start.Add(2*time.Second), []Change{desired(1, at(2, 1))}, at(2, 1))
	s.Apply(start.Add(3*time.Second), []Change{desired(2, at(2, 2))}, at(2, 2))
	require.Equal(t, start.Add(time.Second), s.View().Desired["m"].Published.NotBefore)
	late := NewState()
	late.Replace(start.Add(3*time.Second), []Change{desired(1, at(2, 1))}, at(2, 1))
	late.Apply(start.Add(4*time.Second), []Change{desired(2, at(2, 2))}, at(2, 2))
	late.ApplyAges(start.Add(4*time.Second), map[string][]VersionAge{"m": {{Version: 2, Number: 2, Era: 1, AgeMS: 3000}}})
	require.Equal(t, start.Add(time.Second), late.View().Desired["m"].Published.NotBefore)
}

// Guards against processes that stay apart after restores: whatever each has read of the
// store and of the others, all have the store's state once it is quiet and the grace is
// over.
func TestProcessesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newModelStore()
		states := []*State{NewState(), NewState(), NewState()}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "process")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				store.write(configChange(int64(store.nextVersion()), 0))
			case 1:
				store.write(upstream(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), 0))
			case 2:
				store.write(removed("u/"+rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), 0))
			case 3:
				store.backUp()
			case 4:
				store.restore()
			case 5:
				states[i].Replace(now, store.snapshot(), store.revision())
			case 6:
				b := states[rapid.IntRange(0, 2).Draw(t, "peer")].Since(now, 0)
				states[i].ApplyPeer(now, b.Changes, b.Revision)
			}
			states[i].Expire(now)
		}
		for _, s := range states {
			s.Replace(now, store.snapshot(), store.revision())
		}
		now = now.Add(RestoreGrace)
		for _, s := range states {
			s.Expire(now)
			s.Replace(now, store.snapshot(), store.revision())
			s.Expire(now.Add(LapseGrace))
			require.Equal(t, store.configVersion(), s.View().ConfigVersion())
			require.Len(t, s.View().Upstreams, store.upstreams())
		}
	})
}

// modelStore is a store that can be restored from its last copy.
type modelStore struct {
	era, number uint64
	items       map[string]Change
	copied      map[string]Change
	copiedUpTo  uint64
	version     int
}

func newModelStore() *modelStore { return &modelStore{era: 1, items: map[string]Change{}} }

func (s *modelStore) nextVersion() int {
	s.version++
	return s.version
}

func (s *modelStore) write(c Change) {
	s.number++
	c.Revision = at(s.era, s.number)
	s.items[c.Key] = c
	if c.Removed {
		delete(s.items, c.Key)
	}
}

func (s *modelStore) backUp() {
	s.copied, s.copiedUpTo = map[string]Change{}, s.number
	for k, c := range s.items {
		s.copied[k] = c
	}
}

func (s *modelStore) restore() {
	s.era++
	s.items, s.number = map[string]Change{}, s.copiedUpTo
	for k, c := range s.copied {
		s.items[k] = c
	}
}

// snapshot returns all items as a reader of this era gets them.
func (s *modelStore) snapshot() []Change {
	var out []Change
	for _, c := range s.items {
		c.Revision = at(s.era, c.Revision.Number())
		out = append(out, c)
	}
	return out
}

func (s *modelStore) revision() Revision { return at(s.era, s.number) }

func (s *modelStore) configVersion() int64 {
	if c, ok := s.items["config"]; ok {
		return c.Item.(*Config).Version
	}
	return 0
}

func (s *modelStore) upstreams() int {
	n := 0
	for _, c := range s.items {
		if _, ok := c.Item.(*Upstream); ok {
			n++
		}
	}
	return n
}

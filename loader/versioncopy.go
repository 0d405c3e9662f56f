package loader

import (
	"slices"
	"time"

	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
)

// versionCopy is the loader's copy of one version, complete or in transfer.
type versionCopy struct {
	version  int64
	manifest *staging.Manifest
	// data holds the verified pieces by number, nil for missing ones; pieces is
	// the number of those present.
	data      [][]byte
	pieces    int
	core      *transfer.Core
	startedAt time.Time
	// manifestRequested is set while a query for the manifest is pending.
	manifestRequested bool
	retryAt           time.Time
	// check holds what speaks against the manifest.
	check staging.ManifestCheck
	// originQueriedAt is when the origin was last queried for the manifest.
	originQueriedAt time.Time
	// searching is set while the engine is searched for stored pieces, searched
	// once that search has ended.
	searching, searched bool
	// searchOnly is set while the copy only serves to find out which version the engine stores:
	// its missing pieces are not transferred.
	searchOnly bool
	// obsolete is set once a target is keptVersions newer.
	obsolete bool
	// completionLogged is set once the copy was logged as complete.
	completionLogged bool
}

func (vc *versionCopy) complete() bool { return vc.manifest != nil && vc.pieces == len(vc.data) }

func (vc *versionCopy) set() transfer.Set {
	s := transfer.NewSet(len(vc.data))
	for i, d := range vc.data {
		if d != nil {
			s.Add(i)
		}
	}
	return s
}

// correct replaces the manifest by one that another corrected. The pieces that were verified
// stay, and the transfer begins anew, since it holds against its sources what they sent.
func (vc *versionCopy) correct(other *staging.Manifest) {
	sameLength := len(other.Digests) == len(vc.data)
	vc.manifest = vc.manifest.Corrected(other, func(i int) bool { return sameLength && vc.data[i] != nil })
	vc.check, vc.core = staging.ManifestCheck{}, nil
	if !sameLength {
		vc.data, vc.pieces = make([][]byte, len(other.Digests)), 0
	}
}

func (vc *versionCopy) add(number int, data []byte) {
	if vc.data[number] == nil {
		vc.data[number] = data
		vc.pieces++
	}
}

// keptVersions is the number of versions whose copies are kept: the target and
// the one before it, which restarted engines may still need.
const keptVersions = 2

// markOldVersions marks the copies that a new target makes obsolete.
func (c *coordinator) markOldVersions(target int64) {
	for v, vc := range c.copies {
		vc.obsolete = vc.obsolete || v <= target-keptVersions
	}
}

// dropCopies drops the copies that are obsolete, or only served a search that has ended. Those
// of the task and of the open order are kept, since the pieces at the engine may have to be stored
// again.
func (c *coordinator) dropCopies(now time.Time) {
	open, unsearched := c.core.OpenOrder(now), c.core.Unsearched(now)
	for v, vc := range c.copies {
		inUse := v == open || c.taskRunning && v == c.taskVersion
		if !inUse && (vc.obsolete || vc.searchOnly && !slices.Contains(unsearched, v)) {
			delete(c.copies, v)
			c.core.MarkDropped(v)
		}
	}
}

// ensureSearches creates the copies of versions of which the engine is to be searched.
func (c *coordinator) ensureSearches(now time.Time) {
	for _, v := range c.core.Unsearched(now) {
		if c.copies[v] == nil {
			c.ensureCopy(now, v).searchOnly = true
		}
	}
}

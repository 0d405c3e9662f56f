package published

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxOldVersions is the number of previous versions of a model that are kept although they
	// were published longer than recentFor ago, and maxPreviousVersions that of all previous
	// ones. Messages contain them all.
	maxOldVersions      = 8
	maxPreviousVersions = 64
	// recentFor exceeds the grace periods of versions: each version that was published less
	// long ago may have one of its own.
	recentFor = 30 * time.Second
)

// trimPrevious brings the previous versions, the newest first, within their bounds. A version
// within its grace period must stay: what becomes due when its period ends is known from it
// alone. So must the newest one whose period is over, which is due now. If there are too many,
// two become one, which is due as soon as the earlier one.
func trimPrevious(now time.Time, list []PreviousVersion) []PreviousVersion {
	for len(list) > maxOldVersions && !list[len(list)-1].recent(now) && !list[len(list)-2].recent(now) {
		list = list[:len(list)-1]
	}
	for len(list) > maxPreviousVersions {
		list = joinTwo(now, list)
	}
	return list
}

// recent reports whether the version may be within its grace period. Nothing is known of the
// publication of a version in the first snapshot, which is due at once.
func (p PreviousVersion) recent(now time.Time) bool {
	return p.Published.Known() && now.Sub(p.Published.NotBefore) <= recentFor
}

// joinTwo makes one of two neighbors in the list: the newer version, with the publication of the
// older one. It takes those that leave the smallest gap to the version after them.
func joinTwo(now time.Time, list []PreviousVersion) []PreviousVersion {
	newer, smallest, after := 0, time.Duration(math.MaxInt64), now
	for i := range len(list) - 1 {
		if gap := after.Sub(list[i+1].Published.NotBefore); gap < smallest {
			newer, smallest = i, gap
		}
		after = list[i].Published.NotBefore
	}
	if older := list[newer+1].Published; older.NotBefore.Before(list[newer].Published.NotBefore) {
		list[newer].Published = older
	}
	return slices.Delete(list, newer+1, newer+2)
}

// setPrevious sets what is known of the publication of a previous version. It reports
// whether that changed.
func (d *DesiredVersion) setPrevious(now time.Time, reported PreviousVersion) bool {
	for i := range d.Previous {
		if p := &d.Previous[i]; p.Revision == reported.Revision {
			return p.Version == reported.Version && learn(&p.Published, reported.Published)
		}
	}
	before := d.Previous
	list := append(slices.Clone(before), reported)
	slices.SortFunc(list, func(a, b PreviousVersion) int { return cmp.Compare(b.Revision, a.Revision) })
	d.Previous = trimPrevious(now, list)
	return !slices.Equal(before, d.Previous)
}

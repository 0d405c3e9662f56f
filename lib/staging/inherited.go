package staging

import "time"

// inheritance describes an engine process that was running when the loader started. An earlier
// process of the loader may have sent it orders without an answer; each states a sequence of at
// most this one. The zero value is none.
type inheritance struct {
	startTime, sequence int64
	since               time.Time
}

// mayBeAccepted reports whether an engine with a report may still accept such an order.
func (i *inheritance) mayBeAccepted(now time.Time, r *Report) bool {
	return !i.since.IsZero() && r.StartTime == i.startTime && r.Sequence <= i.sequence && now.Sub(i.since) < requestLifetime
}

// Found is what a search of the engine found of the pieces of one version.
type Found uint8

// The results of a search.
const (
	// NotSearched means that the engine was not searched, or that the search failed.
	NotSearched Found = iota
	// FoundNone means that the engine stores no piece of the version, FoundSome that it stores
	// some, FoundAll that it stores the whole version.
	FoundNone
	FoundSome
	FoundAll
	// FoundEmpty means that the engine stores no pieces at all.
	FoundEmpty
)

// Inherit records the first report that the loader has read of its engine.
func (c *Core) Inherit(now time.Time, r Report) {
	c.inherited = inheritance{startTime: r.StartTime, sequence: r.Sequence, since: now}
}

// MarkFound records what a search of the engine found of a version before the loader stored
// anything there.
func (c *Core) MarkFound(version int64, f Found) { c.found[version] = f }

// Unsearched returns the versions of which the engine is to be searched for pieces, since an
// order of an earlier process may be open that prevents the storing of the version to load. It
// is the version before that one, and the loaded one.
func (c *Core) Unsearched(now time.Time) []int64 {
	if !c.NeedsUpdate() {
		return nil
	}
	version := c.chooseVersion(now)
	if version == 0 || c.stored(version) || c.OpenOrder(now) != 0 || c.mayOverwrite(now, version) {
		return nil
	}
	var out []int64
	for _, v := range []int64{version - 1, c.Loaded()} {
		if v > 0 && c.found[v] == NotSearched {
			out = append(out, v)
		}
	}
	return out
}

// mayOverwrite reports whether the pieces at the engine may be replaced by those of a version,
// as far as orders of an earlier process are concerned. Such a process ordered only what was
// stored whole, newer than what the engine serves, and replaced it only once the order was void.
func (c *Core) mayOverwrite(now time.Time, version int64) bool {
	if !c.inherited.mayBeAccepted(now, &c.report) {
		return true
	}
	if loaded := c.Loaded(); loaded != 0 && (version == loaded+1 || c.found[loaded] == FoundAll) {
		return true
	}
	switch c.found[version] {
	case FoundAll, FoundEmpty:
		return true
	case FoundSome:
		// The earlier process was about to replace another version, unless the two share pieces.
		before := c.found[version-1]
		return version == 1 || before == FoundNone || before == FoundSome
	default:
		return false
	}
}

// noteOverwriting records that the pieces of a version are about to be stored. If none are
// there yet, no order of an earlier process is open. What was found of other versions is gone.
func (c *Core) noteOverwriting(version int64) {
	f := c.found[version]
	if f == FoundNone || f == FoundEmpty {
		c.inherited = inheritance{}
	}
	c.found = map[int64]Found{version: f}
}

// adoptOrder treats a version that is stored whole at the engine, and neither served by it nor
// the one to load, as one that an earlier process ordered without an answer. It reports whether
// there is such a version.
func (c *Core) adoptOrder(now time.Time, version int64) bool {
	if !c.inherited.mayBeAccepted(now, &c.report) {
		return false
	}
	for v := range c.complete {
		if v == version || v == c.Loaded() || !c.stored(v) && c.found[v] != FoundAll {
			continue
		}
		c.open = openOrder{version: v, startTime: c.report.StartTime, sequence: c.report.Sequence, sentAt: c.inherited.since}
		c.placed, c.placedStartTime = v, c.report.StartTime
		c.inherited = inheritance{}
		return true
	}
	return false
}

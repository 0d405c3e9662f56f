package published

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReportedAge is the age up to which versions are reported to peers.
	maxReportedAge = 10 * time.Minute
	// ageTolerance is the difference between two processes' ages of a version that
	// is put down to the delay of messages.
	ageTolerance = 20 * time.Millisecond
)

// Ages returns the known ages of the desired versions and of the previous ones, by
// model. Models without a recent change are left out.
func (v *View) Ages(now time.Time) map[string][]VersionAge {
	var out map[string][]VersionAge
	for model, d := range v.Desired {
		ages := d.ages(now)
		if len(ages) == 0 {
			continue
		}
		if out == nil {
			out = map[string][]VersionAge{}
		}
		out[model] = ages
	}
	return out
}

// ages returns the ages of the desired version and of the previous ones that are
// known and at most maxReportedAge old, the newest first.
func (d DesiredVersion) ages(now time.Time) []VersionAge {
	var out []VersionAge
	add := func(version int64, revision Revision, firstSeen time.Time, bounded bool) {
		if age := now.Sub(firstSeen); !firstSeen.IsZero() && age >= 0 && age <= maxReportedAge {
			out = append(out, VersionAge{Version: version, Number: revision.Number(), Era: revision.Era(), AgeMS: age.Milliseconds(), Bounded: bounded})
		}
	}
	add(d.Version, d.Revision, d.FirstSeen, d.Bounded)
	for _, p := range d.Previous {
		add(p.Version, p.Revision, p.FirstSeen, p.Bounded)
	}
	return out
}

// Learns reports whether the ages that a peer reports change what the view says
// about a desired version.
func (v *View) Learns(now time.Time, ages map[string][]VersionAge) bool {
	for model, list := range ages {
		d, ok := v.Desired[model]
		if _, changed := d.withAges(now, list); ok && changed {
			return true
		}
	}
	return false
}

// ApplyAges takes over what a peer reports about desired versions, by model. The
// update window begins with the publication, so the earliest observation of any process
// counts: a process may have been paused, or been cut off, when a version was
// published. What such a process knows is only a bound, and the latest bound counts as long as
// nobody has observed the version at once. It reports whether the view changed.
func (s *State) ApplyAges(now time.Time, ages map[string][]VersionAge) bool {
	changed := false
	for key, d := range s.desired {
		next, ok := d.withAges(now, ages[d.Model])
		if ok {
			s.desired[key] = next
			changed = true
		}
	}
	if changed {
		s.rebuild(now)
	}
	return changed
}

// withAges returns the desired version with the ages that a peer reports, and
// whether they differ from what was known. Revisions distinguish a version that became
// desired again from the earlier time; across a restore of the store, the same version is
// one that was written again. An earlier observation replaces a later one or a bound, and
// versions that this process missed are added to the previous ones. Reports of newer
// revisions are ignored, since their item follows, and so are those without a revision.
func (d DesiredVersion) withAges(now time.Time, ages []VersionAge) (DesiredVersion, bool) {
	changed := false
	d.Previous = slices.Clone(d.Previous)
	for _, a := range ages {
		firstSeen := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
		revision := a.Revision()
		switch {
		case revision == 0:
		case a.Version == d.Version && (revision == d.Revision || revision.Era() != d.Revision.Era()):
			changed = refine(&d.FirstSeen, &d.Bounded, firstSeen, a.Bounded) || changed
		case revision < d.Revision:
			previous := PreviousVersion{Version: a.Version, Revision: revision, FirstSeen: firstSeen, Bounded: a.Bounded}
			changed = d.setPrevious(previous) || changed
		}
	}
	return d, changed
}

// setPrevious sets when a previous version was first seen. It reports whether that
// changed.
func (d *DesiredVersion) setPrevious(reported PreviousVersion) bool {
	for i := range d.Previous {
		if p := &d.Previous[i]; p.Revision == reported.Revision {
			return p.Version == reported.Version && refine(&p.FirstSeen, &p.Bounded, reported.FirstSeen, reported.Bounded)
		}
	}
	if full := len(d.Previous) >= maxPreviousVersions; full && reported.Revision < d.Previous[len(d.Previous)-1].Revision {
		return false
	}
	d.Previous = append(d.Previous, reported)
	slices.SortFunc(d.Previous, func(a, b PreviousVersion) int { return cmp.Compare(b.Revision, a.Revision) })
	d.Previous = d.Previous[:min(len(d.Previous), maxPreviousVersions)]
	return true
}

// refine replaces what is known of the time at which a version was first seen by what a peer
// reports, if that says more: anything says more than nothing, an observation more than a
// bound, the earlier one of two observations, and the later one of two bounds. Differences up
// to ageTolerance do not count. It reports whether it did.
func refine(known *time.Time, bounded *bool, reported time.Time, reportedBounded bool) bool {
	better := false
	switch {
	case known.IsZero(), *bounded && !reportedBounded:
		better = true
	case *bounded:
		better = reported.Sub(*known) > ageTolerance
	case !reportedBounded:
		better = known.Sub(reported) > ageTolerance
	}
	if better {
		*known, *bounded = reported, reportedBounded
	}
	return better
}

// validAge is the longest age that a peer may report.
const validAge = 2 * maxReportedAge

// ValidAges reports whether all ages in a message are possible.
func ValidAges(ages map[string][]VersionAge) bool {
	for _, list := range ages {
		if len(list) > maxPreviousVersions+1 {
			return false
		}
		for _, a := range list {
			if a.AgeMS < 0 || a.AgeMS > validAge.Milliseconds() {
				return false
			}
		}
	}
	return true
}

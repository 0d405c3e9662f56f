package published

import (
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
	add := func(version int64, revision Revision, p Publication) {
		if age := now.Sub(p.NotBefore); p.Known() && age >= 0 && age <= maxReportedAge {
			out = append(out, VersionAge{
				Version: version, Number: revision.Number(), Era: revision.Era(),
				AgeMS: age.Milliseconds(), UncertaintyMS: p.Uncertainty.Milliseconds(),
			})
		}
	}
	add(d.Version, d.Revision, d.Published)
	for i, p := range d.Previous {
		if i < maxOldVersions || p.recent(now) {
			add(p.Version, p.Revision, p.Published)
		}
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
// update window begins with the publication, of which another process may know more: this
// one may have been paused, or been cut off, when a version was published. It reports
// whether the view changed.
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
// one that was written again. Versions that this process missed are added to the previous
// ones. Reports of newer revisions are ignored, since their item follows, and so are those
// without a revision.
func (d DesiredVersion) withAges(now time.Time, ages []VersionAge) (DesiredVersion, bool) {
	changed := false
	d.Previous = slices.Clone(d.Previous)
	for _, a := range ages {
		revision := a.Revision()
		switch {
		case revision == 0:
		case a.Version == d.Version && (revision == d.Revision || revision.Era() != d.Revision.Era()):
			changed = learn(&d.Published, a.publication(now)) || changed
		case revision < d.Revision:
			previous := PreviousVersion{Version: a.Version, Revision: revision, Published: a.publication(now)}
			changed = d.setPrevious(now, previous) || changed
		}
	}
	return d, changed
}

// learn adds what a peer reports to what is known. It reports whether that changed.
func learn(known *Publication, reported Publication) bool {
	merged := known.merge(reported)
	if !merged.saysMore(*known) {
		return false
	}
	*known = merged
	return true
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
			if a.AgeMS < 0 || a.AgeMS > validAge.Milliseconds() || a.UncertaintyMS < 0 || a.UncertaintyMS > a.AgeMS {
				return false
			}
		}
	}
	return true
}

package staging

import (
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

const (
	// turnFirst is the part of the time for a new version after which the first
	// engine of a service begins to take it; the copies arrive before that.
	turnFirst = 0.34
	// turnMargin is how long before the time is over the last one begins. In
	// between they take turns, so that the others go on serving.
	turnMargin = 900 * time.Millisecond
)

// Turn returns when an engine that holds an older version begins to take the
// wanted one. Entries know it too, and keep long requests away shortly before.
func Turn(w published.DesiredVersion, loaded int64, within time.Duration, rank, count int) time.Time {
	first := w.FirstSeen.Add(time.Duration(turnFirst * float64(within)))
	last := due(w, loaded, within).Add(-turnMargin)
	if last.Before(first) {
		return last
	}
	return first.Add(last.Sub(first) * time.Duration(rank) / time.Duration(max(count, 1)))
}

// due returns when a version may begin no more requests: that is the time of
// the oldest version which is newer.
func due(w published.DesiredVersion, loaded int64, within time.Duration) time.Time {
	oldest := w.FirstSeen
	for _, e := range w.Previous {
		if e.Version > loaded {
			oldest = e.Learned
		}
	}
	return oldest.Add(within)
}

// Rank returns the position of an engine among the engines of its service for
// a version, by their addresses. The order differs between versions.
func Rank(self string, all []string, version int64) int {
	key := strconv.FormatInt(version, 10)
	mine := fleet.RendezvousWeight(key, self)
	rank := 0
	for _, o := range all {
		if o != self && fleet.RendezvousWeight(key, o) > mine {
			rank++
		}
	}
	return rank
}

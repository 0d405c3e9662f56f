package gossip

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspectTTL is how long a crash report counts.
	SuspectTTL = 10 * time.Minute
	// MaxSuspects limits the suspects table; the oldest record is evicted.
	MaxSuspects = 256
	// maxReports limits the reporters of one suspect. Entries refuse a request
	// after 3 crashes, so further reporters change nothing.
	maxReports = 8
	// maxClockLead limits how far the clock of a reporter may be ahead.
	maxClockLead = time.Minute
)

// suspects is a table of merged crash reports.
type suspects struct {
	records map[string]Suspect
	// queue holds the number of remaining transmissions of each change.
	queue map[string]int
}

func newSuspects() suspects {
	return suspects{records: map[string]Suspect{}, queue: map[string]int{}}
}

// merge applies a record and reports whether it changed the table.
func (s *suspects) merge(in Suspect, now time.Time, transmissions int) bool {
	age := now.Sub(in.Last)
	if in.Fingerprint == "" || age >= SuspectTTL || age < -maxClockLead {
		return false
	}
	old, known := s.records[in.Fingerprint]
	next := in
	if known {
		next = combineSuspects(old, in)
	} else {
		next.Reports = combineReports(nil, in.Reports)
	}
	if known && sameSuspect(old, next) {
		return false
	}
	if !known {
		s.evictOldest()
	}
	s.records[in.Fingerprint] = next
	s.queue[in.Fingerprint] = transmissions
	return true
}

// combineSuspects keeps the later epoch; within an epoch, the greatest count of
// each reporter. It is commutative, associative and idempotent.
func combineSuspects(a, b Suspect) Suspect {
	switch {
	case a.Epoch > b.Epoch:
		return a
	case a.Epoch < b.Epoch:
		b.Reports = combineReports(nil, b.Reports)
		return b
	}
	a.Reports = combineReports(a.Reports, b.Reports)
	if a.Last.Before(b.Last) {
		a.Last = b.Last
	}
	return a
}

func combineReports(a, b []Report) []Report {
	greatest := map[Report]uint32{}
	for _, list := range [][]Report{a, b} {
		for _, r := range list {
			key := Report{Instance: r.Instance, Incarnation: r.Incarnation}
			greatest[key] = max(greatest[key], r.Count)
		}
	}
	out := make([]Report, 0, len(greatest))
	for key, count := range greatest {
		key.Count = count
		out = append(out, key)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Instance != out[j].Instance {
			return out[i].Instance < out[j].Instance
		}
		return out[i].Incarnation < out[j].Incarnation
	})
	return out[:min(len(out), maxReports)]
}

func sameSuspect(a, b Suspect) bool {
	if a.Epoch != b.Epoch || !a.Last.Equal(b.Last) || len(a.Reports) != len(b.Reports) {
		return false
	}
	for i := range a.Reports {
		if a.Reports[i] != b.Reports[i] {
			return false
		}
	}
	return true
}

// evictOldest deletes the oldest record if the table is full.
func (s *suspects) evictOldest() {
	if len(s.records) < MaxSuspects {
		return
	}
	oldest := ""
	for f, r := range s.records {
		o := s.records[oldest]
		if oldest == "" || r.Last.Before(o.Last) || (r.Last.Equal(o.Last) && f < oldest) {
			oldest = f
		}
	}
	delete(s.records, oldest)
	delete(s.queue, oldest)
}

// purge deletes expired records and reports whether there were any.
func (s *suspects) purge(now time.Time) bool {
	before := len(s.records)
	for f, r := range s.records {
		if now.Sub(r.Last) >= SuspectTTL {
			delete(s.records, f)
			delete(s.queue, f)
		}
	}
	return len(s.records) != before
}

// updates returns at most limit queued changes and counts one transmission of
// each.
func (s *suspects) updates(limit int) []Suspect {
	var fingerprints []string
	for f := range s.queue {
		fingerprints = append(fingerprints, f)
	}
	sort.Slice(fingerprints, func(i, j int) bool {
		if s.queue[fingerprints[i]] != s.queue[fingerprints[j]] {
			return s.queue[fingerprints[i]] > s.queue[fingerprints[j]]
		}
		return fingerprints[i] < fingerprints[j]
	})
	var out []Suspect
	for _, f := range fingerprints[:min(len(fingerprints), limit)] {
		out = append(out, s.records[f])
		if s.queue[f]--; s.queue[f] <= 0 {
			delete(s.queue, f)
		}
	}
	return out
}

// window returns at most limit records. The offset selects the first one, so
// that calls with different offsets cover all records.
func (s *suspects) window(limit, offset int) []Suspect {
	list := s.all()
	if len(list) == 0 {
		return nil
	}
	first := offset % len(list)
	list = slices.Concat(list[first:], list[:first])
	return list[:min(len(list), limit)]
}

// hash returns a hash of the records; equal tables have equal hashes.
func (s *suspects) hash() uint32 {
	var sum uint32
	for _, r := range s.records {
		var h xxhash.Digest
		h.Reset()
		_, _ = fmt.Fprintln(&h, r.Fingerprint, r.Epoch, r.Last.UnixMilli(), r.Reports)
		sum ^= uint32(h.Sum64())
	}
	return sum
}

// all returns the records sorted by fingerprint.
func (s *suspects) all() []Suspect {
	out := make([]Suspect, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// Crashes returns the number of crashes reported in the current epoch.
func (s Suspect) Crashes() int {
	n := 0
	for _, r := range s.Reports {
		n += int(r.Count)
	}
	return n
}

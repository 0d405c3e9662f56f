package retry

import (
	"encoding/hex"
	"time"

	"github.com/zeebo/blake3"
)

const (
	// BlockAfter is the number of crashes after which a request is blocked.
	BlockAfter = 3
	// SuspectTTL is how long a crash counts against a request.
	SuspectTTL = 10 * time.Minute
	// maxSuspects bounds the number of records; the oldest one is evicted.
	maxSuspects = 1024
	// fingerprintBytes is the length of a fingerprint before its hex encoding.
	fingerprintBytes = 16
)

// Fingerprint returns a hash in hex that identifies a request by its path and
// body.
func Fingerprint(path string, body []byte) string {
	h := blake3.New()
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// Verdict says whether a request may run.
type Verdict uint8

// The verdicts of the guard.
const (
	// Clear means that the request may share a replica with others.
	Clear Verdict = iota
	// Suspected means that one more crash blocks the request. It must then run
	// alone on a replica, so that a further crash is certainly its own fault and
	// a request that only shared a replica with the cause is cleared by its
	// success. After the first crash requests still share replicas, because a
	// replica that dies for another reason affects many of them at once.
	Suspected
	// Blocked means that the request crashed too many upstreams.
	Blocked
)

// Guard blocks requests that crash their upstreams. It counts the crashes that
// this process observed and those that other processes report.
type Guard struct{ suspects map[string]*suspect }

// suspect is the record of a request that may have crashed an upstream.
type suspect struct {
	// observed counts the crashes that this process observed, reported those
	// that another process reported. Both may include the same crashes, so the
	// greater number applies.
	observed, reported int
	updatedAt          time.Time
	// clearedAt is when a run last succeeded; reports of earlier crashes are
	// ignored.
	clearedAt time.Time
}

// NewGuard returns a guard without records.
func NewGuard() *Guard { return &Guard{suspects: map[string]*suspect{}} }

// Crashed counts a crash of an upstream while it ran the request.
func (g *Guard) Crashed(now time.Time, fingerprint string) {
	s := g.record(now, fingerprint)
	s.observed++
	s.updatedAt = now
}

// ApplyReport records the number of crashes that another process counted for a
// request, and the time of the last one. Reports that have expired, or that are
// not newer than a success of the request, are ignored.
func (g *Guard) ApplyReport(now time.Time, fingerprint string, crashes int, last time.Time) {
	if now.Sub(last) > SuspectTTL || crashes <= 0 {
		return
	}
	s := g.record(now, fingerprint)
	if !last.After(s.clearedAt) {
		return
	}
	s.reported = max(s.reported, crashes)
	if last.After(s.updatedAt) {
		s.updatedAt = last
	}
}

// Observed returns the crashes that this process observed itself, by
// fingerprint, for at most limit requests.
func (g *Guard) Observed(limit int) map[string]int {
	out := map[string]int{}
	for f, s := range g.suspects {
		if s.observed > 0 && len(out) < limit {
			out[f] = s.observed
		}
	}
	return out
}

// Succeeded clears a request that ran to its end. It reports whether any crash
// counted against the request.
func (g *Guard) Succeeded(now time.Time, fingerprint string) bool {
	s := g.suspects[fingerprint]
	if s == nil || s.crashes() == 0 {
		return false
	}
	s.observed, s.reported = 0, 0
	s.clearedAt = now
	s.updatedAt = now
	return true
}

// Check returns the verdict on a request.
func (g *Guard) Check(now time.Time, fingerprint string) Verdict {
	s := g.suspects[fingerprint]
	switch {
	case s == nil || s.expired(now) || s.crashes() == 0:
		return Clear
	case s.crashes() >= BlockAfter:
		return Blocked
	case s.crashes() == BlockAfter-1:
		return Suspected
	default:
		return Clear
	}
}

// Len returns the number of records.
func (g *Guard) Len() int { return len(g.suspects) }

func (s *suspect) crashes() int { return max(s.observed, s.reported) }

func (s *suspect) expired(now time.Time) bool { return now.Sub(s.updatedAt) > SuspectTTL }

// record returns the record of a request. It creates one if there is none or if
// it has expired.
func (g *Guard) record(now time.Time, fingerprint string) *suspect {
	if s := g.suspects[fingerprint]; s != nil && !s.expired(now) {
		return s
	}
	if len(g.suspects) >= maxSuspects {
		g.evict(now)
	}
	s := &suspect{updatedAt: now}
	g.suspects[fingerprint] = s
	return s
}

// evict removes the expired records, or the oldest if none has expired.
func (g *Guard) evict(now time.Time) {
	oldest := ""
	for f, s := range g.suspects {
		if s.expired(now) {
			delete(g.suspects, f)
			continue
		}
		if oldest == "" || s.updatedAt.Before(g.suspects[oldest].updatedAt) {
			oldest = f
		}
	}
	if len(g.suspects) >= maxSuspects {
		delete(g.suspects, oldest)
	}
}

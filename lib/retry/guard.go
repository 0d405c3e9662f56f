package retry

import (
	"encoding/hex"
	"time"

	"github.com/zeebo/blake3"
)

const (
	// BlockAfter is the number of crashes after which a request is refused.
	BlockAfter = 3
	// SuspectLife is how long a crash counts against a request.
	SuspectLife = 10 * time.Minute
	// maxSuspects bounds the requests under suspicion; the oldest is dropped.
	maxSuspects = 1024
	// fingerprintBytes is the length of a fingerprint before its encoding.
	fingerprintBytes = 16
)

// Fingerprint identifies the content of a request by its path and body.
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
	// Clear means that the request may run beside others.
	Clear Verdict = iota
	// Suspected means that one more crash blocks the request. It must run alone
	// on a replica: then a crash is its own fault, and requests that only
	// shared a replica with the cause are cleared by their success. After a
	// first crash, requests still run beside others, because a replica that
	// dies for its own reasons leaves many of them.
	Suspected
	// Blocked means that the request crashed too many upstreams.
	Blocked
)

// Guard stops requests that crash their upstreams. It counts the crashes that
// this entry saw, and takes in those that others report.
type Guard struct{ suspects map[string]*suspect }

type suspect struct {
	// seen counts crashes in this process, heard those that others report.
	// Both may hold the same crashes, so the greater counts.
	seen, heard int
	last        time.Time
	// cleared is when a run last succeeded; older reports are void.
	cleared time.Time
}

// NewGuard returns a guard without suspects.
func NewGuard() *Guard { return &Guard{suspects: map[string]*suspect{}} }

// Crashed takes in that an upstream was lost while it ran a request.
func (g *Guard) Crashed(now time.Time, fingerprint string) {
	s := g.entry(now, fingerprint)
	s.seen++
	s.last = now
}

// Heard takes in the crashes that another process counted up to a time.
func (g *Guard) Heard(now time.Time, fingerprint string, crashes int, last time.Time) {
	if now.Sub(last) > SuspectLife || crashes <= 0 {
		return
	}
	s := g.entry(now, fingerprint)
	if !last.After(s.cleared) {
		return
	}
	s.heard = max(s.heard, crashes)
	if last.After(s.last) {
		s.last = last
	}
}

// Seen returns up to a number of requests with the crashes that this process
// saw itself.
func (g *Guard) Seen(most int) map[string]int {
	out := map[string]int{}
	for f, s := range g.suspects {
		if s.seen > 0 && len(out) < most {
			out[f] = s.seen
		}
	}
	return out
}

// Succeeded clears a request: it ran to its end. It reports whether the
// request was under suspicion.
func (g *Guard) Succeeded(now time.Time, fingerprint string) bool {
	s := g.suspects[fingerprint]
	if s == nil || s.crashes() == 0 {
		return false
	}
	s.seen, s.heard = 0, 0
	s.cleared = now
	s.last = now
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

// Len returns the number of records that are kept.
func (g *Guard) Len() int { return len(g.suspects) }

func (s *suspect) crashes() int { return max(s.seen, s.heard) }

func (s *suspect) expired(now time.Time) bool { return now.Sub(s.last) > SuspectLife }

// entry returns the record of a request; an expired one starts anew.
func (g *Guard) entry(now time.Time, fingerprint string) *suspect {
	if s := g.suspects[fingerprint]; s != nil && !s.expired(now) {
		return s
	}
	if len(g.suspects) >= maxSuspects {
		g.makeRoom(now)
	}
	s := &suspect{last: now}
	g.suspects[fingerprint] = s
	return s
}

// makeRoom drops the expired records, or the oldest if none is expired.
func (g *Guard) makeRoom(now time.Time) {
	oldest := ""
	for f, s := range g.suspects {
		if s.expired(now) {
			delete(g.suspects, f)
			continue
		}
		if oldest == "" || s.last.Before(g.suspects[oldest].last) {
			oldest = f
		}
	}
	if len(g.suspects) >= maxSuspects {
		delete(g.suspects, oldest)
	}
}

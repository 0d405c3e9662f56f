package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashes records crashes with the same suspects, a second apart, and returns the
// time of the last one. Their identifiers follow those of the crashes known.
func crashes(now time.Time, d *Detector, count int, traits ...Trait) time.Time {
	for range count {
		now = now.Add(time.Second)
		d.Lost(now, CrashID(d.Crashes()+1), traits)
	}
	return now
}

func TestSmoke(t *testing.T) {
	d := New("gateway")
	now := crashes(start, d, 3, 7)
	require.Equal(t, Blocked, d.Check(now, []Trait{7}).Verdict)
}

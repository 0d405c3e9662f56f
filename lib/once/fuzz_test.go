package once

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a key text that parses to another key than its canonical form.
func FuzzParseKey(f *testing.F) {
	f.Add(keyAt(1, 1).String())
	f.Add("urn:uuid:" + keyAt(1, 2).String())
	f.Add("2f1acc6c-95b4-4f5f-8a02-0b8f7d3c9f10")
	f.Add("{}")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		again, err := ParseKey(k.String())
		require.NoError(t, err)
		require.Equal(t, k, again)
		var random [10]byte
		copy(random[:], k.id[6:])
		require.Equal(t, k, KeyAt(k.Time(), random))
	})
}

// Guards against accepting a token that this start of the agent did not issue.
func FuzzDecodeToken(f *testing.F) {
	m := newMemory(0, nil)
	issued, _, err := m.Issue(clockAt(0), "c")
	require.NoError(f, err)
	f.Add(issued)
	f.Add("e30.e30")
	f.Add("eyJpIjoiYSIsInMiOiJzdGFydC0xIiwibiI6MSwiYyI6ImMiLCJlIjo5OTk5OTk5OTk5fQ.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		v := newMemory(0, nil).Admit(clockAt(1), Submission{Customer: "c", Token: text})
		signed, err := DecodeToken(text)
		if v.Kind == Run {
			require.NoError(t, err)
			require.True(t, signed.verify([]byte("secret")))
		}
	})
}

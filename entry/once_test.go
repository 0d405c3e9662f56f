package entry

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/poison"
)

// reports returns evidence of other processes: a trait was alone in a number of
// crashes, one a second.
func reports(t poison.Trait, crashes int) []poison.Report {
	var out []poison.Report
	for i := range crashes {
		id := poison.NewCrashID("other", int64(t)+int64(i))
		out = append(out, poison.Report{Crash: id, AgeMS: int64(1000 * (i + 1)), Suspects: []poison.Suspect{{Trait: t}}})
	}
	return out
}

// Guards against a request that crashes engines, or has a part that does, and is
// not blocked because it carries a new key each time.
func TestCrashingRequestWithNewKeyIsBlocked(t *testing.T) {
	e := New(testSettings("127.0.0.1:1", "", ""), log.NewNopLogger())
	r := &onceRouter{entry: e, evidence: node.NewEvidence(e.node)}
	const crashes, suspected, sound poison.Trait = 10, 20, 30
	r.applyView(node.View{Crashes: append(reports(crashes, poison.BlockAfter), reports(suspected, 1)...)})
	require.Equal(t, poison.Blocked, r.decide(&call{traits: []poison.Trait{crashes}}).Verdict)
	require.Equal(t, poison.Blocked, r.decide(&call{traits: []poison.Trait{crashes, sound}}).Verdict)
	require.NotEqual(t, poison.Blocked, r.decide(&call{traits: []poison.Trait{suspected}}).Verdict)
	require.Equal(t, poison.Clear, r.decide(&call{traits: []poison.Trait{sound}}).Verdict)
}

package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/wire"
)

// Guards against a request that crashes engines and bypasses the crash guard
// because it carries a new key each time.
func TestCrashGuardBlocksRequestWithNewKey(t *testing.T) {
	r := &onceRouter{guard: retry.NewGuard()}
	r.applyView(node.View{Suspects: []wire.Suspect{
		{Fingerprint: "crashes", Crashes: 3, Last: time.Now()},
		{Fingerprint: "suspected", Crashes: 1, Last: time.Now()},
	}})
	require.True(t, r.isBlocked(&call{fingerprint: "crashes"}))
	require.False(t, r.isBlocked(&call{fingerprint: "suspected"}))
}

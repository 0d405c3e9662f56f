package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/wire"
)

// Guards against a request that crashes engines and gets past the guard
// because it carries a new key each time.
func TestKeyDoesNotPassTheCrashGuard(t *testing.T) {
	b := &binder{guard: retry.NewGuard()}
	b.update(node.View{Suspects: []wire.Suspect{
		{Fingerprint: "crashes", Crashes: 3, Last: time.Now()},
		{Fingerprint: "suspected", Crashes: 1, Last: time.Now()},
	}})
	require.True(t, b.blocked(&call{fingerprint: "crashes"}))
	require.False(t, b.blocked(&call{fingerprint: "suspected"}))
}

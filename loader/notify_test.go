package loader

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
)

// Guards against a gateway that starts after an engine did, with it after a
// loss of power, and never hears that the engine's earlier entry is void.
func TestGatewaysThatComeLaterAreTold(t *testing.T) {
	l := &Loader{
		settings: Settings{Engine: "engine", NoticeAddress: func(gateway string) string { return "to-" + gateway }},
		notices:  ring.New[notice](2, ring.DropOldest),
	}
	k := &keeper{loader: l, told: map[string]bool{}, report: staging.Report{StartTime: 7}}
	know := func(gateways ...string) {
		k.roster.Gateways = nil
		for _, g := range gateways {
			k.roster.Gateways = append(k.roster.Gateways, peering.Member{Control: g})
		}
	}
	sent := func() notice {
		n, err := l.notices.Take(context.Background())
		require.NoError(t, err)
		return n
	}
	know("a")
	k.notify(context.Background(), 0, 0)
	n := sent()
	require.Equal(t, []string{"to-a"}, n.targets)
	require.Equal(t, int64(7), n.engine.StartTime)

	know("a", "b")
	k.tell(context.Background())
	require.Equal(t, []string{"to-b"}, sent().targets)
	k.tell(context.Background())
	require.Zero(t, l.notices.Depth(), "everybody was told")

	// What was said of an earlier start is not repeated.
	k.report.StartTime = 8
	know("a", "b", "c")
	k.tell(context.Background())
	require.Zero(t, l.notices.Depth())
}

package loader

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/staging"
)

// Guards against a gateway that starts later than an engine, for example after a
// power failure of both, and is never notified that the engine's registration
// from before its restart is out of date.
func TestLateGatewaysAreNotified(t *testing.T) {
	l := &Loader{
		settings: Settings{Engine: "engine", NoticeAddress: func(gateway string) string { return "to-" + gateway }},
		notices:  ring.New[notice](2, ring.DropOldest),
	}
	c := &coordinator{loader: l, notified: map[string]bool{}, report: staging.Report{StartTime: 7}}
	setGateways := func(gateways ...string) {
		c.roster.Gateways = nil
		for _, g := range gateways {
			c.roster.Gateways = append(c.roster.Gateways, peering.Member{Control: g})
		}
	}
	takeNotice := func() notice {
		n, err := l.notices.Take(context.Background())
		require.NoError(t, err)
		return n
	}
	setGateways("a")
	c.notifyGateways(context.Background(), 0, 0)
	n := takeNotice()
	require.Equal(t, []string{"to-a"}, n.targets)
	require.Equal(t, int64(7), n.engine.StartTime)

	setGateways("a", "b")
	c.sendLastNotice(context.Background())
	require.Equal(t, []string{"to-b"}, takeNotice().targets)
	c.sendLastNotice(context.Background())
	require.Zero(t, l.notices.Depth(), "all gateways were notified")

	// A notice about an earlier start of the engine is not sent again.
	c.report.StartTime = 8
	setGateways("a", "b", "c")
	c.sendLastNotice(context.Background())
	require.Zero(t, l.notices.Depth())
}

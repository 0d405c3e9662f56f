package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
)

// Guards against an effect that sorts before its cause at another process, and
// against a report that omits an unavailable process without listing it as
// missing.
func TestSelectMergesAndReportsMissing(t *testing.T) {
	entry := fleet.Instance{ID: "entry-1", FailureDomain: "d1"}
	agent := fleet.Instance{ID: "agent-1", FailureDomain: "d2"}
	unavailable := fleet.Instance{ID: "agent-2", FailureDomain: "d2"}
	var first, second Clock
	at := time.UnixMilli(5000)
	sent := Event{Instance: entry.ID, FailureDomain: "d1", Kind: RequestRouted, Request: "q", Peer: agent.ID, Stamp: first.Now(at)}
	// The agent's clock is a second behind.
	second.Observe(sent.Stamp, at.Add(-time.Second))
	ran := Event{Instance: agent.ID, FailureDomain: "d2", Kind: RequestRan, Request: "q", Stamp: second.Now(at.Add(-time.Second))}
	responses := []Response{
		{Instance: agent, Events: []Event{ran, {Instance: agent.ID, Request: "other"}}},
		{Instance: unavailable, MissingReason: "timeout"},
		{Instance: entry, Events: []Event{sent}},
	}
	r := Select(Query{Request: "q"}, responses)
	require.Equal(t, []Event{sent, ran}, r.Events)
	require.Equal(t, []Gap{{Instance: "agent-2", FailureDomain: "d2", Reason: "timeout"}}, r.Missing)
	require.Empty(t, Select(Query{FailureDomain: "d1"}, responses).Missing)
	require.Len(t, Select(Query{Instance: "agent-1", Request: "q"}, responses).Events, 2)
}

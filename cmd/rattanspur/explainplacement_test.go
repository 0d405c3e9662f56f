package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/gateway"
)

// Guards against a property of the request that does not reach the gateway, against a key
// that is sent beside the name of a customer, and against an output without the reasons.
func TestExplainPlacementAsksTheGateway(t *testing.T) {
	var got gateway.PlacementQuery
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != gateway.PathExplain || r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		got = gateway.PlacementQuery{}
		_ = json.NewDecoder(r.Body).Decode(&got)
		_ = json.NewEncoder(w).Encode(gateway.Placement{
			Route: "chat", Customer: "acme", Services: []gateway.ServicePlacement{
				{
					Service: "engine", Weight: 9, Decision: "sent", Upstream: "e-1", Contended: true, Omitted: 4298,
					Counts: []gateway.UpstreamCount{{State: "picked", Count: 1}, {State: "full", Reason: "its slots are in use", Count: 4299}},
					Upstreams: []gateway.UpstreamPlacement{
						{Upstream: "e-1", Region: "north", State: "picked", Load: 3, Slots: 12, OwnSlots: 6, Version: 7, Cost: 0.633,
							Parts: &gateway.PlacementCosts{Load: 0.333, Region: 0.3}},
						{Upstream: "e-2", Region: "south", State: "avoided", Reason: "it failed or refused a request", AvoidedForMS: 400, Slots: 12},
					},
				},
				{Service: "spare", Weight: 1, Decision: "waits", Reason: "no upstream has capacity", Ahead: 2, MaxWaitMS: 120},
				{Service: "third", Weight: 1, Decision: "rejected", Reason: "too many requests wait", RetryAfterMS: 500},
			},
		})
	}))
	defer server.Close()
	t.Setenv(customerKeyVariable, "secret-key")
	c := &explainPlacementCommand{
		Gateway: strings.TrimPrefix(server.URL, "http://"), Host: "h", Path: "/v1", Model: "m", PromptTokens: 10, MaxAnswerTokens: 20,
		ExpectedAnswerTokens: 5, TimeBudget: 6 * time.Second, Parts: []string{"p"}, Upstream: "e-9", Limit: 2,
	}
	p, err := c.query(context.Background())
	require.NoError(t, err)
	require.Equal(t, gateway.PlacementQuery{
		Host: "h", Path: "/v1", Key: "secret-key", Model: "m", PromptTokens: 10, MaxAnswerTokens: 20,
		ExpectedAnswerTokens: 5, TimeBudgetMS: 6000, PromptParts: []string{"p"}, Upstream: "e-9", Limit: 2,
	}, got)
	var out bytes.Buffer
	require.NoError(t, printPlacement(&out, p))
	for _, text := range []string{
		"route chat, customer acme\n",
		"service engine (weight 9): sent to e-1\n",
		"4299 full: its slots are in use\n",
		"load 0.333, region 0.300",
		"it failed or refused a request (400 ms more)",
		"4298 further upstreams are not listed",
		"service spare (weight 1): waits for at most 120 ms, behind 2 others: no upstream has capacity\n",
		"service third (weight 1): rejected, retry after 500 ms: too many requests wait\n",
	} {
		require.Contains(t, out.String(), text)
	}
	require.NotContains(t, out.String(), "secret-key")
	c.Customer = "acme"
	_, err = c.query(context.Background())
	require.NoError(t, err)
	require.Empty(t, got.Key)
	c.Gateway = "127.0.0.1:1"
	_, err = c.query(context.Background())
	require.Error(t, err)
	require.NotContains(t, err.Error(), "secret-key")
}

// Guards against a refusal that scripts take for a success.
func TestRefusedPlacementFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(gateway.Placement{Verdict: "no-route", Reason: "no route matches"})
	}))
	defer server.Close()
	c := &explainPlacementCommand{Gateway: strings.TrimPrefix(server.URL, "http://"), Host: "h", Path: "/"}
	require.ErrorIs(t, c.Execute(nil), errSilent)
	c.JSON = true
	require.ErrorIs(t, c.Execute(nil), errSilent)
}

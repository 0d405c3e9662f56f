package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ring"
)

// explain posts a query to an address of the gateway and returns the status and the body of
// the response.
func (r *testGateway) explain(address, query string) (int, string) {
	r.t.Helper()
	resp, err := http.Post("http://"+address+PathExplain, "application/json", strings.NewReader(query))
	require.NoError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return resp.StatusCode, string(data)
}

// Guards against a query that sends the request, that differs from where the request goes,
// and that shows the customer's key in its response or in the log.
func TestExplainedRequestIsNotSent(t *testing.T) {
	var sent atomic.Int32
	source := newSource()
	source.put("op/config", strings.Replace(configJSON, `"key"`, `"secret-key"`, 1))
	for _, id := range []string{"a", "b"} {
		source.upstream(t, id, "engine", func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			respond(w, r, http.StatusOK, id)
		})
	}
	g := start(t, source)
	control := g.gateway.settings.Control
	status, body := g.explain(control, `{"host":"h","path":"/stream/1","key":"secret-key","model":"m","prompt_tokens":10,"time_budget_ms":6000}`)
	require.Equal(t, http.StatusOK, status, body)
	var p Placement
	require.NoError(t, json.Unmarshal([]byte(body), &p))
	require.Equal(t, "stream", p.Route)
	require.Equal(t, fleet.Customer("customer"), p.Customer)
	require.Len(t, p.Services, 1)
	require.Equal(t, "sent", p.Services[0].Decision)
	require.Len(t, p.Services[0].Upstreams, 2)
	require.Equal(t, "picked", p.Services[0].Upstreams[0].State)
	require.Equal(t, p.Services[0].Upstream, p.Services[0].Upstreams[0].Upstream)
	_, byName := g.explain(control, `{"host":"h","path":"/stream/1","customer":"customer","model":"m","prompt_tokens":10,"time_budget_ms":6000}`)
	require.Equal(t, body, byName)
	_, wrong := g.explain(control, `{"host":"h","path":"/stream/1","key":"secret-key2","model":"m"}`)
	require.Contains(t, wrong, `"verdict":"no-key"`)
	require.Zero(t, sent.Load())
	resp, err := g.send(context.Background(), http.MethodPost, "/stream/1", "", "", "Authorization", "Bearer secret-key")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, string(p.Services[0].Upstream), string(answer))
	for _, text := range []string{body, byName, wrong, g.logs.all()} {
		require.NotContains(t, text, "secret-key")
	}
}

// Guards against a query that ends the gateway or holds a lot of memory, against an echo of
// what cannot be read, and against a path for operators at the address of the readiness check.
func TestInvalidExplainQueries(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	g := start(t, source)
	for _, query := range []string{
		"", "{", "[]", `{"host":7,"key":"secret-key"}`, `{"limit":-1}`, `{"limit":1000000}`, `{"prompt_tokens":-1}`,
		`{"prompt_tokens":4611686018427387904}`, `{"max_answer_tokens":-1}`, `{"time_budget_ms":-1}`, `{"time_budget_ms":9223372036854775807}`,
		`{"host":"` + strings.Repeat("a", maxQueryBytes) + `"}`,
	} {
		status, body := g.explain(g.gateway.settings.Control, query)
		require.Equal(t, http.StatusBadRequest, status, query)
		require.Equal(t, errBadQuery.Error()+"\n", body)
	}
	status, body := g.explain(g.gateway.settings.Control, `{"host":"h","path":"/stream/1","customer":"customer"}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"decision":"rejected"`)
	status, _ = g.explain(g.gateway.settings.Ready, `{"host":"h","path":"/stream/1","customer":"customer"}`)
	require.Equal(t, http.StatusNotFound, status)
	require.NotContains(t, g.logs.all(), "secret-key")
}

// Guards against a query whose failure replaces the core and ends the requests in progress.
func TestFailedExplanationEndsOnlyTheQuery(t *testing.T) {
	source := newSource()
	source.put("op/config", configJSON)
	g := start(t, source)
	r := &router{gateway: g.gateway}
	reply := ring.New[explainReply](1, ring.Wait)
	r.replyExplanation(context.Background(), time.Now(), explainQuery{reply: reply})
	got, err := reply.Take(context.Background())
	require.NoError(t, err)
	require.Error(t, got.err)
	require.NotEmpty(t, g.logs.line("explain-failed"))
}

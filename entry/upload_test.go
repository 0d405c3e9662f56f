package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/wire"
)

// Guards against a request for whose body there is no memory and whose caller is not told
// that it has not run, when it may come back, or that its connection cannot be used again.
func TestARequestWithoutMemoryForItsBodyIsNotRun(t *testing.T) {
	e := New(testSettings("", "", ""), log.NewNopLogger())
	server := httptest.NewServer(http.HandlerFunc(e.serveCall))
	defer server.Close()
	for name, c := range map[string]struct {
		budget int64
		body   string
		status int
	}{
		"no memory for the body":       {1, "text", http.StatusServiceUnavailable},
		"no memory for its copies":     {70 << 10, strings.Repeat("a", 20<<10), http.StatusServiceUnavailable},
		"body larger than the limit":   {64 << 20, strings.Repeat("a", 1<<20+1), http.StatusRequestEntityTooLarge},
		"limit of the memory exceeded": {64 << 10, strings.Repeat("a", 1<<20), http.StatusServiceUnavailable},
	} {
		e.bodies = bodybudget.New(c.budget)
		resp, err := http.Post(server.URL+chatPath, "application/json", strings.NewReader(c.body))
		require.NoError(t, err, name)
		_ = resp.Body.Close()
		require.Equal(t, c.status, resp.StatusCode, name)
		require.Equal(t, string(wire.NotRun), resp.Header.Get(wire.HeaderOutcome), name)
		if c.status == http.StatusServiceUnavailable {
			require.Equal(t, "1", resp.Header.Get("Retry-After"), name)
		}
		require.Zero(t, e.bodies.Stats().Held, name)
	}
}

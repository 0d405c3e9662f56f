package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// Guards against a call for whose body there is no memory, or whose body is too large,
// and whose entry does not learn that it has not run.
func TestACallWithoutMemoryForItsBodyIsNotRun(t *testing.T) {
	a := testAgent(t, http.NotFoundHandler(), testTimeout)
	server := httptest.NewServer(http.HandlerFunc(a.serveCall))
	defer server.Close()
	large := `{"a":"` + strings.Repeat("a", 20<<10) + `"}`
	for name, c := range map[string]struct {
		budget int64
		body   string
		status int
	}{
		"no memory for the body":     {1, "{}", http.StatusServiceUnavailable},
		"no memory for its copy":     {70 << 10, large, http.StatusServiceUnavailable},
		"larger than the limit":      {64 << 20, strings.Repeat("a", settings.MaxCallBytes+1), http.StatusRequestEntityTooLarge},
		"no body that names a model": {64 << 20, "text", http.StatusBadRequest},
	} {
		a.bodies = bodybudget.New(c.budget)
		req, err := http.NewRequest(http.MethodPost, server.URL+wire.CallPath+"/x", strings.NewReader(c.body))
		require.NoError(t, err)
		require.NoError(t, wire.SetCall(req.Header, &wire.Call{Request: "r", Root: fleet.Digest{1}, Timeout: testTimeout}))
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err, name)
		_ = resp.Body.Close()
		require.Equal(t, c.status, resp.StatusCode, name)
		require.Equal(t, string(wire.NotRun), resp.Header.Get(wire.HeaderOutcome), name)
		require.Equal(t, c.status == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "", name)
		require.Zero(t, a.bodies.Stats().Held, name)
	}
}

// Guards against a call with a key whose incomplete body cannot be displaced: its response
// is recorded, and the recorder must pass on the deadline that ends the read.
func TestARecordedCallHasAReadDeadline(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if http.NewResponseController(newRecorder(w, 1)).SetReadDeadline(time.Now().Add(time.Minute)) != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

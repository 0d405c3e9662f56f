package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rattanspur.example/platform"
)

// putOdd publishes an item that may be unreadable.
func (s *fakeSource) putOdd(key, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key], _ = platform.Codec{}.Published(key, s.revision, false, []byte(text))
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against odd registrations that get requests, that end a gateway which reads the
// store or one which reads the first one's view, or that end their following of the list.
func TestOddRegistrationsGetNoRequests(t *testing.T) {
	var odd atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		odd.Add(1)
		respond(w, r, http.StatusOK, "odd")
	}))
	t.Cleanup(server.Close)
	sound := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":4,"state":"ready","born":1,"cold_left_ms":5}`, server.Listener.Addr())
	source := newSource()
	source.put("op/config", configJSON)
	for name, change := range map[string][2]string{
		"nested":         {`"zone":"a"`, `"zone":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)},
		"slots 2^62":     {`"slots":4`, `"slots":4611686018427387904`},
		"slots -2^62":    {`"slots":4`, `"slots":-4611686018427387904`},
		"slots 1e400":    {`"slots":4`, `"slots":1e400`},
		"cold 1e300":     {`_ms":5`, `_ms":1e300`},
		"cold -1e300":    {`_ms":5`, `_ms":-1e300`},
		"start greatest": {`"born":1`, `"born":9223372036854775807`},
		"start negative": {`"born":1`, `"born":-1`},
		"version":        {`"born":1`, `"born":1,"models":[{"name":"m","version":9223372036854775807}]`},
		"port 70000":     {server.Listener.Addr().String(), "127.0.0.1:70000"},
		"port 0":         {server.Listener.Addr().String(), "127.0.0.1:0"},
	} {
		require.Contains(t, sound, change[0])
		source.putOdd("servers/"+name, strings.Replace(sound, change[0], change[1], 1))
	}
	reply := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, text) }
	}
	source.upstream(t, "first", "desk", reply("first"))
	g := start(t, source)
	cutOff := newSource()
	cutOff.down = true
	other := start(t, cutOff, g.gateway.settings.Peers)
	for i := range 20 {
		status, body := g.call(http.MethodPost, fmt.Sprint("/once/", i), "")
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, "first", body)
	}
	source.upstream(t, "second", "desk", reply("second"))
	source.put("servers/first", "")
	for _, gateway := range []*testGateway{g, other} {
		require.Eventually(t, func() bool {
			status, body := gateway.call(http.MethodPost, "/once/1", "")
			return status == http.StatusOK && body == "second"
		}, testTimeout, time.Millisecond)
	}
	require.Zero(t, odd.Load(), "requests at odd registrations")
}

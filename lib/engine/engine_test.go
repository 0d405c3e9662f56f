package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// Guards against treating an order as done, or as still in progress, although the
// engine's response says otherwise.
func TestOrderResponses(t *testing.T) {
	cases := map[int]error{
		http.StatusOK:                 nil,
		http.StatusConflict:           engine.ErrFenced,
		http.StatusBadGateway:         engine.ErrRefused,
		http.StatusServiceUnavailable: engine.ErrRefused,
	}
	for status, want := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		c := engine.New(server.URL, server.Client())
		err := c.Load(context.Background(), engine.LoadOrder{})
		require.True(t, errors.Is(err, want), "%d: %v", status, err)
		err = c.Unload(context.Background(), engine.UnloadOrder{})
		require.True(t, errors.Is(err, want), "%d: %v", status, err)
		server.Close()
	}
}

// Guards against a connection that is unusable after its check, and against
// accepting a connection although the engine's response was incomplete.
func TestReportOverConnection(t *testing.T) {
	response := `{"boot_id":"one","warm":true}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(response)) }))
	defer server.Close()
	c := engine.New(server.URL, server.Client())
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 2 {
		r, err := c.ReportOverConn(context.Background(), conn)
		require.NoError(t, err)
		require.Equal(t, "one", r.BootID)
	}
	response = `{"boot_id":`
	_, err = c.ReportOverConn(context.Background(), conn)
	require.Error(t, err)
}

// Guards against a report that makes an agent serve a root which the engine did
// not report, and against a decoder that fails on hostile input.
func FuzzDecodeReport(f *testing.F) {
	complete, err := json.Marshal(engine.Report{
		BootID: "one", Warm: true, Fence: 7,
		Loaded: []engine.Loaded{{Model: "m", Version: "v", Root: fleet.Digest{1}}},
	})
	require.NoError(f, err)
	f.Add(complete)
	f.Add(complete[:len(complete)-2])
	f.Add([]byte(`{"loaded":[{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := engine.DecodeReport(data)
		if err != nil {
			return
		}
		require.False(t, r.Has(fleet.Digest{}))
		again, err := json.Marshal(r)
		require.NoError(t, err)
		same, err := engine.DecodeReport(again)
		require.NoError(t, err)
		require.Equal(t, r.Loaded, same.Loaded)
	})
}

package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// proxyConnections is the number of idle connections that a proxy keeps to
// each upstream.
const proxyConnections = 256

// RoundRobin returns a naive proxy, the baseline for comparisons of routing. It
// forwards each request to the next upstream and does not consider load or
// versions. It has no retries and no limits.
func RoundRobin(upstreams []string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: proxyConnections, DisableCompression: true}}
	var next atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		base := upstreams[int(next.Add(1))%len(upstreams)]
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rattanspur.example/lib/sock/socktest"
)

// BenchmarkRoundTrip measures one request and its response on an open connection.
func BenchmarkRoundTrip(b *testing.B) {
	response := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nServer: s\r\nDate: now\r\nContent-Length: 2\r\n\r\nok"
	url := "http://" + socktest.Serve(b, socktest.Respond(response, socktest.Open))
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader("x"))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

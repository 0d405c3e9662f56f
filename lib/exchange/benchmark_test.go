package exchange

import (
	"strings"
	"testing"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// BenchmarkDo measures one request and its response on an open connection, with small and
// with large bodies.
func BenchmarkDo(b *testing.B) {
	for name, size := range map[string]int{"1KiB": 1 << 10, "256KiB": 256 << 10} {
		b.Run(name, func(b *testing.B) {
			body := strings.Repeat("x", size)
			response := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nServer: s\r\nDate: now\r\nContent-Length: 2\r\n\r\nok"
			c, err := Dial(b.Context(), socktest.Serve(b, socktest.Respond(response, socktest.Open)))
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				if out, _ := do(c, request(body), Options{}); out.End != retry.Answered {
					b.Fatal(out.Detail)
				}
			}
		})
	}
}

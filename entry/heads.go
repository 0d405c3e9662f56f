package entry

import (
	"context"
	"net"
	"net/http"

	"rattanspur.example/lib/connlimit"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// countHeads makes a server count the heads of requests on the connections of a
// connlimit.Listener: one begins with each request and ends when the handler is called.
func countHeads(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*connlimit.Conn); ok && state == http.StateIdle {
			c.Head.Begin()
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*connlimit.Conn); ok {
			c.Head.Complete()
		}
		handler.ServeHTTP(w, r)
	})
}

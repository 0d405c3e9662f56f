package entry

import (
	"context"
	"net"
	"net/http"

	"rattanspur.example/lib/connlimit"
	"rattanspur.example/lib/framing"
	"rattanspur.example/lib/wire"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// watchRequests makes a server count the heads of requests on the connections of a
// connlimit.Listener, where one begins with each request and ends when the handler is called,
// and reject requests whose framing is ambiguous.
func watchRequests(s *http.Server) {
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
		c, ok := r.Context().Value(connKey{}).(*connlimit.Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.Head.Complete()
		if !c.Framing.Admit(w, r) {
			wire.WriteProblem(w, invalid(http.StatusBadRequest, framing.ErrAmbiguous.Error()))
			return
		}
		handler.ServeHTTP(w, r)
	})
}

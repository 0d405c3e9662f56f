package entry

import (
	"context"
	"net"
	"net/http"

	"rattanspur.example/lib/bodybudget"
	"rattanspur.example/lib/connlimit"
)

// headListener accepts connections whose requests' heads count in the memory for bodies.
type headListener struct {
	net.Listener
	bodies *bodybudget.Budget
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited, ok := conn.(*connlimit.Conn)
	if !ok {
		return conn, nil
	}
	return &headConn{Conn: limited, head: l.bodies.NewHead(func() { _ = limited.Close() })}, nil
}

// headConn is a connection of a caller.
type headConn struct {
	*connlimit.Conn
	head *bodybudget.Head
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.Received(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *headConn) Close() error {
	c.head.Complete()
	return c.Conn.Close()
}

// headConnKey is the key of the connection in the context of its requests.
type headConnKey struct{}

// countHeads makes a server count the heads of requests on the connections of a headListener.
func countHeads(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, headConnKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*headConn); ok && state == http.StateIdle {
			c.head.Begin()
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
			c.head.Complete()
		}
		handler.ServeHTTP(w, r)
	})
}

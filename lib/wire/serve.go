package wire

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/sock"
)

// Serve runs a server until it is shut down. A shutdown is not an error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// StartServer listens on an address and adds a duty to the group. The duty runs
// the server until the group ends.
func StartServer(g *duty.Group, name, address string, s *http.Server) error {
	l, err := sock.Listen(g.Context(), address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s", name)
	}
	g.Go(name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		return Serve(s, l)
	})
	return nil
}

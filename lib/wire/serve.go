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

// Serve runs a server until it is shut down, which is no error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Start listens on an address and adds a duty to the group that runs a server
// there until the group ends.
func Start(g *duty.Group, name, address string, s *http.Server) error {
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

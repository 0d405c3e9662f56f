package wire

import (
	"errors"
	"net"
	"net/http"
)

// Serve runs a server until it is shut down, which is no error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

package sock

import (
	"context"
	"net"
	"time"
)

// redialInterval is the time between two attempts to open one connection.
const redialInterval = 250 * time.Millisecond

// Redialer returns a function that opens a connection over a path that may drop packets for a
// while. It begins another attempt every redialInterval, because the kernel repeats the first
// packet of one only after a second, and returns the first connection that opens. It fails with
// the first attempt that fails, or after DialTimeout.
func Redialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		opened := make(chan dialled)
		attempt := func() {
			conn, err := dial(ctx, network, address)
			select {
			case opened <- dialled{conn, err}:
			case <-ctx.Done():
				if err == nil {
					_ = conn.Close()
				}
			}
		}
		ticker := time.NewTicker(redialInterval)
		defer ticker.Stop()
		for {
			go attempt()
			select {
			case d := <-opened:
				return d.conn, d.err
			case <-ticker.C:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// dialled is the result of one attempt.
type dialled struct {
	conn net.Conn
	err  error
}

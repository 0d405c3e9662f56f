package sock

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countedConn counts its closings.
type countedConn struct {
	net.Conn
	closed *atomic.Int32
}

func (c countedConn) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

// Guards against a process that learns late that its path is there again: the first packet of a
// connection was dropped, and the kernel repeats it only after a second.
func TestRedialAfterADroppedPacket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pathBack := time.Now().Add(600 * time.Millisecond)
		var attempts, closed atomic.Int32
		dial := Redialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
			attempts.Add(1)
			if time.Now().Before(pathBack) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a, _ := net.Pipe()
			return countedConn{a, &closed}, nil
		})
		conn, err := dial(context.Background(), "tcp", "store")
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(pathBack), redialInterval)
		require.Equal(t, int32(4), attempts.Load())
		require.NoError(t, conn.Close())
		synctest.Wait()
		require.Equal(t, int32(1), closed.Load())
	})
}

// Guards against connections that stay open because another attempt was faster.
func TestRedialClosesOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Int32
		dial := Redialer(func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(2*redialInterval + redialInterval/2)
			a, _ := net.Pipe()
			return countedConn{a, &closed}, nil
		})
		_, err := dial(context.Background(), "tcp", "store")
		require.NoError(t, err)
		time.Sleep(DialTimeout)
		synctest.Wait()
		require.Equal(t, int32(2), closed.Load(), "three attempts, one of which counts")
	})
}

// Guards against a dial that goes on after it was refused or cancelled, and against one without
// an end.
func TestRedialEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		refused := errors.New("refused")
		_, err := Redialer(func(context.Context, string, string) (net.Conn, error) { return nil, refused })(context.Background(), "tcp", "store")
		require.ErrorIs(t, err, refused)
		require.Zero(t, time.Since(begin))
		silent := Redialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		_, err = silent(context.Background(), "tcp", "store")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, DialTimeout, time.Since(begin))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = silent(ctx, "tcp", "store")
		require.ErrorIs(t, err, context.Canceled)
		synctest.Wait()
	})
}

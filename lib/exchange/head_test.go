package exchange

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// Guards against a success with an empty or short body that is framed as whole: an
// upstream stops somewhere in the head of its answer and closes, after which the head
// may lack the length of the body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nX-Other: value\r\n\r\n"
	for n := range len(whole) {
		for _, end := range []socktest.End{socktest.FIN, socktest.RST} {
			u := serve(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = socktest.ReadRequest(r)
				_, _ = io.WriteString(c, whole[:n])
				socktest.Finish(c, end)
			})
			for _, o := range []Options{{}, {EventStream: true}, {HoldServerErrors: true}} {
				out, rec := do(u.dial(), request(""), o)
				require.Equal(t, retry.Lost, out.End, "after %q", whole[:n])
				require.False(t, out.Reusable)
				require.Zero(t, rec.status)
				require.Zero(t, rec.parts)
			}
		}
	}
}

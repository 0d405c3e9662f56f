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

// Guards against an empty success for the caller of a request that was answered: a status
// line with a wrong digit states a status without content, although content follows.
func TestAnswerWithAnImpossibleStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "100", "101", "102", "103", "150", "199", "204", "205", "600", "999"} {
		for _, framing := range []string{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"} {
			u := serve(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = socktest.ReadRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nId: 1\r\n"+framing)
				_, _, _ = socktest.ReadRequest(r)
			})
			for _, o := range []Options{{}, {EventStream: true}, {HoldServerErrors: true}} {
				out, rec := do(u.dial(), request(""), o)
				require.Equal(t, retry.Lost, out.End, "%s, %s", status, framing)
				require.False(t, out.Reusable)
				require.Zero(t, rec.status)
				require.Zero(t, rec.parts)
			}
		}
	}
}

// Guards against taking an interim response, which any server may send, for the answer:
// the caller gets an empty one, and the next caller on the connection gets the real one.
func TestInterimResponsesPrecedeTheAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
	for _, interims := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nId: 1\r\nLink: </a>\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nId: 2\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n",
	} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, interims+answer)
			_, _, _ = socktest.ReadRequest(r)
		})
		out, rec := do(u.dial(), request(""), Options{})
		require.Equal(t, retry.Answered, out.End, interims)
		require.True(t, out.Reusable)
		require.Equal(t, 200, rec.status)
		require.Equal(t, "body", rec.body.String())
	}
}

// Guards against interim responses without end that hold a request and its place at the
// upstream.
func TestInterimResponsesWithoutEnd(t *testing.T) {
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		var err error
		for err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 102 Processing\r\nId: 1\r\n\r\n")
		}
	})
	out, rec := do(u.dial(), request(""), Options{})
	require.Equal(t, retry.Lost, out.End)
	require.Zero(t, rec.status)
}

// Guards against a response with a malformed field that is passed on, with a body that the
// upstream did not frame: a blank in the name of a field hides its length or its chunks. If the
// malformed line stands in the trailer, the body has been passed on, and the response is lost.
func TestResponseWithAMalformedFieldIsNotPassedOn(t *testing.T) {
	for _, m := range socktest.MalformedHeads("Id: 1\r\n") {
		t.Run(m.Name, func(t *testing.T) {
			u := serve(t, socktest.Respond(m.Text, socktest.FIN))
			for _, o := range []Options{{}, {EventStream: true}, {HoldServerErrors: true}} {
				out, rec := do(u.dial(), request(""), o)
				require.Equal(t, retry.Lost, out.End, out.Detail)
				require.False(t, out.Reusable)
				require.Equal(t, m.Body, rec.body.String())
				require.Equal(t, m.Body != "", rec.status != 0)
			}
		})
	}
}

// Guards against a malformed head that is accepted on a connection which has carried another
// response, and against a sound one that is not.
func TestHeadsOfAReusedConnectionAreChecked(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nX Y:"
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		for _, response := range []string{sound, sound, "HTTP/1.1 200 OK\r\nId: 1\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody"} {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, response)
		}
		_, _, _ = socktest.ReadRequest(r)
	})
	c := u.dial()
	for range 2 {
		out, rec := do(c, request(""), Options{})
		require.Equal(t, retry.Answered, out.End, out.Detail)
		require.Equal(t, "X Y:", rec.body.String())
		require.True(t, out.Reusable)
	}
	out, rec := do(c, request(""), Options{})
	require.Equal(t, retry.Lost, out.End)
	require.Zero(t, rec.status)
}

package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/sock/socktest"
)

// framing is how a response marks the end of its body.
type framing string

const (
	untilClose    framing = "until close"
	untilClose1_0 framing = "until close, HTTP/1.0"
	chunked       framing = "chunked"
	withLength    framing = "with a length"
)

// framed returns a response to request 1 whose body ends as its framing states.
func framed(f framing, status, contentType, body string) string {
	head := " " + status + "\r\nId: 1\r\nContent-Type: " + contentType + "\r\n"
	switch f {
	case untilClose1_0:
		return "HTTP/1.0" + head + "\r\n" + body
	case chunked:
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
	case withLength:
		return fmt.Sprintf("HTTP/1.1%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	default:
		return "HTTP/1.1" + head + "\r\n" + body
	}
}

// endings are the ends of a connection that are tested for each framing. If the
// framing marks the end of the body, the connection stays open.
var endings = map[framing][]socktest.End{
	untilClose:    {socktest.FIN, socktest.RST},
	untilClose1_0: {socktest.FIN, socktest.RST},
	chunked:       {socktest.Open},
	withLength:    {socktest.Open},
}

// streamBodies are bodies of event streams: whole is what consists of complete
// events, cut what follows them.
var streamBodies = []struct{ name, whole, cut, lastID string }{
	{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", "2"},
	{"empty", "", "", ""},
	{"inside the first event", "", "id: 1\nda", ""},
	{"inside a line", "id: 1\ndata: a\n\n", "id: 2\nda", "1"},
	{"before the blank line", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n", "1"},
	{"after an ID", "id: 1\ndata: a\n\n", "id: 2\n", "1"},
	{"after a comment", "id: 1\ndata: a\n\n", ": b\n", "1"},
	{"whole, CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "", "2"},
	{"inside a line, CRLF", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\nda", "1"},
	{"before the blank line, CRLF", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n", "1"},
	{"whole, CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "", "2"},
	{"before the blank line, CR", "id: 1\rdata: a\r\r", "id: 2\rdata: b\r", "1"},
}

// Guards against a stream that ends inside an event and counts as complete,
// against passing on a piece of a cut event, and against reusing a connection
// that ends with its response.
func TestEndOfAnEventStream(t *testing.T) {
	for f, ends := range endings {
		for _, end := range ends {
			for _, b := range streamBodies {
				t.Run(fmt.Sprintf("%s/%s/%s", f, end, b.name), func(t *testing.T) {
					u := serve(t, socktest.Respond(framed(f, "200 OK", "text/event-stream", b.whole+b.cut), end))
					out, rec := do(u.dial(), request(""), Options{EventStream: true})
					broken := b.cut != "" || end == socktest.RST
					if broken {
						require.Equal(t, retry.Lost, out.End, out.Detail)
					} else {
						require.Equal(t, retry.Answered, out.End, out.Detail)
					}
					require.Equal(t, !broken && end == socktest.Open, out.Reusable)
					require.Equal(t, b.whole, rec.body.String())
					require.Equal(t, b.lastID, out.LastEventID)
					require.Equal(t, b.whole != "" || !broken, out.Started)
				})
			}
		}
	}
}

// Guards against a connection that is reset and counts as the end of a response,
// and against a server error that is passed on although the request could be
// retried.
func TestEndOfAnAnswerWithoutEvents(t *testing.T) {
	for f, ends := range endings {
		for _, end := range ends {
			for _, status := range []string{"200 OK", "404 Not Found", "500 Failed"} {
				for _, body := range []string{"", "text"} {
					for _, hold := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s/%s/%s/%s/%t", f, end, status, body, hold), func(t *testing.T) {
							u := serve(t, socktest.Respond(framed(f, status, "text/plain", body), end))
							out, rec := do(u.dial(), request(""), Options{HoldServerErrors: hold})
							require.Equal(t, end == socktest.Open, out.Reusable)
							if end == socktest.RST {
								require.Equal(t, retry.Lost, out.End)
								require.Nil(t, out.Held)
								return
							}
							require.Equal(t, retry.Answered, out.End, out.Detail)
							if hold && status == "500 Failed" {
								require.False(t, out.Started)
								require.Equal(t, body, string(out.Held.Body))
								return
							}
							require.Equal(t, body, rec.body.String())
							require.Equal(t, status[:3], fmt.Sprint(rec.status))
						})
					}
				}
			}
		}
	}
}

// Guards against a retry at another upstream that is lost because the caller
// already has the head of a stream which broke off in its first event.
func TestCommentsDoNotStartAStream(t *testing.T) {
	u := serve(t, socktest.Respond(framed(untilClose, "200 OK", "text/event-stream", ": hello\n\nid: 1\nda"), socktest.FIN))
	out, rec := do(u.dial(), request(""), Options{EventStream: true})
	require.Equal(t, retry.Lost, out.End)
	require.False(t, out.Started)
	require.Zero(t, rec.parts)
	const body = ": hello\n\nid: 1\ndata: a\n\n"
	u = serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		for line := range strings.Lines(framed(untilClose, "200 OK", "text/event-stream", body)) {
			_, _ = io.WriteString(c, line)
		}
	})
	out, rec = do(u.dial(), request(""), Options{EventStream: true})
	require.Equal(t, retry.Answered, out.End)
	require.Equal(t, body, rec.body.String())
}

// Guards against a cut stream that counts as complete because its route does not
// expect a stream.
func TestCutStreamOfARouteWithoutStreams(t *testing.T) {
	for f, ends := range endings {
		for _, b := range streamBodies {
			u := serve(t, socktest.Respond(framed(f, "200 OK", "text/event-stream; charset=utf-8", b.whole+b.cut), ends[0]))
			out, _ := do(u.dial(), request(""), Options{})
			expected := retry.Answered
			if b.cut != "" {
				expected = retry.Lost
			}
			require.Equal(t, expected, out.End, "%s, %s", f, b.name)
			require.Equal(t, b.cut == "" && ends[0] == socktest.Open, out.Reusable)
		}
	}
}

// Guards against treating a response without a body as one that lasts until its
// connection ends, and the reverse.
func TestAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct {
		method, response string
		end              socktest.End
		status           int
		reusable         bool
	}{
		{"POST", "HTTP/1.1 204 None\r\nId: 1\r\n\r\n", socktest.Open, 204, true},
		{"GET", "HTTP/1.1 304 Same\r\nId: 1\r\nContent-Length: 9\r\n\r\n", socktest.Open, 304, true},
		{"GET", "HTTP/1.1 204 None\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n", socktest.Open, 204, true},
		{"POST", "HTTP/1.1 204 None\r\nId: 1\r\nConnection: close\r\n\r\n", socktest.FIN, 204, false},
		{"POST", "HTTP/1.0 204 None\r\nId: 1\r\n\r\n", socktest.FIN, 204, false},
		{"HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n", socktest.Open, 200, true},
		{"HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n", socktest.FIN, 200, false},
		{"HEAD", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", socktest.FIN, 200, false},
		{"HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", socktest.RST, 200, false},
	} {
		u := serve(t, socktest.Respond(c.response, c.end))
		r := request("")
		r.Method = c.method
		out, rec := do(u.dial(), r, Options{EventStream: true})
		require.Equal(t, retry.Answered, out.End, c.response)
		require.Equal(t, c.status, rec.status, c.response)
		require.Zero(t, rec.parts)
		require.Equal(t, c.reusable, out.Reusable, c.response)
	}
}

// Guards against reusing a used connection whose last response ended with it, and
// against a resumed stream that counts as complete after it was broken off.
func TestUndelimitedAnswerOnAReusedConnection(t *testing.T) {
	for _, cut := range []string{"", "id: 2\nda"} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			for _, f := range []framing{withLength, untilClose} {
				_, _, _ = socktest.ReadRequest(r)
				_, _ = io.WriteString(c, framed(f, "200 OK", "text/event-stream", "id: 1\ndata: a\n\n"))
			}
			_, _ = io.WriteString(c, cut)
		})
		c := u.dial()
		out, _ := do(c, request(""), Options{EventStream: true})
		require.True(t, out.Reusable)
		require.True(t, c.Usable(time.Now()))
		rec := &recorder{}
		out = Do(context.Background(), c, request(""), head, rec, Options{EventStream: true, Resumed: true})
		require.False(t, out.Reusable)
		require.Equal(t, http.StatusOK, rec.status)
		require.Equal(t, "id: 1\ndata: a\n\n", rec.body.String())
		require.Equal(t, cut == "", out.End == retry.Answered)
	}
}

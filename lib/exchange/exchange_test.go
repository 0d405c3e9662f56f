package exchange

import (
	"bufio"
	"bytes"
	"context"
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

// upstream is a server that runs a script on each connection.
type upstream struct {
	t       *testing.T
	address string
}

func serve(t *testing.T, script socktest.Script) *upstream {
	return &upstream{t: t, address: socktest.Serve(t, script)}
}

func (u *upstream) dial() *Conn {
	c, err := Dial(context.Background(), u.address)
	require.NoError(u.t, err)
	u.t.Cleanup(c.Close)
	return c
}

func head(resp *http.Response) Head {
	return Head{
		Request: resp.Header.Get("Id"), NotRun: resp.Header.Get("Not-Run") != "",
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest, Close: resp.Close,
		Unsigned: resp.Header.Get("Unsigned") != "",
	}
}

// recorder is a Receiver that records what is passed on.
type recorder struct {
	status int
	body   bytes.Buffer
	parts  int
	fail   bool
}

func (r *recorder) Observe(*Head) {}

func (r *recorder) Silent(time.Time, string) {}

func (r *recorder) Resumed() {}

func (r *recorder) Head(resp *http.Response) error {
	r.status = resp.StatusCode
	return nil
}

func (r *recorder) Part(data []byte) error {
	if r.fail {
		return io.ErrClosedPipe
	}
	r.parts++
	r.body.Write(data)
	return nil
}

func request(body string) *Request {
	return &Request{ID: "1", Method: "POST", Target: "/a/b?c=%2f", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(body)}
}

func do(c *Conn, r *Request, o Options) (Outcome, *recorder) {
	rec := &recorder{}
	return Do(context.Background(), c, r, head, rec, o), rec
}

const streamHead = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"

// Guards against changing a request on its way to the upstream.
func TestRequestArrivesAsItWas(t *testing.T) {
	type arrived struct {
		target, host string
		body         []byte
	}
	got := make(chan arrived, 1)
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, body, err := socktest.ReadRequest(r)
		if err == nil {
			got <- arrived{req.RequestURI, req.Host, body}
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	})
	for _, size := range []int{0, 10, 4 * maxSyncBodyBytes} {
		body := strings.Repeat("x", size)
		out, rec := do(u.dial(), request(body), Options{})
		require.Equal(t, retry.Answered, out.End, out.Detail)
		require.Equal(t, "ok", rec.body.String())
		require.Equal(t, arrived{"/a/b?c=%2f", "h", []byte(body)}, <-got)
	}
}

// Guards against reading bytes that follow a complete response as the response
// to the next request.
func TestBytesAfterAnAnswerMakeAConnectionUnusable(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	late := make(chan struct{})
	for name, script := range map[string]func(c net.Conn){
		"at once": func(c net.Conn) { _, _ = io.WriteString(c, whole+whole) },
		"late": func(c net.Conn) {
			_, _ = io.WriteString(c, whole)
			<-late
			_, _ = io.WriteString(c, whole)
		},
	} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			script(c)
			_, _, _ = socktest.ReadRequest(r)
		})
		c := u.dial()
		out, _ := do(c, request(""), Options{})
		require.Equal(t, retry.Answered, out.End, name)
		if name == "at once" {
			require.False(t, out.Reusable)
			continue
		}
		require.True(t, out.Reusable)
		require.True(t, c.Usable(time.Now()))
		close(late)
		require.Eventually(t, func() bool { return !c.Usable(time.Now()) }, 10*time.Second, time.Millisecond)
	}
}

// Guards against passing on a response that names another request or none, and
// against treating such a refusal as the refusal of this request.
func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 No\r\nId: 2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, response)
		})
		out, rec := do(u.dial(), request(""), Options{})
		require.Equal(t, retry.Mismatched, out.End)
		require.False(t, out.Reusable)
		require.Zero(t, rec.status)
	}
}

// Guards against passing on a success without an upstream's signature, such as
// bytes of a faulty upstream that look like a response.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	for response, end := range map[string]retry.End{
		"HTTP/1.1 200 OK\r\nId: 1\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nok":   retry.Mismatched,
		"HTTP/1.1 500 No\r\nId: 1\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nno":   retry.Answered,
		"HTTP/1.1 404 None\r\nId: 1\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nno": retry.Answered,
	} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, response)
		})
		out, _ := do(u.dial(), request(""), Options{})
		require.Equal(t, end, out.End, response)
	}
}

// Guards against reporting a request as not run although the upstream did not
// state that.
func TestOnlyTheUpstreamReportsNotRun(t *testing.T) {
	for response, end := range map[string]retry.End{
		"HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n": retry.Busy,
		"HTTP/1.1 421 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n": retry.Refused,
		"HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n":               retry.Answered,
		"": retry.Lost,
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nok": retry.Lost,
		"nonsense\r\n\r\n": retry.Lost,
	} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, response)
		})
		out, rec := do(u.dial(), request(""), Options{})
		require.Equal(t, end, out.End, response)
		if end != retry.Answered {
			require.Zero(t, rec.status, response)
		}
	}
}

// Guards against treating a response without a length as complete after the
// connection was reset.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbytes")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		out, _ := do(u.dial(), request(""), Options{})
		if reset {
			require.Equal(t, retry.Lost, out.End)
		} else {
			require.Equal(t, retry.Answered, out.End)
		}
		require.False(t, out.Reusable)
	}
}

// Guards against passing on an incomplete event, and against resuming a stream
// from the wrong event.
func TestCutStreamEndsAfterAWholeEvent(t *testing.T) {
	for _, end := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		body := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
		if end != "" {
			body = "29\r\n" + body + "\r\n"
		}
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			_, _ = io.WriteString(c, streamHead+end+"\r\n"+body)
		})
		out, rec := do(u.dial(), request(""), Options{EventStream: true})
		require.Equal(t, retry.Lost, out.End)
		require.Equal(t, "2", out.LastEventID)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", rec.body.String())
	}
}

// Guards against delaying an event until later ones arrive.
func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	passed := make(chan struct{})
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, streamHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		<-passed
		_, _ = io.WriteString(c, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	rec := &signalling{passed: passed}
	out := Do(context.Background(), u.dial(), request(""), head, rec, Options{EventStream: true})
	require.Equal(t, retry.Answered, out.End, out.Detail)
	require.Equal(t, 2, rec.parts)
	require.True(t, out.Reusable)
}

type signalling struct {
	recorder
	passed chan struct{}
}

func (s *signalling) Part(data []byte) error {
	if s.parts == 0 {
		close(s.passed)
	}
	return s.recorder.Part(data)
}

// Guards against appending to a stream a response that does not continue it.
func TestOnlyEventsContinueAStream(t *testing.T) {
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nId: 1\r\nContent-Length: 4\r\n\r\nfail")
	})
	out, rec := do(u.dial(), request(""), Options{EventStream: true, Resumed: true})
	require.Equal(t, retry.Lost, out.End)
	require.Zero(t, rec.parts)
}

// Guards against a head without end that is read into memory until the process has
// none left.
func TestHeadWithoutEnd(t *testing.T) {
	for name, start := range map[string]string{"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX: ", "headers": ""} {
		written := make(chan int, 1)
		u := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = socktest.ReadRequest(r)
			filler := strings.Repeat("a", 4096)
			if start == "" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				filler = strings.Repeat("A: b\r\n", 700)
			}
			n, err := io.WriteString(c, start)
			for err == nil {
				var k int
				k, err = io.WriteString(c, filler)
				n += k
			}
			written <- n
		})
		conn := u.dial()
		out, rec := do(conn, request(""), Options{})
		require.Equal(t, retry.Lost, out.End, name)
		require.False(t, out.Reusable)
		require.Zero(t, rec.parts)
		require.LessOrEqual(t, conn.limit.left, 0)
		conn.Close()
		<-written
	}
}

// Guards against an upstream that keeps working on a request after the caller
// disconnected.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	received := make(chan struct{})
	u := serve(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		close(received)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	c := u.dial()
	out := Do(ctx, c, request(""), head, &recorder{}, Options{})
	require.Equal(t, retry.Canceled, out.End)
	require.False(t, out.Reusable)
	c.Close()
	<-closed
}

// Guards against reusing a connection on which part of a large request body has
// not been written yet.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 400 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		<-done
	})
	out, rec := do(u.dial(), request(strings.Repeat("x", 32<<20)), Options{})
	require.Equal(t, retry.Answered, out.End)
	require.Equal(t, 400, rec.status)
	require.False(t, out.Reusable)
}

// Guards against passing a server error on to the caller although the request
// could be retried.
func TestServerErrorIsHeld(t *testing.T) {
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nId: 1\r\nContent-Length: 4\r\n\r\nfail")
	})
	out, rec := do(u.dial(), request(""), Options{HoldServerErrors: true})
	require.True(t, out.AttemptResult.Held)
	require.True(t, out.ServerError)
	require.Equal(t, "fail", string(out.Held.Body))
	require.Zero(t, rec.status)
}

// Guards against reporting a caller that cannot be written to as a failure of
// the upstream.
func TestCallerThatCannotBeWrittenTo(t *testing.T) {
	u := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = socktest.ReadRequest(r)
		_, _ = io.WriteString(c, streamHead+"\r\nid: 1\ndata: a\n\n")
	})
	out := Do(context.Background(), u.dial(), request(""), head, &recorder{fail: true}, Options{EventStream: true})
	require.Equal(t, retry.Canceled, out.End)
}

// Guards against reusing a connection after the upstream's idle timeout.
func TestIdleTimeOfTheUpstream(t *testing.T) {
	c := &Conn{}
	now := time.Now()
	c.setIdleTime(now, time.Second)
	require.False(t, c.Expired(now))
	require.True(t, c.Expired(now.Add(time.Second-idleMargin)))
	c.setIdleTime(now, 0)
	require.True(t, c.Expired(now.Add(maxIdleTime)))
}

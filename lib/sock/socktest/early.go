package socktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Further ends of a connection. Both follow a response that the peer has whole.
const (
	// Lingering ends the data that is sent and reads on until the peer closes.
	Lingering End = "lingering close"
	// LateRST ends the data that is sent and resets the connection once Early.Until is closed.
	LateRST End = "FIN, then RST"
)

// linger ends the data that is sent and reads until the peer closes the connection.
func linger(c net.Conn) {
	endData(c)
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// endData ends the data that is sent on a connection.
func endData(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// Early is a response that is sent before the body of its request was read.
type Early struct {
	Response string
	// Read is how many bytes of the body are read before the response.
	Read int64
	// Pause is the time between the response and the end of the connection.
	Pause time.Duration
	End   End
	// Until is when the peer is known to have the end of the data, for LateRST. A fixed time
	// would not do: the segment with the end may be lost and sent again after 200 ms or more,
	// and a reset that overtakes it leaves the data without an end.
	Until <-chan struct{}
}

// RespondEarly returns a script that reads the head of one request and responds early.
func RespondEarly(e Early) Script {
	return RespondEarlyTo(func(*http.Request) Early { return e })
}

// RespondEarlyTo does the same with a response that depends on the head of the request.
func RespondEarlyTo(respond func(*http.Request) Early) Script {
	return func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e := respond(req)
		if _, err := io.CopyN(io.Discard, req.Body, e.Read); err != nil {
			return
		}
		if _, err := io.WriteString(c, e.Response); err != nil {
			return
		}
		time.Sleep(e.Pause)
		if e.End == LateRST {
			endData(c)
			<-e.Until
			Finish(c, RST)
			return
		}
		Finish(c, e.End)
	}
}

// UploadBytes is the size of a body that no socket buffer holds, so that it is still being
// written when an early response arrives.
const UploadBytes = 24 << 20

// Undelimited is a response whose body lasts until its connection ends.
type Undelimited struct {
	Name string
	// Status is the status code, and Events whether the body is an event stream.
	Status int
	Events bool
	Body   string
	// Text is the whole response.
	Text string
}

// event is a complete event.
const event = "id: 1\ndata: a\n\n"

// UndelimitedResponses returns a response of each kind. fields are further lines of their
// heads, each with its line end.
func UndelimitedResponses(fields string) []Undelimited {
	var all []Undelimited
	add := func(name, proto string, status int, extra, body string) {
		head := fmt.Sprintf("%s %d Early\r\n%s%s\r\n", proto, status, fields, extra)
		all = append(all, Undelimited{
			Name: name, Status: status, Events: strings.Contains(extra, "event-stream"), Body: body, Text: head + body,
		})
	}
	const plain = "Content-Type: text/plain\r\n"
	add("200", "HTTP/1.1", http.StatusOK, plain, "part")
	add("200 without a body yet", "HTTP/1.1", http.StatusOK, plain, "")
	add("200, Connection: close", "HTTP/1.1", http.StatusOK, plain+"Connection: close\r\n", "part")
	add("200, HTTP/1.0", "HTTP/1.0", http.StatusOK, plain, "part")
	add("404", "HTTP/1.1", http.StatusNotFound, plain, "part")
	add("500", "HTTP/1.1", http.StatusInternalServerError, plain, "part")
	add("events", "HTTP/1.1", http.StatusOK, "Content-Type: text/event-stream\r\n", event)
	return all
}

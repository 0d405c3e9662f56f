// Package socktest starts TCP servers that run a script on each connection, for
// tests that need control over each byte of a response and over the end of its
// connection.
package socktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Script serves one connection, which is closed when it returns. r reads from c.
type Script func(c net.Conn, r *bufio.Reader)

// Serve runs a script on each connection to a new loopback address and returns
// the address. The listener is closed at the end of the test.
func Serve(t testing.TB, script Script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// ReadRequest reads one request and its body.
func ReadRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}

// End is how a connection ends after a response.
type End string

const (
	// FIN closes the connection in order.
	FIN End = "FIN"
	// RST resets the connection.
	RST End = "RST"
	// Open keeps the connection open for further requests.
	Open End = "open"
)

// Respond returns a script that answers each request with a response and then
// ends the connection as stated.
func Respond(response string, end End) Script {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
			if end != Open {
				Finish(c, end)
				return
			}
		}
	}
}

// Finish ends a connection. It does nothing if the connection is to stay open.
func Finish(c net.Conn, end End) {
	switch end {
	case Open:
		return
	case Lingering:
		linger(c)
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && end == RST {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

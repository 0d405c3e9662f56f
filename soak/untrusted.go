package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// maxMissingBytes bounds what an incomplete body lacks, and maxExtraBytes by how much
	// another one exceeds the limit.
	maxMissingBytes = 4 << 10
	maxExtraBytes   = 256 << 10
	// smallChunk and largeChunk are the sizes of the chunks of bodies in bytes.
	smallChunk = 64
	largeChunk = 64 << 10
	// maxOpenTime bounds how long such a client keeps a connection open, and maxOpenPause the
	// time until its next one.
	maxOpenTime  = 6 * time.Second
	maxOpenPause = 500 * time.Millisecond
)

// untrustedBody is a body that must not be served: one within the limit that never ends, or
// one over the limit. Its length is announced, or it is sent in chunks of a size.
type untrustedBody struct {
	sent, announced int
	chunk           int
}

// untrustedData is the content of the bodies.
var untrustedData = bytes.Repeat([]byte("x"), maxBodyBytes+maxExtraBytes)

// drawBody draws a body.
func drawBody(random *rand.Rand) untrustedBody {
	b := untrustedBody{sent: maxBodyBytes - 1 - random.IntN(maxMissingBytes), announced: maxBodyBytes}
	if random.IntN(2) == 0 {
		b.sent = maxBodyBytes + 1 + random.IntN(maxExtraBytes)
		b.announced = b.sent
	}
	b.chunk = []int{0, 0, smallChunk, largeChunk}[random.IntN(4)]
	return b
}

// tooLarge reports whether the body is over the limit.
func (b untrustedBody) tooLarge() bool { return b.sent > maxBodyBytes }

// writeTo writes the request with the body. It stops at the first failure, since the gateway
// may answer or close the connection before the end.
func (b untrustedBody) writeTo(w io.Writer, head string) {
	data := untrustedData[:b.sent]
	if b.chunk == 0 {
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, b.announced)
		_, _ = w.Write(data)
		return
	}
	out := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(out, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	chunks := httputil.NewChunkedWriter(out)
	for len(data) > 0 {
		n, err := chunks.Write(data[:min(b.chunk, len(data))])
		if err != nil {
			return
		}
		data = data[n:]
	}
	if b.tooLarge() {
		_, _ = io.WriteString(out, "0\r\n\r\n")
	}
	_ = out.Flush()
}

// check returns what is wrong with the answer to the body, or "".
func (b untrustedBody) check(resp *http.Response) string {
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return "a success"
	case resp.StatusCode == http.StatusRequestEntityTooLarge && !b.tooLarge():
		return "too large"
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		return "not run, without a delay before a retry"
	default:
		return ""
	}
}

// untrustedClient opens one connection after the other for a body that must not be served.
// Its requests are not recorded as sent, so that it is a violation if one of them runs.
type untrustedClient struct {
	name string
	*callerGroup
}

func (c *untrustedClient) run(ctx context.Context) error {
	for number := 1; ctx.Err() == nil; number++ {
		random := seededRandom(c.env.options.Seed, c.name, number)
		c.send(ctx, random, attemptID(c.name, number, 1))
		_ = duty.Sleep(ctx, time.Duration(random.Int64N(int64(maxOpenPause))))
	}
	return nil
}

// send sends a body over a new connection, and reads the answer until the time for that ends.
func (c *untrustedClient) send(ctx context.Context, random *rand.Rand, attempt string) {
	body, openTime := drawBody(random), time.Duration(random.Int64N(int64(maxOpenTime)))
	conn, err := net.Dial("tcp", c.env.gateways[c.balancer.choose()].machine.front.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(openTime))
	body.writeTo(conn, fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n",
		order, c.name, hostName, customerKey(customers[1], *c.env.config.currentKey.Load()), headerAttempt, attempt))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if wrong := body.check(resp); wrong != "" {
		c.env.ledger.addViolation(fmt.Sprintf("BODY: %s with %d bytes of a body that announces %d (chunks: %t) was answered %d: %s",
			attempt, body.sent, body.announced, body.chunk > 0, resp.StatusCode, wrong))
	}
}

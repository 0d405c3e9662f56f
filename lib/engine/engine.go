// Package engine is an HTTP client for model engines and plain services. It sends
// orders, reads load reports and checks health.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/fleet"
)

// maxReportBytes is the largest load report, in bytes, that is read.
const maxReportBytes = 1 << 20

// maxHeadBytes is the largest head of a response, in bytes, that is read.
const maxHeadBytes = 64 << 10

// ErrFenced reports that the engine refused an order with an old fencing token.
var ErrFenced = errors.New("engine refused an old fencing token")

// ErrRefused reports that the engine answered an order with an error, so that the
// order is no longer in progress.
var ErrRefused = errors.New("engine refused the order")

// LoadOrder orders an engine to load a version from a source URL.
type LoadOrder struct {
	Loaded
	// ServeAs is the model name that requests for this version carry.
	ServeAs string `json:"serve_as"`
	Source  string `json:"source"`
	Fence   int64  `json:"fence"`
}

// UnloadOrder orders an engine to free a version.
type UnloadOrder struct {
	Root  fleet.Digest `json:"root"`
	Fence int64        `json:"fence"`
}

// Client sends requests to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at a base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Base returns the base URL that calls are sent to.
func (c *Client) Base() string { return c.base }

// Report reads the engine's load report.
func (c *Client) Report(ctx context.Context) (*Report, error) {
	data, err := c.send(ctx, http.MethodGet, "/load", nil)
	if err != nil {
		return nil, err
	}
	return DecodeReport(data)
}

// ReportOverConn reads the load report over a connection that carries no other
// request. The connection stays usable.
func (c *Client) ReportOverConn(ctx context.Context, conn net.Conn) (*Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "create engine request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
		defer func() { _ = conn.SetDeadline(time.Time{}) }()
	}
	if err := req.Write(conn); err != nil {
		return nil, eris.Wrap(err, "send engine request")
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHeadBytes+maxReportBytes)), req)
	if err != nil {
		return nil, eris.Wrap(err, "read engine response")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		return nil, eris.Errorf("engine responded with status %d on a new connection: %v", resp.StatusCode, err)
	}
	return DecodeReport(data)
}

// Probe checks the health of a plain service. With a path it sends a request,
// which must not be answered with a server error. Without a path it opens a new
// connection.
func (c *Client) Probe(ctx context.Context, path string) error {
	if path == "" {
		return c.probeConnection(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "health check")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "health check")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes)); err != nil {
		return eris.Wrap(err, "health check")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return eris.Errorf("health check: response status %d", resp.StatusCode)
	}
	return nil
}

func (c *Client) probeConnection(ctx context.Context) error {
	u, err := url.Parse(c.base)
	if err != nil {
		return eris.Wrap(err, "health check")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return eris.Wrap(err, "health check")
	}
	return conn.Close()
}

// Load orders the engine to load a version. It returns when the engine has loaded
// it. The error is ErrFenced or ErrRefused if the engine refused the order.
func (c *Client) Load(ctx context.Context, o LoadOrder) error {
	_, err := c.send(ctx, http.MethodPost, "/orders/load", o)
	return err
}

// Unload orders the engine to free a version. Its errors are those of Load.
func (c *Client) Unload(ctx context.Context, o UnloadOrder) error {
	_, err := c.send(ctx, http.MethodPost, "/orders/unload", o)
	return err
}

// send sends a request, with the message as JSON unless it is nil, and returns
// the response body.
func (c *Client) send(ctx context.Context, method, path string, message any) ([]byte, error) {
	var body io.Reader = http.NoBody
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return nil, eris.Wrap(err, "encode engine order")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "create engine request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "send engine request")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, ErrFenced
	default:
		return nil, eris.Wrapf(ErrRefused, "engine responded with status %d to %s", resp.StatusCode, path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return data, eris.Wrap(err, "read engine response")
}

// Package engine is the client of model engines and plain services: orders,
// load reports and the address of calls.
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

// maxReportBytes bounds a load report read from an engine.
const maxReportBytes = 1 << 20

// ErrFenced says that the engine refused an order with an old fencing number.
var ErrFenced = errors.New("engine refused an old fencing number")

// ErrRefused says that the engine answered an order with an error, so that the
// order is not in progress any more.
var ErrRefused = errors.New("engine refused the order")

// LoadOrder asks an engine to load a version from a source URL.
type LoadOrder struct {
	Loaded
	// ServeAs is the model name of requests for this version.
	ServeAs string `json:"serve_as"`
	Source  string `json:"source"`
	Fence   int64  `json:"fence"`
}

// UnloadOrder asks an engine to free a version.
type UnloadOrder struct {
	Root  fleet.Digest `json:"root"`
	Fence int64        `json:"fence"`
}

// Client talks to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for an engine at a base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Base returns the base URL that calls go to.
func (c *Client) Base() string { return c.base }

// Report reads the engine's load report.
func (c *Client) Report(ctx context.Context) (*Report, error) {
	data, err := c.exchange(ctx, http.MethodGet, "/load", nil)
	if err != nil {
		return nil, err
	}
	return DecodeReport(data)
}

// ReportOver reads the load report over a connection that carries nothing else
// yet and stays usable.
func (c *Client) ReportOver(ctx context.Context, conn net.Conn) (*Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
		defer func() { _ = conn.SetDeadline(time.Time{}) }()
	}
	if err := req.Write(conn); err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, eris.Wrap(err, "engine report")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		return nil, eris.Errorf("engine answered %d on a new connection: %v", resp.StatusCode, err)
	}
	return DecodeReport(data)
}

// Probe checks a plain service: with a path, by a request that must not fail
// with a server error; without one, by a new connection.
func (c *Client) Probe(ctx context.Context, path string) error {
	if path == "" {
		return c.connect(ctx)
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
		return eris.Errorf("health check answered %d", resp.StatusCode)
	}
	return nil
}

func (c *Client) connect(ctx context.Context) error {
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

// Load orders a version; it returns when the engine has loaded it.
func (c *Client) Load(ctx context.Context, o LoadOrder) error {
	_, err := c.exchange(ctx, http.MethodPost, "/orders/load", o)
	return err
}

// Unload orders a version to be freed.
func (c *Client) Unload(ctx context.Context, o UnloadOrder) error {
	_, err := c.exchange(ctx, http.MethodPost, "/orders/unload", o)
	return err
}

// exchange sends a message and returns the answer's body.
func (c *Client) exchange(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, eris.Wrap(err, "encode order")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, ErrFenced
	default:
		return nil, eris.Wrapf(ErrRefused, "engine answered %d on %s", resp.StatusCode, path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return data, eris.Wrap(err, "engine answer")
}

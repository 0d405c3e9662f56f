package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Paths between processes.
const (
	PathHeartbeat = "/peer/heartbeat"
	PathConfig    = "/peer/config/"
	PathMembers   = "/peer/members"
	PathWeights   = "/peer/weights/"
	PathToken     = "/peer/token"
	PathTimeline  = "/timeline"
	PathStatus    = "/status"
)

// MaxMessageBytes is the maximum size of a JSON message between processes.
const MaxMessageBytes = 4 << 20

// ReadJSON reads r to its end and decodes the JSON message into v. It returns an
// error if the message is larger than MaxMessageBytes.
func ReadJSON(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return eris.Wrap(err, "read message")
	}
	if len(data) > MaxMessageBytes {
		return eris.Errorf("message is larger than %d bytes", MaxMessageBytes)
	}
	return eris.Wrap(json.Unmarshal(data, v), "message is not valid JSON")
}

// WriteJSON sends a message as the response.
func WriteJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// Client sends requests to other processes of the system.
type Client struct {
	HTTP *http.Client
	Keys Keys
}

// Get returns the body of a path at a peer. It returns an error if the body is
// larger than limit bytes, and a StatusError for a status other than 200.
func (c *Client) Get(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, address, path, http.NoBody)
	if err != nil {
		return nil, err
	}
	return readAnswer(resp, limit)
}

// GetJSON gets a JSON message from a path at a peer and decodes it into v.
func (c *Client) GetJSON(ctx context.Context, address, path string, v any) error {
	data, err := c.Get(ctx, address, path, MaxMessageBytes)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, v), "answer is not valid JSON")
}

// PostJSON posts in as JSON to a path at a peer and decodes the answer into out.
func (c *Client) PostJSON(ctx context.Context, address, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	resp, err := c.do(ctx, http.MethodPost, address, path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return ReadJSON(resp.Body, out)
}

// StatusError is the error for a response with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "peer answered " + http.StatusText(e.Status) }

func (c *Client) do(ctx context.Context, method, address, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	c.Keys.Authorize(req.Header)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "peer request")
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &StatusError{Status: resp.StatusCode}
	}
	return resp, nil
}

// Post sends bytes to a path at a peer and returns the body of the answer. It
// returns an error if the body is larger than limit bytes, and a StatusError for
// a status other than 200.
func (c *Client) Post(ctx context.Context, address, path string, in []byte, limit int64) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodPost, address, path, bytes.NewReader(in))
	if err != nil {
		return nil, err
	}
	return readAnswer(resp, limit)
}

// readAnswer reads and closes the body of an answer. It returns an error if the
// body is larger than limit bytes.
func readAnswer(resp *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, eris.Errorf("answer is larger than %d bytes", limit)
	}
	return data, nil
}

// Package weightstore reads manifests and byte ranges of weight files from a store
// or an origin over HTTP.
package weightstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrChanged reports that the content at a URL is no longer the content that was
// read first. The transfer must end, since its chunks belong to another version.
var ErrChanged = errors.New("content changed during the transfer")

// ErrBusy reports that the store refused the request for now.
var ErrBusy = errors.New("store refused the request for now")

// ETag is the strong ETag of a file; empty means that none is known.
type ETag string

// Client reads one weight tree from one base URL. It keeps no state: the caller
// stores the ETag of each file and passes it to the next read.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for a base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Manifest returns the encoded manifest. A manifest of more than limit bytes is an
// error.
func (c *Client) Manifest(ctx context.Context, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/manifest.json", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "manifest request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "get manifest")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read manifest")
	}
	if int64(len(data)) > limit {
		return nil, eris.Errorf("manifest is larger than %d bytes", limit)
	}
	return data, nil
}

// Range returns a reader for length bytes of a file from offset, and the file's
// ETag. The caller closes the reader. The error wraps ErrChanged if the file is
// missing or its ETag is not the expected one; an empty expected ETag matches any.
// The error wraps ErrBusy if the store refused the request for now.
func (c *Client) Range(ctx context.Context, path string, offset, length int64, expected ETag) (io.ReadCloser, ETag, error) {
	target := c.base + "/files/" + escapePath(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, "", eris.Wrap(err, "range request")
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+length-1))
	if expected != "" {
		req.Header.Set("If-Range", string(expected))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, "", eris.Wrap(err, "get range")
	}
	if resp.StatusCode != http.StatusPartialContent {
		_ = resp.Body.Close()
		return nil, "", statusError(resp)
	}
	tag := strongETag(resp.Header.Get("ETag"))
	if expected != "" && tag != expected {
		_ = resp.Body.Close()
		return nil, "", eris.Wrapf(ErrChanged, "tag of %s is %q, was %q", path, tag, expected)
	}
	return resp.Body, tag, nil
}

// strongETag returns an empty ETag for a weak one, which does not guarantee equal
// bytes.
func strongETag(text string) ETag {
	if strings.HasPrefix(text, "W/") {
		return ""
	}
	return ETag(text)
}

func escapePath(path string) string {
	parts := strings.Split(path, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusPreconditionFailed, http.StatusNotFound, http.StatusGone:
		// A server answers 200 if the ETag differs from that in If-Range.
		return eris.Wrapf(ErrChanged, "status %d", resp.StatusCode)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return eris.Wrapf(ErrBusy, "status %d", resp.StatusCode)
	default:
		return eris.Errorf("unexpected status %d", resp.StatusCode)
	}
}

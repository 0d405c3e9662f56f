// Package viewsync passes what is published from one process to another, for
// those that the platform's store turns away. Items travel as they were
// published; the adapter that reads them decodes them.
package viewsync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/wire"
)

// Path is where a process passes on what it knows.
const Path = "/peer/changes"

// timeout bounds a read of a peer's view.
const timeout = time.Second

// Decode reads an item as it was published.
type Decode func(key string, revision uint64, removed bool, raw []byte) (published.Change, error)

// item is a published item on its way between processes.
type item struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
	Raw      []byte `json:"raw,omitempty"`
	// AgeMS is how long the sender has known a wanted version, in
	// milliseconds; 0 if it does not know.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// changes is what one process passes on to another.
type changes struct {
	Revision uint64 `json:"revision"`
	Items    []item `json:"items"`
}

// View is where the items that are passed on come from.
type View interface {
	Since(ctx context.Context, after uint64) (published.Batch, error)
}

// Handler serves what is newer than a revision, under a prefix.
func Handler(v View) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		b, err := v.Since(r.Context(), after)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		prefix := r.URL.Query().Get("prefix")
		out := changes{Revision: b.Revision}
		for _, c := range b.Changes {
			if strings.HasPrefix(c.Key, prefix) {
				out.Items = append(out.Items, item{
					Key: c.Key, Revision: c.Revision, Removed: c.Removed, Raw: c.Raw, AgeMS: c.Age.Milliseconds(),
				})
			}
		}
		wire.WriteJSON(w, &out)
	})
}

// Client reads the views of other processes.
type Client struct {
	client wire.Client
	decode Decode
}

// NewClient returns a client whose items are decoded by a function.
func NewClient(decode Decode) *Client {
	return &Client{client: wire.Client{HTTP: &http.Client{Transport: sock.Transport(1)}}, decode: decode}
}

// Changes reads what a process knows that is newer than a revision, under a
// prefix. Items that cannot be read are findings.
func (c *Client) Changes(ctx context.Context, address string, after uint64, prefix string) (published.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "prefix": {prefix}}
	var passed changes
	if err := c.client.GetJSON(ctx, address, Path+"?"+q.Encode(), &passed); err != nil {
		return published.Batch{}, eris.Wrapf(err, "view of %s", address)
	}
	b := published.Batch{Revision: passed.Revision}
	for _, it := range passed.Items {
		change, err := c.decode(it.Key, it.Revision, it.Removed, it.Raw)
		if err != nil {
			b.Findings = append(b.Findings, err)
		}
		change.Age = time.Duration(it.AgeMS) * time.Millisecond
		b.Changes = append(b.Changes, change)
	}
	return b, nil
}

// Fallback reads the view of the first of some processes that answers. Each
// read begins with another one, so that one that is behind does not hold a
// reader back.
type Fallback struct {
	Client  *Client
	Members []string
}

// Snapshot returns what is known under a prefix. It is not the whole of what
// is published.
func (f *Fallback) Snapshot(ctx context.Context, prefix string) (published.Batch, error) {
	err := eris.New("no process to ask")
	first := rand.IntN(max(len(f.Members), 1))
	for i := range f.Members {
		var b published.Batch
		if b, err = f.Client.Changes(ctx, f.Members[(first+i)%len(f.Members)], 0, prefix); err == nil {
			return b, nil
		}
	}
	return published.Batch{}, err
}

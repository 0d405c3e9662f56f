// Package viewsync transfers published items from one process to another, for
// processes whose reads the platform's store rejects. Items are sent as they
// were published; the adapter of the receiving process decodes them.
package viewsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/published"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/wire"
)

// Path is the path at which a process serves the items that it knows.
const Path = "/peer/changes"

// readTimeout bounds a read of a peer's view.
const readTimeout = time.Second

// Decode decodes a published item.
type Decode func(key string, revision published.Revision, removed bool, raw []byte) (published.Change, error)

// revision is the JSON form of a revision. Builds that know no eras send and read the
// number alone.
type revision struct {
	Number uint64 `json:"revision"`
	Era    uint64 `json:"era,omitempty"`
}

func encodeRevision(r published.Revision) revision {
	return revision{Number: r.Number(), Era: r.Era()}
}

func (r revision) decode() published.Revision { return published.NewRevision(r.Era, r.Number) }

// item is the JSON form of a published item.
type item struct {
	Key string `json:"key"`
	revision
	Removed bool   `json:"removed,omitempty"`
	Raw     []byte `json:"raw,omitempty"`
}

// changes is the JSON response with the items of one process.
type changes struct {
	revision
	Items []item `json:"items"`
	// Ages says how long the sender has known the desired versions, by model.
	Ages map[string][]published.VersionAge `json:"ages,omitempty"`
}

// Source provides the items that a Handler serves.
type Source interface {
	Since(ctx context.Context, after published.Revision) (published.Batch, error)
}

// Handler serves the items of a source that are newer than the revision in the
// query parameters after and era and whose keys begin with the parameter prefix.
func Handler(source Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := queryRevision(r.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		b, err := source.Since(r.Context(), after)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		prefix := r.URL.Query().Get("prefix")
		out := changes{revision: encodeRevision(b.Revision), Ages: b.Ages}
		for _, c := range b.Changes {
			if strings.HasPrefix(c.Key, prefix) {
				out.Items = append(out.Items, item{Key: c.Key, revision: encodeRevision(c.Revision), Removed: c.Removed, Raw: c.Raw})
			}
		}
		wire.WriteJSON(w, &out)
	})
}

// queryRevision returns the revision after which a reader wants changes. One that knows no
// eras names none.
func queryRevision(q url.Values) (published.Revision, error) {
	number, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return 0, err
	}
	era := uint64(0)
	if text := q.Get("era"); text != "" {
		era, err = strconv.ParseUint(text, 10, 64)
	}
	return published.NewRevision(era, number), err
}

// Client reads published items from other processes.
type Client struct {
	client wire.Client
	decode Decode
}

// NewClient returns a client that decodes items with a function.
func NewClient(decode Decode) *Client {
	return &Client{client: wire.Client{HTTP: &http.Client{Transport: relay.NewTransport(sock.Transport(1))}}, decode: decode}
}

// Changes reads the items of the process at an address that are newer than a
// revision and whose keys begin with a prefix. Findings has one error for each
// item that could not be decoded.
func (c *Client) Changes(ctx context.Context, address string, after published.Revision, prefix string) (published.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	q := url.Values{
		"after":  {strconv.FormatUint(after.Number(), 10)},
		"era":    {strconv.FormatUint(after.Era(), 10)},
		"prefix": {prefix},
	}
	var response struct {
		revision
		Items []json.RawMessage `json:"items"`
		Ages  json.RawMessage   `json:"ages"`
	}
	if err := c.client.GetJSON(ctx, address, Path+"?"+q.Encode(), &response); err != nil {
		return published.Batch{}, eris.Wrapf(err, "read view of %s", address)
	}
	b := published.Batch{Revision: response.decode(), Sender: address}
	var ages map[string][]published.VersionAge
	if response.Ages != nil && json.Unmarshal(response.Ages, &ages) == nil && published.ValidAges(ages) {
		b.Ages = ages
	}
	for _, data := range response.Items {
		c.addItem(&b, data)
	}
	return b, nil
}

// addItem decodes an item for itself and adds its change and finding to a batch. An item
// whose key and revision cannot be read is left out.
func (c *Client) addItem(b *published.Batch, data []byte) {
	var it item
	if err := json.Unmarshal(data, &it); err != nil || it.Key == "" || it.Number == 0 || it.Number > published.MaxNumber {
		b.Findings = append(b.Findings, eris.Errorf("item of a peer is unreadable: %.*s", maxItemText, data))
		return
	}
	change, err := c.decode(it.Key, it.decode(), it.Removed, it.Raw)
	if err != nil {
		b.Findings = append(b.Findings, err)
	}
	b.Changes = append(b.Changes, change)
}

// maxItemText is the number of bytes of an unreadable item that a finding shows.
const maxItemText = 200

// Fallback reads the view of the first process that answers. Each read starts
// with a randomly chosen process, so that a process that is behind does not
// delay a reader for long.
type Fallback struct {
	Client    *Client
	Addresses []string
}

// Snapshot returns the items under a prefix that the answering process knows,
// which can be fewer than those published.
func (f *Fallback) Snapshot(ctx context.Context, prefix string) (published.Batch, error) {
	err := eris.New("no process to read from")
	first := rand.IntN(max(len(f.Addresses), 1))
	for i := range f.Addresses {
		var b published.Batch
		if b, err = f.Client.Changes(ctx, f.Addresses[(first+i)%len(f.Addresses)], 0, prefix); err == nil {
			return b, nil
		}
	}
	return published.Batch{}, err
}

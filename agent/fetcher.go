package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
	"rattanspur.example/lib/wire"
)

// fetch is a request for one chunk.
type fetch struct {
	// ctx ends with the transfer attempt that the request belongs to.
	ctx     context.Context
	attempt uint64
	weights config.Weights
	path    string
	chunk   manifest.Chunk
	source  transfer.Source
	peer    fleet.Instance
	tag     weightstore.ETag
	// remote is set if the source is in another region.
	remote bool
}

// errAbsent means that a peer does not have the chunk.
var errAbsent = errors.New("peer does not have the chunk")

// errStalled cancels a request that receives no data for the stall timeout, or
// that takes too long as a whole.
var errStalled = errors.New("request made no progress")

// maxStalls is the time limit of a whole request, as a multiple of the stall
// timeout. It ends requests to a source that sends a few bytes at a time forever.
const maxStalls = 12

// weightsTransport returns the transport for all fetchers and queriers. It
// limits the number of idle connections, because an agent talks to few peers.
func weightsTransport() relay.Transport {
	return relay.NewTransport(&http.Transport{
		MaxResponseHeaderBytes: sock.MaxHeadBytes,
		MaxIdleConns:           64,
		MaxIdleConnsPerHost:    transferLimits.MaxInFlightPerPeer,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
	})
}

// runFetcher downloads chunks, one request at a time. Several fetchers run in
// parallel.
func (a *Agent) runFetcher(ctx context.Context) error {
	for {
		f, err := a.fetches.Take(ctx)
		if err != nil {
			return nil
		}
		if a.pullerEvents.Put(ctx, a.fetchChunk(f)) != nil {
			return nil
		}
	}
}

func (a *Agent) fetchChunk(f fetch) chunkRead {
	ev := chunkRead{attempt: f.attempt, remote: f.remote}
	ev.ended = transfer.ChunkEnded{Index: f.chunk.Index, Source: f.source}
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	deadline := time.AfterFunc(maxStalls*transferLimits.StallTimeout, func() { cancel(errStalled) })
	defer deadline.Stop()
	watch := &stallWatch{timeout: transferLimits.StallTimeout, cancel: cancel}
	watch.arm()
	defer watch.disarm()
	body, tag, err := a.openChunk(ctx, f)
	if err == nil {
		ev.tag = tag
		ev.data, err = a.readChunk(ctx, watch, body, f)
	}
	ev.ended.Outcome, ev.err = outcome(err), err
	if err == nil && !f.chunk.Verify(ev.data) {
		ev.data = nil
		ev.ended.Outcome = transfer.Corrupt
	}
	return ev
}

func (a *Agent) readChunk(ctx context.Context, watch *stallWatch, body io.ReadCloser, f fetch) ([]byte, error) {
	defer func() { _ = body.Close() }()
	watch.body = body
	links := []*pacing.Link{a.downloadLink}
	if f.remote {
		links = append(links, a.regionLink)
	}
	data := make([]byte, f.chunk.Length)
	_, err := io.ReadFull(pacing.Reader(ctx, watch, links...), data)
	return data, err
}

func outcome(err error) transfer.Outcome {
	switch {
	case err == nil:
		return transfer.Verified
	case errors.Is(err, weightstore.ErrBusy):
		return transfer.Busy
	case errors.Is(err, weightstore.ErrChanged):
		return transfer.Changed
	case errors.Is(err, errAbsent):
		return transfer.Absent
	default:
		return transfer.Failed
	}
}

// stallWatch cancels a request if its source sends nothing for the given time.
// The time that the agent's own rate limits take does not count.
type stallWatch struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	body    io.Reader
}

func (w *stallWatch) arm() {
	w.timer = time.AfterFunc(w.timeout, func() { w.cancel(errStalled) })
}

func (w *stallWatch) disarm() { w.timer.Stop() }

// Read implements io.Reader. The timer runs only during a read.
func (w *stallWatch) Read(b []byte) (int, error) {
	w.timer.Reset(w.timeout)
	n, err := w.body.Read(b)
	w.timer.Stop()
	return n, err
}

func (a *Agent) openChunk(ctx context.Context, f fetch) (io.ReadCloser, weightstore.ETag, error) {
	switch f.source.Kind {
	case transfer.FromStore:
		store := weightstore.New(f.weights.Store, a.weightsHTTP)
		return store.Range(ctx, f.path, f.chunk.Offset, f.chunk.Length, f.tag)
	case transfer.FromOrigin:
		origin := weightstore.New(f.weights.Origin, a.weightsHTTP)
		return origin.Range(ctx, f.path, f.chunk.Offset, f.chunk.Length, f.tag)
	default:
		body, err := a.openPeerChunk(ctx, f)
		return body, "", err
	}
}

func (a *Agent) openPeerChunk(ctx context.Context, f fetch) (io.ReadCloser, error) {
	path := wire.PathWeights + f.weights.Root.String() + "/chunks/" + strconv.Itoa(f.chunk.Index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.peer.Address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	wire.Keys(a.settings.PeerKeys).Authorize(req.Header)
	resp, err := a.weightsHTTP.Do(req)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return resp.Body, nil
	case http.StatusServiceUnavailable:
		err = weightstore.ErrBusy
	case http.StatusNotFound:
		err = errAbsent
	default:
		err = &wire.StatusError{Status: resp.StatusCode}
	}
	discardBody(resp.Body)
	return nil, err
}

// maxDiscardBytes limits how much of an error response is read so that its
// connection can be reused.
const maxDiscardBytes = 1 << 10

func discardBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}

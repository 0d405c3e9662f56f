package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
	"rattanspur.example/lib/wire"
)

// fetchDelay is the time before a manifest that could not be read is asked for again.
const fetchDelay = 200 * time.Millisecond

// fetch is one request for a manifest, a have-set or a chunk.
type fetch struct {
	profile      *config.Profile
	manifest     *manifest.Manifest
	peer         fleet.Instance
	source       transfer.Source
	chunk        manifest.Chunk
	wantManifest bool
	wantHave     bool
}

// runFetcher carries out one request after the other.
func (a *Agent) runFetcher(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	peers := &wire.Client{HTTP: client, Keys: a.settings.PeerKeys}
	for {
		f, err := a.fetches.Take(ctx)
		if err != nil {
			return nil
		}
		var ev pullerEvent
		switch {
		case f.wantManifest:
			ev = a.fetchManifest(ctx, client, peers, f)
		case f.wantHave:
			ev = a.fetchHave(ctx, peers, f)
		default:
			ev = a.fetchChunk(ctx, client, f)
		}
		if a.puller.Put(ctx, ev) != nil {
			return nil
		}
	}
}

func (a *Agent) fetchManifest(ctx context.Context, client *http.Client, peers *wire.Client, f fetch) pullerEvent {
	ev := manifestRead{root: f.profile.Weights.Root}
	if f.peer.ID != "" {
		path := wire.PathWeights + ev.root.String() + "/manifest"
		ev.encoded, ev.err = peers.Get(ctx, f.peer.Address, path, manifest.MaxManifestBytes)
	}
	if f.peer.ID == "" || ev.err != nil {
		store := weightstore.New(f.profile.Weights.Origin, client)
		ev.encoded, ev.err = store.Manifest(ctx, manifest.MaxManifestBytes)
	}
	if ev.err == nil {
		ev.manifest, ev.err = manifest.Decode(ev.encoded, ev.root)
	}
	if ev.err != nil {
		wait(ctx, fetchDelay)
	}
	return ev
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (a *Agent) fetchHave(ctx context.Context, peers *wire.Client, f fetch) pullerEvent {
	ev := haveRead{root: f.profile.Weights.Root, peer: f.peer.ID}
	limited, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	data, err := peers.Get(limited, f.peer.Address, wire.PathWeights+ev.root.String()+"/have", wire.MaxMessageBytes)
	if err != nil {
		return ev
	}
	if json.Unmarshal(data, &ev.have) != nil {
		ev.have = nil
	}
	return ev
}

func (a *Agent) fetchChunk(ctx context.Context, client *http.Client, f fetch) pullerEvent {
	ev := chunkRead{root: f.profile.Weights.Root}
	ev.ended = transfer.ChunkEnded{Index: f.chunk.Index, Source: f.source, Outcome: transfer.Failed}
	limited, cancel := context.WithTimeout(ctx, transferLimits.StallAfter)
	defer cancel()
	body, err := a.openChunk(limited, client, f)
	if errors.Is(err, weightstore.ErrBusy) {
		ev.ended.Outcome = transfer.Busy
		return ev
	}
	if err != nil {
		return ev
	}
	defer func() { _ = body.Close() }()
	data := make([]byte, f.chunk.Length)
	if _, err := io.ReadFull(pacing.Reader(limited, body, a.down), data); err != nil {
		return ev
	}
	if !f.chunk.Verify(data) {
		ev.ended.Outcome = transfer.Corrupt
		return ev
	}
	ev.data = data
	ev.ended.Outcome = transfer.Verified
	return ev
}

func (a *Agent) openChunk(ctx context.Context, client *http.Client, f fetch) (io.ReadCloser, error) {
	if f.source.Peer == "" {
		store := weightstore.New(f.profile.Weights.Origin, client)
		return store.Range(ctx, f.manifest.Files[f.chunk.File].Path, f.chunk.Offset, f.chunk.Length)
	}
	path := wire.PathWeights + f.profile.Weights.Root.String() + "/chunks/" + strconv.Itoa(f.chunk.Index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.peer.Address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	wire.Keys(a.settings.PeerKeys).Sign(req.Header)
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, weightstore.ErrBusy
		}
		return nil, &wire.StatusError{Status: resp.StatusCode}
	}
	return resp.Body, nil
}

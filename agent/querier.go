package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/weightstore"
	"rattanspur.example/lib/wire"
)

// query is a request for a manifest or, if have is set, for a peer's have-set.
type query struct {
	ctx     context.Context
	attempt uint64
	weights config.Weights
	source  transfer.Source
	peer    fleet.Instance
	// have is nil in a query for a manifest.
	have *transfer.RequestHave
}

// runQuerier sends queries, one at a time. Queriers are separate from the
// fetchers, so that an unresponsive peer delays no chunk.
func (a *Agent) runQuerier(ctx context.Context) error {
	peers := &wire.Client{HTTP: a.weightsHTTP, Keys: a.settings.PeerKeys}
	for {
		q, err := a.queries.Take(ctx)
		if err != nil {
			return nil
		}
		var ev pullerEvent
		if q.have != nil {
			ev = a.fetchHave(peers, q)
		} else {
			ev = a.fetchManifest(peers, q)
		}
		if a.pullerEvents.Put(ctx, ev) != nil {
			return nil
		}
	}
}

func (a *Agent) fetchManifest(peers *wire.Client, q query) pullerEvent {
	ev := manifestRead{attempt: q.attempt}
	ctx, cancel := context.WithTimeout(q.ctx, manifestTimeout)
	defer cancel()
	switch q.source.Kind {
	case transfer.FromStore:
		ev.encoded, ev.err = weightstore.New(q.weights.Store, a.weightsHTTP).Manifest(ctx, manifest.MaxManifestBytes)
	case transfer.FromOrigin:
		ev.encoded, ev.err = weightstore.New(q.weights.Origin, a.weightsHTTP).Manifest(ctx, manifest.MaxManifestBytes)
	default:
		path := wire.PathWeights + q.weights.Root.String() + "/manifest"
		ev.encoded, ev.err = peers.Get(ctx, q.peer.Address, path, manifest.MaxManifestBytes)
	}
	if ev.err == nil {
		ev.manifest, ev.err = manifest.Decode(ev.encoded, q.weights.Root)
	}
	return ev
}

func (a *Agent) fetchHave(peers *wire.Client, q query) pullerEvent {
	failed := haveRead{attempt: q.attempt, event: transfer.HaveFailed{Peer: q.peer.ID}}
	ctx, cancel := context.WithTimeout(q.ctx, shortTimeout)
	defer cancel()
	path := fmt.Sprintf("%s%s/have?epoch=%d&seq=%d", wire.PathWeights, q.weights.Root, q.have.Epoch, q.have.Seq)
	data, err := peers.Get(ctx, q.peer.Address, path, wire.MaxHaveSetBytes)
	if err != nil {
		var status *wire.StatusError
		absent := errors.As(err, &status) && status.Status == http.StatusNotFound
		failed.event = transfer.HaveFailed{Peer: q.peer.ID, Absent: absent}
		return failed
	}
	h, err := wire.DecodeHaveSet(data)
	if err != nil {
		return failed
	}
	return haveRead{attempt: q.attempt, event: transfer.HaveReceived{Peer: q.peer.ID, Update: haveUpdate(h)}}
}

func haveUpdate(h *wire.HaveSet) transfer.HaveUpdate {
	u := transfer.HaveUpdate{
		Epoch: h.Epoch, Seq: int(h.Seq), Full: h.Full, Have: h.Bitmap, Retaining: h.Retaining,
	}
	for _, i := range h.Added {
		u.Added = append(u.Added, int(i))
	}
	return u
}

package loader

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

const (
	// peerTimeout bounds a metadata request to a peer: others have the same.
	peerTimeout = 500 * time.Millisecond
	// pieceTimeout bounds the request for one piece, which takes hundreds of ms on a
	// shared, narrow link. A source that sends nothing for sock.MaxSilence is given up
	// before.
	pieceTimeout = 8 * time.Second
	// snapshotTimeout bounds one read of all published lists from the store.
	snapshotTimeout = 3 * time.Second
	// pathWeights is the prefix of the paths that loaders serve to each other.
	pathWeights = "/weights/"
)

// runReportReader polls the engine's report, which is cheap because the engine
// runs on the same machine. A new interval from the coordinator takes effect
// immediately.
func (l *Loader) runReportReader(ctx context.Context) error {
	interval := activeReportInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case interval = <-l.reportIntervals.Out():
			timer.Reset(interval)
			continue
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		r, err := l.engine.Report(ctx)
		if l.events.Put(ctx, reportRead{report: r, err: err}) != nil {
			return nil
		}
		timer.Reset(interval)
	}
}

// rosterGrace is how long the gateways may not answer before the roster is read from the
// store, if an earlier one is known. The store's has no gateways, and thus no seeders.
const rosterGrace = 3 * time.Second

// rosterReader is the state of the roster reader.
type rosterReader struct {
	loader *Loader
	// published holds what was last read from the store.
	published *published.State
	// known is set once a roster was read. failingSince is the start of the first of
	// the latest reads that no gateway answered; zero if one did.
	known        bool
	failingSince time.Time
}

// runRosterReader reads the roster of the service on request.
func (l *Loader) runRosterReader(ctx context.Context) error {
	reader := rosterReader{loader: l, published: published.NewState()}
	for {
		if _, err := l.rosterRequests.Take(ctx); err != nil {
			return nil
		}
		r, ok, pause := reader.read(ctx)
		if ok && l.events.Put(ctx, rosterRead{roster: r}) != nil {
			return nil
		}
		_ = duty.Sleep(ctx, pause)
	}
}

// read reads the roster from a gateway or, if none answers and the known roster is too
// old, from the store. It returns the time until the next read.
func (r *rosterReader) read(ctx context.Context) (roster peering.Roster, ok bool, pause time.Duration) {
	startedAt := time.Now()
	if roster, ok = r.loader.queryGateways(ctx); ok {
		r.known, r.failingSince = true, time.Time{}
		return roster, true, rosterInterval
	}
	if r.failingSince.IsZero() {
		r.failingSince = startedAt
	}
	if r.known && time.Since(r.failingSince) < rosterGrace {
		return roster, false, rosterInterval
	}
	if roster, ok = r.loader.rosterFromStore(ctx, r.published); !ok {
		return roster, false, rosterRetryInterval
	}
	r.known = true
	return roster, true, rosterInterval
}

// queryGateways queries the seed gateways one after the other for the roster. It
// starts at a random one, because many machines read the roster at the same time.
func (l *Loader) queryGateways(ctx context.Context) (peering.Roster, bool) {
	client := wire.Client{HTTP: l.peers}
	path := peering.PathRoster + "?" + url.Values{"service": {string(l.settings.Service)}}.Encode()
	first := rand.IntN(max(len(l.settings.Seeds), 1))
	for i := range l.settings.Seeds {
		seed := l.settings.Seeds[(first+i)%len(l.settings.Seeds)]
		if r, err := queryRoster(ctx, client, seed, path); err == nil {
			return r, true
		}
	}
	return peering.Roster{}, false
}

func queryRoster(ctx context.Context, client wire.Client, seed, path string) (peering.Roster, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var r peering.Roster
	err := client.GetJSON(ctx, seed, path, &r)
	return r, err
}

// rosterFromStore builds the roster from the published lists, for use while no
// gateway answers. Such a roster contains no gateways.
func (l *Loader) rosterFromStore(ctx context.Context, state *published.State) (peering.Roster, bool) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var batch published.Batch
	for _, prefix := range l.settings.ListPrefixes {
		part, err := l.store.Snapshot(ctx, prefix, true)
		restored := len(batch.Changes) > 0 && part.Revision.Era() != batch.Revision.Era()
		if err != nil || restored {
			return peering.Roster{}, false
		}
		batch.Changes = append(batch.Changes, part.Changes...)
		batch.Revision = max(batch.Revision, part.Revision)
	}
	now := time.Now()
	state.Replace(now, batch.Changes, batch.Revision)
	state.Expire(now)
	state.Trim()
	return peering.RosterOf(state.View(), l.settings.Service, l.settings.Regions)
}

// fetch is a request for one piece.
type fetch struct {
	manifest *staging.Manifest
	number   int
	source   transfer.Source
	origin   string
}

var (
	errBusy   = errors.New("peer has no free upload slot")
	errAbsent = errors.New("peer does not have the requested data")
)

// runFetcher downloads pieces, one request at a time. Several fetchers run in
// parallel.
func (l *Loader) runFetcher(ctx context.Context) error {
	for {
		f, err := l.fetches.Take(ctx)
		if err != nil {
			return nil
		}
		if l.events.Put(ctx, l.fetchPiece(ctx, f)) != nil {
			return nil
		}
	}
}

func (l *Loader) fetchPiece(ctx context.Context, f fetch) (ev pieceRead) {
	ev = pieceRead{version: f.manifest.Version, manifest: f.manifest, ended: transfer.ChunkEnded{Index: f.number, Source: f.source}}
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	startedAt := time.Now()
	defer func() { ev.took = time.Since(startedAt) }()
	if f.source.Kind == transfer.FromPeer {
		path := weightsPath(f.manifest.Model, f.manifest.Version) + "/pieces/" + strconv.Itoa(f.number)
		ev.data, ev.err = l.getFromPeer(ctx, f.source.Peer, path, int64(f.manifest.PieceBytes))
	} else {
		ev.data, ev.err = l.origin.Piece(ctx, f.origin, f.manifest.Model, f.manifest.Version, f.number, f.manifest.PieceBytes)
	}
	switch {
	case errors.Is(ev.err, errBusy):
		ev.ended.Outcome = transfer.Busy
	case errors.Is(ev.err, errAbsent):
		ev.ended.Outcome = transfer.Absent
	case errors.Is(ev.err, staging.ErrPieceTooLarge):
		// The manifest may state a wrong size. All that is too large counts as one content.
		ev.ended.Outcome, ev.rejected = transfer.Corrupt, fleet.Digest{}
	case ev.err != nil:
		ev.ended.Outcome = transfer.Failed
	case !f.manifest.Verify(f.number, ev.data):
		ev.rejected = sha256.Sum256(ev.data)
		ev.ended.Outcome, ev.data = transfer.Corrupt, nil
		ev.err = eris.New("piece does not match its SHA-256 digest")
	default:
		ev.ended.Outcome = transfer.Verified
	}
	return ev
}

func weightsPath(model string, version int64) string {
	return pathWeights + model + "/" + strconv.FormatInt(version, 10)
}

func (l *Loader) getFromPeer(ctx context.Context, peer fleet.InstanceID, path string, limit int64) ([]byte, error) {
	ctx, silence := sock.WatchSilence(ctx)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(peer)+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := l.peers.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return io.ReadAll(io.LimitReader(silence.Reader(resp.Body), limit))
	case http.StatusServiceUnavailable:
		return nil, errBusy
	case http.StatusNotFound:
		return nil, errAbsent
	default:
		return nil, eris.Errorf("unexpected response status from peer: %s", resp.Status)
	}
}

// query is a request for the manifest of a version or, if have is set, for the
// set of pieces that one peer has.
type query struct {
	version int64
	model   string
	origin  string
	sources []transfer.Source
	// doubt is what a manifest has to correct, or nil if any counts.
	doubt  *staging.Doubt
	have   *transfer.RequestHave
	pieces int
}

// runQuerier sends queries to peers and the origin, one at a time. Several
// queriers run in parallel.
func (l *Loader) runQuerier(ctx context.Context) error {
	for {
		q, err := l.queries.Take(ctx)
		if err != nil {
			return nil
		}
		var ev event
		if q.have != nil {
			ev = l.queryHave(ctx, q)
		} else {
			ev = l.queryManifest(ctx, q)
		}
		if l.events.Put(ctx, ev) != nil {
			return nil
		}
	}
}

func (l *Loader) queryHave(ctx context.Context, q query) event {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := l.getFromPeer(ctx, q.have.Peer, weightsPath(q.model, q.version)+"/have", wire.MaxHaveSetBytes)
	if err != nil {
		return haveRead{version: q.version, result: transfer.HaveFailed{Peer: q.have.Peer, Absent: errors.Is(err, errAbsent)}}
	}
	h, err := wire.DecodeHaveSet(data)
	if err != nil {
		return haveRead{version: q.version, result: transfer.HaveFailed{Peer: q.have.Peer}}
	}
	return haveRead{version: q.version, result: transfer.HaveReceived{
		Peer: q.have.Peer, Update: transfer.HaveUpdate{Epoch: h.Epoch, Full: true, Have: h.Bitmap},
	}}
}

// errNotCorrected means that no source has a manifest that corrects the one in doubt.
var errNotCorrected = errors.New("no source corrects the manifest")

// queryManifest queries the sources in order until one returns the manifest, or one that
// corrects the manifest in doubt.
func (l *Loader) queryManifest(ctx context.Context, q query) event {
	ev := manifestRead{version: q.version, err: errAbsent}
	if q.doubt != nil {
		ev.doubted = q.doubt.Manifest()
	}
	for _, s := range q.sources {
		if s.Kind == transfer.FromPeer {
			ev.manifest, ev.err = l.manifestFromPeer(ctx, s.Peer, q)
		} else {
			ev.manifest, ev.err = l.origin.Manifest(ctx, q.origin, q.model, q.version)
		}
		if ev.err == nil && (q.doubt == nil || q.doubt.CorrectedBy(ev.manifest)) {
			return ev
		}
		if ev.err == nil {
			ev.manifest, ev.err = nil, errNotCorrected
		}
	}
	return ev
}

func (l *Loader) manifestFromPeer(ctx context.Context, peer fleet.InstanceID, q query) (*staging.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := l.getFromPeer(ctx, peer, weightsPath(q.model, q.version)+"/manifest", wire.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	return decodeManifest(data, q.model, q.version)
}

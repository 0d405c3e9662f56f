package loader

import (
	"context"
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
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/transfer"
	"rattanspur.example/lib/wire"
)

const (
	// peerTimeout bounds a question to a peer, pieceTimeout a request for a
	// piece: on a narrow link that others share, one takes hundreds of ms.
	peerTimeout  = 500 * time.Millisecond
	pieceTimeout = 3 * time.Second
	// listTimeout bounds a read of the published lists.
	listTimeout = 3 * time.Second
	// pathWeights begins the paths between loaders.
	pathWeights = "/weights/"
)

// runReporter reads the engine's report again and again; that costs nothing on
// the own machine. A new pace takes effect at once.
func (l *Loader) runReporter(ctx context.Context) error {
	pace := reportSoon
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case pace = <-l.pace.Out():
			timer.Reset(pace)
			continue
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		r, err := l.engine.Report(ctx)
		if l.events.Put(ctx, reported{report: r, err: err}) != nil {
			return nil
		}
		timer.Reset(pace)
	}
}

// runLister reads the roster of the service, when asked to.
func (l *Loader) runLister(ctx context.Context) error {
	state := published.NewState()
	for {
		if _, err := l.lists.Take(ctx); err != nil {
			return nil
		}
		r, ok := l.askRoster(ctx)
		if !ok {
			r, ok = l.readRoster(ctx, state)
		}
		if ok && l.events.Put(ctx, listed{roster: r}) != nil {
			return nil
		}
		pause := listEvery
		if !ok {
			pause = storeEvery
		}
		_ = duty.Sleep(ctx, pause)
	}
}

// askRoster asks the seeds in turn for the roster. Processes on many machines
// read it at the same time, so the first one to ask differs.
func (l *Loader) askRoster(ctx context.Context) (peering.Roster, bool) {
	client := wire.Client{HTTP: l.peers}
	path := peering.PathRoster + "?" + url.Values{"service": {string(l.settings.Service)}}.Encode()
	first := rand.IntN(max(len(l.settings.Seeds), 1))
	for i := range l.settings.Seeds {
		seed := l.settings.Seeds[(first+i)%len(l.settings.Seeds)]
		if r, err := askRoster(ctx, client, seed, path); err == nil {
			return r, true
		}
	}
	return peering.Roster{}, false
}

func askRoster(ctx context.Context, client wire.Client, seed, path string) (peering.Roster, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var r peering.Roster
	err := client.GetJSON(ctx, seed, path, &r)
	return r, err
}

// readRoster makes the roster from what is published, while no gateway is
// there to ask. It names no gateways.
func (l *Loader) readRoster(ctx context.Context, state *published.State) (peering.Roster, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var all published.Batch
	for _, prefix := range l.settings.ListPrefixes {
		b, err := l.store.Snapshot(ctx, prefix, true)
		if err != nil {
			return peering.Roster{}, false
		}
		all.Changes = append(all.Changes, b.Changes...)
		all.Revision = max(all.Revision, b.Revision)
	}
	state.Replace(time.Now(), all.Changes, all.Revision)
	state.Trim()
	return peering.RosterOf(state.View(), l.settings.Service, l.settings.Regions)
}

// fetch is one request for a piece.
type fetch struct {
	manifest *staging.Manifest
	number   int
	source   transfer.Source
	origin   string
}

var (
	errBusy   = errors.New("peer is busy")
	errAbsent = errors.New("peer does not hold it")
)

// runFetcher carries out one request for a piece after the other.
func (l *Loader) runFetcher(ctx context.Context) error {
	for {
		f, err := l.fetches.Take(ctx)
		if err != nil {
			return nil
		}
		if l.events.Put(ctx, l.fetch(ctx, f)) != nil {
			return nil
		}
	}
}

func (l *Loader) fetch(ctx context.Context, f fetch) (ev pieceRead) {
	ev = pieceRead{version: f.manifest.Version, ended: transfer.ChunkEnded{Index: f.number, Source: f.source}}
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	begun := time.Now()
	defer func() { ev.took = time.Since(begun) }()
	if f.source.Kind == transfer.FromPeer {
		path := weightsPath(f.manifest.Model, f.manifest.Version) + "/pieces/" + strconv.Itoa(f.number)
		ev.data, ev.err = l.get(ctx, f.source.Peer, path, int64(f.manifest.PieceBytes))
	} else {
		ev.data, ev.err = l.origin.Piece(ctx, f.origin, f.manifest.Model, f.manifest.Version, f.number)
	}
	switch {
	case errors.Is(ev.err, errBusy):
		ev.ended.Outcome = transfer.Busy
	case errors.Is(ev.err, errAbsent):
		ev.ended.Outcome = transfer.Absent
	case ev.err != nil:
		ev.ended.Outcome = transfer.Failed
	case !f.manifest.Verify(f.number, ev.data):
		ev.ended.Outcome, ev.data = transfer.Corrupt, nil
		ev.err = eris.New("piece does not match its digest")
	default:
		ev.ended.Outcome = transfer.Verified
	}
	return ev
}

func weightsPath(model string, version int64) string {
	return pathWeights + model + "/" + strconv.FormatInt(version, 10)
}

func (l *Loader) get(ctx context.Context, peer fleet.InstanceID, path string, limit int64) ([]byte, error) {
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
		return io.ReadAll(io.LimitReader(resp.Body, limit))
	case http.StatusServiceUnavailable:
		return nil, errBusy
	case http.StatusNotFound:
		return nil, errAbsent
	default:
		return nil, eris.Errorf("peer answered %s", resp.Status)
	}
}

// inquiry is a question for a manifest or for what a peer holds.
type inquiry struct {
	version int64
	model   string
	origin  string
	sources []transfer.Source
	have    *transfer.RequestHave
	pieces  int
}

// runAsker carries out one question after the other.
func (l *Loader) runAsker(ctx context.Context) error {
	for {
		q, err := l.asks.Take(ctx)
		if err != nil {
			return nil
		}
		var ev event
		if q.have != nil {
			ev = l.askHave(ctx, q)
		} else {
			ev = l.askManifest(ctx, q)
		}
		if l.events.Put(ctx, ev) != nil {
			return nil
		}
	}
}

func (l *Loader) askHave(ctx context.Context, q inquiry) event {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := l.get(ctx, q.have.Peer, weightsPath(q.model, q.version)+"/have", wire.MaxHaveSetBytes)
	if err != nil {
		return haveRead{version: q.version, news: transfer.HaveFailed{Peer: q.have.Peer, Absent: errors.Is(err, errAbsent)}}
	}
	h, err := wire.DecodeHaveSet(data)
	if err != nil {
		return haveRead{version: q.version, news: transfer.HaveFailed{Peer: q.have.Peer}}
	}
	return haveRead{version: q.version, news: transfer.HaveReceived{
		Peer: q.have.Peer, Update: transfer.HaveUpdate{Epoch: h.Epoch, Full: true, Have: h.Bitmap},
	}}
}

// askManifest asks the sources in order until one knows the version.
func (l *Loader) askManifest(ctx context.Context, q inquiry) event {
	ev := manifestRead{version: q.version, err: errAbsent}
	for _, s := range q.sources {
		if s.Kind == transfer.FromPeer {
			ev.manifest, ev.err = l.peerManifest(ctx, s.Peer, q)
		} else {
			ev.manifest, ev.err = l.origin.Manifest(ctx, q.origin, q.model, q.version)
		}
		if ev.err == nil {
			return ev
		}
	}
	return ev
}

func (l *Loader) peerManifest(ctx context.Context, peer fleet.InstanceID, q inquiry) (*staging.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := l.get(ctx, peer, weightsPath(q.model, q.version)+"/manifest", wire.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	return decodeManifest(data, q.model, q.version)
}

package loader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/staging"
	"rattanspur.example/lib/viewsync"
	"rattanspur.example/lib/watcher"
)

const (
	testModel  = "m"
	testPieces = 12
	// textRepeats is how often a piece of weights repeats its text.
	textRepeats = 512
	// testUpdateWindow places the update slots of all engines within a second.
	testUpdateWindow = time.Second
	// eventTimeout is how long a test waits for an event.
	eventTimeout = 30 * time.Second
)

func piece(version int64, number int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%d/%d ", version, number)), textRepeats)
}

// fakeOrigin serves every version and counts the requests for pieces. If
// corruptFirst is set, its first response for each piece is corrupt. If down is
// set, all requests fail. spoil changes the first manifests, one each.
type fakeOrigin struct {
	mu              sync.Mutex
	spoil           []func(m *staging.Manifest)
	corruptFirst    bool
	down            bool
	requestsByPiece map[int]int
	totalRequests   int
}

func (o *fakeOrigin) Manifest(_ context.Context, _, model string, version int64) (*staging.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errors.New("down")
	}
	m := manifestOf(version)
	m.Model = model
	if len(o.spoil) > 0 {
		o.spoil[0](m)
		o.spoil = o.spoil[1:]
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version int64, number, limit int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errors.New("down")
	}
	o.totalRequests++
	o.requestsByPiece[number]++
	if o.corruptFirst && o.requestsByPiece[number] == 1 {
		return []byte("corrupt"), nil
	}
	if len(piece(version, number)) > limit {
		return nil, staging.ErrPieceTooLarge
	}
	return piece(version, number), nil
}

// fakeEngine loads the pieces stored at it without verification, as a real engine
// does, and records whether they were a whole version.
type fakeEngine struct {
	mu        sync.Mutex
	startTime int64
	sequence  int64
	loaded    int64
	// partial is set once the loaded pieces were not those of one whole version.
	partial bool
	staged  map[int][]byte
	// corruptPiece is the number of the piece that turns corrupt when it is read
	// back for the first time, or -1.
	corruptPiece int
	corrupted    bool
	orders       int
}

func (e *fakeEngine) Report(context.Context) (staging.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := staging.Report{StartTime: e.startTime, Sequence: e.sequence}
	if e.loaded > 0 {
		r.Copies = []published.Copy{{Model: testModel, Version: e.loaded, Layers: 16}}
	}
	return r, nil
}

func (e *fakeEngine) OrderLoad(_ context.Context, _ string, version, sequence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if sequence != e.sequence {
		return errors.New("another order was accepted")
	}
	e.sequence++
	e.loaded = version
	for i := range testPieces {
		e.partial = e.partial || !bytes.Equal(e.staged[i], piece(version, i))
	}
	return nil
}

func (e *fakeEngine) Put(_ context.Context, _ string, number int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[number] = data
	return nil
}

func (e *fakeEngine) Get(_ context.Context, _ string, number, limit int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.staged[number] == nil:
		return nil, staging.ErrPieceAbsent
	case len(e.staged[number]) > limit:
		return nil, staging.ErrPieceTooLarge
	}
	if number == e.corruptPiece && !e.corrupted {
		e.corrupted = true
		e.staged[number] = []byte("corrupt")
	}
	return e.staged[number], nil
}

func (e *fakeEngine) Held(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for i := range testPieces {
		if e.staged[i] != nil {
			out = append(out, i)
		}
	}
	return out, nil
}

func (e *fakeEngine) state() (loaded int64, partial bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded, e.partial
}

// fakeStore publishes engines, their service, the origin and a desired version.
type fakeStore struct {
	mu      sync.Mutex
	engines []string
	desired int64
	changed chan struct{}
}

func (s *fakeStore) setDesired(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desired = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) batch(prefix string) published.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := published.Batch{Revision: published.Revision(s.desired) + 1}
	if prefix == "desired" {
		if s.desired > 0 {
			b.Changes = []published.Change{{Key: "w", Revision: b.Revision, Item: published.DesiredVersion{Model: testModel, Version: s.desired}}}
		}
		return b
	}
	c := &published.Config{Services: map[fleet.Service]*published.Service{
		"engine": {Name: "engine", Engine: &published.Engine{Layers: 16, Models: []string{testModel}}},
		"origin": {Name: "origin", Origin: &published.Origin{Address: "origin", FailureDomain: "a"}},
	}}
	b.Changes = []published.Change{{Key: "c", Revision: 1, Item: c}}
	for i, e := range s.engines {
		b.Changes = append(b.Changes, published.Change{Key: e, Revision: published.Revision(i) + 1, Item: &published.Upstream{
			ID: fleet.InstanceID(e), Service: "engine", Address: e, Domain: "a",
		}})
	}
	return b
}

func (s *fakeStore) Snapshot(_ context.Context, prefix string, _ bool) (published.Batch, error) {
	return s.batch(prefix), nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after published.Revision, _ time.Duration) (published.Batch, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	// A change since the last read is returned immediately.
	if b := s.batch(prefix); b.Revision > after {
		return b, nil
	}
	select {
	case <-changed:
		return s.batch(prefix), nil
	case <-ctx.Done():
		return published.Batch{}, ctx.Err()
	}
}

// cluster is a set of loaders on loopback addresses, with one engine each.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	origin  *fakeOrigin
	engines []*fakeEngine
}

// hostCount is the number of loopback addresses that were assigned.
var hostCount atomic.Int32

// host returns a loopback address that no other test process uses, so that its
// ports are free. Probing for a free port would not be safe: another process may
// take the port before it is used.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/256%64, pid%256, hostCount.Add(1))
}

func newCluster(t *testing.T, engines ...*fakeEngine) *cluster {
	c := &cluster{
		t: t, origin: &fakeOrigin{requestsByPiece: map[int]int{}}, engines: engines,
		store: &fakeStore{changed: make(chan struct{})},
	}
	for range engines {
		c.store.engines = append(c.store.engines, host()+":7101")
	}
	return c
}

func (c *cluster) run() {
	for i, e := range c.engines {
		c.runLoader(i, e)
	}
}

// runLoader starts the loader of an engine, which ends with the test or once stop is called.
func (c *cluster) runLoader(i int, e Engine) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	logger := log.NewLogfmtLogger(io.Discard)
	w := watcher.New(c.store, "desired", time.Second, logger)
	l := New(Settings{
		Region: "north", Regions: map[fleet.FailureDomain]fleet.Region{"a": "north"},
		Listen: c.store.engines[i], Metrics: host() + ":7102", NoticeListen: "127.0.0.1:0",
		Engine: c.store.engines[i], Service: "engine", MaxUploads: 4, UpdateWindow: testUpdateWindow, ListPrefixes: []string{"all"},
		SeederAddress: func(string) string { return "" }, NoticeAddress: func(string) string { return "" },
		PeerAddress: func(engine string) string { return engine },
	}, e, c.origin, c.store, &viewsync.Fallback{}, w, logger)
	wait.Go(func() { _ = l.Run(ctx) })
	stop = func() {
		cancel()
		wait.Wait()
	}
	c.t.Cleanup(stop)
	return stop
}

func (c *cluster) awaitLoaded(version int64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, e := range c.engines {
			if v, _ := e.state(); v != version {
				return false
			}
		}
		return true
	}, eventTimeout, 5*time.Millisecond)
	for _, e := range c.engines {
		_, partial := e.state()
		require.False(c.t, partial, "an engine loaded pieces that are not one whole version")
	}
}

func emptyEngine(startTime int64) *fakeEngine {
	return &fakeEngine{startTime: startTime, staged: map[int][]byte{}, corruptPiece: -1}
}

func fullEngine(startTime, version int64) *fakeEngine {
	e := emptyEngine(startTime)
	e.loaded = version
	for i := range testPieces {
		e.staged[i] = piece(version, i)
	}
	return e
}

// Guards against an engine that starts without weights and never gets any, and
// against loaders that all download every piece from the origin.
func TestEmptyEnginesAreLoaded(t *testing.T) {
	c := newCluster(t, emptyEngine(1), emptyEngine(2), emptyEngine(3))
	c.run()
	c.awaitLoaded(firstVersion)
	c.origin.mu.Lock()
	defer c.origin.mu.Unlock()
	require.Less(t, c.origin.totalRequests, 3*testPieces)
}

// Guards against an engine that restarts without weights and gets none while the
// origin is down, although other loaders have them.
func TestEmptyEngineIsLoadedFromPeers(t *testing.T) {
	c := newCluster(t, fullEngine(1, firstVersion), fullEngine(2, firstVersion))
	c.run()
	c.store.setDesired(2)
	c.awaitLoaded(2)
	c.origin.mu.Lock()
	c.origin.down = true
	c.origin.mu.Unlock()
	e := c.engines[0]
	e.mu.Lock()
	e.startTime, e.sequence, e.loaded, e.staged = 9, 0, 0, map[int][]byte{}
	e.mu.Unlock()
	c.awaitLoaded(2)
}

// Guards against an engine that loads corrupt pieces. Here the origin sends
// corrupt pieces, and a piece turns corrupt at the engine.
func TestCorruptPiecesAreNotLoaded(t *testing.T) {
	corrupting := emptyEngine(1)
	corrupting.corruptPiece = 3
	c := newCluster(t, corrupting, emptyEngine(2))
	c.origin.corruptFirst = true
	c.run()
	c.awaitLoaded(firstVersion)
}

// Guards against an engine that loads a mix of two versions when one is published
// shortly after the other.
func TestQuickSuccessionOfVersions(t *testing.T) {
	c := newCluster(t, fullEngine(1, firstVersion), fullEngine(2, firstVersion), fullEngine(3, firstVersion))
	c.run()
	c.store.setDesired(2)
	c.store.setDesired(3)
	c.awaitLoaded(3)
}

// Guards against peers that are queried at the start of a transfer and never
// again, because their answers are not processed.
func TestAllPeersAreQueried(t *testing.T) {
	c := newCluster(t, fullEngine(1, firstVersion), fullEngine(2, firstVersion), fullEngine(3, firstVersion), emptyEngine(4))
	c.run()
	c.awaitLoaded(firstVersion)
	c.origin.mu.Lock()
	defer c.origin.mu.Unlock()
	require.LessOrEqual(t, c.origin.totalRequests, testPieces, "pieces came from the origin although peers have them")
}

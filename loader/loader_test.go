package loader

import (
	"bytes"
	"context"
	"crypto/sha256"
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
	testBytes  = 512
	// testWithin lets engines take their turns within a second.
	testWithin = time.Second
	// waitMost bounds how long a test waits for an event.
	waitMost = 30 * time.Second
)

func piece(version int64, number int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%d/%d ", version, number)), testBytes)
}

// fakeOrigin has every version. Its first answer for each piece is spoilt if
// it is told so.
type fakeOrigin struct {
	mu     sync.Mutex
	spoil  bool
	down   bool
	sent   map[int]int
	bodies int
}

func (o *fakeOrigin) Manifest(_ context.Context, _, model string, version int64) (*staging.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errors.New("down")
	}
	m := &staging.Manifest{Model: model, Version: version, PieceBytes: len(piece(version, 10))}
	for i := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(piece(version, i)))
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version int64, number int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errors.New("down")
	}
	o.bodies++
	o.sent[number]++
	if o.spoil && o.sent[number] == 1 {
		return []byte("spoilt"), nil
	}
	return piece(version, number), nil
}

// fakeEngine takes what lies at it, as a real one does, and notes what it took.
type fakeEngine struct {
	mu       sync.Mutex
	born     int64
	sequence int64
	loaded   int64
	// partial says that the loaded weights were no whole version.
	partial bool
	staged  map[int][]byte
	// rot spoils a piece when it is read back for the first time.
	rot    int
	rotted bool
	orders int
}

func (e *fakeEngine) Report(context.Context) (staging.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := staging.Report{StartTime: e.born, Sequence: e.sequence}
	if e.loaded > 0 {
		r.Copies = []published.Copy{{Model: testModel, Version: e.loaded, Layers: 16}}
	}
	return r, nil
}

func (e *fakeEngine) Start(_ context.Context, _ string, version, sequence int64) error {
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

func (e *fakeEngine) Get(_ context.Context, _ string, number int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number == e.rot && !e.rotted {
		e.rotted = true
		e.staged[number] = []byte("rotten")
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

// fakeStore publishes engines, one service and a wanted version.
type fakeStore struct {
	mu      sync.Mutex
	engines []string
	wanted  int64
	changed chan struct{}
}

func (s *fakeStore) want(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) batch(prefix string) published.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := published.Batch{Revision: uint64(s.wanted) + 1}
	if prefix == "wanted" {
		if s.wanted > 0 {
			b.Changes = []published.Change{{Key: "w", Revision: b.Revision, Item: published.DesiredVersion{Model: testModel, Version: s.wanted}}}
		}
		return b
	}
	c := &published.Config{Services: map[fleet.Service]*published.Service{
		"engine": {Name: "engine", Engine: &published.Engine{Layers: 16, Models: []string{testModel}}},
		"origin": {Name: "origin", Origin: &published.Origin{Address: "origin", FailureDomain: "a"}},
	}}
	b.Changes = []published.Change{{Key: "c", Revision: 1, Item: c}}
	for i, e := range s.engines {
		b.Changes = append(b.Changes, published.Change{Key: e, Revision: uint64(i) + 1, Item: &published.Upstream{
			ID: fleet.InstanceID(e), Service: "engine", Address: e, Domain: "a",
		}})
	}
	return b
}

func (s *fakeStore) Snapshot(_ context.Context, prefix string, _ bool) (published.Batch, error) {
	return s.batch(prefix), nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, _ time.Duration) (published.Batch, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	// What changed since the last read is there at once.
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

// site is a number of loaders on loopback.
type site struct {
	t       *testing.T
	store   *fakeStore
	origin  *fakeOrigin
	engines []*fakeEngine
}

// hosts counts the loopback addresses that were given out.
var hosts atomic.Int32

// host returns a loopback address that no other process under test uses, so
// that its ports are free. A port that is probed and closed may be taken before
// it is used.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/256%64, pid%256, hosts.Add(1))
}

func newSite(t *testing.T, engines ...*fakeEngine) *site {
	s := &site{
		t: t, origin: &fakeOrigin{sent: map[int]int{}}, engines: engines,
		store: &fakeStore{changed: make(chan struct{})},
	}
	for range engines {
		s.store.engines = append(s.store.engines, host()+":7101")
	}
	return s
}

func (s *site) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i, e := range s.engines {
		logger := log.NewLogfmtLogger(io.Discard)
		w := watcher.New(s.store, "wanted", time.Second, logger)
		l := New(Settings{
			Region: "north", Regions: map[fleet.FailureDomain]fleet.Region{"a": "north"},
			Listen: s.store.engines[i], Metrics: host() + ":7102", Notices: "127.0.0.1:0",
			Engine: s.store.engines[i], Service: "engine", Uploads: 4, Within: testWithin, ListPrefixes: []string{"all"},
			SeederAddress: func(string) string { return "" }, NoticeAddress: func(string) string { return "" },
			PeerAddress: func(engine string) string { return engine },
		}, e, s.origin, s.store, &viewsync.Fallback{}, w, logger)
		wait.Go(func() { _ = l.Run(ctx) })
	}
	s.t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
}

func (s *site) loaded(version int64) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, e := range s.engines {
			if v, _ := e.state(); v != version {
				return false
			}
		}
		return true
	}, waitMost, 5*time.Millisecond)
	for _, e := range s.engines {
		_, partial := e.state()
		require.False(s.t, partial, "an engine took pieces that are no whole version")
	}
}

func empty(born int64) *fakeEngine {
	return &fakeEngine{born: born, staged: map[int][]byte{}, rot: -1}
}

func full(born, version int64) *fakeEngine {
	e := empty(born)
	e.loaded = version
	for i := range testPieces {
		e.staged[i] = piece(version, i)
	}
	return e
}

// Guards against an engine that starts empty and stays so, and against copies
// that are all drawn from the origin.
func TestEmptyEnginesAreFilled(t *testing.T) {
	s := newSite(t, empty(1), empty(2), empty(3))
	s.run()
	s.loaded(firstVersion)
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	require.Less(t, s.origin.bodies, 3*testPieces)
}

// Guards against an empty engine that cannot be filled while the origin is
// down, although others hold the weights.
func TestEmptyEngineIsFilledByOthers(t *testing.T) {
	s := newSite(t, full(1, firstVersion), full(2, firstVersion))
	s.run()
	s.store.want(2)
	s.loaded(2)
	s.origin.mu.Lock()
	s.origin.down = true
	s.origin.mu.Unlock()
	e := s.engines[0]
	e.mu.Lock()
	e.born, e.sequence, e.loaded, e.staged = 9, 0, 0, map[int][]byte{}
	e.mu.Unlock()
	s.loaded(2)
}

// Guards against pieces that were spoilt on the way or in place and are taken
// by an engine.
func TestSpoiltPiecesAreNotTaken(t *testing.T) {
	rotten := empty(1)
	rotten.rot = 3
	s := newSite(t, rotten, empty(2))
	s.origin.spoil = true
	s.run()
	s.loaded(firstVersion)
}

// Guards against a mix of two versions that are named shortly after each other.
func TestTwoVersionsCloseTogether(t *testing.T) {
	s := newSite(t, full(1, firstVersion), full(2, firstVersion), full(3, firstVersion))
	s.run()
	s.store.want(2)
	s.store.want(3)
	s.loaded(3)
}

// Guards against peers that are asked at the start of a transfer and whose
// answers are never awaited, so that they are never asked again.
func TestAllPeersAreAsked(t *testing.T) {
	s := newSite(t, full(1, firstVersion), full(2, firstVersion), full(3, firstVersion), empty(4))
	s.run()
	s.loaded(firstVersion)
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	require.LessOrEqual(t, s.origin.bodies, testPieces, "pieces came from the origin although peers hold them")
}

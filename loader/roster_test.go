package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// Guards against a loader that drops all seeders, and reads all published lists from the
// store, because the gateways do not answer for a moment: the roster from the store names
// no gateways.
func TestRosterOutlastsAPauseOfTheGateways(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			var reads atomic.Int32
			gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if reads.Add(1) == 2 {
					time.Sleep(pause)
				}
				wire.WriteJSON(w, &peering.Roster{Model: testModel, Gateways: []peering.Member{{Control: "gateway"}}})
			}))
			t.Cleanup(gateway.Close)
			l := &Loader{
				settings: Settings{Seeds: []string{strings.TrimPrefix(gateway.URL, "http://")}, ListPrefixes: []string{"all"}},
				store:    &fakeStore{engines: []string{"engine"}}, peers: http.DefaultClient,
				events: ring.New[event](256, ring.Wait), rosterRequests: ring.New[struct{}](1, ring.DropOldest),
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- l.runRosterReader(ctx) }()
			t.Cleanup(func() {
				cancel()
				require.NoError(t, <-done)
			})
			for end := time.Now().Add(pause + time.Second); time.Now().Before(end); {
				l.requestRoster(ctx)
				select {
				case ev := <-l.events.Out():
					require.NotEmpty(t, ev.(rosterRead).roster.Gateways, "the roster comes from the store")
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}

// Guards against an engine that stays in the roster from the store for good after it left: what is
// missing from a snapshot stays for a grace, whose end nothing looked at. The update slots of the
// others follow from the roster, and its loader is asked for pieces.
func TestEngineThatLeftIsNotInTheRosterFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{engines: []string{"a", "b"}, desired: 5}
		l := &Loader{settings: Settings{Service: "engine", ListPrefixes: []string{"all"}}, store: store}
		state := published.NewState()
		engines := func() int {
			r, ok := l.rosterFromStore(t.Context(), state)
			require.True(t, ok)
			return len(r.Engines)
		}
		require.Equal(t, 2, engines())
		store.engines = store.engines[:1]
		require.Equal(t, 2, engines(), "its registration may only have lapsed")
		time.Sleep(published.LapseGrace)
		require.Equal(t, 1, engines())
	})
}

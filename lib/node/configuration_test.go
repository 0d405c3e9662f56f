package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/settings"
)

func newAcceptor() (*acceptor, *bytes.Buffer) {
	var logged bytes.Buffer
	n := New(settings.Node{}, log.NewLogfmtLogger(&logged))
	return &acceptor{node: n, reported: map[string]bool{}}, &logged
}

func published(g int, space string) []byte { return fmt.Appendf(nil, `{"generation":%d}%s`, g, space) }

// Guards against reporting the same rejected, conflicting or older document on
// each read, and against accepting it in place of a greater one.
func TestEachCauseIsReportedOnce(t *testing.T) {
	a, logged := newAcceptor()
	ctx := t.Context()
	a.handle(ctx, document{bytes: published(5, "")})
	var low, high []byte
	for _, space := range []string{" ", "  ", "   ", "\n"} {
		other, err := config.Accept(published(5, space))
		require.NoError(t, err)
		if other.Stamp.Compare(a.accepted.Stamp) < 0 {
			low = other.Bytes
		} else {
			high = other.Bytes
		}
	}
	for range 3 {
		a.handle(ctx, document{bytes: []byte(`{"generation":9,"typo":1}`)})
		a.handle(ctx, document{bytes: published(4, "")})
		for _, other := range [][]byte{low, high} {
			if other != nil {
				a.handle(ctx, document{bytes: other})
			}
		}
	}
	require.Equal(t, fleet.Generation(5), a.accepted.Generation)
	require.Equal(t, 1, strings.Count(logged.String(), "rejected"))
	require.Equal(t, 1, strings.Count(logged.String(), "older generation"))
	if high != nil {
		require.Equal(t, high, a.accepted.Bytes)
	}
	require.Contains(t, logged.String(), "two contents")
	require.LessOrEqual(t, strings.Count(logged.String(), "two contents"), 3)
}

// Guards against a peer that sends another document than it announced. Without
// a rejection it would be fetched again from every process.
func TestDocumentMustMatchItsStamp(t *testing.T) {
	a, _ := newAcceptor()
	want := config.Stamp{Generation: 3, Digest: fleet.Digest{1}}
	a.handle(context.Background(), document{bytes: published(3, ""), stamp: want, address: "127.0.0.1:1"})
	require.Nil(t, a.accepted)
	e, err := a.node.inbox.Take(t.Context())
	require.NoError(t, err)
	require.Equal(t, documentRejected{stamp: want}, e)
}

// Guards against a log line for each failed read while the service is down.
func TestOutageIsLoggedAtABoundedRate(t *testing.T) {
	a, logged := newAcceptor()
	o := &outage{node: a.node, service: "service"}
	start := time.Unix(1000, 0)
	for i := range 100 {
		o.recordFailure(start.Add(time.Duration(i)*time.Second), errors.New("refused"))
	}
	require.Equal(t, 4, strings.Count(logged.String(), "could not be read"))
	o.recordSuccess()
	o.recordSuccess()
	require.Equal(t, 1, strings.Count(logged.String(), "can be read again"))
}

// Guards against watchers that exceed the traffic limit by repeatedly reading a
// large document, and against watches shorter than configured.
func TestWatchesOfLargeDocumentsAreLonger(t *testing.T) {
	n := New(settings.Node{WatchWait: 4 * time.Second}, log.NewNopLogger())
	for size, longest := range map[int]time.Duration{
		0: 4 * time.Second, 8000: 4 * time.Second, 40_000: 10 * time.Second, config.MaxDocumentBytes: time.Minute,
	} {
		w := &watcher{node: n, size: size}
		for range 20 {
			require.LessOrEqual(t, w.watchDuration(), longest)
			require.GreaterOrEqual(t, w.watchDuration(), longest/2)
		}
	}
}

package node

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/settings"
	"rattanspur.example/standin"
)

// Guards against a document that is never read because the configuration service was
// restored from a copy and gave out the index of the last read once more.
func TestIndexThatIsGivenOutAgainHidesNoDocument(t *testing.T) {
	const key = "config"
	service := standin.NewConfigService()
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	n := New(settings.Node{WatchWait: 20 * time.Millisecond}, log.NewNopLogger())
	w := &watcher{node: n, service: confservice.NewConfigService(server.URL, key, server.Client()), outage: outage{node: n, service: "configuration service"}}
	next := func() string {
		require.NoError(t, w.read(t.Context(), w.index))
		select {
		case d := <-n.documents.Out():
			return string(d.bytes)
		default:
			return ""
		}
	}
	service.Put(key, []byte("first"))
	copied := service.Index()
	require.Equal(t, "first", next())
	service.Put(key, []byte("second"))
	require.Equal(t, "second", next())
	require.Empty(t, next(), "nothing changed")
	service.Restore(key, []byte("first"), copied)
	service.Put(key, []byte("third"))
	require.Equal(t, "third", next())
}

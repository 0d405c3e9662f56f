package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
)

// Store is a stand-in weight store or origin that holds one tree in memory.
type Store struct {
	// Corrupt makes it send wrong bytes with the right length.
	Corrupt atomic.Bool
	// Busy makes it refuse every request for a range.
	Busy atomic.Bool
	// Stalled makes it accept requests for ranges and send nothing.
	Stalled atomic.Bool
	// MaxRequests is the number of ranges it sends at a time; it refuses more.
	// 0 means no bound.
	MaxRequests atomic.Int64
	// Refused counts refusals, Manifests the manifests sent.
	Refused   atomic.Int64
	Manifests atomic.Int64

	files    map[string][]byte
	manifest []byte
	tag      atomic.Pointer[string]
	requests atomic.Int64
	link     *pacing.Link
}

// NewStore returns a store of the given files behind a paced link, and the
// manifest's root.
func NewStore(files map[string][]byte, m *manifest.Manifest, rate pacing.BytesPerSecond) (*Store, error) {
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	s := &Store{files: files, manifest: encoded, link: pacing.NewLink(rate)}
	s.SetTag(manifest.Root(encoded).String())
	return s, nil
}

// SetTag changes the ETag of every file, as publishing another version under
// the same URL does.
func (s *Store) SetTag(tag string) {
	quoted := `"` + tag + `"`
	s.tag.Store(&quoted)
}

// Bytes returns how many bytes of weights were sent.
func (s *Store) Bytes() int64 { return s.link.Bytes() }

// Handler serves the manifest and ranges of the files.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest.json", func(w http.ResponseWriter, _ *http.Request) {
		s.Manifests.Add(1)
		_, _ = w.Write(s.manifest)
	})
	mux.HandleFunc("GET /files/{path...}", s.serveFile)
	return mux
}

func (s *Store) serveFile(w http.ResponseWriter, r *http.Request) {
	data, ok := s.files[r.PathValue("path")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	running := s.requests.Add(1)
	defer s.requests.Add(-1)
	if bound := s.MaxRequests.Load(); s.Busy.Load() || (bound > 0 && running > bound) {
		s.Refused.Add(1)
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	if s.Stalled.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("ETag", *s.tag.Load())
	w.Header().Set("Content-Type", "application/octet-stream")
	paced := &pacedSeeker{Reader: bytes.NewReader(data), request: r, link: s.link, corrupt: s.Corrupt.Load()}
	http.ServeContent(w, r, "", time.Time{}, paced)
}

// pacedSeeker lets ServeContent seek freely and paces what is read.
type pacedSeeker struct {
	*bytes.Reader
	request *http.Request
	link    *pacing.Link
	corrupt bool
}

// Read implements io.Reader at the link's pace.
func (p *pacedSeeker) Read(b []byte) (int, error) {
	n, err := pacing.Reader(p.request.Context(), p.Reader, p.link).Read(b)
	if p.corrupt && n > 0 {
		b[0] ^= 0xff
	}
	return n, err
}

// WriteTo hides the fast path of bytes.Reader, which is not paced.
func (p *pacedSeeker) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{p})
}

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

// Store is a stand-in weight store or origin that holds one weight tree in memory.
type Store struct {
	// Corrupt makes the store send corrupt data of the right length.
	Corrupt atomic.Bool
	// Busy makes the store refuse all requests for ranges.
	Busy atomic.Bool
	// Stalled makes the store accept requests for ranges and send nothing.
	Stalled atomic.Bool
	// MaxRequests is the number of ranges that the store sends concurrently; it
	// refuses further requests. 0 means no limit.
	MaxRequests atomic.Int64
	// Refused counts refused requests, Manifests the manifests sent.
	Refused   atomic.Int64
	Manifests atomic.Int64

	files    map[string][]byte
	manifest []byte
	tag      atomic.Pointer[string]
	requests atomic.Int64
	link     *pacing.Link
}

// NewStore returns a store of the given files that sends at the given rate; 0
// means no limit. It returns an error if the manifest cannot be encoded.
func NewStore(files map[string][]byte, m *manifest.Manifest, rate pacing.BytesPerSecond) (*Store, error) {
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	s := &Store{files: files, manifest: encoded, link: pacing.NewLink(rate)}
	s.SetTag(manifest.Root(encoded).String())
	return s, nil
}

// SetTag changes the ETag of all files. This simulates that another version is
// published under the same URL.
func (s *Store) SetTag(tag string) {
	quoted := `"` + tag + `"`
	s.tag.Store(&quoted)
}

// Bytes returns the number of bytes of weights sent.
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

// pacedSeeker limits the rate of reads. Seeks, which http.ServeContent needs, are
// not limited.
type pacedSeeker struct {
	*bytes.Reader
	request *http.Request
	link    *pacing.Link
	corrupt bool
}

// Read implements io.Reader at the rate of the link.
func (p *pacedSeeker) Read(b []byte) (int, error) {
	n, err := pacing.Reader(p.request.Context(), p.Reader, p.link).Read(b)
	if p.corrupt && n > 0 {
		b[0] ^= 0xff
	}
	return n, err
}

// WriteTo implements io.WriterTo. It hides the method of bytes.Reader, which would
// bypass the rate limit.
func (p *pacedSeeker) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{p})
}

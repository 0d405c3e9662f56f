package standin

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
)

// Store is a stand-in weight store or origin that holds one tree in memory.
type Store struct {
	files    map[string][]byte
	manifest []byte
	tag      string
	link     *pacing.Link
}

// NewStore returns a store of the given files behind a paced link, and the
// manifest's root.
func NewStore(files map[string][]byte, m *manifest.Manifest, rate pacing.BytesPerSecond) (*Store, error) {
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return &Store{
		files:    files,
		manifest: encoded,
		tag:      `"` + manifest.Root(encoded).String() + `"`,
		link:     pacing.NewLink(rate),
	}, nil
}

// Bytes returns how many bytes of weights were sent.
func (s *Store) Bytes() int64 { return s.link.Bytes() }

// Handler serves the manifest and ranges of the files.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest.json", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(s.manifest) })
	mux.HandleFunc("GET /files/{path...}", func(w http.ResponseWriter, r *http.Request) {
		data, ok := s.files[r.PathValue("path")]
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("ETag", s.tag)
		w.Header().Set("Content-Type", "application/octet-stream")
		paced := &pacedSeeker{Reader: bytes.NewReader(data), request: r, link: s.link}
		http.ServeContent(w, r, "", time.Time{}, paced)
	})
	return mux
}

// pacedSeeker lets ServeContent seek freely and paces what is read.
type pacedSeeker struct {
	*bytes.Reader
	request *http.Request
	link    *pacing.Link
}

// Read implements io.Reader at the link's pace.
func (p *pacedSeeker) Read(b []byte) (int, error) {
	return pacing.Reader(p.request.Context(), p.Reader, p.link).Read(b)
}

// WriteTo hides the fast path of bytes.Reader, which is not paced.
func (p *pacedSeeker) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{p})
}

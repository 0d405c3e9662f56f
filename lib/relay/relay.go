// Package relay moves a response from the goroutine that reads it to the
// handler that writes it, through a bounded ring. A slow reader of the
// response slows the source down instead of filling memory.
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"rattanspur.example/lib/ring"
)

// partBytes is the largest piece of a body that one part carries.
const partBytes = 16 << 10

// ringParts is the number of parts in flight for one response.
const ringParts = 16

// Part is a piece of a response: its head, bytes of its body, or its end.
type Part struct {
	// Head is set on the first part only.
	Head *Head
	Data []byte
	// End marks the last part; Err says why the response is not whole.
	End bool
	Err error
}

// Head is the status and the header of a response.
type Head struct {
	Status int
	Header http.Header
}

// Stream carries the parts of one response.
type Stream = ring.Ring[Part]

// NewStream returns an empty stream.
func NewStream() *Stream { return ring.New[Part](ringParts, ring.Wait) }

// ErrCut says that a response ended before it was whole.
var ErrCut = errors.New("response was cut")

// writeTimeout bounds the time that a peer may take to accept one part.
const writeTimeout = 30 * time.Second

// Write writes the parts of a stream to w until its end. An error after the
// head was written means that the caller must abort the connection, so that
// the peer does not take the response for a whole one.
func Write(ctx context.Context, w http.ResponseWriter, s *Stream) error {
	flusher := http.NewResponseController(w)
	for {
		part, err := s.Take(ctx)
		if err != nil {
			return err
		}
		if part.Head != nil {
			writeHead(w, part.Head)
		}
		if len(part.Data) > 0 {
			// Writers without deadlines, such as recorders in tests, go on without one.
			_ = flusher.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := w.Write(part.Data); err != nil {
				return err
			}
		}
		if part.End {
			return part.Err
		}
		// Parts that are ready are sent with this one, and a response that
		// ends before the ring is empty is sent as a whole.
		if s.Depth() > 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

func writeHead(w http.ResponseWriter, h *Head) {
	for name, values := range h.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.Status)
}

// buffers are reused, so that a read of a few bytes does not cost a whole buffer.
var buffers = sync.Pool{New: func() any { return new([partBytes]byte) }}

// ReadBody puts the bytes of body on the stream. It returns the error that
// ended the body early, if any, and does not put the last part.
func ReadBody(ctx context.Context, body io.Reader, s *Stream) error {
	buffer := buffers.Get().(*[partBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if perr := s.Put(ctx, Part{Data: bytes.Clone(buffer[:n])}); perr != nil {
				return perr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PassHeader returns a copy of a header without what belongs to one
// connection.
func PassHeader(h http.Header) http.Header {
	out := h.Clone()
	StripHop(out)
	return out
}

// StripHop removes from a header what belongs to one connection, including the
// headers that Connection lists.
func StripHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

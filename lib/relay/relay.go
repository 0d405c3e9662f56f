// Package relay passes a response from the goroutine that reads it to the
// handler that writes it, through a bounded ring. If the receiver of the
// response is slow, reading from the source slows down too, so that the memory
// for a response stays bounded.
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

// readBufferBytes is the maximum size of one read from a body.
const readBufferBytes = 16 << 10

// ringCapacity is the number of parts that a stream holds.
const ringCapacity = 16

// Part is a piece of a response: its head, bytes of its body, or its end.
type Part struct {
	// Head is set on the first part only.
	Head *Head
	Data []byte
	// End marks the last part. Err is set if the response is incomplete.
	End bool
	Err error
}

// Head is the status and the header of a response.
type Head struct {
	Status int
	Header http.Header
}

// Stream is the ring that carries the parts of one response.
type Stream = ring.Ring[Part]

// NewStream returns an empty stream. Put waits while the stream is full.
func NewStream() *Stream { return ring.New[Part](ringCapacity, ring.Wait) }

// ErrTruncated marks a response that ended before it was complete.
var ErrTruncated = errors.New("response was cut")

// writeTimeout is the timeout for writing one part.
const writeTimeout = 30 * time.Second

// Write writes the parts of a stream to w until its end. If it returns an error
// after the head was written, the caller must abort the connection, so that the
// peer does not treat the truncated response as complete.
func Write(ctx context.Context, w http.ResponseWriter, s *Stream) error {
	flusher := http.NewResponseController(w)
	for {
		part, err := s.Take(ctx)
		if err != nil {
			return err
		}
		extendWriteDeadline(flusher)
		if part.Head != nil {
			writeHead(w, part.Head)
		}
		if len(part.Data) > 0 {
			if _, err := w.Write(part.Data); err != nil {
				return err
			}
		}
		if part.End {
			return part.Err
		}
		// Flush only when the ring is empty: available parts are sent together,
		// and a response whose end is already available needs no flush.
		if s.Depth() > 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

// extendWriteDeadline gives the next write its time. It precedes each part, also the
// last one, after which the server writes the end of the response: the source may
// have been silent since the part before. The error is ignored because some writers,
// such as recorders in tests, do not support deadlines.
func extendWriteDeadline(c *http.ResponseController) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func writeHead(w http.ResponseWriter, h *Head) {
	for name, values := range h.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.Status)
}

// buffers holds read buffers for reuse, so that a small read does not allocate
// a whole buffer.
var buffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// ReadBody puts the bytes of body on the stream. It returns nil at the end of
// body, and otherwise the error of reading body or of the stream. It does not
// put the part that marks the end of the response.
func ReadBody(ctx context.Context, body io.Reader, s *Stream) error {
	buffer := buffers.Get().(*[readBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if putErr := s.Put(ctx, Part{Data: bytes.Clone(buffer[:n])}); putErr != nil {
				return putErr
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

// hopHeaders are the hop-by-hop headers: they apply to one connection and are
// never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader returns a copy of a header without hop-by-hop headers.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	RemoveHopHeaders(out)
	return out
}

// RemoveHopHeaders removes the hop-by-hop headers, including those that
// Connection lists.
func RemoveHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
)

// maxEventBytes bounds one event of a stream of server-sent events.
const maxEventBytes = 1 << 20

// ErrEventSize says that a server-sent event exceeds the limit.
var ErrEventSize = errors.New("server-sent event is larger than the limit")

// eventEnd separates server-sent events.
var eventEnd = []byte("\n\n")

// IsEventStream reports whether a response body consists of server-sent events.
func IsEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// ReadEvents puts the events of body on the stream, only whole ones: after a
// cut, the stream ends between two events and an error event may follow. It
// returns the error that ended the body early, if any, and does not put the
// last part.
func ReadEvents(ctx context.Context, body io.Reader, s *Stream) error {
	buffer := buffers.Get().(*[partBytes]byte)
	defer buffers.Put(buffer)
	var held []byte
	for {
		n, err := body.Read(buffer[:])
		held = append(held, buffer[:n]...)
		whole := WholeEvents(held)
		if errors.Is(err, io.EOF) {
			whole = len(held)
		}
		if whole > 0 {
			if perr := s.Put(ctx, Part{Data: held[:whole:whole]}); perr != nil {
				return perr
			}
			held = bytes.Clone(held[whole:])
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(held) > maxEventBytes:
			return ErrEventSize
		}
	}
}

// WholeEvents returns the length of the whole events at the start of data.
func WholeEvents(data []byte) int {
	last := bytes.LastIndex(data, eventEnd)
	if last < 0 {
		return 0
	}
	return last + len(eventEnd)
}

// LastEventID returns the id of the last event of whole events, or "".
func LastEventID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndexByte(bytes.TrimSuffix(events, []byte("\n")), '\n')
		line := events[at+1:]
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		events = events[:at+1]
	}
	return ""
}

// WriteErrorEvent ends a stream of server-sent events with an error event, so
// that the caller can tell a cut answer from a whole one.
func WriteErrorEvent(w http.ResponseWriter, data []byte) error {
	event := append([]byte("event: error\ndata: "), data...)
	if _, err := w.Write(append(event, eventEnd...)); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge is returned for a server-sent event that exceeds the size
// limit.
var ErrEventTooLarge = errors.New("server-sent event is larger than the limit")

// eventSeparator ends each server-sent event.
var eventSeparator = []byte("\n\n")

// IsEventStream reports whether a response body consists of server-sent events.
func IsEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// ReadEvents puts the server-sent events of body on the stream, only complete
// ones: if body is cut off, the stream ends between two events, so that an error
// event may follow. It returns nil at the end of body, and otherwise the error of
// reading body or of the stream, or ErrEventTooLarge. It does not put the part
// that marks the end of the response.
func ReadEvents(ctx context.Context, body io.Reader, s *Stream) error {
	buffer := buffers.Get().(*[readBufferBytes]byte)
	defer buffers.Put(buffer)
	var pending []byte
	for {
		n, err := body.Read(buffer[:])
		pending = append(pending, buffer[:n]...)
		whole := WholeEventsLength(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			if putErr := s.Put(ctx, Part{Data: pending[:whole:whole]}); putErr != nil {
				return putErr
			}
			pending = bytes.Clone(pending[whole:])
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return ErrEventTooLarge
		}
	}
}

// WholeEventsLength returns the length in bytes of the complete events at the
// start of data.
func WholeEventsLength(data []byte) int {
	last := bytes.LastIndex(data, eventSeparator)
	if last < 0 {
		return 0
	}
	return last + len(eventSeparator)
}

// HasEvent reports whether a sequence of complete events contains a field of an
// event, and not only comments and blank lines.
func HasEvent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\n' && line[0] != '\r' {
			return true
		}
	}
	return false
}

// LastEventID returns the last event ID in a sequence of complete events, or "".
func LastEventID(events []byte) string {
	for len(events) > 0 {
		newline := bytes.LastIndexByte(bytes.TrimSuffix(events, []byte("\n")), '\n')
		line := events[newline+1:]
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		events = events[:newline+1]
	}
	return ""
}

// WriteErrorEvent ends a stream of server-sent events with an error event, so
// that the caller can distinguish a truncated response from a complete one.
func WriteErrorEvent(w http.ResponseWriter, data []byte) error {
	event := append([]byte("event: error\ndata: "), data...)
	if _, err := w.Write(append(event, eventSeparator...)); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

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

// lineEnds are the bytes that end a line of an event: LF, CR, or both as CRLF.
const lineEnds = "\r\n"

// IsEventStream reports whether a response body consists of server-sent events.
func IsEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// ReadEvents puts the server-sent events of body on the stream, only complete
// ones: if body is cut off, the stream ends between two events, so that an error
// event may follow. It returns nil at the end of body, io.ErrUnexpectedEOF if that
// is inside an event, and otherwise the error of reading body or of the stream, or
// ErrEventTooLarge. It does not put the part that marks the end of the response.
func ReadEvents(ctx context.Context, body io.Reader, s *Stream) error {
	buffer := buffers.Get().(*[readBufferBytes]byte)
	defer buffers.Put(buffer)
	var pending []byte
	for {
		n, err := body.Read(buffer[:])
		pending = append(pending, buffer[:n]...)
		if whole := WholeEventsLength(pending); whole > 0 {
			if putErr := s.Put(ctx, Part{Data: pending[:whole:whole]}); putErr != nil {
				return putErr
			}
			pending = bytes.Clone(pending[whole:])
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return io.ErrUnexpectedEOF
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
// start of data, which starts with an event. A blank line ends an event; lines end
// with LF, CRLF or CR.
func WholeEventsLength(data []byte) int {
	end := bytes.LastIndexAny(data, lineEnds) + 1
	for end > 0 {
		start := end - 1
		if bytes.HasSuffix(data[:end], []byte("\r\n")) {
			start--
		}
		if start == 0 || isLineEnd(rune(data[start-1])) {
			return end
		}
		end = bytes.LastIndexAny(data[:start], lineEnds) + 1
	}
	return 0
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// EndsInsideEvent reports whether a body consists of server-sent events and the
// last one is not complete. tail is the body or at least its last TailBytes.
func EndsInsideEvent(h http.Header, tail []byte) bool {
	return IsEventStream(h) && WholeEventsLength(tail) < len(tail)
}

// TailBytes is how much of the end of a body shows whether it ends with a blank
// line: two line ends of two bytes each.
const TailBytes = 4

// HasEvent reports whether a sequence of complete events contains a field of an
// event, and not only comments and blank lines.
func HasEvent(events []byte) bool {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// LastEventID returns the last event ID in a sequence of complete events, or "".
func LastEventID(events []byte) string {
	for len(events) > 0 {
		events = bytes.TrimRight(events, lineEnds)
		start := bytes.LastIndexAny(events, lineEnds) + 1
		if id, ok := bytes.CutPrefix(events[start:], []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		events = events[:start]
	}
	return ""
}

// WriteErrorEvent ends a stream of server-sent events with an error event, so
// that the caller can distinguish a truncated response from a complete one.
func WriteErrorEvent(w http.ResponseWriter, data []byte) error {
	controller := http.NewResponseController(w)
	extendWriteDeadline(controller)
	event := append([]byte("event: error\ndata: "), data...)
	if _, err := w.Write(append(event, "\n\n"...)); err != nil {
		return err
	}
	return controller.Flush()
}

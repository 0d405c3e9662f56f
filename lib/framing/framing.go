// Package framing checks what frames the bodies of HTTP/1 messages where net/http does not.
//
// It follows the framing of the requests on a connection, to find those that state both a
// length and a transfer coding. Where such a body ends depends on the reader, so that a request
// hidden in it would run as one of its own. net/http drops the length before a handler sees it
// (RFC 9112, 6.1 to 6.3).
//
// It checks the lines in the heads of responses: one that is no field may be the one that frames
// the body.
package framing

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync"
)

// State is what is known about the requests on a connection.
type State uint8

const (
	// Plain means that the framing of all requests so far is known and unambiguous.
	Plain State = iota
	// Unknown means that a request could not be followed, so that the framing of all
	// further ones is not known. The server rejects most such requests by itself.
	Unknown
	// Ambiguous means that a request states both a length and a transfer coding, or a
	// transfer coding in a version of HTTP that has none.
	Ambiguous
)

// ErrAmbiguous says why an ambiguous request is rejected.
var ErrAmbiguous = errors.New("request states both a length and a transfer coding")

const (
	// maxLineBytes is the length up to which a line is kept. The fields that frame a request
	// are shorter, and of a request line only the end is used.
	maxLineBytes = 256
	// maxSizeDigits is the maximum number of hexadecimal digits in the size of a chunk.
	maxSizeDigits = 15
)

// part is the part of a request to which the next byte belongs.
type part uint8

const (
	requestLine part = iota
	header
	body
	chunkSize
	chunkData
	chunkEnd
	trailer
)

// Tracker follows the requests on one connection. The goroutines of a server may use it
// concurrently.
type Tracker struct {
	mu    sync.Mutex
	state State
	part  part
	// line is the begin of the current line, or the end of a request line, up to
	// maxLineBytes.
	line []byte
	// remaining is the number of bytes that are left of a body or a chunk.
	remaining int64
	head      head
}

// head is what the head of the current request says about its framing.
type head struct {
	length            int64
	hasLength, coding bool
	// noCodings is set if the request's version of HTTP has no transfer codings.
	noCodings bool
}

// State returns what is known so far. It never becomes Plain again.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Admit returns false for an ambiguous request, whose head was read from the connection. It
// must be rejected, also if an earlier or later one on the connection is at fault. The
// connection is closed after the response, as it is if what follows the request cannot be told.
func (t *Tracker) Admit(w http.ResponseWriter, r *http.Request) bool {
	state := t.State()
	if state == Ambiguous || state == Unknown && len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	return state != Ambiguous
}

// Observe follows bytes that were read from the connection.
func (t *Tracker) Observe(data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(data) > 0 && t.state == Plain {
		data = t.step(data)
	}
}

// step consumes some of the bytes and returns the others.
func (t *Tracker) step(data []byte) []byte {
	if t.part == body || t.part == chunkData {
		n := min(int64(len(data)), t.remaining)
		if t.remaining -= n; t.remaining == 0 {
			t.endData()
		}
		return data[n:]
	}
	line, rest, ended := bytes.Cut(data, []byte{'\n'})
	t.keep(line)
	if ended {
		t.endLine(bytes.TrimSuffix(t.line, []byte{'\r'}))
		t.line = t.line[:0]
	}
	return rest
}

// keep adds bytes to the current line.
func (t *Tracker) keep(line []byte) {
	if t.part != requestLine {
		t.line = append(t.line, line[:min(len(line), maxLineBytes-len(t.line))]...)
		return
	}
	t.line = append(t.line, line[max(len(line)-maxLineBytes, 0):]...)
	if excess := len(t.line) - maxLineBytes; excess > 0 {
		t.line = append(t.line[:0], t.line[excess:]...)
	}
}

func (t *Tracker) endData() {
	if t.part == chunkData {
		t.part = chunkEnd
		return
	}
	t.part = requestLine
}

// endLine follows a line, which is without its end.
func (t *Tracker) endLine(line []byte) {
	switch t.part {
	case requestLine:
		// Servers pass over empty lines before a request.
		if len(line) > 0 {
			t.head = head{noCodings: !bytes.HasSuffix(line, []byte(" HTTP/1.1"))}
			t.part = header
		}
	case header:
		if len(line) == 0 {
			t.endHead()
			return
		}
		t.field(line)
	case chunkSize:
		t.beginChunk(line)
	case chunkEnd:
		t.part = chunkSize
		if len(line) > 0 {
			t.state = Unknown
		}
	default:
		if len(line) == 0 {
			t.part = requestLine
		}
	}
}

// field follows a field of a head.
func (t *Tracker) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		t.head.coding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil || t.head.hasLength && t.head.length != int64(n) {
			t.state = Unknown
			return
		}
		t.head.length, t.head.hasLength = int64(n), true
	}
}

func (t *Tracker) endHead() {
	switch {
	case t.head.coding && (t.head.hasLength || t.head.noCodings):
		t.state = Ambiguous
	case t.head.coding:
		t.part = chunkSize
	case t.head.length > 0:
		t.part, t.remaining = body, t.head.length
	default:
		t.part = requestLine
	}
}

func (t *Tracker) beginChunk(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	n, err := strconv.ParseUint(string(digits), 16, 63)
	switch {
	case err != nil || len(digits) > maxSizeDigits:
		t.state = Unknown
	case n == 0:
		t.part = trailer
	default:
		t.part, t.remaining = chunkData, int64(n)
	}
}

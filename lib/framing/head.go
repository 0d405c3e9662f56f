package framing

import (
	"bytes"
	"errors"
	"strings"
)

// ErrMalformedHead means that a line in the head of a response is not a field. The line
// could be one that frames the body.
var ErrMalformedHead = errors.New("head of the response has a malformed field")

// headPart is the part of a response's head to which the next byte belongs.
type headPart uint8

const (
	statusProtocol headPart = iota
	statusCode
	statusReason
	fieldStart
	fieldName
	fieldValue
	emptyLine
	headEnd
)

// ResponseHead checks the lines of a response's head as they arrive, and those of the interim
// responses before it. net/http accepts a blank in the name of a field and a line that
// continues the one before, either of which hides the field that the line was to state
// (RFC 9112, 5.1 and 5.2). The zero value expects a status line.
type ResponseHead struct {
	part headPart
	// code is the start of the status code, and digits its length so far.
	code   [3]byte
	digits int
}

// Add checks further bytes. If they make a line malformed, it returns ErrMalformedHead and the
// number of bytes before that line. Bytes after the head are not checked.
func (h *ResponseHead) Add(p []byte) (int, error) {
	line := 0
	for i := 0; i < len(p); i++ {
		if h.part == fieldStart {
			line = i
		}
		switch h.part {
		case headEnd:
			return len(p), nil
		case statusReason, fieldValue:
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p), nil
			}
			i += end
			h.part = fieldStart
		default:
			if !h.next(p[i]) {
				return line, ErrMalformedHead
			}
		}
	}
	return len(p), nil
}

// next takes account of a byte of a part that is checked byte by byte, and reports whether the
// byte is allowed there. A malformed status line is left to the parser.
func (h *ResponseHead) next(b byte) bool {
	switch h.part {
	case statusProtocol:
		h.nextOfProtocol(b)
		return true
	case statusCode:
		h.nextOfCode(b)
		return true
	case fieldStart:
		return h.nextOfLine(b)
	case fieldName:
		if b == ':' {
			h.part = fieldValue
			return true
		}
		return isToken(b)
	default:
		h.endHead()
		return b == '\n'
	}
}

func (h *ResponseHead) nextOfProtocol(b byte) {
	switch b {
	case ' ':
		h.part = statusCode
	case '\n':
		h.part = fieldStart
	}
}

func (h *ResponseHead) nextOfCode(b byte) {
	switch {
	case b == '\n':
		h.part = fieldStart
	case b == ' ' && h.digits == 0:
	case b == ' ' || b == '\r':
		h.part = statusReason
	default:
		if h.digits < len(h.code) {
			h.code[h.digits] = b
		}
		h.digits++
	}
}

func (h *ResponseHead) nextOfLine(b byte) bool {
	switch b {
	case '\n':
		h.endHead()
		return true
	case '\r':
		h.part = emptyLine
		return true
	default:
		h.part = fieldName
		return isToken(b)
	}
}

// endHead expects another head after that of an interim response.
func (h *ResponseHead) endHead() {
	interim := h.digits == len(h.code) && h.code[0] == '1' && string(h.code[:]) != "101"
	*h = ResponseHead{}
	if !interim {
		h.part = headEnd
	}
}

// ValidName reports whether the name of a field is valid.
func ValidName(name string) bool {
	for i := range len(name) {
		if !isToken(name[i]) {
			return false
		}
	}
	return name != ""
}

// isToken reports whether a byte may stand in the name of a field (RFC 9110, 5.6.2).
func isToken(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// uploadTries is how often an upload client connects, so that a client whose
	// connection is refused or closed comes back.
	uploadTries = 3
	// uploadRetryDelay is the time between two tries of a client.
	uploadRetryDelay = 50 * time.Millisecond
	// uploadBufferBytes is how much of a body in small chunks is written at once.
	uploadBufferBytes = 64 << 10
)

// Upload describes the request of an upload client. Its body stays incomplete, or its head.
type Upload struct {
	// Head is the request line and the header lines, each with its line end, without
	// those that state the length of the body.
	Head string
	// HeadOnly is whether nothing but the head is sent, and the head without its end.
	HeadOnly bool
	// Announced is the Content-Length; 0 means a chunked body.
	Announced int
	// Bytes is how much of the body is sent.
	Bytes int
	// PieceBytes is the size of a chunk, or of a write of a body with a
	// Content-Length.
	PieceBytes int
}

// encodedUpload is what the clients of an upload send: a head, a piece of the body
// that is repeated, and the rest of the body.
type encodedUpload struct {
	head, piece, rest []byte
	pieces            int
}

// encode returns the encoded upload. Small chunks are written many at a time.
func (u *Upload) encode() *encodedUpload {
	if u.HeadOnly {
		return &encodedUpload{head: []byte(u.Head)}
	}
	if u.Announced > 0 {
		head := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", u.Head, u.Announced)
		part := bytes.Repeat([]byte("a"), u.PieceBytes)
		return &encodedUpload{head: head, piece: part, pieces: u.Bytes / len(part), rest: part[:u.Bytes%len(part)]}
	}
	chunk := encodeChunk(u.PieceBytes)
	chunks := max(1, uploadBufferBytes/len(chunk))
	e := &encodedUpload{head: []byte(u.Head + "Transfer-Encoding: chunked\r\n\r\n"), piece: bytes.Repeat(chunk, chunks)}
	bodyBytes := chunks * u.PieceBytes
	e.pieces = u.Bytes / bodyBytes
	rest := u.Bytes % bodyBytes
	e.rest = bytes.Repeat(chunk, rest/u.PieceBytes)
	if last := rest % u.PieceBytes; last > 0 {
		e.rest = append(e.rest, encodeChunk(last)...)
	}
	return e
}

// encodeChunk returns a chunk of a body with a number of bytes.
func encodeChunk(size int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("a"), size))
}

// writeTo sends the request. With an error the connection was closed.
func (e *encodedUpload) writeTo(w io.Writer) error {
	if _, err := w.Write(e.head); err != nil {
		return err
	}
	for range e.pieces {
		if _, err := w.Write(e.piece); err != nil {
			return err
		}
	}
	_, err := w.Write(e.rest)
	return err
}

// Uploads is a group of clients that keep connections with incomplete bodies open.
type Uploads struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// sending counts the clients that still send.
	sending sync.WaitGroup
}

// StartUploads starts clients that all send the same upload to an address. The
// caller must close them.
func StartUploads(address string, clients int, u Upload) *Uploads {
	s := &Uploads{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.sending.Add(clients)
	encoded := u.encode()
	for range clients {
		s.done.Go(func() { s.run(address, encoded) })
	}
	return s
}

// run holds a connection with an incomplete body. It connects again if the
// connection is closed.
func (s *Uploads) run(address string, u *encodedUpload) {
	sent := sync.OnceFunc(s.sending.Done)
	defer sent()
	for range uploadTries {
		s.hold(address, u, sent)
		timer := time.NewTimer(uploadRetryDelay)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// hold sends the upload on one connection and keeps it open until the server closes
// it. It calls sent once everything was sent.
func (s *Uploads) hold(address string, u *encodedUpload, sent func()) {
	conn, err := (&net.Dialer{}).DialContext(s.ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(s.ctx, func() { _ = conn.Close() })()
	if u.writeTo(conn) != nil {
		return
	}
	sent()
	_, _ = io.Copy(io.Discard, conn)
}

// Await waits until every client has sent its upload or has given up, or for a time.
func (s *Uploads) Await(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		s.sending.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Close closes all connections.
func (s *Uploads) Close() {
	s.cancel()
	s.done.Wait()
}

// UploadCases returns the kinds of incomplete and too large bodies that clients have
// sent to make a process run out of memory, by name. head is that of Upload. Bodies of
// permitted size stop one byte before their end at size bytes; limit is the maximum
// size of a body.
func UploadCases(head string, size, limit int) map[string]Upload {
	const largeChunk, smallChunk, pieceBytes, excess = 256 << 10, 16, 4 << 10, 16
	return map[string]Upload{
		"chunked, large chunks":       {Head: head, Bytes: size - 1, PieceBytes: largeChunk},
		"chunked, small chunks":       {Head: head, Bytes: size - 1, PieceBytes: smallChunk},
		"with a length, whole":        {Head: head, Announced: size, Bytes: size - 1, PieceBytes: size - 1},
		"with a length, in pieces":    {Head: head, Announced: size, Bytes: size - 1, PieceBytes: pieceBytes},
		"over the limit, announced":   {Head: head, Announced: excess * limit, Bytes: excess*limit - 1, PieceBytes: largeChunk},
		"over the limit, simply sent": {Head: head, Bytes: excess*limit - 1, PieceBytes: largeChunk},
	}
}

// IncompleteHead returns an upload whose head has many short fields, up to a number of bytes, and
// no end.
func IncompleteHead(head string, size int) Upload {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + "a:\r\n")
	}
	return Upload{Head: b.String(), HeadOnly: true}
}

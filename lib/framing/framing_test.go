package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const inner = "POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\ninner"

// ordinary are requests whose framing is not in doubt.
var ordinary = map[string]string{
	"no body":         "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"length":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\na\r\n\r\nb\n",
	"same lengths":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
	"chunks":          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nPOST\r\n1;x=y\r\n\n\r\n0\r\n\r\n",
	"trailer":         "POST /a HTTP/1.1\r\nHost: h\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\nT: a\r\nContent-Length: 5\r\n\r\n",
	"hidden text":     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 58\r\n\r\n" + inner,
	"field of a name": "GET /a HTTP/1.1\r\nHost: h\r\nX-Content-Length: 5\r\nX: Transfer-Encoding: chunked\r\n\r\n",
	"long line":       "POST /" + strings.Repeat("a", 3*maxLineBytes) + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX: " + strings.Repeat("b", 3*maxLineBytes) + "\r\n\r\n0\r\n\r\n",
	"empty lines":     "\r\nGET /a HTTP/1.1\nHost: h\n\n",
	"old version":     "POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\na",
}

// ambiguous are heads of requests that can be read in two ways.
var ambiguous = map[string]string{
	"length and chunks": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70\r\nTransfer-Encoding: chunked\r\n\r\n",
	"chunks and length": "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding:chunked\r\ncontent-length:70\r\n\r\n",
	"empty length":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
	"folded coding":     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70\r\nTransfer-Encoding:\r\n chunked\r\n\r\n",
	"long coding":       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70\r\nTransfer-Encoding: " + strings.Repeat(" ", 2*maxLineBytes) + "chunked\r\n\r\n",
	"bare line ends":    "POST /a HTTP/1.1\nHost: h\nContent-Length: 70\nTransfer-Encoding: chunked\n\n",
	"old version":       "POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// anyOf returns one of the requests.
func anyOf(t *rapid.T, requests map[string]string) string {
	return requests[rapid.SampledFrom(slices.Sorted(maps.Keys(requests))).Draw(t, "request")]
}

// observe passes bytes to a tracker in parts of random sizes.
func observe(t *rapid.T, tracker *Tracker, data []byte) {
	for len(data) > 0 {
		n := rapid.IntRange(1, len(data)).Draw(t, "read")
		tracker.Observe(data[:n])
		data = data[n:]
	}
}

// Guards against ordinary requests that are rejected, or cost their connection, in whatever
// parts they arrive, and against an ambiguous one that is missed because it follows others in
// the same bytes.
func TestRequestsInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := &Tracker{}
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			observe(t, tracker, []byte(anyOf(t, ordinary)))
		}
		require.Equal(t, Plain, tracker.State())
		observe(t, tracker, []byte(anyOf(t, ambiguous)+"0\r\n\r\n"+inner))
		require.Equal(t, Ambiguous, tracker.State())
		tracker.Observe([]byte(ordinary["no body"]))
		require.Equal(t, Ambiguous, tracker.State(), "what follows was hidden in it")
	})
}

// Guards against bytes that the tracker and net/http take for different requests: one could be
// hidden from the tracker in what it takes for a body. Wherever net/http finds the end of a
// request, the tracker must as well, as long as it takes the framing for known.
func TestTrackerAgreesWithTheServer(t *testing.T) {
	pieces := []string{
		"\r\n", "\n", "\r", " ", "0\r\n", "5\r\n", "a", ";", ":", "Content-Length: 5\r\n", "Content-Length: 3\r\n",
		"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\n", "POST / HTTP/1.1\r\n", "POST / HTTP/1.0\r\n", "X: ",
	}
	rapid.Check(t, func(t *rapid.T) {
		data := []byte{}
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			data = append(data, anyOf(t, ordinary)...)
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)).Draw(t, "at")
			to := min(len(data), at+rapid.IntRange(0, 3).Draw(t, "removed"))
			data = slices.Concat(data[:at], []byte(rapid.SampledFrom(pieces).Draw(t, "piece")), data[to:])
		}
		tracker := &Tracker{}
		from := 0
		for _, end := range requestEnds(data) {
			observe(t, tracker, data[from:end])
			if tracker.State() != Plain {
				return
			}
			require.Equal(t, requestLine, tracker.part, "%q", data[:end])
			require.Empty(t, tracker.line, "%q", data[:end])
			from = end
		}
	})
}

// requestEnds returns where the requests end that net/http finds, up to the first one that it
// rejects.
func requestEnds(data []byte) []int {
	source := bytes.NewReader(data)
	r := bufio.NewReader(source)
	var ends []int
	for {
		for b, err := r.Peek(1); err == nil && (b[0] == '\r' || b[0] == '\n'); b, err = r.Peek(1) {
			_, _ = r.Discard(1)
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return ends
		}
		ends = append(ends, len(data)-source.Len()-r.Buffered())
	}
}

// Guards against a request that runs although its framing is not known and that leaves its
// connection open, and against ordinary requests that are closed.
func TestAdmit(t *testing.T) {
	chunked, plain := &http.Request{TransferEncoding: []string{"chunked"}}, &http.Request{}
	for state, want := range map[State]struct{ ambiguous, closePlain, closeChunked bool }{
		Plain: {}, Unknown: {closeChunked: true}, Ambiguous: {true, true, true},
	} {
		tracker := &Tracker{state: state}
		for r, mustClose := range map[*http.Request]bool{plain: want.closePlain, chunked: want.closeChunked} {
			w := httptest.NewRecorder()
			require.Equal(t, !want.ambiguous, tracker.Admit(w, r), state)
			require.Equal(t, mustClose, w.Header().Get("Connection") == "close", state)
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	data := []byte("POST /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Some-Field: with a value of some length\r\n", 12) +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2000, strings.Repeat("a", 2000)))
	tracker := &Tracker{}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		tracker.Observe(data)
	}
	require.Equal(b, Plain, tracker.State())
}

package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// manifestQuery requests the encoded manifest of a root. The reply is nil if the
// root is unknown.
type manifestQuery struct {
	root  fleet.Digest
	reply *ring.Ring[[]byte]
}

// haveQuery requests the have-set of a root since a position of an epoch. The
// reply is nil if the root is unknown.
type haveQuery struct {
	root  fleet.Digest
	epoch uint64
	seq   int
	reply *ring.Ring[*wire.HaveSet]
}

// chunkQuery requests a chunk to upload.
type chunkQuery struct {
	root  fleet.Digest
	index int
	reply *ring.Ring[chunkReply]
}

// chunkReply permits an upload if data is set. The upload must end with
// uploadDone.
type chunkReply struct {
	data []byte
	busy bool
}

// uploadDone frees the upload slot of a finished upload.
type uploadDone struct{}

// fileQuery requests the chunks of a file of a complete root.
type fileQuery struct {
	root  fleet.Digest
	path  string
	reply *ring.Ring[fileReply]
}

type fileReply struct {
	found bool
	size  int64
	data  [][]byte
}

func (manifestQuery) pullerEvent() {}
func (haveQuery) pullerEvent()     {}
func (chunkQuery) pullerEvent()    {}
func (uploadDone) pullerEvent()    {}
func (fileQuery) pullerEvent()     {}

// queryPuller sends a query for the root in the request path and waits for the
// reply. Once the query is queued, it waits even if the request is canceled, so
// that no reserved upload slot is leaked. It returns false if the root is invalid
// or the puller is unavailable.
func queryPuller[T any](a *Agent, r *http.Request, newQuery func(fleet.Digest, *ring.Ring[T]) pullerEvent) (T, bool) {
	var none T
	root, err := fleet.ParseDigest(r.PathValue("root"))
	if err != nil {
		return none, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), shortTimeout)
	defer cancel()
	reply := ring.New[T](1, ring.Refuse)
	if a.pullerEvents.Put(ctx, newQuery(root, reply)) != nil {
		return none, false
	}
	v, err := reply.Take(context.WithoutCancel(ctx))
	return v, err == nil
}

func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	encoded, ok := queryPuller(a, r, func(root fleet.Digest, reply *ring.Ring[[]byte]) pullerEvent {
		return manifestQuery{root: root, reply: reply}
	})
	if !ok || encoded == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(encoded)
}

func (a *Agent) serveHave(w http.ResponseWriter, r *http.Request) {
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	seq, err := strconv.Atoi(r.URL.Query().Get("seq"))
	if err != nil {
		seq = -1
	}
	h, ok := queryPuller(a, r, func(root fleet.Digest, reply *ring.Ring[*wire.HaveSet]) pullerEvent {
		return haveQuery{root: root, epoch: epoch, seq: seq, reply: reply}
	})
	if !ok || h == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(h.Encode())
}

func (a *Agent) serveChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	c, ok := queryPuller(a, r, func(root fleet.Digest, reply *ring.Ring[chunkReply]) pullerEvent {
		return chunkQuery{root: root, index: index, reply: reply}
	})
	switch {
	case ok && c.busy:
		http.Error(w, "uploads are at their bound", http.StatusServiceUnavailable)
		return
	case !ok || c.data == nil:
		http.NotFound(w, r)
		return
	}
	defer func() { _ = a.pullerEvents.Put(context.WithoutCancel(r.Context()), uploadDone{}) }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(c.data)))
	_, _ = io.Copy(w, pacing.Reader(r.Context(), bytes.NewReader(c.data), a.uploadLink))
}

// weightsHandler serves verified weights to the engine of this agent.
func (a *Agent) weightsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{root}/manifest.json", a.serveManifest)
	mux.HandleFunc("GET /weights/{root}/files/{path...}", a.serveFile)
	return mux
}

// serveFile sends a whole file. It serves only complete roots.
func (a *Agent) serveFile(w http.ResponseWriter, r *http.Request) {
	f, ok := queryPuller(a, r, func(root fleet.Digest, reply *ring.Ring[fileReply]) pullerEvent {
		return fileQuery{root: root, path: r.PathValue("path"), reply: reply}
	})
	if !ok || !f.found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(f.size, 10))
	for _, data := range f.data {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// file returns the chunks of a file. It finds none unless the root is complete.
func (h *heldChunks) file(path string) fileReply {
	if !h.complete {
		return fileReply{}
	}
	for i, f := range h.manifest.Files {
		if f.Path == path {
			return fileReply{found: true, size: f.Size, data: h.fileData(i)}
		}
	}
	return fileReply{}
}

func (h *heldChunks) fileData(file int) [][]byte {
	first := 0
	for _, f := range h.manifest.Files[:file] {
		first += len(f.Chunks)
	}
	return h.data[first : first+len(h.manifest.Files[file].Chunks)]
}

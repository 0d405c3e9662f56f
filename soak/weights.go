package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/wire"
)

const (
	engineService = "engine"
	deskService   = "desk"
	modelName     = "m"
	// layers is the number of layers of the model, pieces that of the pieces of
	// its weights, and pieceSize their size in bytes.
	layers    = 2
	pieces    = 12
	pieceSize = 4 << 10
	// warmTime is how long an engine loads weights.
	warmTime = 150 * time.Millisecond
	// rotGrace is how long a piece that turned bad at an engine may be loaded.
	rotGrace = 3 * time.Second
	// spoilOneIn is how seldom the origin sends a spoilt piece.
	spoilOneIn = 10
)

// pieceOf returns one piece of a version of the weights.
func pieceOf(version int64, number int) []byte {
	seed := sha256.Sum256([]byte(fmt.Sprint(version, "/", number)))
	data := make([]byte, pieceSize)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// weights are those at one engine.
type weights struct {
	// loaded is the version that serves; 0 means none.
	loaded int64
	// taking says that an order is in progress.
	taking   bool
	sequence int64
	staged   map[int][]byte
	// rotten is when a staged piece last turned bad.
	rotten time.Time
}

func newWeights() *weights { return &weights{staged: map[int][]byte{}} }

// forget drops what a crash or a loss of power does not leave.
func (w *weights) forget(power bool) {
	w.loaded, w.taking, w.sequence = 0, false, 0
	if power {
		clear(w.staged)
	}
}

// rot spoils a staged piece.
func (w *weights) rot() {
	for number, data := range w.staged {
		bad := bytes.Clone(data)
		bad[0]++
		w.staged[number], w.rotten = bad, time.Now()
		return
	}
}

// describe adds what an engine says of its weights.
func (w *weights) describe(e map[string]any) {
	if w.loaded == 0 {
		e["models"] = []any{}
		return
	}
	e["models"] = []any{map[string]any{"name": modelName, "version": w.loaded}}
	e["layers"] = map[string]any{"from": 0, "to": layers, "version": w.loaded}
}

// whole reports whether all pieces of a version are staged.
func (w *weights) whole(version int64) bool {
	for i := range pieces {
		if !bytes.Equal(w.staged[i], pieceOf(version, i)) {
			return false
		}
	}
	return true
}

// weightRoutes serves what is asked of an engine from its own machine.
func (r *replica) weightRoutes(mux *http.ServeMux) {
	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			if !ask(r.now, func(s *start) bool { return s.up }) {
				cut(w)
				return
			}
			h(w, req)
		})
	}
	handle("GET /rattanspur/report", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, ask(r.now, func(s *start) map[string]any {
			e := map[string]any{
				"stage": "colocated", "busy": s.weights.taking, "sequence": s.weights.sequence, "queued": 0,
				"running": s.running, "born": s.born,
			}
			s.weights.describe(e)
			return e
		}))
	})
	handle("PUT /rattanspur/stage-put/"+modelName, func(w http.ResponseWriter, req *http.Request) {
		data, err := io.ReadAll(req.Body)
		number, err2 := strconv.Atoi(req.URL.Query().Get("num"))
		if err != nil || err2 != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		tell(r.now, func(s *start) { s.weights.staged[number] = data })
	})
	handle("GET /rattanspur/stage-get/"+modelName, func(w http.ResponseWriter, req *http.Request) {
		if !req.URL.Query().Has("num") {
			wire.WriteJSON(w, ask(r.now, func(s *start) map[string]any {
				held := []int{}
				for number := range s.weights.staged {
					held = append(held, number)
				}
				return map[string]any{"held": held}
			}))
			return
		}
		number, _ := strconv.Atoi(req.URL.Query().Get("num"))
		data := ask(r.now, func(s *start) []byte { return s.weights.staged[number] })
		if data == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	})
	handle("POST /rattanspur/order", r.serveOrder)
}

func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := ask(r.now, func(s *start) int {
		switch {
		case !s.up:
			return http.StatusServiceUnavailable
		case s.weights.taking || (o.Expected != nil && *o.Expected != s.weights.sequence):
			return http.StatusConflict
		case s.weights.loaded == o.Version:
			return http.StatusOK
		}
		if !s.weights.whole(o.Version) && time.Since(s.weights.rotten) > rotGrace {
			r.world.ledger.breaks(fmt.Sprintf("WHOLE: %s was told to load version %d from incomplete pieces", s.id, o.Version))
		}
		s.weights.taking = true
		s.weights.sequence++
		r.world.group.Go(r.name+" order", func(ctx context.Context) error { return r.load(ctx, s.id, o.Version) })
		return http.StatusAccepted
	})
	w.WriteHeader(status)
}

// load takes new weights once the requests that run have ended.
func (r *replica) load(ctx context.Context, id string, version int64) error {
	for ctx.Err() == nil && ask(r.now, func(s *start) bool { return s.id == id && s.running > 0 }) {
		_ = duty.Sleep(ctx, workTime)
	}
	_ = duty.Sleep(ctx, warmTime)
	tell(r.now, func(s *start) {
		if s.id == id && s.up {
			s.weights.loaded, s.weights.taking = version, false
		}
	})
	return nil
}

// originHandler serves the weights of all versions. Some pieces are spoilt.
func originHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/manifest/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		var digests []string
		for i := range pieces {
			sum := sha256.Sum256(pieceOf(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		wire.WriteJSON(w, map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceSize, "layers": layers, "digests": digests,
		})
	})
	mux.HandleFunc("GET /rattanspur/piece/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		number, _ := strconv.Atoi(r.URL.Query().Get("num"))
		data := pieceOf(version, number)
		if rand.IntN(spoilOneIn) == 0 {
			data[len(data)/2]++
		}
		_, _ = w.Write(data)
	})
	return mux
}

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
	// engineService is the service of the model engines, plainService that of the
	// plain replicas, and annexService that to which the routes of the plain service may
	// move.
	engineService = "engine"
	plainService  = "desk"
	annexService  = "annex"
	modelName     = "m"
	// layerCount is the number of layers of the model, pieceCount the number of
	// pieces of its weights, and pieceSize the size of a piece in bytes.
	layerCount = 2
	pieceCount = 12
	pieceSize  = 4 << 10
	// loadTime is how long an engine takes to load weights.
	loadTime = 150 * time.Millisecond
	// corruptGrace is how long after the corruption of a staged piece an order to
	// load from incomplete pieces is no violation.
	corruptGrace = 3 * time.Second
	// One in corruptOneIn pieces from the origin is corrupt.
	corruptOneIn = 10
	// One manifest in wrongManifestOneIn has a wrong digest.
	wrongManifestOneIn = 4
)

// pieceData returns the bytes of one piece of a version of the weights.
func pieceData(version int64, number int) []byte {
	seed := sha256.Sum256([]byte(fmt.Sprint(version, "/", number)))
	data := make([]byte, pieceSize)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// engineWeights are the weights at one engine.
type engineWeights struct {
	// loaded is the version that the engine serves; 0 means none.
	loaded int64
	// loading says that an order is in progress.
	loading bool
	// sequence is the number of orders accepted since the engine started.
	sequence int64
	// staged holds the staged pieces by number.
	staged map[int][]byte
	// corruptedAt is when a staged piece was last corrupted.
	corruptedAt time.Time
}

func newEngineWeights() *engineWeights { return &engineWeights{staged: map[int][]byte{}} }

// reset drops the state that does not survive a crash. A power loss also drops the
// staged pieces.
func (w *engineWeights) reset(powerLoss bool) {
	w.loaded, w.loading, w.sequence = 0, false, 0
	if powerLoss {
		clear(w.staged)
	}
}

// corruptPiece corrupts one staged piece, if there is any.
func (w *engineWeights) corruptPiece() {
	for number, data := range w.staged {
		bad := bytes.Clone(data)
		bad[0]++
		w.staged[number], w.corruptedAt = bad, time.Now()
		return
	}
}

// addTo adds the loaded weights to the engine's entry or report.
func (w *engineWeights) addTo(e map[string]any) {
	if w.loaded == 0 {
		e["models"] = []any{}
		return
	}
	e["models"] = []any{map[string]any{"name": modelName, "version": w.loaded}}
	e["layers"] = map[string]any{"from": 0, "to": layerCount, "version": w.loaded}
}

// complete reports whether all pieces of a version are staged and correct.
func (w *engineWeights) complete(version int64) bool {
	for i := range pieceCount {
		if !bytes.Equal(w.staged[i], pieceData(version, i)) {
			return false
		}
	}
	return true
}

// addWeightRoutes adds the routes that an engine serves to its own machine.
func (r *replica) addWeightRoutes(mux *http.ServeMux) {
	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			r.reach(anywhere)
			if !call(r.state, func(s *replicaState) bool { return s.up }) {
				abortResponse(w)
				return
			}
			h(w, req)
		})
	}
	handle("GET /rattanspur/report", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, call(r.state, func(s *replicaState) map[string]any {
			e := map[string]any{
				"stage": "colocated", "busy": s.weights.loading, "sequence": s.weights.sequence, "queued": 0,
				"running": s.running, "born": s.startedAtMillis,
			}
			s.weights.addTo(e)
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
		apply(r.state, func(s *replicaState) { s.weights.staged[number] = data })
	})
	handle("GET /rattanspur/stage-get/"+modelName, func(w http.ResponseWriter, req *http.Request) {
		if !req.URL.Query().Has("num") {
			wire.WriteJSON(w, call(r.state, func(s *replicaState) map[string]any {
				held := []int{}
				for number := range s.weights.staged {
					held = append(held, number)
				}
				return map[string]any{"held": held}
			}))
			return
		}
		number, _ := strconv.Atoi(req.URL.Query().Get("num"))
		data := call(r.state, func(s *replicaState) []byte { return s.weights.staged[number] })
		if data == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	})
	handle("POST /rattanspur/order", r.serveOrder)
}

// serveOrder handles an order to load a version. An order to load while pieces are
// missing or corrupt is a violation, except within corruptGrace after corruptPiece.
func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := call(r.state, func(s *replicaState) int {
		switch {
		case !s.up:
			return http.StatusServiceUnavailable
		case s.weights.loading || (o.Expected != nil && *o.Expected != s.weights.sequence):
			return http.StatusConflict
		case s.weights.loaded == o.Version:
			return http.StatusOK
		}
		if !s.weights.complete(o.Version) && time.Since(s.weights.corruptedAt) > corruptGrace {
			r.env.ledger.addViolation(fmt.Sprintf("WHOLE: %s was told to load version %d from incomplete pieces", s.id, o.Version))
		}
		s.weights.loading = true
		s.weights.sequence++
		r.env.group.Go(r.name+" order", func(ctx context.Context) error { return r.load(ctx, s.id, o.Version) })
		return http.StatusAccepted
	})
	w.WriteHeader(status)
}

// load loads a version of the weights once the running requests have ended. It
// has no effect if the engine crashed meanwhile.
func (r *replica) load(ctx context.Context, id string, version int64) error {
	for ctx.Err() == nil && call(r.state, func(s *replicaState) bool { return s.id == id && s.running > 0 }) {
		_ = duty.Sleep(ctx, workTime)
	}
	_ = duty.Sleep(ctx, loadTime)
	apply(r.state, func(s *replicaState) {
		if s.id == id && s.up {
			s.weights.loaded, s.weights.loading = version, false
		}
	})
	return nil
}

// originHandler serves the weights of all versions. Some pieces and manifests are corrupt.
func originHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/manifest/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(pieceData(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		if rand.IntN(wrongManifestOneIn) == 0 {
			number := rand.IntN(pieceCount)
			digests[number] = digests[(number+1)%pieceCount]
		}
		wire.WriteJSON(w, map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceSize, "layers": layerCount, "digests": digests,
		})
	})
	mux.HandleFunc("GET /rattanspur/piece/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		number, _ := strconv.Atoi(r.URL.Query().Get("num"))
		data := pieceData(version, number)
		if rand.IntN(corruptOneIn) == 0 {
			data[len(data)/2]++
		}
		_, _ = w.Write(data)
	})
	return mux
}

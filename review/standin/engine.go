package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights of the engines, as in the site file atb-rattanspur.
const (
	modelName   = "m0"
	layerCount  = 16
	pieceCount  = 48
	pieceBytes  = 49152
	loadTime    = 300 * time.Millisecond
	engineSlots = 16
	streamParts = 8
	streamGap   = 20 * time.Millisecond
)

// pieceData returns the bytes of a piece of a version.
func pieceData(version int64, number int) []byte {
	data := make([]byte, pieceBytes)
	seed := sha256.Sum256([]byte(fmt.Sprint(version, "/", number)))
	for i := range data {
		data[i] = seed[i%len(seed)] ^ byte(i>>5)
	}
	return data
}

// origin stands in for the service that has the weights.
type origin struct {
	world *world
	mu    sync.Mutex
	// answers counts what was sent; spoilManifests is the number of manifests still to spoil.
	answers, spoilt, spoilManifests int
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	o.mu.Lock()
	o.answers++
	spoil := strings.HasPrefix(r.URL.Path, "/rattanspur/manifest/") && o.spoilManifests > 0
	if spoil {
		o.spoilManifests--
		o.spoilt++
	}
	o.mu.Unlock()
	switch r.URL.Path {
	case "/rattanspur/manifest/" + modelName:
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(pieceData(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		data, _ := json.Marshal(map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests,
		})
		if spoil {
			// One bit of one byte is wrong: a digit of the digest of piece 7.
			at := strings.Index(string(data), digests[7])
			data[at] ^= 1
			if digit := data[at]; !(digit >= '0' && digit <= '9' || digit >= 'a' && digit <= 'f') {
				data[at] ^= 1 ^ 3
			}
		}
		o.world.record.write("origin sends manifest of version %d, spoilt=%t", version, spoil)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	case "/rattanspur/piece/" + modelName:
		number, _ := strconv.Atoi(r.URL.Query().Get("num"))
		o.world.record.write("origin sends piece %d of version %d", number, version)
		_, _ = w.Write(pieceData(version, number))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// beginning is the begin of a request.
type beginning struct {
	version int64
	at      time.Time
}

// engine stands in for a model replica.
type engine struct {
	world   *world
	id      string
	zone    string
	address string

	mu       sync.Mutex
	up       bool
	born     int64
	version  int64
	loading  bool
	sequence int64
	staged   map[int][]byte
	running  int
	conns    map[net.Conn]bool
	host     string
	// parts is the number of events of a stream, and gap the time before each. ran holds the
	// requests that ran.
	parts, slots int
	gap          time.Duration
	ran          map[string]bool
	// begun holds when requests began, with their first event, and on which version. loadedAt
	// is when the engine last finished to load.
	begun    map[string]beginning
	loadedAt time.Time
	// rottenAt is when pieces turned bad, taken what was bad when the last order was accepted,
	// badLayer the part of that which nothing excuses, and spoilt the runs made with it.
	rottenAt map[int]time.Time
	taken    []string
	badLayer string
	spoilt   map[string]string
	// readTime is the time that it takes to hand out a stored piece.
	readTime time.Duration
	// onVerify, if set, is called while the loader reads back a piece of version 2.
	onVerify func()
	verified bool
}

// newEngine starts an engine that holds version 1, which is also stored there.
func (w *world) newEngine(id, zone, host string) *engine {
	e := &engine{
		world: w, id: id, zone: zone, up: true, born: time.Now().UnixMilli(), version: 1, staged: map[int][]byte{}, conns: map[net.Conn]bool{},
		host: host, rottenAt: map[int]time.Time{}, spoilt: map[string]string{},
		parts: streamParts, gap: streamGap, slots: engineSlots, ran: map[string]bool{}, begun: map[string]beginning{},
	}
	for i := range pieceCount {
		e.staged[i] = pieceData(1, i)
	}
	l := listen(host)
	e.address = l.Addr().String()
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateNew {
			e.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(e.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			e.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e
}

// state returns what the engine says of itself. The lock is held.
func (e *engine) state() map[string]any {
	models := []any{}
	layers := map[string]any{"from": 0, "to": 0, "version": 0}
	if e.version > 0 {
		models = append(models, map[string]any{"name": modelName, "version": e.version, "adapters": []any{}})
		layers = map[string]any{"from": 0, "to": layerCount, "version": e.version}
	}
	return map[string]any{
		"stage": "colocated", "models": models, "layers": layers, "busy": e.loading, "sequence": e.sequence, "born": e.born,
		"queued": 0, "running": e.running, "kv_used": 0, "kv_total": 90000, "kv_handles": 0,
	}
}

func (e *engine) register() {
	e.mu.Lock()
	up := e.up
	entry := e.state()
	e.mu.Unlock()
	if !up {
		return
	}
	for name, value := range map[string]any{
		"service": "llm-desk", "address": e.address, "zone": e.zone, "version": "1", "slots": e.slots, "state": "ready", "cold_left_ms": 0,
	} {
		entry[name] = value
	}
	e.world.store.put("servers/"+e.id, entry)
}

// losePower ends the engine's process and what is stored on its machine. Its entry in the store
// outlasts a second without heartbeats.
func (e *engine) losePower() {
	e.mu.Lock()
	e.up, e.version, e.loading, e.sequence, e.staged, e.running = false, 0, false, 0, map[int][]byte{}, 0
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.mu.Unlock()
}

// restart starts the engine's process again. It holds nothing.
func (e *engine) restart() {
	e.mu.Lock()
	e.up, e.born = true, time.Now().UnixMilli()
	e.mu.Unlock()
	e.register()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if err != nil || !up {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/rattanspur/report":
		e.mu.Lock()
		s := e.state()
		e.mu.Unlock()
		writeJSON(w, s)
	case r.URL.Path == "/rattanspur/order":
		e.serveOrder(w, body)
	case r.URL.Path == "/rattanspur/stage-put/"+modelName:
		number, _ := strconv.Atoi(r.URL.Query().Get("num"))
		e.mu.Lock()
		e.staged[number] = body
		delete(e.rottenAt, number)
		e.mu.Unlock()
	case r.URL.Path == "/rattanspur/stage-get/"+modelName:
		e.serveStaged(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) serveStaged(w http.ResponseWriter, r *http.Request) {
	time.Sleep(e.readTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.URL.Query().Has("num") {
		held := []int{}
		for number := range e.staged {
			held = append(held, number)
		}
		writeJSON(w, map[string]any{"held": held})
		return
	}
	number, _ := strconv.Atoi(r.URL.Query().Get("num"))
	if e.verifying(number) {
		e.onVerify()
	}
	data, ok := e.staged[number]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (e *engine) serveOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	_ = json.Unmarshal(body, &o)
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Op != "start":
		status = http.StatusBadRequest
	case e.loading || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case e.version == o.Version:
		status = http.StatusOK
	default:
		e.loading = true
		e.sequence++
		e.take(o.Version)
		born := e.born
		go func() {
			time.Sleep(loadTime)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.born == born {
				e.version, e.loading, e.loadedAt = o.Version, false, time.Now()
			}
		}()
	}
	e.world.record.write("order at %s: %s -> %d", e.id, body, status)
	w.WriteHeader(status)
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rattanspur-Attempt-Id")
	w.Header().Set("Rattanspur-Attempt-Id", id)
	e.mu.Lock()
	version, status := e.version, http.StatusOK
	expected := r.Header.Get("Rattanspur-Expect-Version")
	switch {
	case r.Header.Get("Rattanspur-Expect-Replica") != e.id, expected != "" && expected != fmt.Sprint(version):
		status = http.StatusMisdirectedRequest
	case version == 0 || e.loading || e.running >= e.slots:
		status = http.StatusServiceUnavailable
	default:
		e.running++
		e.ran[id] = true
		if e.badLayer != "" {
			e.spoilt[id] = e.badLayer
		}
	}
	running, born := e.running, e.born
	e.mu.Unlock()
	w.Header().Set("Rattanspur-Replica-Load", fmt.Sprintf("%d,0,%d", running, e.slots))
	if status != http.StatusOK {
		w.Header().Set("Rattanspur-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && e.running > 0 {
			e.running--
		}
	}()
	e.world.record.write("run %s at %s on version %d", id, e.id, version)
	w.Header().Set("Rattanspur-Replica-Signature", e.id+"."+id)
	w.Header().Set("Rattanspur-Weight-Versions", fmt.Sprint(version))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= e.parts; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.gap):
		}
		if i == last+1 {
			e.mu.Lock()
			e.begun[id] = beginning{version, time.Now()}
			e.mu.Unlock()
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d of %d\n\n", i, i, e.parts); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// whole reports whether a body holds all events of a stream.
func (e *engine) whole(body string) bool {
	for i := 1; i <= e.parts; i++ {
		if !strings.Contains(body, fmt.Sprintf("id: %d\n", i)) {
			return false
		}
	}
	return true
}

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Weights of the case, and times of the engine: stagePutTime for storing a piece, warmTime for
// loading.
const (
	pieces       = 48
	pieceBytes   = 49152
	stagePutTime = 15 * time.Millisecond
	warmTime     = 300 * time.Millisecond
)

// holdOrder is how long the engine hangs on one order before it takes it up. namedAfter is how
// long after that order has arrived the next version is named.
const (
	holdOrder  = 3 * time.Second
	namedAfter = 700 * time.Millisecond
	watchFor   = 12 * time.Second
)

// piece returns the content of a piece of a version.
func piece(version int64, number int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d-%d", version, number))
	return bytes.Repeat(sum[:], pieceBytes/len(sum))
}

// origin is a stand-in of the service that has the weights.
type origin struct {
	mu     sync.Mutex
	newest int64
}

func (o *origin) serve(w http.ResponseWriter, q *http.Request) {
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	version := newest
	if v := q.URL.Query().Get("version"); v != "" {
		version, _ = strconv.ParseInt(v, 10, 64)
	}
	switch {
	case version <= newest-2:
		w.WriteHeader(http.StatusGone)
	case version > newest || version < 1:
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(q.URL.Path, "/rattanspur/manifest/"):
		var digests []string
		for n := range pieces {
			sum := sha256.Sum256(piece(version, n))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		writeJSON(w, map[string]any{"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layers, "digests": digests})
	case strings.HasPrefix(q.URL.Path, "/rattanspur/piece/"):
		n, _ := strconv.Atoi(q.URL.Query().Get("num"))
		_, _ = w.Write(piece(version, n))
	}
}

// loadingEngine is a stand-in of a model replica that loads weights.
type loadingEngine struct {
	rec     *recorder
	id      string
	address string
	born    int64
	// hold is how long it hangs on the first order to load heldVersion; held is closed when
	// that has arrived.
	hold        time.Duration
	heldVersion int64
	held        chan struct{}
	holdOnce    sync.Once

	mu       sync.Mutex
	staged   map[int][]byte
	version  int64 // 0 while it loads
	sequence int64
	busy     bool
	running  int
	// foreign is how many of the pieces that were loaded are not those of the version.
	foreign int
	// mixedTokens counts the events made with such weights, and tokens all events.
	mixedTokens, tokens int
}

func (g *loadingEngine) serve(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Rattanspur-Replica-Id", g.id)
	switch {
	case q.URL.Path == "/rattanspur/report":
		g.mu.Lock()
		defer g.mu.Unlock()
		report := g.state()
		report["busy"], report["sequence"], report["queued"], report["running"] = g.busy, g.sequence, 0, g.running
		writeJSON(w, report)
	case strings.HasPrefix(q.URL.Path, "/rattanspur/stage-put/"):
		g.put(w, q)
	case strings.HasPrefix(q.URL.Path, "/rattanspur/stage-get/"):
		g.get(w, q)
	case q.URL.Path == "/rattanspur/order":
		g.order(w, q)
	case q.URL.Path != "/healthz":
		g.run(w, q)
	}
}

// state returns what the engine says of itself. The caller holds the lock.
func (g *loadingEngine) state() map[string]any {
	models := []any{}
	held := map[string]any{"from": 0, "to": 0, "version": g.version}
	if g.version > 0 {
		models = append(models, map[string]any{"name": modelName, "version": g.version, "adapters": []any{}})
		held["to"] = layers
	}
	return map[string]any{"stage": "colocated", "models": models, "layers": held, "born": g.born}
}

func (g *loadingEngine) put(w http.ResponseWriter, q *http.Request) {
	n, _ := strconv.Atoi(q.URL.Query().Get("num"))
	data, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	time.Sleep(stagePutTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.staged[n] = data
}

func (g *loadingEngine) get(w http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	num := q.URL.Query().Get("num")
	if num == "" {
		held := []int{}
		for n := range g.staged {
			held = append(held, n)
		}
		writeJSON(w, map[string]any{"held": held})
		return
	}
	n, _ := strconv.Atoi(num)
	data, ok := g.staged[n]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// order takes up an order. The staged pieces count as they are at that moment.
func (g *loadingEngine) order(w http.ResponseWriter, q *http.Request) {
	var d struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(q.Body).Decode(&d) != nil || d.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.rec.log("order to load version %d arrives", d.Version)
	if d.Version == g.heldVersion {
		g.holdOnce.Do(func() {
			close(g.held)
			time.Sleep(g.hold)
		})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy || d.Expected != nil && *d.Expected != g.sequence {
		g.rec.log("order to load version %d does not fit", d.Version)
		w.WriteHeader(http.StatusConflict)
		return
	}
	if g.version == d.Version {
		return
	}
	foreign := 0
	for n := range pieces {
		if !bytes.Equal(g.staged[n], piece(d.Version, n)) {
			foreign++
		}
	}
	g.sequence++
	g.busy = true
	g.rec.log("order to load version %d is taken up: %d of %d pieces are of another version", d.Version, foreign, pieces)
	go g.load(d.Version, foreign)
	w.WriteHeader(http.StatusAccepted)
}

// load waits for what is running, and loads.
func (g *loadingEngine) load(version int64, foreign int) {
	for {
		g.mu.Lock()
		if g.running == 0 {
			g.version = 0
			g.mu.Unlock()
			break
		}
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version, g.foreign, g.busy = version, foreign, false
	g.rec.log("version %d is loaded", version)
}

// run runs a request of a client.
func (g *loadingEngine) run(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Rattanspur-Attempt-Id")
	h := w.Header()
	h.Set("Rattanspur-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, q.Body)
	g.mu.Lock()
	expect, version := q.Header.Get("Rattanspur-Expect-Version"), fmt.Sprint(g.version)
	switch {
	case q.Header.Get("Rattanspur-Expect-Replica") != g.id, expect != "" && expect != version && g.version != 0:
		g.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case g.busy || g.version == 0 || g.running >= engineSlots:
		g.mu.Unlock()
		h.Set("Rattanspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.running++
	foreign := g.foreign
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.running--
		g.mu.Unlock()
	}()
	g.rec.log("run %s with version %s, %d pieces of another version", id, version, foreign)
	h.Set("Rattanspur-Replica-Signature", g.id+".sig")
	h.Set("Rattanspur-Weight-Versions", version)
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= usualEvents/2; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		g.mu.Lock()
		g.tokens++
		if foreign > 0 {
			g.mixedTokens++
		}
		g.mu.Unlock()
		time.Sleep(eventGap / 2)
	}
}

// whole: an engine hangs on an order, and a newer version is named meanwhile. No token may be
// made with pieces of two versions.
func whole(e *env) (int, error) {
	s := newStore()
	storeL, err := net.Listen("tcp", net.JoinHostPort(e.hosts.next().String(), "0"))
	if err != nil {
		return unable, err
	}
	go func() { _ = http.Serve(storeL, s.handler()) }()
	o := &origin{newest: 1}
	originL, err := net.Listen("tcp", net.JoinHostPort(e.hosts.next().String(), "0"))
	if err != nil {
		return unable, err
	}
	go func() { _ = http.Serve(originL, http.HandlerFunc(o.serve)) }()
	sideIP, ip := e.hosts.next(), e.hosts.next()
	engineL, err := net.Listen("tcp", net.JoinHostPort(sideIP.String(), "0"))
	if err != nil {
		return unable, err
	}
	g := &loadingEngine{
		rec: e.rec, id: "i-7f3a91c2", address: engineL.Addr().String(), born: time.Now().UnixMilli(),
		heldVersion: 2, held: make(chan struct{}), staged: map[int][]byte{}, version: 1,
	}
	if e.trouble {
		g.hold = holdOrder
		// For trials only.
		if ms, err := strconv.Atoi(os.Getenv("HOLD_MS")); err == nil {
			g.hold = time.Duration(ms) * time.Millisecond
		}
	}
	for n := range pieces {
		g.staged[n] = piece(1, n)
	}
	go func() { _ = http.Serve(engineL, http.HandlerFunc(g.serve)) }()
	config := engineConfig()
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": "haulage-desk", "origin": originL.Addr().String(), "zone": "accra-a", "link_mbps": 15.0, "max_conns": 48,
	})
	s.put("op/config", config)
	end := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(end)
	beat := func(n int) {
		g.mu.Lock()
		entry := g.state()
		g.mu.Unlock()
		for name, v := range map[string]any{
			"service": "llm-desk", "address": g.address, "zone": "accra-a", "version": "v1", "slots": engineSlots, "state": "ready",
			"cold_left_ms": 0, "sequence": n,
		} {
			entry[name] = v
		}
		s.put("servers/"+g.id, entry)
	}
	beat(0)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 1; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(heartbeat):
			}
			beat(n)
		}
	}()

	seeds := []string{net.JoinHostPort(ip.String(), controlPort)}
	gatewayFile, loaderFile := filepath.Join(e.dir, "gateway.json"), filepath.Join(e.dir, "loader.json")
	if err := gatewaySettings(gatewayFile, "edge-accra-a-1", "accra-a", ip, storeL.Addr().String(), seeds); err != nil {
		return unable, err
	}
	if err := loaderSettings(loaderFile, "side-accra-a-1", "accra-a", sideIP, storeL.Addr().String(), seeds, g.address); err != nil {
		return unable, err
	}
	for role, file := range map[string]string{"gateway": gatewayFile, "seeder": gatewayFile, "loader": loaderFile} {
		p, err := start(e.root, role, file, filepath.Join(e.dir, role+".log"))
		if err != nil {
			return unable, err
		}
		defer p.kill()
	}
	if !waitReady(ip) {
		return unable, fmt.Errorf("the gateway is not ready")
	}
	front := net.JoinHostPort(ip.String(), frontPort)
	var mu sync.Mutex
	complete := 0
	for i := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("a%d%06x", i, n)
				a := postStream(c, front, id, fmt.Sprintf("%d%05x", i+1, n), "prompt "+id)
				e.rec.log("answer %s: %d, %d events, complete=%v", id, a.status, a.events, a.complete)
				if a.complete && a.status == http.StatusOK {
					mu.Lock()
					complete++
					mu.Unlock()
				}
			}
		}()
	}
	name := func(version int64) {
		o.mu.Lock()
		o.newest = version
		o.mu.Unlock()
		s.put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
		e.rec.log("version %d is named", version)
	}
	time.Sleep(3 * time.Second)
	name(2)
	select {
	case <-g.held:
	case <-time.After(20 * time.Second):
		return unable, fmt.Errorf("no order to load version 2")
	}
	time.Sleep(namedAfter)
	name(3)
	time.Sleep(watchFor)
	mu.Lock()
	defer mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.rec.log("%d events, %d of them made with pieces of two versions; %d complete streams", g.tokens, g.mixedTokens, complete)
	fmt.Println("events", g.tokens, "mixed", g.mixedTokens, "complete streams", complete, "version", g.version)
	switch {
	case complete < 20:
		return unable, fmt.Errorf("only %d complete streams", complete)
	case g.mixedTokens > 0:
		return broken, nil
	}
	return held, nil
}

// loaderSettings writes the settings file of a loader.
func loaderSettings(path, name, zone string, ip net.IP, store string, seeds []string, app string) error {
	data, err := json.Marshal(map[string]any{
		"node_name": name, "role": "loader", "machine_class": "side", "serves": []string{"side"},
		"ip": ip.String(), "zone": zone, "region": regions[zone], "zones": regions, "listen": map[string]any{},
		"internal_ports": []int{internalPort, internalPort + internalPorts - 1}, "seeds": seeds, "bootstrap": true, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 152, "max_fds": 2048, "link_mbps": 9.4, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "anycast", "heartbeat_ms": 1200, "bounds": bounds,
		"app": app, "service": "llm-desk",
		"platform": map[string]any{
			"address": store, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return writeFile(path, data)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelName is the model that all engines serve.
const modelName = "daka510000"

// heartbeat is the interval of the entries that replicas write; an entry goes after three.
const heartbeat = 1200 * time.Millisecond

// engineService returns a service of model replicas, with the figures of atb-rattanspur.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 344, "protocol": "h1", "tls": false, "cold_per_s": 38,
		"engine": map[string]any{
			"slots": 16, "layers": 16, "layer_mb": 4540, "size_mb": 297000, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203,
			"read_per_s": 31900, "pairs_per_m": 0.733, "chunk": 2048, "stride": 6, "report_lag_ms": 200,
			"models": []map[string]any{{"name": modelName}}, "usual": map[string]any{"prompt": 940, "answer": 100},
		},
	}
}

// engine is a stand-in for a model replica. Each start has its own id.
type engine struct {
	world               *world
	name, service, zone string
	address             string
	// poison is the part that crashes the engine when it begins to write an answer; empty if
	// none does. onPoison is called for each request that holds it.
	poison   string
	onPoison func(id string, at time.Time, crashed bool)
	// down is how long a crashed engine is away.
	down time.Duration
	// full is whether other callers take all places of the engine and of its queue, so that it
	// rejects requests.
	full bool
	// events and gap are the number of events of an answer and the time between two.
	events int
	gap    time.Duration
	// firstWritten is whether the first event of the answer is sent before the crash.
	firstWritten bool

	mu       sync.Mutex
	starts   int
	id       string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	// resumeAt is the end of a pause, in which the engine sends nothing and goes on later.
	resumeAt time.Time
}

func (w *world) newEngine(name, service, zone string) *engine {
	e := &engine{world: w, name: name, service: service, zone: zone, address: fmt.Sprintf("%s:%d", w.host(), appPort), down: 3 * time.Second, events: answerEvents, gap: eventGap}
	e.boot()
	return e
}

// boot starts the engine under a new id and registers it.
func (e *engine) boot() {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.starts++
	e.id, e.born = fmt.Sprintf("i-%s-%d", e.name, e.starts), time.Now().UnixMilli()
	e.listener, e.conns, e.running = l, map[net.Conn]bool{}, 0
	id := e.id
	e.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(e.serve),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch s {
			case http.StateNew:
				e.conns[c] = true
			case http.StateClosed:
				delete(e.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	e.world.store.put("servers/"+id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0,
		"stage": "colocated", "sequence": 0, "born": e.born, "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}},
		"layers": map[string]any{"from": 0, "to": 16, "version": 1},
	})
}

// crash resets all connections of the engine. It is back after some seconds, under a new id;
// the entry of the crashed start goes after three heartbeat intervals.
func (e *engine) crash() {
	e.mu.Lock()
	l, conns, id := e.listener, e.conns, e.id
	e.listener, e.conns = nil, map[net.Conn]bool{}
	e.mu.Unlock()
	if l == nil {
		return
	}
	e.world.log("%s crashes", id)
	_ = l.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(3*heartbeat, func() { e.world.store.remove("servers/" + id) })
	time.AfterFunc(e.down, e.boot)
}

// take takes a slot for a request that runs here.
func (e *engine) take(req *http.Request) (id string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case req.Header.Get("Rattanspur-Expect-Replica") != e.id:
		return e.id, http.StatusMisdirectedRequest
	case req.Header.Get("Rattanspur-Expect-Version") != "" && req.Header.Get("Rattanspur-Expect-Version") != "1":
		return e.id, http.StatusMisdirectedRequest
	case e.full || e.running >= 16:
		return e.id, http.StatusServiceUnavailable
	}
	e.running++
	return e.id, http.StatusOK
}

func (e *engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == e.id {
		e.running--
	}
}

// Times of an answer: until its first event, and between two events.
const (
	firstEvent   = 60 * time.Millisecond
	eventGap     = 45 * time.Millisecond
	answerEvents = 12
)

// serve answers a request with a stream of events, or crashes as it begins to write one.
func (e *engine) serve(rw http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Rattanspur-Attempt-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	poisoned := e.poison != "" && strings.Contains(req.Header.Get("Rattanspur-Prefix-Hash"), e.poison+":")
	id, status := e.take(req)
	h := rw.Header()
	h.Set("Rattanspur-Attempt-Id", attempt)
	h.Set("Rattanspur-Weight-Versions", "1")
	h.Set("Rattanspur-Replica-Load", e.load())
	if status != http.StatusOK {
		h.Set("Rattanspur-Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	defer e.release(id)
	h.Set("Rattanspur-Replica-Signature", "sig."+id+"."+attempt)
	h.Set("Content-Type", "text/event-stream")
	time.Sleep(firstEvent)
	if poisoned {
		e.onPoison(attempt, time.Now(), e.world.trouble)
		if e.world.trouble {
			e.world.log("%s begins to write an answer to %s", id, attempt)
			if e.firstWritten {
				_, _ = fmt.Fprintf(rw, "id: %s\ndata: %s event 1\n\n", nextEvent(req.Header.Get("Last-Event-Id")), attempt)
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(20 * time.Millisecond)
			}
			e.crash()
			return
		}
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(rw)
	for i := after + 1; i <= e.events; i++ {
		e.awaitResume()
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s event %d\n\n", i, attempt, i)
		if err != nil || flush.Flush() != nil || req.Context().Err() != nil {
			return
		}
		time.Sleep(e.gap)
	}
}

// load returns the numbers of running and waiting requests and of slots.
func (e *engine) load() string {
	if e.full {
		return "16,32,16"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,16", e.running)
}

// pause makes the engine silent for a time.
func (e *engine) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumeAt = time.Now().Add(d)
}

// awaitResume waits for the end of a pause.
func (e *engine) awaitResume() {
	e.mu.Lock()
	at := e.resumeAt
	e.mu.Unlock()
	time.Sleep(time.Until(at))
}

// nextEvent returns the id of the event after the one that the caller has.
func nextEvent(last string) string {
	n, _ := strconv.Atoi(last)
	return strconv.Itoa(n + 1)
}

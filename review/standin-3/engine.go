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

// Properties of the model engines. An event comes every eventGap; a usual stream has
// usualEvents, the harmful one would have harmfulEvents.
const (
	engineSlots   = 16
	layers        = 16
	modelName     = "daka510000"
	eventGap      = 50 * time.Millisecond
	firstEvent    = 100 * time.Millisecond
	usualEvents   = 20
	harmfulEvents = 115
	harmfulBody   = "a prompt that makes an engine run out of memory"
	restartTime   = 3 * time.Second
)

// engineRun is a request that has reached an engine.
type engineRun struct {
	at      time.Time
	request string
	harmful bool
}

// engine is a stand-in of a model replica that crashes a while after it has begun to run the
// harmful request, and is back after restartTime as a new incarnation.
type engine struct {
	name       string
	ip         net.IP
	rec        *recorder
	store      *store
	crashAfter time.Duration // 0 if it does not crash

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	runs     []engineRun
	crashes  []time.Time
	up       bool
	ended    bool
}

func newEngine(e *env, s *store, name string, crashAfter time.Duration) (*engine, error) {
	g := &engine{name: name, ip: e.hosts.next(), rec: e.rec, store: s, crashAfter: crashAfter}
	return g, g.start()
}

// start begins a new incarnation at the address of the one before.
func (g *engine) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil
	}
	address := g.address
	if address == "" {
		address = net.JoinHostPort(g.ip.String(), "0")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.starts++
	g.id, g.born, g.address = fmt.Sprintf("i-%s-%d", g.name, g.starts), time.Now().UnixMilli(), l.Addr().String()
	g.listener, g.conns, g.running, g.up = l, map[net.Conn]bool{}, 0, true
	server := &http.Server{Handler: g.handler(g.id), ConnState: func(c net.Conn, s http.ConnState) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if s == http.StateNew {
			g.conns[c] = true
		}
		if s == http.StateClosed {
			delete(g.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	g.rec.log("%s starts at %s", g.id, g.address)
	return nil
}

// crash ends the incarnation: its connections are reset, its entry stays until it expires.
func (g *engine) crash(id string) {
	g.mu.Lock()
	if g.id != id || !g.up {
		g.mu.Unlock()
		return
	}
	g.up = false
	g.crashes = append(g.crashes, time.Now())
	_ = g.listener.Close()
	for c := range g.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	g.rec.log("%s crashes, running the harmful request", id)
	g.mu.Unlock()
	time.AfterFunc(expireAfter, func() { g.store.remove("servers/" + id) })
	time.AfterFunc(restartTime, func() { _ = g.start() })
}

// expireAfter is the time in which the entry of a silent replica expires: three heartbeats.
const expireAfter = 3 * heartbeat

func (g *engine) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		request := q.Header.Get("Rattanspur-Attempt-Id")
		h := w.Header()
		h.Set("Rattanspur-Attempt-Id", request)
		h.Set("Rattanspur-Replica-Id", id)
		if q.URL.Path == "/healthz" {
			return
		}
		if e := q.Header.Get("Rattanspur-Expect-Replica"); e != "" && e != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if v := q.Header.Get("Rattanspur-Expect-Version"); v != "" && v != "1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		harmful := string(body) == harmfulBody
		g.mu.Lock()
		if g.running >= engineSlots {
			g.mu.Unlock()
			h.Set("Rattanspur-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.running++
		g.runs = append(g.runs, engineRun{at: time.Now(), request: request, harmful: harmful})
		load := fmt.Sprintf("%d,0,%d", g.running, engineSlots)
		g.mu.Unlock()
		defer func() {
			g.mu.Lock()
			g.running--
			g.mu.Unlock()
		}()
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		g.rec.log("run %s at %s after event %d harmful=%v", request, id, from, harmful)
		h.Set("Rattanspur-Replica-Signature", id+".sig")
		h.Set("Rattanspur-Replica-Load", load)
		h.Set("Rattanspur-Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		g.stream(w, q, id, from, harmful)
	})
}

// stream writes the events after one.
func (g *engine) stream(w http.ResponseWriter, q *http.Request, id string, from int, harmful bool) {
	last := usualEvents
	if harmful {
		last = harmfulEvents
	}
	time.Sleep(firstEvent)
	if harmful && g.crashAfter > 0 {
		timer := time.AfterFunc(g.crashAfter, func() { g.crash(id) })
		defer timer.Stop()
	}
	for n := from + 1; n <= last; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

// beat writes the entry of a running incarnation.
func (g *engine) beat(sequence int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return
	}
	g.store.put("servers/"+g.id, map[string]any{
		"service": "llm-desk", "address": g.address, "zone": "accra-a", "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}},
		"layers": map[string]any{"from": 0, "to": layers, "version": 1}, "born": g.born, "sequence": sequence,
	})
}

func (g *engine) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	_ = g.listener.Close()
}

// streamAnswer is how a stream ended at the client.
type streamAnswer struct {
	status   int
	events   int
	complete bool
	err      error
}

// postStream sends a streaming request and reads its events.
func postStream(c *http.Client, front, id, key, body string) streamAnswer {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/lepu270/x", strings.NewReader(body))
	if err != nil {
		return streamAnswer{err: err}
	}
	req.Host = "jepu9.example"
	for name, value := range map[string]string{
		"Rattanspur-Attempt-Id": id, "Rattanspur-Model": modelName, "Rattanspur-Token-Counts": "400,540",
		"Rattanspur-Prefix-Hash": "5c1e07a2:40," + key + ":360", "Rattanspur-Deadline-Ms": "6000",
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return streamAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return streamAnswer{status: resp.StatusCode, events: strings.Count(string(data), "data:"), complete: err == nil, err: err}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// desk stands in for a replica of a plain service. It answers each request with a body that
// names the request and the replica.
type desk struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	bornAt  int64
	work    time.Duration
	// answer, if set, may write the answer to a run itself; it then returns true.
	answer func(d *desk, w http.ResponseWriter, id, body string) bool

	mu sync.Mutex
	// bodies maps the requests that ran to the body that was made for each.
	bodies map[string]string
	runs   map[string]int
	ranAt  map[string]time.Time
	busy   int
	// arrivedAt holds when requests arrived that were meant for this replica.
	arrivedAt []time.Time
	coldUntil time.Time
	// withdrawn says that the entry was removed from the store.
	withdrawn bool
}

const deskSlots = 6

func (w *world) newDesk(id, service, zone string) *desk {
	d := &desk{
		world: w, id: id, service: service, zone: zone, bornAt: time.Now().UnixMilli(), work: 15 * time.Millisecond,
		bodies: map[string]string{}, runs: map[string]int{}, ranAt: map[string]time.Time{},
	}
	d.address = w.serve(w.newHost(), d)
	d.register("ready")
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			d.mu.Lock()
			if !d.withdrawn {
				d.register("ready")
			}
			d.mu.Unlock()
		}
	}()
	return d
}

// register writes the replica's entry to the store.
func (d *desk) register(state string) time.Time {
	return d.world.store.put("servers/"+d.id, map[string]any{
		"service": d.service, "address": d.address, "zone": d.zone, "version": "1", "slots": deskSlots, "state": state,
		"cold_left_ms": max(time.Until(d.coldUntil).Milliseconds(), 0), "sequence": 0, "born": d.bornAt,
	})
}

// withdraw removes the replica's entry from the store. The replica goes on serving. It returns
// the time of the acknowledgement.
func (d *desk) withdraw() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.withdrawn = true
	return d.world.store.remove("servers/" + d.id)
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Rattanspur-Attempt-Id")
	w.Header().Set("Rattanspur-Attempt-Id", id)
	if expected := r.Header.Get("Rattanspur-Expect-Replica"); expected != "" && expected != d.id {
		w.Header().Set("Rattanspur-Replica-Id", d.id)
		w.Header().Set("Rattanspur-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.mu.Lock()
	d.arrivedAt = append(d.arrivedAt, time.Now())
	d.busy++
	busy := d.busy
	full := busy > deskSlots
	if !full {
		d.runs[id]++
		d.ranAt[id] = time.Now()
		d.bodies[id] = fmt.Sprintf("result of %s at %s for %d bytes\n", id, d.id, len(body))
	}
	text := d.bodies[id]
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.busy--
		d.mu.Unlock()
	}()
	w.Header().Set("Rattanspur-Replica-Load", fmt.Sprintf("%d,0,%d", min(busy, deskSlots), deskSlots))
	if full {
		w.Header().Set("Rattanspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.world.record.write("run %s at %s %s %s", id, d.id, r.Method, r.RequestURI)
	time.Sleep(d.work)
	w.Header().Set("Rattanspur-Replica-Signature", d.signature(id))
	if d.answer != nil && d.answer(d, w, id, text) {
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

func (d *desk) signature(id string) string { return d.id + "." + id }

// made returns the body that was made for a request, and how often the request ran.
func made(id string, desks ...*desk) (bodies []string, runs int) {
	for _, d := range desks {
		d.mu.Lock()
		if d.runs[id] > 0 {
			bodies = append(bodies, d.bodies[id])
			runs += d.runs[id]
		}
		d.mu.Unlock()
	}
	return bodies, runs
}

// route returns a route of the configuration.
func route(name, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "route_kind": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "goal_ms": 100, "gap_goal_ms": 0, "max_attempts": 2, "resumable": false, "priority": 0,
	}
}

const (
	host = "desk.example"
	key  = "key-of-tenant-one"
)

// configuration returns a configuration with one tenant.
func configuration(routes []any, services []any) map[string]any {
	return map[string]any{
		"version": 3, "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": "tenant-one", "api_keys": []string{key}}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	}
}

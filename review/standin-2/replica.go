package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names in the configuration of the cases.
const (
	hostName  = "jepu9.example"
	key       = "jnbanfqasnmgkcuyj8pj"
	tenant    = "bozi300"
	idleLimit = 15 * time.Second
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "route_kind": kind, "timeout_ms": 6000, "goal_ms": 400, "priority": 1,
		"service": service, "max_attempts": 2, "anonymous": false, "allowed_regions": []string{},
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns a configuration with the limits of the example in the users' pages.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds()},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}},
	}
}

// plainService returns a service without a model.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 344, "protocol": "h1", "tls": false}
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	id, service, address, zone string
	born                       int64
	slots                      int
	// answer writes the answer to a request that runs.
	answer func(w http.ResponseWriter, r *http.Request)
	// onRun is called with each request that runs, if it is set.
	onRun func(id, body string)

	mu  sync.Mutex
	ran map[string]int
}

// newReplica starts a replica and registers it in the store.
func (w *world) newReplica(id, service, zone string, slots int) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), ran: map[string]int{}}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.host(), appPort))
	if err != nil {
		panic(err)
	}
	r.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { r.serve(w, rw, req) })}
	go func() { _ = server.Serve(l) }()
	w.register(r, "ready")
	return r
}

func (w *world) register(r *replica, state string) {
	w.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_left_ms": 0, "sequence": 0, "born": r.born,
	})
}

// serve runs a request, unless it is meant for another replica.
func (r *replica) serve(w *world, rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Rattanspur-Attempt-Id")
	rw.Header().Set("Rattanspur-Attempt-Id", id)
	rw.Header().Set("Rattanspur-Replica-Signature", "sig."+r.id+"."+id)
	if expected := req.Header.Get("Rattanspur-Expect-Replica"); expected != "" && expected != r.id {
		rw.Header().Set("Rattanspur-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	w.log("%s runs %s: %s %s, %d bytes", r.id, id, req.Method, req.RequestURI, len(body))
	if r.onRun != nil {
		r.onRun(id, string(body))
	}
	r.answer(rw, req)
}

// runs returns how often a request has run.
func (r *replica) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

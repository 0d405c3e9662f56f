package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// One of the two replicas is faulty (share 0.5) for spoilTime. It spoils one answer in
// spoiltOneIn (0.04).
const (
	spoiltOneIn = 25
	spoilAfter  = time.Second
	spoilTime   = 5 * time.Second
)

// playInterimStatus lets a replica spoil the status line of some answers, so that it states
// an interim status, and checks that no client gets a success that is not a replica's answer.
func playInterimStatus(w *world) []string {
	edges := []*machine{w.newMachine("edge-1", "accra-a"), w.newMachine("edge-2", "kumasi-a")}
	for _, m := range edges {
		w.seeds = append(w.seeds, m.control())
	}
	var answered atomic.Int64
	desks := []*desk{w.newDesk("i-desk-1", "orders-api", "accra-a"), w.newDesk("i-desk-2", "orders-api", "kumasi-a")}
	spoilt := map[string]bool{}
	var mu sync.Mutex
	var from time.Time
	desks[0].answer = func(d *desk, rw http.ResponseWriter, id, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(from)
		if !w.trouble || from.IsZero() || since < spoilAfter || since > spoilAfter+spoilTime || answered.Add(1)%spoiltOneIn != 0 {
			return false
		}
		spoilt[id] = true
		return d.writeSpoilt(rw, id, body)
	}
	w.store.put("op/config", configuration(
		[]any{route("order", "unsafe", "orders-api", time.Second), route("stock", "safe", "orders-api", time.Second)},
		[]any{map[string]any{"name": "orders-api", "health_path": "/healthz"}},
	))
	for _, m := range edges {
		m.launch("gateway")
	}
	w.waitReady(edges...)
	c := w.newClient()
	mu.Lock()
	from = time.Now()
	mu.Unlock()
	var wg sync.WaitGroup
	replies := make([]reply, 400)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			front, id := edges[i%2].front(), fmt.Sprintf("%08x%08x", os.Getpid(), i)
			path := "/order/book"
			if i%4 == 3 {
				path = "/stock/item"
			}
			replies[i] = c.send(front, http.MethodPost, path, id, fmt.Sprintf("request %d", i), time.Second, nil)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	var broken []string
	for _, r := range replies {
		if r.status/100 != 2 {
			continue
		}
		bodies, runs := made(r.id, desks...)
		if slices.Contains(bodies, r.body) && r.signature != "" {
			served++
			continue
		}
		broken = append(broken, fmt.Sprintf("MIXED: the client of %s got %d with signature %q and %d bytes; the replicas ran it %d times and made %q; spoilt: %t",
			r.id, r.status, r.signature, len(r.body), runs, bodies, spoilt[r.id]))
	}
	w.record.say("%d requests, %d served, %d answers spoilt", len(replies), served, len(spoilt))
	if w.trouble && len(spoilt) == 0 {
		cannotRun("no answer was spoilt")
	}
	if served < len(replies)/2 {
		cannotRun("only %d of %d requests were served", served, len(replies))
	}
	return broken
}

// writeSpoilt writes an answer whose status line states 100 in place of 200. With
// VARIANT=interim it writes an interim answer ahead of the sound one instead.
func (d *desk) writeSpoilt(rw http.ResponseWriter, id, body string) bool {
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	d.world.record.write("spoil %s at %s", id, d.id)
	head := fmt.Sprintf("Rattanspur-Attempt-Id: %s\r\nRattanspur-Replica-Signature: %s\r\nContent-Length: %d\r\n\r\n", id, d.signature(id), len(body))
	if os.Getenv("VARIANT") == "interim" {
		_, _ = buffer.WriteString("HTTP/1.1 103 Early Hints\r\nRattanspur-Attempt-Id: " + id + "\r\n\r\nHTTP/1.1 200 OK\r\n" + head + body)
	} else {
		_, _ = buffer.WriteString("HTTP/1.1 100 OK\r\n" + head + body)
	}
	_ = buffer.Flush()
	time.Sleep(5 * time.Millisecond)
	return true
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"
)

// Times of the case. cutFor is the length of the longest core_cut of the site. A cut begins
// beforeBeat before the replicas write their entries. lingerFor is how long a replica goes on
// serving after its entry was removed.
const (
	drainRounds   = 6
	beforeCut     = 3500 * time.Millisecond
	beforeBeat    = 60 * time.Millisecond
	cutFor        = 5500 * time.Millisecond
	removeBefore  = 300 * time.Millisecond
	afterCut      = 5500 * time.Millisecond
	lingerFor     = 7 * time.Second
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	heartbeat     = 1200 * time.Millisecond
	callerPause   = 25 * time.Millisecond
	callerTimeout = 600 * time.Millisecond
)

// drain: a gateway is cut off from the store, and a replica leaves meanwhile. No request may
// reach it once the gateway has been in touch again for contact_ms.
func drain(e *env) (int, error) {
	s := newStore()
	storeL, err := net.Listen("tcp", net.JoinHostPort(e.hosts.next().String(), "0"))
	if err != nil {
		return unable, err
	}
	go func() { _ = http.Serve(storeL, s.handler()) }()
	k, err := newLink(e.hosts.next(), storeL.Addr().String())
	if err != nil {
		return unable, err
	}
	s.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-stock", "host": "hulo84.example", "prefix": "/boye614/", "route_kind": "safe", "timeout_ms": 600, "goal_ms": 100,
			"priority": 2, "service": "orders-api", "max_attempts": 2, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "orders-api", "health_path": "/healthz", "max_conns": 52, "protocol": "h1", "cold_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var replicas []*replica
	for i := range drainRounds + 2 {
		r, err := newReplica(e.rec, e.hosts.next(), fmt.Sprintf("i-%02d", i), "orders-api", "accra-a", 15*time.Millisecond)
		if err != nil {
			return unable, err
		}
		replicas = append(replicas, r)
	}
	beats := newBeats(s)
	defer beats.stop()
	beats.add(replicas[drainRounds])
	beats.add(replicas[drainRounds+1])

	ip := e.hosts.next()
	settings := filepath.Join(e.dir, "boot.json")
	if err := gatewaySettings(settings, "edge-accra-a-1", "accra-a", ip, k.address, []string{net.JoinHostPort(ip.String(), controlPort)}); err != nil {
		return unable, err
	}
	p, err := start(e.root, "gateway", settings, filepath.Join(e.dir, "gateway.log"))
	if err != nil {
		return unable, err
	}
	defer p.kill()
	if !waitReady(ip) {
		return unable, fmt.Errorf("the gateway is not ready")
	}
	calls := newCallers(e.rec, net.JoinHostPort(ip.String(), frontPort), 4)
	defer calls.stop()

	late := 0
	for round := range drainRounds {
		leaving := replicas[round]
		beats.add(leaving)
		e.rec.log("round %d: %s is registered", round, leaving.id)
		time.Sleep(beforeCut)
		beats.waitUntilBefore(beforeBeat)
		if e.trouble {
			k.setCut(true)
			e.rec.log("the gateway is cut off from the store")
		}
		time.Sleep(cutFor - removeBefore)
		removedAt := beats.remove(leaving)
		e.rec.log("the entry of %s is removed, acknowledged", leaving.id)
		time.Sleep(removeBefore)
		if e.trouble {
			k.setCut(false)
			e.rec.log("the path to the store is there again")
		}
		inTouch := time.Now().Add(contactTime)
		if !e.trouble {
			inTouch = removedAt
		}
		time.Sleep(afterCut)
		n := leaving.lateArrivals(inTouch, removedAt.Add(drainTime), removedAt.Add(lingerFor), calls)
		late += n
		e.rec.log("round %d: %d requests reached %s after drain_ms, sent by a machine in touch", round, n, leaving.id)
		_ = leaving.server.Close()
	}
	ok, failed := calls.counts()
	e.rec.log("%d answers of replicas, %d other ends, %d late arrivals", ok, failed, late)
	if ok < 100 {
		return unable, fmt.Errorf("only %d answers", ok)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// lateArrivals counts the requests that were sent by their client after a time, and reached
// the replica after another one while it still serves.
func (r *replica) lateArrivals(sentAfter, after, until time.Time, calls *callers) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		sent, known := calls.sentAt(a.request)
		if known && sent.After(sentAfter) && a.at.After(after) && a.at.After(sentAfter) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// beats writes the entries of replicas at each heartbeat.
type beats struct {
	store *store
	mu    sync.Mutex
	on    map[string]*replica
	n     int
	next  time.Time
	end   chan struct{}
}

func newBeats(s *store) *beats {
	b := &beats{store: s, on: map[string]*replica{}, end: make(chan struct{})}
	b.next = time.Now().Add(heartbeat)
	go func() {
		for {
			select {
			case <-b.end:
				return
			case <-time.After(time.Until(b.next)):
			}
			b.mu.Lock()
			b.next = b.next.Add(heartbeat)
			for _, r := range b.on {
				b.write(r)
			}
			b.mu.Unlock()
		}
	}()
	return b
}

// waitUntilBefore waits until a time before the next beat.
func (b *beats) waitUntilBefore(d time.Duration) {
	b.mu.Lock()
	next := b.next
	b.mu.Unlock()
	if time.Until(next) < d {
		next = next.Add(heartbeat)
	}
	time.Sleep(time.Until(next) - d)
}

func (b *beats) write(r *replica) {
	b.n++
	b.store.put("servers/"+r.id, r.entry(b.n))
}

func (b *beats) add(r *replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.on[r.id] = r
	b.write(r)
}

// remove removes the entry of a replica and returns the time of the acknowledgement.
func (b *beats) remove(r *replica) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.on, r.id)
	return b.store.remove("servers/" + r.id)
}

func (b *beats) stop() { close(b.end) }

// callers send safe requests on connections that they keep.
type callers struct {
	rec        *recorder
	mu         sync.Mutex
	sent       map[string]time.Time
	ok, failed int
	end        chan struct{}
	wg         sync.WaitGroup
}

func newCallers(rec *recorder, front string, n int) *callers {
	c := &callers{rec: rec, sent: map[string]time.Time{}, end: make(chan struct{})}
	for i := range n {
		c.wg.Add(1)
		go c.run(front, i)
	}
	return c
}

func (c *callers) run(front string, number int) {
	defer c.wg.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * callerTimeout}
	for i := 0; ; i++ {
		select {
		case <-c.end:
			return
		case <-time.After(callerPause):
		}
		id := fmt.Sprintf("%02x%06x", number, i)
		c.mu.Lock()
		c.sent[id] = time.Now()
		c.mu.Unlock()
		c.rec.log("sent %s", id)
		a := get(client, front, "hulo84.example", "/boye614/x", id, callerTimeout)
		c.rec.log("answered %s: %d own=%v %v", id, a.status, a.own, a.err)
		c.mu.Lock()
		if a.err == nil && !a.own {
			c.ok++
		} else {
			c.failed++
		}
		c.mu.Unlock()
	}
}

func (c *callers) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.sent[id]
	return t, ok
}

func (c *callers) counts() (ok, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok, c.failed
}

func (c *callers) stop() {
	close(c.end)
	c.wg.Wait()
}

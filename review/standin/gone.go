package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// playSilentStore makes the open connections to the store silent, removes the entry of a
// replica that never reports that it drains, and checks DRAIN.
func playSilentStore(w *world) []string {
	edges := []*machine{w.newMachine("edge-1", "accra-a"), w.newMachine("edge-2", "kumasi-a")}
	links := map[*machine]*link{}
	for _, m := range edges {
		w.seeds = append(w.seeds, m.control())
		links[m] = w.newLink(w.storeAddress)
		m.store = links[m].address
	}
	desks := []*desk{
		w.newDesk("i-desk-1", "orders-api", "accra-a"), w.newDesk("i-desk-2", "orders-api", "kumasi-a"), w.newDesk("i-desk-3", "orders-api", "takoradi-a"),
	}
	leaving := desks[2]
	w.store.put("op/config", configuration(
		[]any{route("order", "unsafe", "orders-api", time.Second), route("stock", "safe", "orders-api", time.Second)},
		[]any{map[string]any{"name": "orders-api", "health_path": "/healthz"}},
	))
	for _, m := range edges {
		m.launch("gateway")
	}
	w.waitReady(edges...)
	c := w.newClient()
	var wg sync.WaitGroup
	quit := make(chan struct{})
	sentAt := map[string]time.Time{}
	served, sent := 0, 0
	var mu sync.Mutex
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(10 * time.Millisecond):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("%08x%08x", os.Getpid(), i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				path := []string{"/order/book", "/stock/item"}[i%2]
				r := c.send(edges[i/2%2].front(), http.MethodPost, path, id, "request", time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if r.status == http.StatusOK {
					served++
				}
			}()
		}
	}()
	// The machines have been in touch for longer than contact_ms when the trouble begins.
	time.Sleep(contactTime + 2*time.Second)
	inTouchFrom := time.Time{}
	if w.trouble {
		for _, k := range links {
			k.silence()
		}
		inTouchFrom = time.Now().Add(contactTime)
		w.record.say("the open connections to the store are silent from now on; new ones work")
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged := leaving.withdraw()
	w.record.say("the entry of %s is removed, it goes on serving", leaving.id)
	time.Sleep(9 * time.Second)
	close(quit)
	wg.Wait()
	w.record.say("%d of %d requests served", served, sent)
	if served < sent*9/10 {
		cannotRun("too few requests were served")
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	bound := acknowledged.Add(drainTime)
	late, excused := 0, 0
	var broken []string
	for id, at := range leaving.ranAt {
		if !at.After(bound) {
			continue
		}
		if late++; sentAt[id].Before(inTouchFrom) {
			excused++
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s reached %s %.3f s after the acknowledgement of its leaving (drain_ms is %d); it was sent %.3f s after the machines were in touch again",
			id, leaving.id, at.Sub(acknowledged).Seconds(), drainTime.Milliseconds(), sentAt[id].Sub(inTouchFrom).Seconds()))
	}
	w.record.say("%d requests reached it later than drain_ms, %d of them sent while machines were out of touch", late, excused)
	return broken
}

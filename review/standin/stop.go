package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerTokens is how many tokens an answer has. The engines are those of the large sheet,
	// whose answers have 219 tokens at most; those of atb-rattanspur have up to 309.
	// tokenTime is the time for each at an engine that reads prompts in between, and
	// eventTokens the number of tokens of an event.
	answerTokens = 306
	tokenTime    = 14500 * time.Microsecond
	eventTokens  = 6
	// stopCallers is the number of callers that send one stream after the other, and
	// stopEngines that of the engines, with stopSlots each.
	stopCallers = 80
	stopEngines = 16
	stopSlots   = 8
	// excusedSend is how long after SIGTERM a request may be sent whose loss is excused if the
	// replica is still at work in the last sixth of the grace period.
	excusedSend = 3 * time.Second
)

// lengthHints are what callers estimate for answerTokens: right at the median, and as often six
// times too low as too high.
var lengthHints = []int{51, 306, 306, 1836}

// playPlannedStop stops a gateway with SIGTERM while callers get long streams, whose lengths
// they underestimate, and checks LOST around planned work.
func playPlannedStop(w *world) []string {
	edges := []*machine{w.newMachine("edge-1", "accra-a"), w.newMachine("edge-2", "accra-a")}
	for _, m := range edges {
		w.seeds = append(w.seeds, m.control())
	}
	var engines []*engine
	for i := range stopEngines {
		e := w.newEngine(fmt.Sprintf("i-llm-%d", i+1), "accra-a", w.newHost())
		e.parts, e.gap, e.slots = answerTokens/eventTokens, eventTokens*tokenTime, stopSlots
		engines = append(engines, e)
	}
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	w.engineStep, w.engineReads, w.engineSlots = 11.1, 21300, stopSlots
	w.putLLMConfig(3, w.serve(w.newHost(), &origin{world: w}))
	var gateways []*process
	for _, m := range edges {
		gateways = append(gateways, m.launch("gateway"))
	}
	w.waitReady(edges...)
	time.Sleep(2 * time.Second)
	var stopping atomic.Bool
	quit := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []reply
	for i := range stopCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The platform sends new connections to nodes that are ready.
			dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
				to := edges[0]
				if stopping.Load() {
					to = edges[1]
				}
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, to.front())
			}
			c := &client{world: w, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, DialContext: dial}}}
			time.Sleep(time.Duration(i) * answerTokens * tokenTime / stopCallers)
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				default:
				}
				id := fmt.Sprintf("%08x%04x%04x", os.Getpid(), i, n)
				r := c.send(edges[0].front(), http.MethodPost, "/draft/quote", id, "draft "+id, 6*time.Second, map[string]string{
					"Rattanspur-Model": modelName, "Rattanspur-Token-Counts": fmt.Sprintf("400,%d", answerTokens+20),
					"Rattanspur-Prefix-Hash": "5c1e07a2:40," + id + ":360", "Rattanspur-Length-Hint": fmt.Sprint(lengthHints[(i+n)%len(lengthHints)]),
				})
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(11 * time.Second)
	term := time.Now()
	if w.trouble {
		stopping.Store(true)
		gateways[0].signal(syscall.SIGTERM)
		w.record.say("SIGTERM to the gateway on edge-1")
	}
	time.Sleep(graceTime + time.Second)
	if w.trouble {
		gateways[0].start()
		w.record.say("the gateway on edge-1 is started again")
	}
	close(quit)
	wg.Wait()
	return lostAround(w, all, engines, term)
}

// lostAround returns the requests that were passed on and whose connections ended without a
// whole answer around a SIGTERM, without those that the rule excuses.
func lostAround(w *world, all []reply, engines []*engine, term time.Time) []string {
	var broken []string
	served, excused := 0, 0
	for _, r := range all {
		switch {
		case r.status == http.StatusOK:
			served++
			continue
		case r.err == nil || engines[0].whole(r.body):
			continue
		}
		ran := false
		for _, e := range engines {
			e.mu.Lock()
			ran = ran || e.ran[r.id]
			e.mu.Unlock()
		}
		sent, ended := r.sentAt.Sub(term), r.sentAt.Add(r.took).Sub(term)
		w.record.say("%s was sent %.3f s after SIGTERM, passed on: %t, cut after %d bytes %.3f s after SIGTERM", r.id, sent.Seconds(), ran, len(r.body), ended.Seconds())
		if !ran || sent <= excusedSend || r.took >= 6*time.Second {
			excused++
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s, sent %.3f s after SIGTERM, was passed on and its connection ended after %.3f s without a whole answer (%d bytes)",
			r.id, sent.Seconds(), r.took.Seconds(), len(r.body)))
	}
	w.record.say("%d streams, %d whole, %d losses that the rule excuses", len(all), served, excused)
	if served*2 < len(all) {
		cannotRun("too little was served")
	}
	return broken
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// herdGateways is the number of edge machines on the sheet of the large deployment.
	herdGateways = 21
	// herdRate is the number of requests a second at each gateway.
	herdRate = 20
	// coldPerSecond is what a cold replica tolerates, coldTime how long it stays cold. The
	// bound in one second is coldPerSecond x cold_overrun + cold_slack.
	coldPerSecond = 18
	coldTime      = 3 * time.Second
	coldBound     = coldPerSecond*1.5 + 5
)

// playHerd kills all gateways at the same moment, while the replicas of a service crash and
// come back cold, and checks FAILBACK.
func playHerd(w *world) []string {
	zones := []string{"accra-a", "kumasi-a", "takoradi-a"}
	var edges []*machine
	for i := range herdGateways {
		m := w.newMachine(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)])
		edges = append(edges, m)
		if i < len(zones) {
			w.seeds = append(w.seeds, m.control())
		}
	}
	var desks []*desk
	for i, zone := range zones {
		desks = append(desks, w.newDesk(fmt.Sprintf("i-desk-%d", i+1), "orders-api", zone))
	}
	w.store.put("op/config", configuration(
		[]any{route("order", "unsafe", "orders-api", time.Second)},
		[]any{map[string]any{"name": "orders-api", "health_path": "/healthz", "cold_per_s": coldPerSecond}},
	))
	var gateways []*process
	for _, m := range edges {
		gateways = append(gateways, m.launch("gateway"))
	}
	w.waitReady(edges...)
	time.Sleep(3 * time.Second)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for i, m := range edges {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := w.newClient()
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				case <-time.After(time.Second / herdRate):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("%08x%04x%04x", os.Getpid(), i, n)
					r := c.send(m.front(), http.MethodPost, "/order/book", id, "order", time.Second, nil)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if r.status == http.StatusOK {
						served++
					}
				}()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	w.record.say("the replicas come back cold")
	for _, d := range desks {
		d.restartCold(coldTime)
	}
	cold := time.Now()
	if w.trouble {
		w.record.say("all gateways are killed, and are back within 0.3 s of each other")
		for _, p := range gateways {
			p.signal(9)
		}
		for _, p := range gateways {
			<-p.done
			p.start()
		}
	}
	time.Sleep(coldTime + time.Second)
	close(quit)
	wg.Wait()
	w.record.say("%d of %d requests served", served, sent)
	var broken []string
	for _, d := range desks {
		d.mu.Lock()
		var at []time.Time
		for _, t := range d.arrivedAt {
			if t.After(cold) && t.Before(cold.Add(coldTime)) {
				at = append(at, t)
			}
		}
		d.mu.Unlock()
		slices.SortFunc(at, time.Time.Compare)
		most, from := 0, cold
		for i := range at {
			n := 0
			for _, t := range at[i:] {
				if t.Sub(at[i]) < time.Second {
					n++
				}
			}
			if n > most {
				most, from = n, at[i]
			}
		}
		w.record.say("%s got at most %d requests in one second while it was cold, from %.3f s on; the bound is %d", d.id, most, from.Sub(cold).Seconds(), int(coldBound))
		if float64(most) > coldBound {
			broken = append(broken, fmt.Sprintf("FAILBACK: the cold replica %s got %d requests in one second, from %.3f s after it was back; the bound is %d",
				d.id, most, from.Sub(cold).Seconds(), int(coldBound)))
		}
	}
	return broken
}

// restartCold starts the replica anew, with an id of its own, cold for a time.
func (d *desk) restartCold(cold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.world.store.remove("servers/" + d.id)
	d.id += "-b"
	d.bornAt = time.Now().UnixMilli()
	d.coldUntil = time.Now().Add(cold)
	d.register("ready")
}

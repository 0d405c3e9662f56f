package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// playSpoiltManifest ends with the final fault of a day: all machines lose power right after
// a configuration was acknowledged. The first answer that the origin of the weights sends
// after that, a manifest, has one wrong digit. It checks RECOVER.
func playSpoiltManifest(w *world) []string {
	edge := w.newMachine("edge-1", "accra-a")
	w.seeds = []string{edge.control()}
	o := &origin{world: w}
	originAddress := w.serve(w.newHost(), o)
	var engines []*engine
	var loaders []*process
	for i, zone := range []string{"accra-a", "accra-a", "accra-a"} {
		m := w.newMachine(fmt.Sprintf("side-%d", i+1), zone)
		e := w.newEngine(fmt.Sprintf("i-llm-%d", i+1), zone, m.ip)
		m.app, m.service = e.address, "llm-desk"
		engines = append(engines, e)
		loaders = append(loaders, &process{machine: m, role: "loader"})
	}
	w.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	w.putLLMConfig(3, originAddress)
	gateway, seeder := edge.launch("gateway"), edge.launch("seeder")
	for i, p := range loaders {
		loaders[i] = p.machine.launch("loader")
	}
	w.waitReady(edge)
	time.Sleep(3 * time.Second)
	t := w.newTraffic(edge.front(), requestInterval)
	t.start()
	time.Sleep(5 * time.Second)
	served, sent := t.count(time.Time{}, time.Now().Add(-2*time.Second))
	w.record.say("before the final fault: %d of %d served", served, sent)
	if served*2 < sent || sent == 0 {
		cannotRun("too little was served before the final fault")
	}
	w.putLLMConfig(5, originAddress)
	w.record.say("final fault: all machines lose power")
	const edgeProcesses = 2
	all := append([]*process{gateway, seeder}, loaders...)
	for _, e := range engines {
		e.losePower()
	}
	for _, p := range all {
		p.kill()
	}
	if w.trouble {
		o.mu.Lock()
		o.spoilManifests = 1
		o.mu.Unlock()
	}
	time.Sleep(time.Second)
	for _, e := range engines {
		e.restart()
	}
	for i, p := range all {
		if i == edgeProcesses {
			time.Sleep(startSpread)
		}
		p.start()
	}
	back := time.Now()
	w.record.say("the machines are back")
	time.Sleep(recoveryTime + 15*time.Second)
	from, to := back.Add(recoveryTime), time.Now().Add(-2*time.Second)
	served, sent = t.count(from, to)
	t.stop()
	o.mu.Lock()
	w.record.say("sent later than recovery_s after the machines were back: %d, served: %d; the origin sent %d answers, %d spoilt", sent, served, o.answers, o.spoilt)
	o.mu.Unlock()
	for _, e := range engines {
		e.mu.Lock()
		w.record.say("%s holds version %d after %d orders, %d pieces stored", e.id, e.version, e.sequence, len(e.staged))
		e.mu.Unlock()
	}
	if sent == 0 {
		cannotRun("no requests were sent after the recovery")
	}
	if served*4 < sent {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests were served that were sent later than %s after the machines were back", served, sent, recoveryTime)}
	}
	return nil
}

// startSpread is how much later the side machines start than the edge machine: all machines
// start within 0.3 s of each other, in any order.
const startSpread = 250 * time.Millisecond

// putLLMConfig writes a configuration with one streaming route.
func (w *world) putLLMConfig(version int, originAddress string) {
	r := route("draft", "streaming", "llm-desk", 6*time.Second)
	r["goal_ms"], r["gap_goal_ms"], r["resumable"] = 400, 300, true
	c := configuration([]any{r}, []any{
		map[string]any{"name": "llm-desk", "health_path": "/healthz", "engine": map[string]any{
			"slots": w.engineSlots, "layers": layerCount, "layer_mb": 4540, "size_mb": 297000, "step_ms": w.engineStep, "per_seq_ms": 0.0387,
			"read_per_s": w.engineReads, "chunks": pieceCount, "chunk_bytes": pieceBytes, "models": []any{map[string]any{"name": modelName}},
		}},
		map[string]any{"name": "haulage-desk", "origin": originAddress, "zone": "accra-a", "link_mbps": 15, "max_conns": 48},
	})
	c["version"] = version
	w.store.put("op/config", c)
}

// wholeStream reports whether a body holds all events of a stream of streamParts.
func wholeStream(body string) bool { return (&engine{parts: streamParts}).whole(body) }

// traffic is a steady rate of streaming requests.
type traffic struct {
	world  *world
	client *client
	front  string
	// interval is the time between two requests.
	interval time.Duration
	quit     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	all      []reply
}

func (w *world) newTraffic(front string, interval time.Duration) *traffic {
	return &traffic{world: w, client: w.newClient(), front: front, interval: interval, quit: make(chan struct{})}
}

// requestInterval is the time between two requests in most cases.
const requestInterval = 50 * time.Millisecond

func (t *traffic) start() {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		for i := 0; ; i++ {
			select {
			case <-t.quit:
				return
			case <-time.After(t.interval):
			}
			t.wg.Add(1)
			go t.one(fmt.Sprintf("%08x%08x", os.Getpid(), i))
		}
	}()
}

func (t *traffic) one(id string) {
	defer t.wg.Done()
	r := t.client.send(t.front, http.MethodPost, "/draft/quote", id, "draft "+id, 6*time.Second, map[string]string{
		"Rattanspur-Model": modelName, "Rattanspur-Token-Counts": "400,48",
		"Rattanspur-Prefix-Hash": "5c1e07a2:40," + id + ":360", "Rattanspur-Length-Hint": "48",
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, r)
}

// count returns how many requests that were sent between two times were served.
func (t *traffic) count(from, to time.Time) (served, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.all {
		if r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK && wholeStream(r.body) {
			served++
		}
	}
	return served, sent
}

func (t *traffic) stop() {
	close(t.quit)
	t.wg.Wait()
}

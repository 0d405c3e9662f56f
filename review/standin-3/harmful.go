package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Times and numbers of the case.
const (
	engines        = 6
	harmfulFor     = 75 * time.Second
	harmfulPause   = 500 * time.Millisecond
	allowedRetries = 3
	crashDelay     = 2300 * time.Millisecond
)

// harmful: a request crashes each engine that runs it, a while after the stream has begun,
// and comes again. Its retries must end once it has crashed the third.
func harmful(e *env) (int, error) {
	s := newStore()
	storeL, err := net.Listen("tcp", net.JoinHostPort(e.hosts.next().String(), "0"))
	if err != nil {
		return unable, err
	}
	go func() { _ = http.Serve(storeL, s.handler()) }()
	s.put("op/config", engineConfig())
	delay := time.Duration(0)
	if e.trouble {
		delay = crashDelay
		// For trials only.
		if ms, err := strconv.Atoi(os.Getenv("CRASH_MS")); err == nil {
			delay = time.Duration(ms) * time.Millisecond
		}
	}
	var fleet []*engine
	for i := range engines {
		g, err := newEngine(e, s, fmt.Sprintf("%02d", i), delay)
		if err != nil {
			return unable, err
		}
		defer g.end()
		g.beat(0)
		fleet = append(fleet, g)
	}
	end := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(end)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 1; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(heartbeat):
			}
			for _, g := range fleet {
				g.beat(n)
			}
		}
	}()

	ips := []net.IP{e.hosts.next(), e.hosts.next()}
	var seeds, fronts []string
	for _, ip := range ips {
		seeds = append(seeds, net.JoinHostPort(ip.String(), controlPort))
		fronts = append(fronts, net.JoinHostPort(ip.String(), frontPort))
	}
	for i, ip := range ips {
		name := fmt.Sprintf("edge-accra-a-%d", i+1)
		settings := filepath.Join(e.dir, name+".json")
		if err := gatewaySettings(settings, name, "accra-a", ip, storeL.Addr().String(), seeds); err != nil {
			return unable, err
		}
		p, err := start(e.root, "gateway", settings, filepath.Join(e.dir, name+".log"))
		if err != nil {
			return unable, err
		}
		defer p.kill()
	}
	for _, ip := range ips {
		if !waitReady(ip) {
			return unable, fmt.Errorf("a gateway is not ready")
		}
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	usual, complete := 0, 0
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("a%d%06x", i, n)
				a := postStream(c, fronts[n%len(fronts)], id, fmt.Sprintf("%d%05x", i+1, n), "prompt "+id)
				e.rec.log("usual %s: %d, %d events, complete=%v", id, a.status, a.events, a.complete)
				mu.Lock()
				usual++
				if a.complete && a.status == http.StatusOK {
					complete++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	c := &http.Client{Transport: &http.Transport{}}
	attempts := 0
	for begin := time.Now(); time.Since(begin) < harmfulFor; attempts++ {
		id := fmt.Sprintf("f%07x", attempts)
		e.rec.log("harmful %s is sent", id)
		a := postStream(c, fronts[attempts%len(fronts)], id, "b00b", harmfulBody)
		e.rec.log("harmful %s: %d, %d events, complete=%v %v", id, a.status, a.events, a.complete, a.err)
		time.Sleep(harmfulPause)
	}
	crashes, third := crashesOf(fleet)
	retries, arrivals := 0, 0
	if crashes >= 3 {
		retries, arrivals = harmfulRetries(fleet, third.Add(contactTime))
	}
	mu.Lock()
	defer mu.Unlock()
	e.rec.log("%d client attempts, %d crashes; later than contact_ms after the third crash it reached engines %d times, %d of them retries of one client attempt",
		attempts, crashes, arrivals, retries)
	e.rec.log("%d of %d usual streams complete", complete, usual)
	fmt.Println("crashes", crashes, "late arrivals", arrivals, "late retries", retries, "attempts", attempts, "usual", complete, "of", usual)
	if complete < 50 {
		return unable, fmt.Errorf("only %d usual streams", complete)
	}
	if retries > allowedRetries {
		return broken, nil
	}
	return held, nil
}

// crashesOf returns the number of crashes and the time of the third one.
func crashesOf(fleet []*engine) (n int, third time.Time) {
	var all []time.Time
	for _, g := range fleet {
		g.mu.Lock()
		all = append(all, g.crashes...)
		g.mu.Unlock()
	}
	for i := range all {
		before := 0
		for j := range all {
			if all[j].Before(all[i]) {
				before++
			}
		}
		if before == 2 {
			third = all[i]
		}
	}
	return len(all), third
}

// harmfulRetries counts the arrivals of the harmful request after a time, and those of them
// that are not the first one of their client attempt.
func harmfulRetries(fleet []*engine, after time.Time) (retries, arrivals int) {
	first := map[string]time.Time{}
	for _, g := range fleet {
		g.mu.Lock()
		for _, r := range g.runs {
			if t, ok := first[r.request]; r.harmful && (!ok || r.at.Before(t)) {
				first[r.request] = r.at
			}
		}
		g.mu.Unlock()
	}
	for _, g := range fleet {
		g.mu.Lock()
		for _, r := range g.runs {
			if !r.harmful || !r.at.After(after) {
				continue
			}
			arrivals++
			if r.at.After(first[r.request]) {
				retries++
			}
		}
		g.mu.Unlock()
	}
	return retries, arrivals
}

func engineConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-quote", "host": "jepu9.example", "prefix": "/lepu270/", "route_kind": "streaming", "timeout_ms": 6000, "goal_ms": 400,
			"priority": 1, "service": "llm-desk", "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap_goal_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "llm-desk", "health_path": "/healthz", "max_conns": 344, "protocol": "h1", "cold_s": 3.0, "cold_per_s": 38.0,
			"engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 685000, "stride": 6, "models": []any{map[string]any{"name": modelName, "pace": 1.0}},
				"size_mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900.0,
				"pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 973, "answer": 106},
				"layers": layers, "layer_mb": 4540.0, "chunks": 48, "chunk_bytes": 49152,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["part"] = func(w *world) verdict { return playPart(w, sharedParts+1, false) }
	cases["begun"] = func(w *world) verdict { return playPart(w, 2, true) }
}

const (
	// sharedParts is the number of parts that all prompts share, as the turns of long sessions do.
	sharedParts = 8
	// partTokens is the length of a shared part, promptTokens that of a prompt.
	partTokens   = 40
	promptTokens = 420
	// partEngines is the number of model replicas.
	partEngines = 9
	// soundInterval and poisonInterval are the times between two sound requests and between two
	// with the part that crashes replicas.
	soundInterval  = 80 * time.Millisecond
	poisonInterval = 700 * time.Millisecond
	// partTime is how long requests come.
	partTime = 45 * time.Second
	// contactTime is contact_ms, and allowedArrivals the number of requests with the part that
	// may reach replicas later than that after the fifth crash.
	contactTime     = 3 * time.Second
	allowedArrivals = 3
	// poisonPart is the part that crashes replicas.
	poisonPart = "beef0bad"
)

// prefix returns the parts of a prompt. at is the place of the poisonous part from 1, 0 if the
// prompt has none.
func prefix(at int, own string) string {
	var parts []string
	for i := 1; i <= sharedParts+1; i++ {
		if i == at {
			parts = append(parts, fmt.Sprintf("%s:%d", poisonPart, partTokens))
		}
		if i <= sharedParts {
			parts = append(parts, fmt.Sprintf("5c1e%04x:%d", i, partTokens))
		}
	}
	// All prompts have promptTokens.
	return strings.Join(append(parts, fmt.Sprintf("%s:%d", own, promptTokens-len(parts)*partTokens)), ",")
}

// playPart sends sound requests, and others whose prompt holds one more shared part, at a place
// from 1. That part crashes each replica that begins to write an answer: before its first event is
// sent or, if begun is set, right after that.
func playPart(w *world, at int, begun bool) verdict {
	if n, err := strconv.Atoi(os.Getenv("POISON_AT")); err == nil {
		at = n
	}
	edges := []*machine{w.machine("edge-accra-a-1", "accra-a"), w.machine("edge-kumasi-a-1", "kumasi-a")}
	seeds := []string{edges[0].at(controlPort), edges[1].at(controlPort)}
	w.store.put("op/config", config(7, []map[string]any{
		route("r-quotes", "/quotes/", "streaming", "llm-desk", map[string]any{"sticky": true, "resumable": true, "gap_goal_ms": 300}),
	}, []map[string]any{engineService("llm-desk")}))
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	zones := []string{"accra-a", "kumasi-a", "takoradi-a"}
	for i := range partEngines {
		e := w.newEngine(fmt.Sprintf("llm%d", i), "llm-desk", zones[i%len(zones)])
		e.poison = poisonPart
		e.firstWritten = begun
		e.onPoison = func(id string, now time.Time, crashed bool) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, now)
			if crashed {
				crashes = append(crashes, now)
				w.log("crash %d, by %s", len(crashes), id)
			}
		}
	}
	for _, m := range edges {
		m.seeds = seeds
		w.start(m, "gateway")
	}
	for _, m := range edges {
		w.awaitReady(m)
	}
	time.Sleep(4 * time.Second)

	var group sync.WaitGroup
	begin := time.Now()
	sound := map[string]int{}
	send := func(kind string, n, place int, m *machine) {
		defer group.Done()
		id := fmt.Sprintf("%s%05d", kind, n)
		result := ask(m, id, prefix(place, fmt.Sprintf("%s%06x", map[string]string{"sound": "a0", "poison": "b0"}[kind], n)))
		w.log("%s at %s: %s", id, m.name, result)
		if kind == "sound" {
			mu.Lock()
			defer mu.Unlock()
			sound[result]++
		}
	}
	poisons := 0
	for n := 0; time.Since(begin) < partTime; n++ {
		group.Add(1)
		go send("sound", n, 0, edges[n%2])
		if due := int(time.Since(begin)/poisonInterval) - 3; due > poisons {
			poisons++
			group.Add(1)
			go send("poison", poisons, at, edges[poisons%2])
		}
		time.Sleep(soundInterval)
	}
	group.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, t := range arrivals {
			if t.Sub(crashes[4]) > contactTime {
				late++
			}
		}
	}
	w.note("sound requests: %v", sound)
	w.note("%d requests with the part sent, %d began at replicas, %d crashes", poisons, len(arrivals), len(crashes))
	w.note("%d requests with the part reached replicas later than %v after the fifth crash; %d may", late, contactTime, allowedArrivals)
	switch {
	case w.trouble && len(crashes) < 5:
		return held
	case sound["200, complete"] < 100:
		return unable
	case late > allowedArrivals:
		return broken
	}
	return held
}

// ask sends a request for a stream and says how it ended.
func ask(m *machine, id, prefix string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.at(frontPort)+"/quotes/draft", strings.NewReader("quote "+id))
	if err != nil {
		return err.Error()
	}
	req.Host = hostName
	for k, v := range map[string]string{
		"Rattanspur-Attempt-Id": id, "Rattanspur-Model": modelName, "Rattanspur-Token-Counts": "420,72", "Rattanspur-Prefix-Hash": prefix,
		"Rattanspur-Deadline-Ms": "6000", "Authorization": "Bearer " + key,
	} {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("%d, broken off", resp.StatusCode)
	}
	return fmt.Sprintf("%d, complete", resp.StatusCode)
}

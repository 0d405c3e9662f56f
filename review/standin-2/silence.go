package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

const (
	// silenceStreams is the number of streams in progress when the gateway is stopped.
	silenceStreams = 12
	// silenceEvents and silenceGap give streams of 3 s, half of their deadline.
	silenceEvents = 40
	silenceGap    = 75 * time.Millisecond
	// silenceTime is how long the replica sends nothing. Callers stay for eight times the longest
	// pause of the route, 300 ms, which is 2.4 s.
	silenceTime = 2 * time.Second
)

// playSilence stops a gateway as planned while streams run. Their replica is silent for a while and
// goes on; the other one is full.
func playSilence(w *world) verdict {
	edge := w.machine("edge-accra-a-1", "accra-a")
	edge.seeds = []string{edge.at(controlPort)}
	w.store.put("op/config", config(7, []map[string]any{
		route("r-quotes", "/quotes/", "streaming", "llm-desk", map[string]any{"sticky": true, "resumable": true, "gap_goal_ms": 300}),
	}, []map[string]any{engineService("llm-desk")}))
	sound := w.newEngine("llm0", "llm-desk", "accra-a")
	sound.events, sound.gap = silenceEvents, silenceGap
	// The control ALONE=1 leaves the gateway no replica to move streams to.
	if os.Getenv("ALONE") != "1" {
		full := w.newEngine("llm1", "llm-desk", "accra-a")
		full.full = true
	}
	gateway := w.start(edge, "gateway")
	w.awaitReady(edge)
	time.Sleep(4 * time.Second)

	var group sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range silenceStreams {
		group.Go(func() {
			id := fmt.Sprintf("stream%02d", i)
			end := askStream(edge, id, i)
			w.log("%s: %s", id, end)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	w.log("SIGTERM")
	gateway.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.log("the replica with the streams is silent for %v", silenceTime)
		sound.pause(silenceTime)
	}
	group.Wait()
	cut := silenceStreams - ends["complete"] - ends["not run"]
	w.note("streams: %v", ends)
	w.note("%d of %d streams that were passed on before a planned stop ended without a complete answer, 0 may", cut, silenceStreams)
	switch {
	case ends["not run"] > silenceStreams/2:
		return unable
	case cut > 0:
		return broken
	}
	return held
}

// askStream sends a request for a stream, reads its events and says how it ended. It leaves after a
// gap of 2.4 s.
func askStream(m *machine, id string, n int) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.at(frontPort)+"/quotes/draft", strings.NewReader("quote "+id))
	if err != nil {
		return err.Error()
	}
	req.Host = hostName
	for k, v := range map[string]string{
		"Rattanspur-Attempt-Id": id, "Rattanspur-Model": modelName, "Rattanspur-Token-Counts": "420,240",
		"Rattanspur-Prefix-Hash": fmt.Sprintf("5c1e0001:40,a0%06x:380", n), "Rattanspur-Deadline-Ms": "6000", "Authorization": "Bearer " + key,
	} {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return map[bool]string{true: "not run", false: fmt.Sprint("status ", resp.StatusCode)}[resp.StatusCode == http.StatusServiceUnavailable]
	}
	leave := time.AfterFunc(2400*time.Millisecond, func() { _ = resp.Body.Close() })
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
			if !leave.Stop() {
				return "the client left"
			}
			leave.Reset(2400 * time.Millisecond)
		}
	}
	if events == silenceEvents {
		return "complete"
	}
	return "cut"
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["smuggle"] = playSmuggle }

// smuggledRequests is the number of requests with another one inside their body.
const smuggledRequests = 20

// playSmuggle has clients send one order each. Its body, whose length the client states, holds the
// text of another request. With the disruption the header names chunks as well.
func playSmuggle(w *world) verdict {
	edge := w.machine("edge-accra-a-1", "accra-a")
	edge.seeds = []string{edge.at(controlPort)}
	w.store.put("op/config", config(7, []map[string]any{
		route("r-orders", "/orders/", "unsafe", "orders-api", map[string]any{"timeout_ms": 600, "goal_ms": 100, "max_attempts": 1}),
	}, []map[string]any{plainService("orders-api")}))
	desk := w.newReplica("i-orders-1", "orders-api", "accra-a", 32)
	var mu sync.Mutex
	bodies := map[string]string{}
	desk.answer = func(rw http.ResponseWriter, req *http.Request) { _, _ = rw.Write([]byte("confirmed\n")) }
	desk.onRun = func(id, body string) {
		mu.Lock()
		defer mu.Unlock()
		bodies[id] = body
	}
	w.start(edge, "gateway")
	w.awaitReady(edge)
	time.Sleep(3 * time.Second)

	answers, whole := 0, 0
	for i := range smuggledRequests {
		outer, inner := fmt.Sprintf("outer%02d", i), fmt.Sprintf("inner%02d", i)
		body := "0\r\n\r\n" + orderHead(inner, "/orders/confirm") + "Content-Length: 11\r\n\r\nballast=400"
		framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if w.trouble {
			framing += "Transfer-Encoding: chunked\r\n"
		}
		answers += sendAll(w, edge, outer, orderHead(outer, "/orders/confirm")+framing+"\r\n"+body)
		mu.Lock()
		if bodies[outer] == body {
			whole++
		}
		mu.Unlock()
	}
	smuggled := 0
	for i := range smuggledRequests {
		smuggled += desk.runs(fmt.Sprintf("inner%02d", i))
	}
	w.note("%d requests sent, %d answers, %d ran with the body of the stated length; %d requests ran that were inside the body of another, 0 may",
		smuggledRequests, answers, whole, smuggled)
	switch {
	case smuggled > 0:
		return broken
	case answers < smuggledRequests:
		return unable
	}
	return held
}

// sendAll sends the bytes of one request over a new connection and counts the answers.
func sendAll(w *world, m *machine, id, text string) (answers int) {
	c, err := net.Dial("tcp", m.at(frontPort))
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(700 * time.Millisecond))
	_, _ = io.WriteString(c, text)
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		answer, _ := io.ReadAll(resp.Body)
		answers++
		w.log("%s: answer %d is %d for %q: %s", id, answers, resp.StatusCode, resp.Header.Get("Rattanspur-Attempt-Id"), strings.TrimSpace(string(answer)))
	}
}

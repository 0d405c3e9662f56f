package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// edgeMemoryMB and edgeFDs are the limits of the smaller edge machines of atb-rattanspur.
	edgeMemoryMB = 284
	edgeFDs      = 4100
	// crowd is the number of clients that send a header slowly, headerBytes its length so far:
	// within max_header_bytes, 16,384.
	crowd       = 1400
	headerBytes = 16000
	// crowdInterval is the time between two clients of the crowd, so that all of them come within
	// header_timeout_ms, 3,000.
	crowdInterval = 500 * time.Microsecond
	// ordinaryClients is the number of clients that send orders one after the other over a kept
	// connection, workTime how long an order takes: the longest of the sheet.
	ordinaryClients = 12
	workTime        = 110 * time.Millisecond
	// orderPause is the time between two orders of a client, orderOffset that between the first
	// orders of two clients, so that most orders are at the replica at any time.
	orderPause  = 2 * time.Millisecond
	orderOffset = 9 * time.Millisecond
	// memoryTime is how long the crowd stays.
	memoryTime = 8 * time.Second
	// allowedLost is the number of requests that may end without an answer by LOST.
	allowedLost = 3
)

// playMemory has a crowd of clients begin a request each and stay. The platform ends a process
// that exceeds its memory.
func playMemory(w *world) verdict {
	edge := w.machine("edge-accra-a-1", "accra-a")
	edge.memoryMB, edge.maxFDs = edgeMemoryMB, edgeFDs
	edge.seeds = []string{edge.at(controlPort)}
	w.store.put("op/config", config(7, []map[string]any{
		route("r-orders", "/orders/", "unsafe", "orders-api", map[string]any{"timeout_ms": 600, "goal_ms": 100, "max_attempts": 1}),
	}, []map[string]any{plainService("orders-api")}))
	desk := w.newReplica("i-orders-1", "orders-api", "accra-a", 32)
	desk.answer = func(rw http.ResponseWriter, req *http.Request) {
		time.Sleep(workTime)
		_, _ = rw.Write([]byte(strings.Repeat("confirmed\n", 80)))
	}
	p := w.start(edge, "gateway")
	w.awaitReady(edge)
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var group sync.WaitGroup
	peak := 0
	killed := false
	group.Go(func() { peak, killed = w.enforceMemory(p, edgeMemoryMB, stop) })
	var mu sync.Mutex
	answered, lost := 0, 0
	for i := range ordinaryClients {
		group.Go(func() {
			a, l := orderUntil(w, edge, desk, i, stop)
			mu.Lock()
			defer mu.Unlock()
			answered, lost = answered+a, lost+l
		})
	}
	time.Sleep(2 * time.Second)
	size := headerBytes
	if !w.trouble {
		size = 200
	}
	conns := openCrowd(w, edge, header(size))
	time.Sleep(memoryTime)
	close(stop)
	group.Wait()
	for _, c := range conns {
		_ = c.Close()
	}
	w.note("crowd of %d, %d bytes of header each; memory of the gateway at most %d MB of %d; ended by the platform: %v", len(conns), size, peak, edgeMemoryMB, killed)
	w.note("ordinary orders: %d answered, %d passed on from kept connections that ended without an answer; %d may", answered, lost, allowedLost)
	switch {
	case answered < ordinaryClients || len(conns) < crowd && !killed:
		return unable
	case killed && lost > allowedLost:
		return broken
	}
	return held
}

// enforceMemory ends a process that exceeds its memory, as the platform does. It returns its peak.
func (w *world) enforceMemory(p *process, limitMB int, stop chan struct{}) (peak int, killed bool) {
	for {
		select {
		case <-stop:
			return peak, false
		case <-time.After(10 * time.Millisecond):
		}
		now := p.residentMB()
		peak = max(peak, now)
		if now > limitMB {
			w.log("the gateway has %d MB of %d and is killed", now, limitMB)
			p.kill()
			return peak, true
		}
	}
}

// residentMB returns the resident memory of a process in MB.
func (p *process) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// header returns the beginning of a request: a header of many short fields without its end.
func header(size int) string {
	var b strings.Builder
	b.WriteString("POST /orders/x HTTP/1.1\r\nHost: " + hostName + "\r\n")
	for i := 0; b.Len() < size-10; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + "a:\r\n")
	}
	return b.String()
}

// openCrowd opens connections that send the beginning of a request, and nothing more.
func openCrowd(w *world, m *machine, text string) []net.Conn {
	var conns []net.Conn
	w.log("the crowd begins to come")
	for range crowd {
		c, err := net.DialTimeout("tcp", m.at(frontPort), time.Second)
		if err != nil {
			w.log("crowd: %v", err)
			break
		}
		conns = append(conns, c)
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write([]byte(text)); err != nil {
			w.log("crowd: %v", err)
			break
		}
		time.Sleep(crowdInterval)
	}
	w.log("crowd of %d is there", len(conns))
	return conns
}

// orderUntil sends orders over a kept connection until stop ends or an order gets no answer. It
// returns how many were answered, and how many ran and got none.
func orderUntil(w *world, m *machine, desk *replica, client int, stop chan struct{}) (answered, lost int) {
	c, err := net.Dial("tcp", m.at(frontPort))
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	time.Sleep(time.Duration(client) * orderOffset)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered, lost
		default:
		}
		id := fmt.Sprintf("order%02d-%04d", client, n)
		status, err := exchange(c, reader, id, "/orders/confirm")
		if err != nil {
			w.log("%s: %v, runs %d", id, err, desk.runs(id))
			return answered, desk.runs(id)
		}
		w.log("%s: %d", id, status)
		if status == http.StatusOK {
			answered++
		}
		time.Sleep(orderPause)
	}
}

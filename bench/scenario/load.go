package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"rattanspur.example/bench/lab"
)

const (
	// histogramMax is the greatest latency that is told apart.
	histogramMax = time.Minute
	// histogramDigits is the number of significant digits of a latency.
	histogramDigits = 3
	// clockTicks is the number of units of processor time in a second, as
	// Linux reports it to programs.
	clockTicks = 100
)

// latencies collects the latencies of successful calls and counts all calls.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	calls     int
	failed    int
	// lastError explains the failures to the reader of the report.
	lastError error
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
}

func (l *latencies) add(d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if err != nil {
		l.failed++
		l.lastError = err
		return
	}
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1))
}

// quantile returns a quantile in microseconds, for p from 0 to 100.
func (l *latencies) quantile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(p))
}

// closedLoop sends total calls from a number of workers, each one after the
// other.
func closedLoop(ctx context.Context, workers, total int, into *latencies, call func(context.Context) error) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for next.Add(1) <= int64(total) && ctx.Err() == nil {
				start := time.Now()
				err := call(ctx)
				into.add(time.Since(start), err)
			}
		})
	}
	wait.Wait()
}

// chatBody returns a chat completion request.
func chatBody(model, text string, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return body
}

// post sends a request and reads the answer; any status but 200 is an error.
func post(ctx context.Context, client *http.Client, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+lab.CustomerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return nil
}

// newClient returns a client that keeps connections for all workers.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	// The fields after the command's closing bracket begin with the state;
	// user and system time are the 12th and 13th of them.
	const userField, systemField = 11, 12
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, eris.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	ticks := 0
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, eris.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

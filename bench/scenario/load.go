package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rattanspur.example/bench/lab"
)

const (
	// histogramMax is the greatest latency that the histogram records.
	histogramMax = time.Minute
	// histogramDigits is the number of significant digits of a latency.
	histogramDigits = 3
)

// latencies collects the latencies of successful calls and counts all calls.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	calls     int
	failed    int
	// lastError is the error of the last failed call, for the report.
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

// quantile returns the latency in microseconds at percentile p, from 0 to 100.
func (l *latencies) quantile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(p))
}

// closedLoop makes total calls from concurrent workers. Each worker makes one
// call at a time. It ends early if ctx ends.
func closedLoop(ctx context.Context, workers, total int, results *latencies, call func(context.Context) error) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for next.Add(1) <= int64(total) && ctx.Err() == nil {
				start := time.Now()
				err := call(ctx)
				results.add(time.Since(start), err)
			}
		})
	}
	wait.Wait()
}

// openLoop starts a call at every interval until ctx ends, and then waits for
// the calls in flight. Latency is measured from the time at which a call was
// due, so that a stalled system cannot hide the calls that it delayed. collect
// returns where the latency of a call with that due time is recorded.
func openLoop(ctx context.Context, interval time.Duration, collect func(due time.Time) *latencies, call func(context.Context, int) error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		var due time.Time
		select {
		case due = <-ticker.C:
		case <-ctx.Done():
			return
		}
		wait.Go(func() {
			err := call(context.WithoutCancel(ctx), i)
			collect(due).add(time.Since(due), err)
		})
	}
}

// chatBody returns the body of a chat completion request.
func chatBody(model, text string, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return body
}

// post sends a request with the customer's key and returns the response body.
// Any status other than 200 is an error.
func post(ctx context.Context, client *http.Client, url string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+lab.CustomerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return string(data), nil
}

// newClient returns a client that keeps idle connections for all workers.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

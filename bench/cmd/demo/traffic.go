package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// callers is the number of concurrent callers, each with one request at a time.
const callers = 8

// counts holds the numbers of requests by result. A refused request was not run.
type counts struct{ answered, refused, failed int }

// traffic is a set of running callers and the ring for their counts.
type traffic struct {
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	results *ring.Ring[counts]
}

// startTraffic starts callers that send requests through all entries in turn
// until stop is called.
func startTraffic(ctx context.Context, l *lab.Lab) *traffic {
	running, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel, results: ring.New[counts](callers, ring.Wait)}
	for i := range callers {
		t.wait.Go(func() {
			_ = t.results.Put(context.WithoutCancel(ctx), sendUntilDone(running, ctx, l, i))
		})
	}
	return t
}

// sendUntilDone sends requests until running ends. A request in flight is
// completed.
func sendUntilDone(running, ctx context.Context, l *lab.Lab, caller int) counts {
	var c counts
	for n := 0; running.Err() == nil; n++ {
		text := fmt.Sprintf("caller-%d-%d", caller, n)
		a, err := l.Chat(ctx, (caller+n)%len(l.Entries), text)
		switch {
		case err == nil && a.Status == http.StatusOK:
			c.answered++
		case err == nil && a.Outcome == wire.NotRun:
			c.refused++
		default:
			c.failed++
		}
	}
	return c
}

// stop stops the callers, waits for them and returns the sum of their counts.
func (t *traffic) stop() counts {
	t.cancel()
	t.wait.Wait()
	var sum counts
	for range callers {
		c, err := t.results.Take(context.Background())
		if err != nil {
			break
		}
		sum.answered += c.answered
		sum.refused += c.refused
		sum.failed += c.failed
	}
	return sum
}

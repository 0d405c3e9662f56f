package soak

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 4 * time.Second
	// callInterval is the mean interval between the end of a call and the caller's
	// next one.
	callInterval = 40 * time.Millisecond
	// One in cancelOneIn requests is canceled by its caller shortly after it was
	// sent. Once a key was revoked, one in revokedKeyOneIn uses that key.
	cancelOneIn     = 25
	revokedKeyOneIn = 20
	// maxCancelDelay bounds the time from sending a request to canceling it.
	maxCancelDelay = 120 * time.Millisecond
	// pollInterval is the interval between two rounds of readiness polls,
	// pollTimeout bounds one poll, and missLimit is the number of consecutive
	// failed polls after which a gateway gets no new requests.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
	missLimit    = 2
)

// balancer polls the gateways and chooses among those that are ready, as the
// platform's load balancer does.
type balancer struct {
	env *environment
	// excluded is true for each gateway that gets no new requests, by its index
	// in env.gateways.
	excluded []atomic.Bool
}

// run polls the readiness of all gateways until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(b.env.gateways))
	for ctx.Err() == nil {
		for i, p := range b.env.gateways {
			if p.machine.ready(client) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			b.excluded[i].Store(misses[i] >= missLimit)
		}
		_ = duty.Sleep(ctx, pollInterval)
	}
	return nil
}

// choose returns the index of a random ready gateway, or of any gateway if none
// is ready.
func (b *balancer) choose() int {
	var ready []int
	for i := range b.excluded {
		if !b.excluded[i].Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rand.IntN(len(b.excluded))
	}
	return ready[rand.IntN(len(ready))]
}

// caller sends one request after the other over keep-alive connections.
type caller struct {
	name     string
	env      *environment
	balancer *balancer
	client   *http.Client
	// random determines the present call.
	random *rand.Rand
	// calls is the number of calls so far, tries that of the attempts of the last
	// one.
	calls, tries int
	// served counts the requests that were answered with 200, expected those that
	// should be. Neither counts canceled requests or those with a revoked key.
	served   *atomic.Int64
	expected *atomic.Int64
}

func (c *caller) run(ctx context.Context) error {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for ctx.Err() == nil {
		c.call(ctx)
		_ = duty.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*callInterval))))
	}
	return nil
}

// call sends a request of a random kind. While the answer is 503, which says that
// the request has not run, it retries at a gateway chosen anew, with at most three
// attempts in all. It does not retry a canceled request or one with a revoked key.
func (c *caller) call(ctx context.Context) {
	c.calls++
	c.tries = 0
	c.random = callRandom(c.env.options.Seed, c.name, c.calls)
	k := drawKind(c.random)
	key := *c.env.config.currentKey.Load()
	if old := c.env.config.revokedKey.Load(); old != nil && c.random.IntN(revokedKeyOneIn) == 0 {
		c.attempt(ctx, k, *old, 0)
		return
	}
	cancelAfter := time.Duration(0)
	if c.random.IntN(cancelOneIn) == 0 {
		cancelAfter = 1 + time.Duration(c.random.Int64N(int64(maxCancelDelay)))
	} else {
		c.expected.Add(1)
	}
	for range 3 {
		status, retryAfter := c.attempt(ctx, k, key, cancelAfter)
		if status == http.StatusOK && cancelAfter == 0 {
			c.served.Add(1)
		}
		if status != http.StatusServiceUnavailable || cancelAfter > 0 {
			return
		}
		_ = duty.Sleep(ctx, retryAfter)
	}
}

// drawKind draws the kind of a call.
func drawKind(random *rand.Rand) requestKind { return requestKind(random.IntN(4)) }

// callRandom returns the source of one call of a caller, so that the seed of the soak
// determines the calls, however long each of them takes.
func callRandom(seed uint64, caller string, number int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, caller, " ", number)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// callerName returns the name of the caller with the given index.
func callerName(i int) string { return fmt.Sprintf("caller-%d", i) }

// attemptID returns the unique id of an attempt.
func attemptID(caller string, call, try int) string {
	return fmt.Sprintf("%s-%d.%d", caller, call, try)
}

// attempt sends one request to a gateway and records the request and its answer.
// If cancelAfter is positive, it cancels the request after that time. It returns
// the answer's status and the delay before a retry, at most a second, or zeros
// if there was no complete answer.
func (c *caller) attempt(ctx context.Context, k requestKind, key string, cancelAfter time.Duration) (status int, retryAfter time.Duration) {
	c.tries++
	p := c.env.gateways[c.balancer.choose()]
	sent := request{
		attempt: attemptID(c.name, c.calls, c.tries), kind: k, key: key, gateway: p.machine.name,
		path: fmt.Sprintf("/%s/%s/%d.%d", k, c.name, c.calls, c.tries), body: strings.Repeat(fmt.Sprintf("%d ", c.calls), 1+c.random.IntN(400)),
		sentAt: time.Now(),
	}
	c.env.ledger.addRequest(sent)
	timeout := requestTimeout
	if cancelAfter > 0 {
		timeout = cancelAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.machine.front.address+sent.path, oneShotBody(sent.body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.ContentLength = -1
	if c.calls%2 == 0 {
		req.ContentLength = int64(len(sent.body))
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headerAttempt, sent.attempt)
	req.Header.Set(headerDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	req.Header.Set(headerModel, modelName)
	req.Header.Set(headerTokens, "40,12")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(bufio.NewReader(resp.Body))
	c.env.ledger.addAnswer(answer{
		attempt: sent.attempt, status: resp.StatusCode, signature: resp.Header.Get(headerSignature),
		body: string(data), complete: err == nil, receivedAt: time.Now(),
	})
	if err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(min(seconds, 1) * float64(time.Second))
}

// oneShotBody returns a request body that the transport cannot rewind, so that
// it never resends a request by itself.
func oneShotBody(text string) io.Reader { return struct{ io.Reader }{strings.NewReader(text)} }

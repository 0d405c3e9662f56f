package soak

import (
	"bufio"
	"context"
	"fmt"
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
	// patience is how long a caller waits for an answer.
	patience = 4 * time.Second
	// callPause is the mean time between two requests of a caller.
	callPause = 40 * time.Millisecond
	// leaveOneIn is how seldom a caller gives up shortly after its request, and
	// wrongOneIn how seldom it uses a key that was revoked.
	leaveOneIn = 25
	wrongOneIn = 20
	// leaveAfter bounds when it gives up.
	leaveAfter = 120 * time.Millisecond
	// askEvery is the time between two questions for readiness, askTimeout bounds
	// one, and missesOut is the number of misses that take a gateway out.
	askEvery   = 300 * time.Millisecond
	askTimeout = 300 * time.Millisecond
	missesOut  = 2
)

// balancer chooses among the gateways that are ready, as the platform does.
type balancer struct {
	world *world
	// out holds for each gateway whether it gets new connections.
	out []atomic.Bool
}

func (b *balancer) run(ctx context.Context) error {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(b.world.gateways))
	for ctx.Err() == nil {
		for i, p := range b.world.gateways {
			if p.machine.ready(client) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			b.out[i].Store(misses[i] >= missesOut)
		}
		_ = duty.Sleep(ctx, askEvery)
	}
	return nil
}

// choose returns a gateway that is ready, or any if none is.
func (b *balancer) choose() int {
	var in []int
	for i := range b.out {
		if !b.out[i].Load() {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return rand.IntN(len(b.out))
	}
	return in[rand.IntN(len(in))]
}

// caller sends requests one after the other over connections that it keeps.
type caller struct {
	name     string
	world    *world
	balancer *balancer
	client   *http.Client
	count    int
	// served counts the requests that were answered as they should.
	served *atomic.Int64
	asked  *atomic.Int64
}

func (c *caller) run(ctx context.Context) error {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	for ctx.Err() == nil {
		c.call(ctx)
		_ = duty.Sleep(ctx, time.Duration(rand.Int64N(int64(2*callPause))))
	}
	return nil
}

// call sends a request, and once more to another gateway if it was told that
// it has not run.
func (c *caller) call(ctx context.Context) {
	k := kind(rand.IntN(4))
	key := *c.world.config.key.Load()
	if old := c.world.config.revoked.Load(); old != nil && rand.IntN(wrongOneIn) == 0 {
		c.attempt(ctx, k, *old, 0)
		return
	}
	leave := time.Duration(0)
	if rand.IntN(leaveOneIn) == 0 {
		leave = 1 + time.Duration(rand.Int64N(int64(leaveAfter)))
	} else {
		c.asked.Add(1)
	}
	for range 3 {
		status, wait := c.attempt(ctx, k, key, leave)
		if status == http.StatusOK && leave == 0 {
			c.served.Add(1)
		}
		if status != http.StatusServiceUnavailable || leave > 0 {
			return
		}
		_ = duty.Sleep(ctx, wait)
	}
}

func (c *caller) attempt(ctx context.Context, k kind, key string, leave time.Duration) (status int, wait time.Duration) {
	c.count++
	p := c.world.gateways[c.balancer.choose()]
	s := sent{
		attempt: fmt.Sprintf("%s-%d", c.name, c.count), kind: k, key: key, gateway: p.machine.name,
		path: fmt.Sprintf("/%s/%s/%d", k, c.name, c.count), body: strings.Repeat(fmt.Sprintf("%d ", c.count), 1+rand.IntN(400)),
		at: time.Now(),
	}
	c.world.ledger.sends(s)
	limit := patience
	if leave > 0 {
		limit = leave
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.machine.front.address+s.path, body(s.body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.ContentLength = -1
	if c.count%2 == 0 {
		req.ContentLength = int64(len(s.body))
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headerAttempt, s.attempt)
	req.Header.Set(headerDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	req.Header.Set(headerModel, modelName)
	req.Header.Set(headerTokens, "40,12")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(bufio.NewReader(resp.Body))
	c.world.ledger.gets(answered{
		attempt: s.attempt, status: resp.StatusCode, signature: resp.Header.Get(headerSignature),
		body: string(data), whole: err == nil, at: time.Now(),
	})
	if err != nil {
		return 0, 0
	}
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(min(after, 1) * float64(time.Second))
}

// body returns a reader whose request the transport cannot send again.
func body(text string) io.Reader { return struct{ io.Reader }{strings.NewReader(text)} }

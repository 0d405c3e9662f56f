package soak

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// requestTimeout is how long a caller states that it waits for an answer, and
	// longRequestTimeout how long for one that the replica or the caller itself makes slow.
	requestTimeout     = 4 * time.Second
	longRequestTimeout = 9 * time.Second
	// lateAnswerTime is how much longer a caller waits for the end of an answer.
	lateAnswerTime = 1500 * time.Millisecond
	// gapPatience is the longest gap between two parts of a stream that callers bear: two
	// seconds, four times the goal or eight times the goal between events of the route.
	gapPatience = max(2*time.Second, 4*streamGoal, 8*streamGapGoal)
	// callInterval is the mean interval between the end of a call and the caller's
	// next one.
	callInterval = 40 * time.Millisecond
	// One in cancelOneIn requests is canceled by its caller shortly after it was
	// sent. Once a key was revoked, one in revokedKeyOneIn uses that key.
	cancelOneIn     = 25
	revokedKeyOneIn = 20
	// One in slowWorkOneIn requests makes its replica work for up to maxSlowWork, or
	// maxSlowStream for a stream. One in slowBodyOneIn is sent with a pause of up to
	// maxBodyPause in its body, and one in lateBodyOneIn to a stopping gateway with one of
	// up to maxLateBodyPause, which is longer than the grace period.
	slowWorkOneIn    = 60
	maxSlowWork      = 7 * time.Second
	maxSlowStream    = 2500 * time.Millisecond
	slowBodyOneIn    = 25
	maxBodyPause     = time.Second
	lateBodyOneIn    = 3
	maxLateBodyPause = 7 * time.Second
	// One in faithfulOneIn callers keeps to a gateway until it closes its listener.
	faithfulOneIn = 3
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
	customer string
	env      *environment
	balancer *balancer
	client   *http.Client
	// faithful callers use own until it cannot be reached.
	faithful bool
	own      *process
	// random determines the present call.
	random *rand.Rand
	// calls is the number of calls so far, tries that of the attempts of the last
	// one.
	calls, tries int
	// served and expected are counters of the group.
	served, expected *atomic.Int64
	// until is when a caller of a burst makes no more calls; zero for other callers.
	until time.Time
}

func (c *caller) run(ctx context.Context) error {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil && (c.until.IsZero() || time.Now().Before(c.until)) {
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
	c.random = seededRandom(c.env.options.Seed, c.name, c.calls)
	k := drawKind(c.random)
	plan := callPlan{kind: k, key: *c.env.config.currentKey.Load()}
	if old := c.env.config.revokedKey.Load(); old != nil && c.random.IntN(revokedKeyOneIn) == 0 {
		plan.key = *old
		c.attempt(ctx, &plan)
		return
	}
	if c.random.IntN(cancelOneIn) == 0 {
		plan.cancelAfter = 1 + time.Duration(c.random.Int64N(int64(maxCancelDelay)))
	} else {
		c.expected.Add(1)
	}
	if c.env.options.PauseLength > 0 && c.random.IntN(slowWorkOneIn) == 0 {
		plan.work = c.duration(maxSlowWork)
		if k.streams() {
			plan.work = c.duration(maxSlowStream)
		}
	}
	if !c.until.IsZero() {
		plan.work = burstWork
		if k.streams() {
			plan.work = burstStream
		}
	}
	for range 3 {
		status, retryAfter := c.attempt(ctx, &plan)
		if status == http.StatusOK && plan.cancelAfter == 0 {
			c.served.Add(1)
		}
		if status != http.StatusServiceUnavailable || plan.cancelAfter > 0 {
			return
		}
		_ = duty.Sleep(ctx, retryAfter)
	}
}

// callPlan is what a caller wants of one request. work is how long the replica is asked
// to work, 0 for its usual time; cancelAfter is 0 for a caller that waits.
type callPlan struct {
	kind        requestKind
	key         string
	cancelAfter time.Duration
	work        time.Duration
}

// duration draws a duration below a maximum.
func (c *caller) duration(longest time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(longest)))
}

// bodyPause draws the pause in the body of a request; most have none.
func (c *caller) bodyPause(p *process) time.Duration {
	slow, late := c.random.IntN(slowBodyOneIn) == 0, c.random.IntN(lateBodyOneIn) == 0
	switch {
	case late && p.stopping.Load():
		return c.duration(maxLateBodyPause)
	case slow:
		return c.duration(maxBodyPause)
	default:
		return 0
	}
}

// gateway returns the gateway for the next request.
func (c *caller) gateway() *process {
	if c.own == nil || !c.faithful {
		c.own = c.env.gateways[c.balancer.choose()]
	}
	return c.own
}

// drawKind draws the kind of a call.
func drawKind(random *rand.Rand) requestKind { return requestKind(random.IntN(4)) }

// seededRandom returns the source of the numbered draws of a name. The seed of the soak thus
// determines the calls of each caller and the faults of each answer, whatever their order
// and however long they take.
func seededRandom(seed uint64, name string, number int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, name, " ", number)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// callerName returns the name of the caller with the given index.
func callerName(i int) string { return fmt.Sprintf("caller-%d", i) }

// attemptID returns the unique id of an attempt.
func attemptID(caller string, call, try int) string {
	return fmt.Sprintf("%s-%d.%d", caller, call, try)
}

// attempt sends one request to a gateway and records the request and how it ended. It
// returns the answer's status and the delay before a retry, at most a second, or zeros
// if there was no complete answer.
func (c *caller) attempt(ctx context.Context, plan *callPlan) (status int, retryAfter time.Duration) {
	c.tries++
	p := c.gateway()
	sent := request{
		attempt: attemptID(c.name, c.calls, c.tries), kind: plan.kind, customer: c.customer, key: plan.key, gateway: p.machine.name,
		path: fmt.Sprintf("/%s/%s/%d.%d", plan.kind, c.name, c.calls, c.tries), body: strings.Repeat(fmt.Sprintf("%d ", c.calls), 1+c.random.IntN(400)),
		deadline: requestTimeout, sentAt: time.Now(),
	}
	pause := c.bodyPause(p)
	if plan.work > 0 {
		sent.body = workPrefix + strconv.FormatInt(plan.work.Milliseconds(), 10) + " " + sent.body
	}
	if plan.work > 0 && c.until.IsZero() || pause > maxBodyPause {
		sent.deadline = longRequestTimeout
	}
	c.env.ledger.addRequest(sent)
	timeout := sent.deadline + lateAnswerTime
	if plan.cancelAfter > 0 {
		timeout = plan.cancelAfter
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, retryAfter := c.exchange(callCtx, cancel, p, &sent, pause)
	a.attempt, a.receivedAt = sent.attempt, time.Now()
	a.left = a.left || !a.complete && callCtx.Err() != nil && (plan.cancelAfter > 0 || ctx.Err() != nil)
	c.env.ledger.addAnswer(a)
	if a.status == 0 {
		c.own = nil
	}
	if !a.complete {
		return 0, 0
	}
	return a.status, retryAfter
}

// exchange sends a request and reads its answer until that ends or ctx does.
func (c *caller) exchange(ctx context.Context, cancel func(), p *process, sent *request, pause time.Duration) (a answer, retryAfter time.Duration) {
	var wholeAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			wholeAt.Store(&now)
		}
	}})
	resp, err := c.client.Do(c.newRequest(ctx, p, sent, pause))
	defer func() {
		if at := wholeAt.Load(); at != nil {
			a.wholeAt = *at
		}
	}()
	if err != nil {
		return a, 0
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get(headerSignature)
	var impatient atomic.Bool
	if sent.kind.streams() && a.status == http.StatusOK {
		timer := time.AfterFunc(gapPatience, func() {
			impatient.Store(true)
			cancel()
		})
		defer timer.Stop()
		resp.Body = &watchedBody{resp.Body, func() { timer.Reset(gapPatience) }}
	}
	data, err := io.ReadAll(bufio.NewReader(&watchedBody{resp.Body, func() { a.lastPartAt = time.Now() }}))
	a.body, a.complete = string(data), err == nil
	a.left = err != nil && impatient.Load()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return a, time.Duration(min(seconds, 1) * float64(time.Second))
}

// newRequest returns the HTTP request of an attempt. The length of its body is stated in
// half of the calls.
func (c *caller) newRequest(ctx context.Context, p *process, sent *request, pause time.Duration) *http.Request {
	body := &oneShotBody{ctx: ctx, parts: []string{sent.body}}
	if pause > 0 {
		half := len(sent.body) / 2
		body.parts, body.pause = []string{sent.body[:half], sent.body[half:]}, pause
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.machine.front.address+sent.path, body)
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.ContentLength = -1
	if c.calls%2 == 0 {
		req.ContentLength = int64(len(sent.body))
	}
	req.Header.Set("Authorization", "Bearer "+customerKey(sent.customer, sent.key))
	req.Header.Set(headerAttempt, sent.attempt)
	req.Header.Set(headerDeadline, strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	req.Header.Set(headerModel, modelName)
	req.Header.Set(headerTokens, "40,12")
	return req
}

// watchedBody calls onPart for each part that it reads.
type watchedBody struct {
	io.ReadCloser
	onPart func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onPart()
	}
	return n, err
}

// oneShotBody is a request body that the transport cannot rewind, so that it never
// resends a request by itself. It pauses before each part but the first.
type oneShotBody struct {
	ctx   context.Context
	parts []string
	pause time.Duration
	begun bool
}

// Read implements io.Reader.
func (b *oneShotBody) Read(p []byte) (int, error) {
	if len(b.parts) > 0 && b.parts[0] == "" {
		b.parts, b.begun = b.parts[1:], true
	}
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if b.begun {
		b.begun = false
		if err := duty.Sleep(b.ctx, b.pause); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.parts[0])
	b.parts[0] = b.parts[0][n:]
	return n, nil
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends requests over kept connections, one at a time for each connection.
type client struct {
	world *world
	http  *http.Client
}

func (w *world) newClient() *client {
	return &client{world: w, http: &http.Client{Transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     10 * time.Second,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// reply is what a client got. status is 0 if there was no whole answer.
type reply struct {
	id        string
	status    int
	signature string
	body      string
	err       error
	sentAt    time.Time
	took      time.Duration
}

// send sends one request with a deadline and reads its answer.
func (c *client) send(front, method, path, id, body string, deadline time.Duration, extra map[string]string) reply {
	// A client that retries would use another id, so the answer is waited for a little
	// longer than the deadline.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	r := reply{id: id, sentAt: time.Now()}
	// The wrapper hides the type of the reader, so that the transport cannot send it again.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, struct{ io.Reader }{bytes.NewReader([]byte(body))})
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = host
	req.Header.Set("Rattanspur-Attempt-Id", id)
	req.Header.Set("Rattanspur-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range extra {
		req.Header.Set(name, value)
	}
	c.world.record.write("send %s %s %s to %s", id, method, path, front)
	resp, err := c.http.Do(req)
	if err != nil {
		r.err, r.took = err, time.Since(r.sentAt)
		c.world.record.write("closed %s %v", id, err)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.took = time.Since(r.sentAt)
	r.signature, r.body = resp.Header.Get("Rattanspur-Replica-Signature"), string(data)
	if err != nil {
		r.err = err
		c.world.record.write("cut %s after status %d and %d bytes: %v", id, resp.StatusCode, len(data), err)
		return r
	}
	r.status = resp.StatusCode
	c.world.record.write("answer %s %d signature=%q length=%d %.3fs", id, r.status, r.signature, len(data), r.took.Seconds())
	return r
}

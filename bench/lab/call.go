package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/wire"
)

// pollInterval is the time between two checks of a condition that the lab
// waits for.
const pollInterval = 20 * time.Millisecond

// Answer is the response that a caller received.
type Answer struct {
	Status  int
	Outcome wire.Outcome
	Body    string
}

// Chat sends a streaming chat completion request through an entry.
func (l *Lab) Chat(ctx context.Context, entry int, text string) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": Service, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		return Answer{}, err
	}
	return l.Post(ctx, entry, "/v1/chat/completions", body)
}

// Post sends a POST request with the customer's key through an entry and reads
// the whole response.
func (l *Lab) Post(ctx context.Context, entry int, path string, body []byte) (Answer, error) {
	url := "http://" + l.Entries[entry].Address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+CustomerKey)
	resp, err := HTTP.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Answer{
		Status:  resp.StatusCode,
		Outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)),
		Body:    string(data),
	}, err
}

// AwaitLoaded waits until at least count engines have loaded the weights with
// the given root.
func (l *Lab) AwaitLoaded(ctx context.Context, root string, count int) error {
	for {
		loaded := 0
		for _, p := range l.Agents {
			if p.Engine.Holds(ctx, root) {
				loaded++
			}
		}
		if loaded >= count {
			return nil
		}
		if err := sleepPollInterval(ctx); err != nil {
			return eris.Wrapf(err, "%d of %d engines have loaded the weights", loaded, count)
		}
	}
}

// AwaitUp waits until every process responds on /healthz.
func (l *Lab) AwaitUp(ctx context.Context) error {
	for _, p := range l.processes() {
		err := Await(ctx, func() error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/healthz", http.NoBody)
			if err != nil {
				return err
			}
			resp, err := HTTP.Do(req)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		})
		if err != nil {
			return eris.Wrapf(err, "%s is not up", p.ID)
		}
	}
	return nil
}

// Await calls f at every poll interval until it returns nil. If ctx ends first,
// the error wraps that of ctx and the last one of f.
func Await(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if perr := sleepPollInterval(ctx); perr != nil {
			return fmt.Errorf("%w: %w", perr, err)
		}
	}
}

func sleepPollInterval(ctx context.Context) error { return duty.Sleep(ctx, pollInterval) }

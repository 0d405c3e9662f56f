package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/rollout"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
)

const (
	// PlainService is the name of the plain service.
	PlainService fleet.Service = "ledger"
	// PlainPrefix is the path prefix of the plain service.
	PlainPrefix = "/ledger"
)

// AgentStatus is the part of an agent's /status response that tests use.
type AgentStatus struct {
	Gate     gate.State     `json:"gate"`
	Rollout  rollout.State  `json:"rollout"`
	Suspects []node.Suspect `json:"suspects"`
}

// Status requests the status of an agent.
func (l *Lab) Status(ctx context.Context, p *Process) (s AgentStatus, err error) {
	peers := &wire.Client{HTTP: HTTP, Keys: wire.Keys{PeerKey}}
	err = peers.GetJSON(ctx, p.Address, wire.PathStatus, &s)
	return s, err
}

// AwaitReady waits until the gates of the given agents admit calls for a root.
// The root of a plain service is zero.
func (l *Lab) AwaitReady(ctx context.Context, root fleet.Digest, agents ...*Process) error {
	for _, p := range agents {
		err := Await(ctx, func() error {
			s, err := l.Status(ctx, p)
			if err == nil && (!s.Gate.Ready || s.Gate.Serving != root) {
				err = fmt.Errorf("%s serves %s: %s", p.ID, s.Gate.Serving, s.Gate.ClosedReason)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// newPlainAgent returns an agent whose upstream is a stand-in plain service.
func (l *Lab) newPlainAgent(i int) (*Process, error) {
	p, err := l.newProcess(fleet.RoleAgent, i)
	if err != nil {
		return nil, err
	}
	p.ID = fleet.InstanceID(fmt.Sprintf("plain-%d", i))
	p.Service = PlainService
	p.Plain = standin.NewPlain(l.Options.Plain)
	go func() { _ = p.Plain.Run(l.ctx) }()
	server := httptest.NewServer(p.Plain.Handler())
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	p.UpstreamURL = server.URL
	return p, nil
}

// PublishPlain adds the plain service to the configuration and publishes it.
func (l *Lab) PublishPlain() error {
	return l.Publish(func(d *config.Document) {
		d.Services = append(d.Services, config.Service{
			Name: PlainService, Kind: config.KindPlain, PathPrefix: PlainPrefix, Limits: l.Options.Limits,
		})
	})
}

// ChatPath is the path of chat completions.
const ChatPath = "/v1/chat/completions"

// ChatBody returns the body of a streaming chat completion request.
func ChatBody(text string) []byte {
	body, err := json.Marshal(map[string]any{
		"model": Service, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// CallAgent sends a request directly to an agent, like an entry whose view of
// the fleet may be stale.
func (l *Lab) CallAgent(ctx context.Context, p *Process, c wire.Call, path string, body []byte) (Answer, error) {
	url := "http://" + p.Address + wire.CallPath + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	wire.Keys{PeerKey}.Authorize(req.Header)
	if err := wire.SetCall(req.Header, &c); err != nil {
		return Answer{}, err
	}
	resp, err := HTTP.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	return Answer{Status: resp.StatusCode, Outcome: outcome, Body: string(data)}, err
}

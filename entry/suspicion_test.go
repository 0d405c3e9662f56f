package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/routing"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// conversation returns the body of a request with several messages.
func conversation(texts ...string) string {
	var list []string
	for _, text := range texts {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, text))
	}
	return `{"model":"advisory","messages":[` + strings.Join(list, ",") + `]}`
}

// partOf returns the trait of a message of a conversation.
func partOf(text string) poison.Trait {
	return poison.PartTrait("advisory", fmt.Sprintf("user\n%q\n", text))
}

// get reads JSON from a path that requires the peer key.
func (e *testEntry) get(path string, out any) {
	require.NoError(e.t, (&wire.Client{HTTP: e.client, Keys: wire.Keys{peerKey}}).GetJSON(e.ctx, e.address, path, out))
}

// Guards against a message that crashes one upstream after the other because no two
// requests with it are alike, against sound requests that are blocked because they
// have the customer or the first message in common with those, and against a timeline
// that does not show the cause.
func TestHarmfulMessageIsBlocked(t *testing.T) {
	e, crashes := startPoisonable(t)
	for i := range 6 {
		sound := e.post(chatPath, "counter", conversation("system", fmt.Sprint("sound ", i)))
		require.Equal(t, http.StatusOK, sound.status, sound.body)
		p := problemOf(t, e.post(chatPath, "counter", conversation("system", "poison", fmt.Sprint("question ", i))))
		if i < 2 {
			require.Equal(t, wire.ProblemUnknown, p.Type)
			continue
		}
		require.Equal(t, wire.ProblemBlocked, p.Type)
		require.Equal(t, wire.NotRun, p.Outcome)
	}
	require.EqualValues(t, poison.BlockAfter, crashes.Load(), "two attempts of the first request, one of the second")
	require.Equal(t, http.StatusOK, e.post(chatPath, "counter", conversation("system", "other", "last")).status)
	var events []timeline.Event
	e.get(wire.PathTimeline, &events)
	blocked := 0
	for _, event := range events {
		if event.Kind == timeline.RequestBlocked {
			blocked++
			require.Equal(t, "counter "+partOf("poison").String(), event.Detail)
		}
	}
	require.Equal(t, 4, blocked)
}

// Guards against a request that becomes a suspect although it was lost after its
// answer began, be the answer a stream or one of known length.
func TestRequestLostInMidAnswerIsNoSuspect(t *testing.T) {
	var c clock
	agent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(wire.HeaderOutcome, string(wire.Ran))
		if strings.Contains(string(body), "short") {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = w.Write([]byte("data: begun\n\n"))
		_ = http.NewResponseController(w).Flush()
		c.advance(time.Second)
		crash(w)
	})
	e := startEntryWithClock(t, c.now, nil, agent)
	for range 2 * poison.BlockAfter {
		for _, text := range []string{"long", "short"} {
			require.NotEqual(t, http.StatusUnprocessableEntity, e.post(chatPath, "counter", conversation("system", text)).status)
		}
	}
	var s fullStatus
	e.get(wire.PathStatus, &s)
	require.Zero(t, s.Entry.Suspects)
}

// Guards against a crash that is counted twice because the entry saw the loss and
// the agent reports it, and against a loss that counts although the agent knows that
// its upstream did not crash.
func TestAgentNamesTheCrash(t *testing.T) {
	for name, test := range map[string]struct {
		crash    func(n int64) poison.CrashID
		blocked  bool
		suspects int
	}{
		"each time another one": {crash: func(n int64) poison.CrashID { return poison.CrashID(n) }, blocked: true, suspects: 1},
		"always the same one":   {crash: func(int64) poison.CrashID { return 1 }, suspects: 1},
		"none":                  {},
	} {
		t.Run(name, func(t *testing.T) {
			var c clock
			var calls atomic.Int64
			agent := fakeAgent(t, func(w http.ResponseWriter, _ *http.Request, _ *wire.Call) {
				n := calls.Add(1)
				c.advance(time.Second)
				if test.crash != nil {
					wire.SetCrash(w.Header(), test.crash(n))
				}
				wire.WriteProblem(w, &wire.Problem{Type: wire.ProblemUnknown, Status: http.StatusBadGateway, Outcome: wire.Unknown})
			})
			e := startEntryWithClock(t, c.now, nil, agent, agent)
			for range 2 * poison.BlockAfter {
				_ = e.post(chatPath, "counter", conversation("shared", "lost"))
			}
			resp := e.post(chatPath, "counter", conversation("shared", "lost"))
			require.Equal(t, test.blocked, resp.status == http.StatusUnprocessableEntity, resp.body)
			var s fullStatus
			e.get(wire.PathStatus, &s)
			require.Equal(t, test.suspects, s.Entry.Suspects)
		})
	}
}

// newTestRouter returns a router without upstreams.
func newTestRouter(t *testing.T) *router {
	e := New(testSettings("127.0.0.1:1", "", ""), log.NewNopLogger())
	r := newRouter(e)
	accepted, err := config.Accept(document(t))
	require.NoError(t, err)
	r.applyView(t.Context(), node.View{Config: accepted})
	return r
}

// wait lets a call with traits wait for an upstream.
func (r *router) wait(t *testing.T, traits ...poison.Trait) *call {
	c := &call{ctx: t.Context(), traits: traits, path: chatPath, model: "advisory", arrivedAt: time.Now(), stream: relay.NewStream()}
	target := routing.Resolve(r.view.Config, c.path, c.model)
	r.admit(t.Context(), r.newAttempt(c, &r.view.Config.Customers[0], target))
	return c
}

// waiting returns the number of calls that wait to run alone and of others.
func (r *router) waiting() (alone, others int) {
	for key, q := range r.queues.byKey {
		if key.exclusive {
			alone += q.Len()
		} else {
			others += q.Len()
		}
	}
	return alone, others
}

// Guards against a waiting call that comes under suspicion and holds up the ones
// behind it, against one that goes on waiting to run alone after it was cleared, and
// against one that runs although others found out that it is harmful.
func TestWaitingCallsAreReassessed(t *testing.T) {
	r := newTestRouter(t)
	ctx := t.Context()
	const harmful, request, sound poison.Trait = 100, 200, 300
	c := r.wait(t, harmful, request)
	r.wait(t, sound)
	apply := func(list []poison.Report, alone, others int) {
		v := r.view
		v.Crashes = list
		r.applyView(ctx, v)
		gotAlone, gotOthers := r.waiting()
		require.Equal(t, alone, gotAlone)
		require.Equal(t, others, gotOthers)
	}
	apply(reports(harmful, 1), 1, 1)
	cleared := reports(harmful, 1)
	cleared[0].Suspects[0].Cleared = true
	apply(cleared, 0, 2)
	// The part crashes others again.
	apply(reports(harmful+1, poison.BlockAfter), 0, 2)
	again := reports(harmful, poison.BlockAfter+1)
	apply(again[1:], 0, 1)
	require.Equal(t, http.StatusUnprocessableEntity, statusOf(ctx, t, c))
}

func statusOf(ctx context.Context, t *testing.T, c *call) int {
	require.Equal(t, 1, c.stream.Depth())
	part, err := c.stream.Take(ctx)
	require.NoError(t, err)
	return part.Head.Status
}

// Guards against a convicted trait that is never tried again, and against several
// calls that try it at once.
func TestOneCallProbes(t *testing.T) {
	var c clock
	agent := fakeAgent(t, echo)
	r := newTestRouter(t)
	r.entry.now = c.now
	const harmful poison.Trait = 100
	v := r.view
	v.Members = []fleet.Instance{{
		ID: "advisory-0", Role: fleet.RoleAgent, Service: "advisory", Address: agent, FailureDomain: "d", Region: "r",
		State: fleet.StateLive, Serving: root,
	}}
	v.Crashes = reports(harmful, poison.BlockAfter)
	r.applyView(t.Context(), v)
	early := r.wait(t, harmful, 200)
	require.Zero(t, r.inFlight)
	require.Equal(t, http.StatusUnprocessableEntity, statusOf(t.Context(), t, early))
	c.advance(3 * time.Minute)
	r.wait(t, harmful, 201)
	require.Equal(t, 1, r.inFlight)
	other := r.wait(t, harmful, 202)
	require.Equal(t, 1, r.inFlight)
	require.Equal(t, http.StatusUnprocessableEntity, statusOf(t.Context(), t, other))
}

// Guards against parts that get no trait or the wrong one, against a last message
// that counts as shared, and against a body that is no conversation and gets traits
// or loses its model.
func TestTraitsOfPrompts(t *testing.T) {
	message := func(role, text string) string { return fmt.Sprintf(`{"role": %q, "content": %q}`, role, text) }
	var many, manyParts []string
	for i := range maxParts + 3 {
		many = append(many, message("user", fmt.Sprint(i)))
		manyParts = append(manyParts, fmt.Sprintf("user\n\"%d\"\n", i))
	}
	for name, test := range map[string]struct {
		path, body, model string
		parts             []string
		leftOut           int
	}{
		"conversation": {
			body:  `{"model":"m","messages":[` + message("system", "s") + `,` + message("user", "a") + `,` + message("user", "b") + `]}`,
			model: "m", parts: []string{"system\n\"s\"\n", "user\n\"a\"\n"},
		},
		"only one message": {body: `{"model":"m","messages":[` + message("user", "a") + `]}`, model: "m"},
		"tools and system": {
			body:  `{"model":"m","tools":[ {"t": 1} ],"system":"s","messages":[` + message("user", "a") + `]}`,
			model: "m", parts: []string{"tools\n[{\"t\":1}]\n", "system\n\"s\"\n"},
		},
		"calls of tools": {
			body:  `{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[1]},{"role":"user"},` + message("user", "a") + `]}`,
			model: "m", parts: []string{"assistant\n[1]\n"},
		},
		"many messages": {
			body:  `{"model":"m","messages":[` + strings.Join(many, ",") + `]}`,
			model: "m", parts: manyParts[:maxParts], leftOut: 2,
		},
		"a conversation of forty messages": {
			body:  `{"model":"m","messages":[` + strings.Join(many[:40], ",") + `]}`,
			model: "m", parts: manyParts[:39],
		},
		"plain completion":  {path: "/v1/completions", body: `{"model":"m","prompt":"text"}`, model: "m"},
		"other messages":    {body: `{"model":"m","messages":"text"}`, model: "m"},
		"no JSON":           {body: `{"model":"m"`},
		"plain service":     {path: "/bookings/list", body: `{"model":"m","messages":[1,2]}`},
		"empty list":        {body: `{"model":"m","messages":[]}`, model: "m"},
		"messages of wrong": {body: `{"model":"m","messages":[1,2]}`, model: "m"},
	} {
		t.Run(name, func(t *testing.T) {
			path := test.path
			if path == "" {
				path = chatPath
			}
			p := inspectBody(path, []byte(test.body))
			require.Equal(t, test.model, p.model)
			require.Equal(t, test.parts, p.parts)
			require.Equal(t, test.leftOut, p.partsLeftOut)
			traits := p.traits("key", path, []byte(test.body))
			require.Len(t, traits, len(test.parts)+1)
			require.Equal(t, poison.RequestTrait("key", path, []byte(test.body)), traits[len(test.parts)])
			for i, part := range test.parts {
				require.Equal(t, poison.PartTrait(test.model, part), traits[i])
			}
		})
	}
	require.True(t, json.Valid([]byte(conversation("a", "b"))))
}

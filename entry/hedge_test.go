package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gate"
	"rattanspur.example/lib/retry"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/wire"
)

// hedgeTimeout is the time after which a hedge may begin in these tests.
const hedgeTimeout = time.Second

func withHedges(s *settings.Entry) { s.FirstByteTimeout = hedgeTimeout }

// refuseBusy refuses a call for lack of capacity, as an agent does whose upstream has other
// callers.
func refuseBusy(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"detail":"`+string(gate.AtLimit)+`"}`)
}

// runLog records which attempts of calls agents got.
type runLog struct {
	mu       sync.Mutex
	requests map[string]int
	attempts map[string]bool
}

func newRunLog() *runLog { return &runLog{requests: map[string]int{}, attempts: map[string]bool{}} }

// record returns how many attempts of the call were recorded, this one included, and whether
// its name was used before.
func (l *runLog) record(meta *wire.Call) (runs int, repeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated = l.attempts[meta.AttemptID()]
	l.attempts[meta.AttemptID()] = true
	l.requests[meta.Request]++
	return l.requests[meta.Request], repeated
}

func requireAnswered(t *testing.T, resp response, body string) {
	t.Helper()
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Equal(t, body, resp.body)
}

// Guards against calls that are ended at an upstream which is silent for a while, because
// another one seems to have capacity, and that this one then refuses: they ran a second time
// at the silent one, or were given up.
func TestCallsStayWhileTheOtherUpstreamIsFull(t *testing.T) {
	runs := newRunLog()
	silent := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		runs.record(meta)
		time.Sleep(hedgeTimeout * 5 / 4)
		echo(w, r, meta)
	})
	full := fakeAgent(t, func(w http.ResponseWriter, r *http.Request, _ *wire.Call) { refuseBusy(w, r) })
	e := startEntry(t, withHedges, silent, full)
	responses := make([]response, 4)
	var wait sync.WaitGroup
	for i := range responses {
		wait.Go(func() { responses[i] = e.post("/bookings/list", "counter", "own") })
	}
	wait.Wait()
	for _, resp := range responses {
		requireAnswered(t, resp, "own")
	}
	require.Len(t, runs.requests, len(responses))
	for _, n := range runs.requests {
		require.Equal(t, 1, n, "a call ran again at the upstream that was silent")
	}
}

// Guards against a hedge that is waited for, or whose response is passed on as well, although
// the silent attempt got its response first.
func TestSilentAttemptThatGoesOnEndsItsHedge(t *testing.T) {
	hedged, ended := make(chan struct{}), make(chan struct{})
	agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		if meta.Attempt == 1 {
			<-hedged
			echo(w, r, meta)
			return
		}
		close(hedged)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	}
	e := startEntry(t, withHedges, fakeAgent(t, agent), fakeAgent(t, agent))
	resp := e.post("/bookings/list", "counter", "from the first")
	requireAnswered(t, resp, "from the first")
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the hedge was not ended")
	}
	e.awaitMetric(`rattanspur_entry_hedges_total 1`)
	e.awaitMetric(`rattanspur_entry_attempts_total{end="caller_left"} 1`)
}

// Guards against a call that is given up, or sent a third time, because one of its two attempts
// is lost while the other goes on.
func TestLossOfOneOfTwoAttempts(t *testing.T) {
	for name, lost := range map[string]int{"silent attempt": 1, "hedge": 2} {
		t.Run(name, func(t *testing.T) {
			runs := newRunLog()
			hedged, crashed := make(chan struct{}), make(chan struct{})
			agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
				runs.record(meta)
				if meta.Attempt == 2 {
					close(hedged)
				}
				<-hedged
				if meta.Attempt == lost {
					_, _ = io.Copy(io.Discard, r.Body)
					crash(w)
					close(crashed)
					return
				}
				<-crashed
				time.Sleep(hedgeTimeout / 10)
				echo(w, r, meta)
			}
			e := startEntry(t, withHedges, fakeAgent(t, agent), fakeAgent(t, agent))
			resp := e.post("/bookings/list", "counter", "kept")
			requireAnswered(t, resp, "kept")
			require.Len(t, runs.attempts, 2)
		})
	}
}

// Guards against attempts with the same name, of which an agent could take one for the other,
// and against a call that is given up although it may run once more, when both attempts are
// lost.
func TestLossOfBothAttempts(t *testing.T) {
	runs := newRunLog()
	agent := func(w http.ResponseWriter, r *http.Request, meta *wire.Call) {
		n, repeated := runs.record(meta)
		if repeated {
			t.Errorf("attempt %s came twice", meta.AttemptID())
		}
		if n == 1 {
			time.Sleep(hedgeTimeout * 3 / 2)
		}
		if n < 3 {
			_, _ = io.Copy(io.Discard, r.Body)
			crash(w)
			return
		}
		echo(w, r, meta)
	}
	e := startEntry(t, withHedges, fakeAgent(t, agent), fakeAgent(t, agent), fakeAgent(t, agent))
	resp := e.post("/bookings/list", "counter", "at last")
	requireAnswered(t, resp, "at last")
	require.Len(t, runs.attempts, 3)
}

// Guards against two responses that are passed on, a call that nobody ends or that is ended
// twice, attempts whose end is forgotten, and a record that stays, in any order of events.
func TestSilentCallsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls := silentCalls{}
		now := time.Unix(1_700_000_000, 0)
		c := &call{id: "r", ctx: context.Background()}
		newAttempt := func(number int) *attempt {
			a := &attempt{call: c, upstream: fleet.Instance{ID: fleet.InstanceID(rune('a' + number))}}
			a.ctx, a.end = context.WithCancelCause(c.ctx)
			a.meta.Attempt = number
			return a
		}
		open := map[int]*attempt{1: newAttempt(1)}
		calls.silence(open[1])
		passed, decided, ends := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"hedge": func(*rapid.T) {
				s := calls["r"]
				if s == nil || !s.awaitsHedge() {
					return
				}
				s.lastNumber++
				s.hedges++
				a := newAttempt(s.lastNumber)
				open[s.lastNumber] = a
				s.hedge = &silentAttempt{attempt: *a}
			},
			"silence": func(t *rapid.T) {
				if a := anyOf(t, open); a != nil && a.meta.Attempt != passed && calls["r"] != nil {
					calls.silence(a)
				}
			},
			"response": func(t *rapid.T) {
				a := anyOf(t, open)
				if a == nil {
					return
				}
				if calls.pass(a) {
					require.Contains(t, []int{0, a.meta.Attempt}, passed, "two responses are passed on")
					passed = a.meta.Attempt
				}
			},
			"end": func(t *rapid.T) {
				a := anyOf(t, open)
				if a == nil {
					return
				}
				delete(open, a.meta.Attempt)
				ends++
				end := rapid.SampledFrom([]retry.End{retry.Lost, retry.Busy, retry.Stalled, retry.Canceled}).Draw(t, "how")
				a.count(attemptEnd{end, a.upstream.ID})
				if !calls.ended(now, a, end) {
					return
				}
				decided++
				if passed == 0 {
					require.Empty(t, open, "the call is ended while an attempt goes on")
					require.Equal(t, ends, a.meta.Attempt, "the next attempt has a name that was used")
				} else {
					require.Equal(t, passed, a.meta.Attempt)
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(open), 2)
				require.LessOrEqual(t, decided, 1)
				if len(open) == 0 {
					require.Equal(t, 1, decided)
					require.Empty(t, calls)
				}
			},
		})
	})
}

// anyOf returns one of the open attempts, or nil.
func anyOf(t *rapid.T, open map[int]*attempt) *attempt {
	var numbers []int
	for n := range 1 + 1 + maxHedges {
		if open[n] != nil {
			numbers = append(numbers, n)
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	return open[rapid.SampledFrom(numbers).Draw(t, "attempt")]
}

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refuse answers like a full upstream whose load comes from others.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Rattanspur-Attempt-Id", r.Header.Get("Rattanspur-Attempt-Id"))
	w.Header().Set("Rattanspur-Not-Executed", "1")
	w.Header().Set("Rattanspur-Replica-Load", "4,32,4")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reset resets the connection of a request, as an upstream that has just crashed.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// callAll sends a number of requests at the same time and returns the bodies, or errors.
func (r *testGateway) callAll(path string, count int) []string {
	results := make([]string, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			_, body, err := r.tryCall(path)
			if err != nil {
				body = err.Error()
			}
			results[i] = body
		})
	}
	group.Wait()
	return results
}

// Guards against streams that are cut, or lose their upstream, because it is silent for a
// moment while the other upstream is full of the work of others, has just crashed, accepts
// requests and is lost then, or answers with an error. One of them asks the other upstream
// while its attempt goes on.
func TestStreamsOutliveASilenceWhateverTheOtherUpstreamDoes(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"full":  refuse,
		"reset": reset,
		"head, then lost": func(w http.ResponseWriter, r *http.Request) {
			startStream(w, r)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"error":  func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "failed") },
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		for _, stop := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stop %v", name, stop), func(t *testing.T) {
				t.Parallel()
				source := newSource()
				source.put("op/config", pauseConfig)
				var sent sync.WaitGroup
				sent.Add(4)
				source.upstream(t, "i-1", "engine", func(w http.ResponseWriter, r *http.Request) {
					sent.Done()
					pausingStream(w, r)
				})
				g := start(t, source)
				results := make(chan []string, 1)
				go func() { results <- g.callAll("/stream/1", 4) }()
				sent.Wait()
				source.upstream(t, "i-2", "engine", other)
				if stop {
					g.stop()
				}
				require.Equal(t, slices.Repeat([]string{wholeStream}, 4), <-results)
			})
		}
	}
}

// Guards against an answer that is refused, or replaced by an error, because its upstream is
// silent before the head while the other one is full.
func TestReadOutlivesASilenceWhileTheOtherUpstreamIsFull(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	var first atomic.Bool
	source.upstream(t, "i-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		first.Store(true)
		time.Sleep(pause)
		respond(w, r, http.StatusOK, "answer")
	})
	g := start(t, source)
	result := make(chan string, 1)
	go func() {
		_, body, _ := g.tryCall("/read/1")
		result <- body
	}()
	require.Eventually(t, first.Load, testTimeout, time.Millisecond)
	source.upstream(t, "i-2", "desk", refuse)
	require.Equal(t, "answer", <-result)
}

// Guards against events of two attempts in one response, and against a stream that both
// attempts leave: the silent one goes on at the moment at which its hedge does.
func TestAttemptsThatGoOnAtTheSameTime(t *testing.T) {
	for i := range 20 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			source := newSource()
			source.put("op/config", pauseConfig)
			hedged := make(chan struct{})
			var attempts atomic.Int32
			serve := func(w http.ResponseWriter, r *http.Request) {
				startStream(w, r)
				if attempts.Add(1) == 1 {
					writeEvent(w, 1)
					writeEvent(w, 2)
					<-hedged
				} else {
					require.Equal(t, "2", r.Header.Get("Last-Event-Id"))
					close(hedged)
				}
				for id := 3; id <= 4; id++ {
					writeEvent(w, id)
				}
			}
			source.upstream(t, "i-1", "engine", serve)
			source.upstream(t, "i-2", "engine", serve)
			g := start(t, source)
			_, body, err := g.tryCall("/stream/1")
			require.NoError(t, err)
			require.Equal(t, wholeStream, body)
			require.EqualValues(t, 2, attempts.Load())
		})
	}
}

// Guards against an upstream that is held by comments: they are no progress, so that the hedge
// goes on, and none of them appears inside an event.
func TestCommentsDoNotHoldAStream(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	var attempts atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) > 1 {
			pausingStream(w, r)
			return
		}
		startStream(w, r)
		writeEvent(w, 1)
		writeEvent(w, 2)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ": waiting\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	_, body, err := start(t, source).tryCall("/stream/1")
	require.NoError(t, err)
	require.Equal(t, wholeStream, strings.ReplaceAll(body, ": waiting\n\n", ""))
}

// Guards against work that goes on at an upstream for a caller that has left while its request
// had two attempts.
func TestBothAttemptsEndWithTheirCaller(t *testing.T) {
	source := newSource()
	source.put("op/config", pauseConfig)
	var begun, ended atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		if begun.Add(1) == 1 {
			writeEvent(w, 1)
		}
		<-r.Context().Done()
		ended.Add(1)
	}
	source.upstream(t, "i-1", "engine", serve)
	source.upstream(t, "i-2", "engine", serve)
	g := start(t, source)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := g.request(ctx, http.MethodPost, "/stream/1", "")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Eventually(t, func() bool { return begun.Load() == 2 }, testTimeout, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return ended.Load() == 2 }, testTimeout, time.Millisecond)
	require.Contains(t, g.logs.line("attempt-hedged"), "estimate=")
}

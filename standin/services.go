package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/confservice"
)

// maxWatch is the maximum wait of a watch of the configuration service.
const maxWatch = time.Minute

// ConfigService is a stand-in configuration service. Its PUT method takes the
// place of the users' publishing tool.
type ConfigService struct {
	// Calls counts reads and watches.
	Calls atomic.Int64
	// Pending is the number of watches that are currently waiting.
	Pending atomic.Int64
	// Down makes all calls fail, including waiting watches when they end.
	Down atomic.Bool

	mu     sync.Mutex
	values map[string][]byte
	// index increases with each published value. changed is then closed and
	// replaced.
	index   uint64
	changed chan struct{}
	// failAfter is the number of reads of the next published value that succeed
	// before the service goes down; negative means no limit.
	failAfter int
	// remainingReads is the number of reads of the current value that still
	// succeed; negative means no limit.
	remainingReads int
}

// NewConfigService returns a service without values.
func NewConfigService() *ConfigService {
	return &ConfigService{
		values: map[string][]byte{}, index: 1, changed: make(chan struct{}), failAfter: -1, remainingReads: -1,
	}
}

// FailAfter makes the service go down after n successful reads of the next
// published value.
func (s *ConfigService) FailAfter(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAfter = n
}

// Value returns the published value of a key, or nil.
func (s *ConfigService) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// Put publishes a value.
func (s *ConfigService) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
	s.remainingReads, s.failAfter = s.failAfter, -1
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Restore brings back an earlier value of a key with an earlier index, as after a
// restore from a copy. Waiting watches end as if the connection broke.
func (s *ConfigService) Restore(key string, value []byte, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key], s.index = value, index
	close(s.changed)
	s.changed = make(chan struct{})
}

// Index returns the index of the newest value.
func (s *ConfigService) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Handler serves reads, watches and writes of values.
func (s *ConfigService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.serveGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Put(r.PathValue("key"), data)
	})
	return mux
}

func (s *ConfigService) serveGet(w http.ResponseWriter, r *http.Request) {
	s.Calls.Add(1)
	if s.Down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWatch {
		wait = maxWatch
	}
	value, index := s.await(r, known, wait)
	switch {
	case !s.allow():
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case value == nil:
		http.NotFound(w, r)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	_, _ = w.Write(value)
}

// allow counts a read of the current value and reports whether it succeeds.
func (s *ConfigService) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remainingReads == 0 {
		s.Down.Store(true)
	}
	if s.remainingReads > 0 {
		s.remainingReads--
	}
	return !s.Down.Load()
}

// await returns the value and the index as soon as the index differs from known,
// or after wait, or when the caller disconnects.
func (s *ConfigService) await(r *http.Request, known uint64, wait time.Duration) ([]byte, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.Pending.Add(1)
	defer s.Pending.Add(-1)
	for {
		s.mu.Lock()
		value, index, changed := s.values[r.PathValue("key")], s.index, s.changed
		s.mu.Unlock()
		if index != known {
			return value, index
		}
		select {
		case <-changed:
		case <-timer.C:
			return value, index
		case <-r.Context().Done():
			return value, index
		}
	}
}

// InstanceList is a stand-in instance list. Changes of the list can be delayed.
type InstanceList struct {
	// Calls counts reads.
	Calls atomic.Int64

	mu   sync.Mutex
	list confservice.InstanceList
}

// Set replaces the list after the delay lag. It does not block.
func (l *InstanceList) Set(list confservice.InstanceList, lag time.Duration) {
	if lag > 0 {
		time.AfterFunc(lag, func() { l.Set(list, 0) })
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// Handler serves reads and writes of the list.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		l.Calls.Add(1)
		l.mu.Lock()
		list := l.list
		l.mu.Unlock()
		tag := strconv.Quote(strconv.FormatUint(list.Revision, 10))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		writeJSON(w, list)
	})
	mux.HandleFunc("PUT /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		var list confservice.InstanceList
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(list, 0)
	})
	return mux
}

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

// maxWatch bounds a watch of the configuration service.
const maxWatch = time.Minute

// ConfigService is a stand-in configuration service. PUT stands for the users'
// own publishing tool.
type ConfigService struct {
	// Calls counts reads and watches.
	Calls atomic.Int64
	// Pending counts the watches that wait now.
	Pending atomic.Int64
	// Down makes every call fail, also the watches that wait.
	Down atomic.Bool

	mu      sync.Mutex
	values  map[string][]byte
	index   uint64
	changed chan struct{}
	// failAfter is the number of reads of the next value that are answered
	// before the service goes down; negative means no limit.
	failAfter int
	// left is failAfter for the current value.
	left int
}

// NewConfigService returns a service without values.
func NewConfigService() *ConfigService {
	return &ConfigService{
		values: map[string][]byte{}, index: 1, changed: make(chan struct{}), failAfter: -1, left: -1,
	}
}

// FailAfter makes the service go down once n reads of the next published value
// were answered.
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
	s.left, s.failAfter = s.failAfter, -1
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves reads, watches and, for tests, writes.
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

// allow counts a read against the limit of the current value.
func (s *ConfigService) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		s.Down.Store(true)
	}
	if s.left > 0 {
		s.left--
	}
	return !s.Down.Load()
}

// await returns the value once its index differs from known.
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

// InstanceList is a stand-in instance list that lags behind what is set.
type InstanceList struct {
	Calls atomic.Int64

	mu   sync.Mutex
	list confservice.InstanceList
}

// Set replaces the list after a delay.
func (l *InstanceList) Set(list confservice.InstanceList, lag time.Duration) {
	if lag > 0 {
		time.AfterFunc(lag, func() { l.Set(list, 0) })
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// Handler serves the list and, for tests, its replacement.
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

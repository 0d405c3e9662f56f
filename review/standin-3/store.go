package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value as JSON and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: data, Revision: s.rev, Created: created}
	s.items[key] = it
	s.record(it)
	return time.Now()
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.rev, Deleted: true})
	return time.Now()
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/kv-range", s.serveRange)
	mux.HandleFunc("GET /rattanspur/kv-watch", s.serveWatch)
	return mux
}

// pageItems is the largest number of items in one page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := number(q, "after")
	end := time.After(time.Duration(min(number(q, "wait_ms"), 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func number(q url.Values, name string) int64 {
	n, _ := strconv.ParseInt(q.Get(name), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item or an event of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(host string) *store {
	s := &store{items: map[string]item{}, changed: make(chan struct{}), revision: 10}
	l, err := net.Listen("tcp", host+":8007")
	if err != nil {
		panic(err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/kv-range", s.serveRange)
	mux.HandleFunc("GET /rattanspur/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.commit(item{Key: key, Deleted: true}) }

func (s *store) commit(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found, revision := []item{}, s.revision
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, map[string]any{"items": found, "has_more": more, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed := s.since(q.Get("prefix"), after)
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": []item{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

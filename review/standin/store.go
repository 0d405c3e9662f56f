package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store. It answers reads and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// cut is closed to end the watches that wait, without an answer.
	cut chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{})}
}

func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.commit(item{Key: key, Value: data})
}

func (s *store) remove(key string) time.Time { return s.commit(item{Key: key, Deleted: true}) }

func (s *store) commit(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rattanspur/kv-range":
		s.serveRange(w, r)
	case "/rattanspur/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is the greatest number of items in one answer.
const pageItems = 50

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := struct {
		Items    []item `json:"items"`
		More     bool   `json:"has_more"`
		Revision uint64 `json:"current_rev"`
	}{Items: []item{}, Revision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		answer := struct {
			Events   []item `json:"events"`
			Revision uint64 `json:"current_rev"`
		}{Events: []item{}, Revision: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				answer.Events = append(answer.Events, it)
			}
		}
		changed, cut := s.changed, s.cut
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			writeJSON(w, answer)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			writeJSON(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

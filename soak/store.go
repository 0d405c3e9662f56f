package soak

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/wire"
)

const (
	// itemsPerPage is the maximum number of items in one range answer.
	itemsPerPage = 5
	// maxHistory is the maximum number of events that the store keeps.
	maxHistory = 4096
	// maxWatch bounds how long a watch waits.
	maxWatch = 10 * time.Second
)

// entry is an item or an event of the store as encoded in answers.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeState is the state of the store.
type storeState struct {
	// revision is the number of changes so far.
	revision uint64
	items    map[string]entry
	// history holds the latest events, oldest first.
	history []entry
	// compacted is the revision up to which the history was discarded.
	compacted uint64
	// changed is closed on the next change.
	changed chan struct{}
	// era counts the restores, from 1. copies holds copies of the store, oldest first,
	// and lost the last writes that a restore lost and nobody has repeated yet.
	era    uint64
	copies []storeCopy
	lost   map[string]entry
}

// store simulates the platform's store.
type store struct {
	state *owned[storeState]
	// refusing makes the store reset the connections of all requests that come.
	refusing atomic.Bool
}

func newStore(g *duty.Group) *store {
	return &store{state: newOwned(g, "store", &storeState{
		items: map[string]entry{}, changed: make(chan struct{}), era: 1, lost: map[string]entry{},
	})}
}

// put sets the value of a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.commit(entry{Key: key, Value: data})
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time { return s.commit(entry{Key: key, Deleted: true}) }

// commit applies a change under a new revision and wakes all watches. It returns
// the time of the acknowledgement.
func (s *store) commit(e entry) time.Time {
	return call(s.state, func(st *storeState) time.Time {
		st.copyIfDue(time.Now())
		st.commit(e)
		return time.Now()
	})
}

// commit applies a change under a new revision and wakes all watches.
func (st *storeState) commit(e entry) {
	st.revision++
	e.Revision = st.revision
	delete(st.lost, e.Key)
	if e.Deleted {
		delete(st.items, e.Key)
	} else {
		st.items[e.Key] = e
	}
	st.history = append(st.history, e)
	if len(st.history) > maxHistory {
		st.history = st.history[1:]
	}
	st.wake()
}

// wake wakes all watches.
func (st *storeState) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// compact discards the history. Watches from an older revision then get 410.
func (s *store) compact() {
	apply(s.state, func(st *storeState) { st.history, st.compacted = nil, st.revision })
}

// handler serves the store's API.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/kv-range", s.serveRange)
	mux.HandleFunc("GET /rattanspur/kv-watch", s.serveWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refusing.Load() {
			abortResponse(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveRange answers with the first items of a prefix after a key, in the order of
// keys.
func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	type page struct {
		Items    []entry `json:"items"`
		More     bool    `json:"has_more"`
		Revision uint64  `json:"current_rev"`

		era uint64
	}
	p := call(s.state, func(st *storeState) page {
		p := page{Revision: st.revision, era: st.era}
		for key, e := range st.items {
			if strings.HasPrefix(key, prefix) && key > after {
				p.Items = append(p.Items, e)
			}
		}
		slices.SortFunc(p.Items, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
		if len(p.Items) > itemsPerPage {
			p.Items, p.More = p.Items[:itemsPerPage], true
		}
		return p
	})
	writeInEra(w, p.era, p)
}

// writeInEra writes an answer of the store.
func writeInEra(w http.ResponseWriter, era uint64, answer any) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	wire.WriteJSON(w, answer)
}

// watchResult is the answer to a watch.
type watchResult struct {
	Events   []entry `json:"events"`
	Revision uint64  `json:"current_rev"`

	// compacted says that events after the requested revision were discarded, or that
	// the store does not have the revision.
	compacted bool
	era       uint64
	// changed is closed on the next change.
	changed chan struct{}
}

// serveWatch answers with the events of a prefix after a revision. If there are
// none, it waits for one, for the time in the query but at most maxWatch.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for {
		found := call(s.state, func(st *storeState) watchResult { return st.eventsSince(q.Get("prefix"), after) })
		switch {
		case found.compacted:
			w.Header().Set(headerEra, strconv.FormatUint(found.era, 10))
			w.WriteHeader(http.StatusGone)
			return
		case len(found.Events) > 0:
			writeInEra(w, found.era, found)
			return
		}
		select {
		case <-found.changed:
		case <-timer.C:
			writeInEra(w, found.era, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events after a revision whose keys have the prefix.
func (st *storeState) eventsSince(prefix string, after uint64) watchResult {
	f := watchResult{Revision: st.revision, compacted: after < st.compacted || after > st.revision, changed: st.changed, era: st.era}
	for _, e := range st.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			f.Events = append(f.Events, e)
		}
	}
	return f
}

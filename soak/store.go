package soak

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/wire"
)

const (
	// pageItems is the number of items in one answer of the store.
	pageItems = 5
	// historyItems is the number of events that the store remembers.
	historyItems = 4096
	// watchMost bounds a watch.
	watchMost = 10 * time.Second
)

// entry is an item or an event of the store as it travels.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeState struct {
	revision uint64
	items    map[string]entry
	history  []entry
	// compacted is the revision up to which the history was discarded.
	compacted uint64
	// changed is closed with the next change.
	changed chan struct{}
}

// store is a stand-in of the platform's store.
type store struct{ state *owned[storeState] }

func newStore(g *duty.Group) *store {
	return &store{state: own(g, "store", &storeState{items: map[string]entry{}, changed: make(chan struct{})})}
}

// put publishes a value and returns when that was acknowledged.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(entry{Key: key, Value: data})
}

// remove deletes a key.
func (s *store) remove(key string) time.Time { return s.change(entry{Key: key, Deleted: true}) }

func (s *store) change(e entry) time.Time {
	return ask(s.state, func(st *storeState) time.Time {
		st.revision++
		e.Revision = st.revision
		if e.Deleted {
			delete(st.items, e.Key)
		} else {
			st.items[e.Key] = e
		}
		st.history = append(st.history, e)
		if len(st.history) > historyItems {
			st.history = st.history[1:]
		}
		close(st.changed)
		st.changed = make(chan struct{})
		return time.Now()
	})
}

// compact discards the history.
func (s *store) compact() {
	tell(s.state, func(st *storeState) { st.history, st.compacted = nil, st.revision })
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanspur/kv-range", s.serveRange)
	mux.HandleFunc("GET /rattanspur/kv-watch", s.serveWatch)
	return mux
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	type page struct {
		Items    []entry `json:"items"`
		More     bool    `json:"has_more"`
		Revision uint64  `json:"current_rev"`
	}
	wire.WriteJSON(w, ask(s.state, func(st *storeState) page {
		p := page{Revision: st.revision}
		for key, e := range st.items {
			if strings.HasPrefix(key, prefix) && key > after {
				p.Items = append(p.Items, e)
			}
		}
		slices.SortFunc(p.Items, func(a, b entry) int { return cmp.Compare(a.Key, b.Key) })
		if len(p.Items) > pageItems {
			p.Items, p.More = p.Items[:pageItems], true
		}
		return p
	}))
}

// watched is what a watch finds.
type watched struct {
	Events   []entry `json:"events"`
	Revision uint64  `json:"current_rev"`

	gone    bool
	changed chan struct{}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, watchMost))
	defer timer.Stop()
	for {
		found := ask(s.state, func(st *storeState) watched { return st.since(q.Get("prefix"), after) })
		switch {
		case found.gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(found.Events) > 0:
			wire.WriteJSON(w, found)
			return
		}
		select {
		case <-found.changed:
		case <-timer.C:
			wire.WriteJSON(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (st *storeState) since(prefix string, after uint64) watched {
	f := watched{Revision: st.revision, gone: after < st.compacted, changed: st.changed}
	for _, e := range st.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			f.Events = append(f.Events, e)
		}
	}
	return f
}

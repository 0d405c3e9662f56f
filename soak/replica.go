package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// replicaSlots is the number of requests that a replica runs at a time.
	replicaSlots = 6
	// eventPause is the time between two events of a stream, workTime that for
	// any other request.
	eventPause = 15 * time.Millisecond
	workTime   = 10 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// heartbeat is the time between two looks at the entry in the store.
	heartbeat = 200 * time.Millisecond
	// faultOneIn is how seldom a replica answers in each of its faulty ways.
	faultOneIn = 150
)

// start is one start of a replica, which has an id of its own.
type start struct {
	id       string
	born     int64
	ctx      context.Context
	end      context.CancelFunc
	up       bool
	draining bool
	// hidden says that the start is in the store no longer.
	hidden  bool
	running int
	weights *weights
}

// replica is a stand-in of a running instance of a service. It is published
// under the address of its link.
type replica struct {
	name    string
	service string
	zone    string
	link    *link
	world   *world
	now     *owned[start]
}

func newReplica(w *world, name, service, zone string) (*replica, error) {
	r := &replica{name: name, service: service, zone: zone, world: w}
	host := w.host()
	listener, err := net.Listen("tcp", host+":8000")
	if err != nil {
		return nil, err
	}
	if r.link, err = newLink(w.group, w.host()+":8000", listener.Addr().String()); err != nil {
		return nil, err
	}
	s := &start{}
	if service == engineService {
		s.weights = newWeights()
		s.weights.loaded = 1
		for i := range pieces {
			s.weights.staged[i] = pieceOf(1, i)
		}
	}
	r.now = own(w.group, name, s)
	r.boot()
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.serve)
	if service == engineService {
		r.weightRoutes(mux)
	}
	server := &http.Server{Handler: mux}
	context.AfterFunc(w.group.Context(), func() { _ = server.Close() })
	w.group.Go(name+" front", func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	w.group.Go(name+" heartbeat", r.register)
	return r, nil
}

// boot begins a new start.
func (r *replica) boot() {
	tell(r.now, func(s *start) {
		s.ctx, s.end = context.WithCancel(r.world.group.Context())
		s.id = "i-" + strconv.FormatUint(rand.Uint64(), 16)
		s.born = time.Now().UnixMilli()
		s.up, s.draining, s.hidden, s.running = true, false, false, 0
	})
	r.link.set(passing)
}

// crash ends the start at once. A crash keeps what lies at an engine, a loss
// of power does not; neither keeps what it had loaded.
func (r *replica) crash(power bool) {
	r.link.set(refusing)
	tell(r.now, func(s *start) {
		s.end()
		s.up = false
		if s.weights != nil {
			s.weights.forget(power)
		}
	})
	r.link.reset()
}

// register keeps the entry in the store up to date. The entry of a start that
// has ended lapses after some time.
func (r *replica) register(ctx context.Context) error {
	published := map[string]string{}
	var missing time.Time
	for {
		type seen struct {
			id    string
			entry map[string]any
			gone  bool
		}
		now := ask(r.now, func(s *start) seen { return seen{s.id, r.entry(s), !s.up || s.hidden} })
		for id := range published {
			if id == now.id && !now.gone {
				continue
			}
			if missing.IsZero() {
				missing = time.Now()
			}
			if hidden := ask(r.now, func(s *start) bool { return s.hidden }); hidden || time.Since(missing) > 3*heartbeat {
				r.world.store.remove(keyUpstream + id)
				delete(published, id)
				missing = time.Time{}
			}
		}
		if text := fmt.Sprint(now.entry); !now.gone && published[now.id] != text {
			r.world.store.put(keyUpstream+now.id, now.entry)
			published[now.id] = text
		}
		if duty.Sleep(ctx, heartbeat) != nil || ctx.Err() != nil {
			return nil
		}
	}
}

func (r *replica) entry(s *start) map[string]any {
	state := "ready"
	if s.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": r.service, "address": r.link.address, "zone": r.zone, "version": "1", "slots": replicaSlots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": s.born,
	}
	if s.weights != nil {
		s.weights.describe(e)
	}
	return e
}

// leave drains the replica: it is published as draining, or its entry goes at
// once if it is silent about it. The change binds from the returned time on.
func (r *replica) leave(silent bool) (id string, acknowledged time.Time) {
	type left struct {
		id    string
		entry map[string]any
	}
	l := ask(r.now, func(s *start) left {
		s.draining = true
		s.hidden = silent
		return left{s.id, r.entry(s)}
	})
	if silent {
		return l.id, r.world.store.remove(keyUpstream + l.id)
	}
	return l.id, r.world.store.put(keyUpstream+l.id, l.entry)
}

// admitted is what a request that may run knows of its replica.
type admitted struct {
	status  int
	id      string
	version int64
	ctx     context.Context
	running int
}

func (r *replica) admit(h http.Header) admitted {
	return ask(r.now, func(s *start) admitted {
		a := admitted{id: s.id, ctx: s.ctx, running: s.running}
		if s.weights != nil {
			a.version = s.weights.loaded
		}
		expect := h.Get(headerExpectVersion)
		switch {
		case !s.up:
			a.status = 0
		case h.Get(headerExpectID) != s.id:
			a.status = http.StatusMisdirectedRequest
		case expect != "" && expect != strconv.FormatInt(a.version, 10):
			a.status = http.StatusMisdirectedRequest
		case s.weights != nil && (a.version == 0 || s.weights.taking):
			a.status = http.StatusServiceUnavailable
		case s.running >= replicaSlots:
			a.status = http.StatusServiceUnavailable
		default:
			s.running++
			a.status = http.StatusOK
		}
		return a
	})
}

func (r *replica) done(id string) {
	tell(r.now, func(s *start) {
		if s.id == id {
			s.running--
		}
	})
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	attempt := req.Header.Get(headerAttempt)
	a := r.admit(req.Header)
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", a.running, replicaSlots))
	switch a.status {
	case 0:
		cut(w)
		return
	case http.StatusOK:
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(a.status)
		return
	}
	defer r.done(a.id)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	n := ran{
		attempt: attempt, replica: a.id, service: r.service, zone: r.zone, address: r.link.address, path: req.URL.Path,
		body: string(body), tenant: req.Header.Get(headerCustomer), keyed: req.Header.Get("Authorization") != "",
		version: a.version, after: after, at: time.Now(), signature: sign(a.id, attempt, a.version),
	}
	r.world.ledger.runs(n)
	w.Header().Set(headerSignature, n.signature)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	if r.service == engineService {
		r.events(ctx, w, &n)
		return
	}
	r.work(ctx, w, &n)
}

func sign(id, attempt string, version int64) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(id, " ", attempt, " ", version)))
	return hex.EncodeToString(sum[:8])
}

// resultOf is the body of a plain answer.
func resultOf(attempt, replica string) string {
	return "result of " + attempt + " at " + replica + "\n"
}

func (r *replica) work(ctx context.Context, w http.ResponseWriter, n *ran) {
	if duty.Sleep(ctx, workTime) != nil || ctx.Err() != nil {
		cut(w)
		return
	}
	text := resultOf(n.attempt, n.replica)
	switch rand.IntN(faultOneIn) {
	case 0:
		w.WriteHeader(http.StatusInternalServerError)
	case 1:
		cut(w)
	case 2:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		cut(w)
	case 3:
		answerTwice(w, n, text)
	default:
		_, _ = io.WriteString(w, text)
	}
}

// answerTwice sends a whole answer and, unasked, another one after it.
func answerTwice(w http.ResponseWriter, n *ran, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for _, id := range []string{n.attempt, "stray"} {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerAttempt, id, headerSignature, n.signature, len(text), text)
	}
	time.Sleep(workTime)
}

// cut breaks the connection of an answer.
func cut(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		breakOff(c)
	}
}

// eventOf is one event of a stream.
func eventOf(version int64, number int) string {
	return fmt.Sprintf("id: %d\ndata: weights %d event %d of %d\n\n", number, version, number, streamEvents)
}

func (r *replica) events(ctx context.Context, w http.ResponseWriter, n *ran) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerVersion, strconv.FormatInt(n.version, 10))
	breakAt := -1
	if rand.IntN(faultOneIn/3) == 0 {
		breakAt = rand.IntN(streamEvents)
	}
	control := http.NewResponseController(w)
	for i := n.after + 1; i <= streamEvents; i++ {
		if duty.Sleep(ctx, eventPause) != nil || ctx.Err() != nil {
			cut(w)
			return
		}
		text := eventOf(n.version, i)
		if i == breakAt {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			cut(w)
			return
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
	}
}

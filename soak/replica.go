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
	"strings"
	"time"

	"rattanspur.example/lib/duty"
)

const (
	// replicaSlots is the maximum number of requests that a replica runs at a time.
	replicaSlots = 6
	// eventInterval is the usual interval between two events of a stream, workTime the
	// usual time that any other request takes.
	eventInterval = 15 * time.Millisecond
	workTime      = 10 * time.Millisecond
	// eventsPerStream is the number of events of a stream.
	eventsPerStream = 12
	// heartbeatInterval is the interval between two checks whether the replica's
	// entry in the store is up to date.
	heartbeatInterval = 200 * time.Millisecond
	// Each kind of faulty answer goes to one in faultOneIn plain requests. About one
	// in faultOneIn/3 streams breaks.
	faultOneIn = 150
	// One plain answer in interimOneIn follows an interim response.
	interimOneIn = 20
)

// replicaState is the state of a replica. Each start has its own id.
type replicaState struct {
	id string
	// startedAtMillis is the time of the start in Unix milliseconds.
	startedAtMillis int64
	// ctx ends when the replica crashes; cancel ends it.
	ctx      context.Context
	cancel   context.CancelFunc
	up       bool
	draining bool
	// withdrawn says that the entry was removed from the store before the replica
	// ended.
	withdrawn bool
	// running is the number of requests that run.
	running int
	// limit is the number of requests per second that the replica names in its answers;
	// 0 if it names none.
	limit float64
	// armed is the pause that begins at a point; resumed is closed at the end of the pause
	// that lasts, nil if there is none.
	armed   armedPause
	resumed chan struct{}
	// weights is nil at a plain replica.
	weights *engineWeights
}

// replica simulates an instance of a service. It is published under the address
// of its link.
type replica struct {
	name    string
	service string
	zone    string
	link    *link
	env     *environment
	state   *owned[replicaState]
}

// newReplica starts a replica and the duties that serve it and publish its entry.
// An engine starts with version 1 of the weights.
func newReplica(env *environment, name, service, zone string) (*replica, error) {
	r := &replica{name: name, service: service, zone: zone, env: env}
	host := env.newHost()
	listener, err := net.Listen("tcp", host+":8000")
	if err != nil {
		return nil, err
	}
	if r.link, err = newLink(env.group, env.newHost()+":8000", listener.Addr().String()); err != nil {
		return nil, err
	}
	env.ledger.addReplica(r.link.address)
	s := &replicaState{}
	if service == engineService {
		s.weights = newEngineWeights()
		s.weights.loaded = 1
		for i := range pieceCount {
			s.weights.staged[i] = pieceData(1, i)
		}
	}
	r.state = newOwned(env.group, name, s)
	r.boot()
	mux := http.NewServeMux()
	mux.HandleFunc("/", r.serve)
	if service == engineService {
		r.addWeightRoutes(mux)
	}
	server := &http.Server{Handler: mux}
	context.AfterFunc(env.group.Context(), func() { _ = server.Close() })
	env.group.Go(name+" front", func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	env.group.Go(name+" heartbeat", r.maintainEntry)
	return r, nil
}

// boot starts the replica under a new id.
func (r *replica) boot() {
	apply(r.state, func(s *replicaState) {
		s.ctx, s.cancel = context.WithCancel(r.env.group.Context())
		s.id = "i-" + strconv.FormatUint(rand.Uint64(), 16)
		s.startedAtMillis = time.Now().UnixMilli()
		s.up, s.draining, s.withdrawn, s.running, s.limit = true, false, false, 0, 0
	})
	r.link.setMode(forwarding)
}

// crash ends the replica at once. The staged pieces of an engine survive a crash
// but not a power loss; its loaded weights survive neither.
func (r *replica) crash(powerLoss bool) {
	r.link.setMode(refusing)
	apply(r.state, func(s *replicaState) {
		s.cancel()
		s.up = false
		if s.weights != nil {
			s.weights.reset(powerLoss)
		}
	})
	r.link.reset()
}

// maintainEntry keeps the replica's entry in the store up to date. The entry of a
// start that has ended is removed after three heartbeat intervals, the entry of a
// withdrawn start at once.
func (r *replica) maintainEntry(ctx context.Context) error {
	// published holds the text of each published entry by replica id.
	published := map[string]string{}
	var missingSince time.Time
	for {
		type snapshot struct {
			id    string
			entry map[string]any
			// absent says that the store should have no entry.
			absent bool
		}
		now := call(r.state, func(s *replicaState) snapshot { return snapshot{s.id, r.entry(s), !s.up || s.withdrawn} })
		for id := range published {
			if id == now.id && !now.absent {
				continue
			}
			if missingSince.IsZero() {
				missingSince = time.Now()
			}
			if withdrawn := call(r.state, func(s *replicaState) bool { return s.withdrawn }); withdrawn || time.Since(missingSince) > 3*heartbeatInterval {
				r.env.store.remove(keyUpstream + id)
				delete(published, id)
				missingSince = time.Time{}
			}
		}
		if text := fmt.Sprint(now.entry); !now.absent && published[now.id] != text {
			r.env.store.put(keyUpstream+now.id, now.entry)
			published[now.id] = text
		}
		if duty.Sleep(ctx, heartbeatInterval) != nil || ctx.Err() != nil {
			return nil
		}
	}
}

// entry returns the replica's entry for the store.
func (r *replica) entry(s *replicaState) map[string]any {
	state := "ready"
	if s.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": r.service, "address": r.link.address, "zone": r.zone, "version": "1", "slots": replicaSlots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": s.startedAtMillis,
	}
	if s.weights != nil {
		s.weights.addTo(e)
	}
	return e
}

// drain publishes the replica as draining. If unannounced is set, it removes the
// entry from the store instead. It returns the id of the replica and the time at
// which the store acknowledged the change.
func (r *replica) drain(unannounced bool) (id string, acknowledged time.Time) {
	type drained struct {
		id    string
		entry map[string]any
	}
	d := call(r.state, func(s *replicaState) drained {
		s.draining = true
		s.withdrawn = unannounced
		return drained{s.id, r.entry(s)}
	})
	if unannounced {
		return d.id, r.env.store.remove(keyUpstream + d.id)
	}
	return d.id, r.env.store.put(keyUpstream+d.id, d.entry)
}

// setLimit makes the replica name a limit in its answers, or none if it is 0. It returns
// the id of the replica.
func (r *replica) setLimit(perSecond float64) (id string) {
	return call(r.state, func(s *replicaState) string {
		s.limit = perSecond
		return s.id
	})
}

// admission is a replica's decision on a request and its state at that time.
type admission struct {
	// status is 200 if the request may run, another status if it is refused, and 0
	// if the replica is down.
	status  int
	id      string
	version int64
	// ctx ends when the replica crashes.
	ctx context.Context
	// running is the number of requests that were running already.
	running int
	limit   float64
}

// admit decides on a request by its headers and takes a slot for it if it may run.
func (r *replica) admit(h http.Header) admission {
	return call(r.state, func(s *replicaState) admission {
		a := admission{id: s.id, ctx: s.ctx, running: s.running, limit: s.limit}
		if s.weights != nil {
			a.version = s.weights.loaded
		}
		expect := h.Get(headerExpectVersion)
		switch {
		case !s.up:
			a.status = 0
		case h.Get(headerExpectReplica) != s.id:
			a.status = http.StatusMisdirectedRequest
		case expect != "" && expect != strconv.FormatInt(a.version, 10):
			a.status = http.StatusMisdirectedRequest
		case s.weights != nil && (a.version == 0 || s.weights.loading):
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

// release frees the slot of a request that ran under the given replica id. It does
// nothing if the replica has restarted since.
func (r *replica) release(id string) {
	apply(r.state, func(s *replicaState) {
		if s.id == id {
			s.running--
		}
	})
}

// serve handles a request to the service and records its run.
func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	attempt, arrivedAt := req.Header.Get(headerAttempt), time.Now()
	r.reach(beforeHead)
	a := r.admit(req.Header)
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerLoad, r.loadHeader(attempt, a.running))
	if a.limit > 0 {
		w.Header().Set(headerLimit, strconv.FormatFloat(a.limit, 'f', -1, 64))
	}
	switch a.status {
	case 0:
		abortResponse(w)
		return
	case http.StatusOK:
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(a.status)
		r.send(w, "refused\n", inRefusal)
		return
	}
	defer r.release(a.id)
	lastEvent, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	run := replicaRun{
		attempt: attempt, replica: a.id, service: r.service, zone: r.zone, address: r.link.address, path: req.URL.Path,
		body: string(body), customer: req.Header.Get(headerCustomer), hasKey: req.Header.Get("Authorization") != "",
		version: a.version, lastEvent: lastEvent, startedAt: arrivedAt, signature: sign(a.id, attempt, a.version),
	}
	earlierRuns := r.env.ledger.addRun(run)
	random := seededRandom(r.env.options.Seed, attempt, earlierRuns)
	w.Header().Set(headerSignature, run.signature)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	send := r.sendResult
	if r.service == engineService {
		send = r.sendEvents
	}
	end := send(ctx, w, &run, random)
	if end == abandoned && a.ctx.Err() != nil {
		end = brokeOff
	}
	r.env.ledger.endRun(attempt, earlierRuns, end)
}

// workPrefix begins a body that names how many milliseconds the replica works.
const workPrefix = "work "

// requestedWork returns how long a request's body asks the replica to work, or 0.
func requestedWork(body string) time.Duration {
	rest, found := strings.CutPrefix(body, workPrefix)
	if !found {
		return 0
	}
	number, _, _ := strings.Cut(rest, " ")
	return time.Duration(parseNumber(number)) * time.Millisecond
}

// sign returns the signature of a run.
func sign(id, attempt string, version int64) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(id, " ", attempt, " ", version)))
	return hex.EncodeToString(sum[:8])
}

// resultBody returns the body of a plain answer.
func resultBody(attempt, replica string) string {
	return "result of " + attempt + " at " + replica + "\n"
}

// answerFault is a fault of a plain answer. Each one occurs once in faultOneIn runs.
type answerFault int

const (
	serverError answerFault = iota
	noAnswer
	cutAnswer
	twoAnswers
	wrongStatus
)

// wrongStatuses are status lines with a wrong digit: statuses that do not exist, or that have
// no content.
var wrongStatuses = []string{"000", "099", "100", "101", "199", "204", "700"}

// plainFault draws the fault of a plain answer. Most values mean that there is none.
func plainFault(random *rand.Rand) answerFault { return answerFault(random.IntN(faultOneIn)) }

// sendResult answers a plain request after its work, half of the times with a stated
// length and now and then after an interim response. In rare cases it fails, breaks the
// connection without an answer or in the middle of one, sends two answers, or one with a wrong
// status.
func (r *replica) sendResult(ctx context.Context, w http.ResponseWriter, run *replicaRun, random *rand.Rand) runEnd {
	if duty.Sleep(ctx, max(r.workingTime(workTime), requestedWork(run.body))) != nil || ctx.Err() != nil {
		abortResponse(w)
		return abandoned
	}
	text := resultBody(run.attempt, run.replica)
	switch plainFault(random) {
	case serverError:
		w.WriteHeader(http.StatusInternalServerError)
	case noAnswer:
		abortResponse(w)
	case cutAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		abortResponse(w)
	case twoAnswers:
		r.sendAnswers(w, run, text, "200", run.attempt, "stray")
	case wrongStatus:
		r.sendAnswers(w, run, text, wrongStatuses[random.IntN(len(wrongStatuses))], run.attempt)
	default:
		if random.IntN(interimOneIn) == 0 {
			w.WriteHeader(http.StatusEarlyHints)
		}
		if random.IntN(2) == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		}
		r.send(w, text, inBody)
		return endOf(ctx)
	}
	return brokeOff
}

// endOf returns how a run ended whose whole answer was written, unless its connection was
// closed before.
func endOf(ctx context.Context) runEnd {
	if ctx.Err() != nil {
		return abandoned
	}
	return sentWhole
}

// sendAnswers sends a complete answer with a status for each attempt, without regard to the
// framing that the status wants. One for another attempt may end the next request on the
// connection.
func (r *replica) sendAnswers(w http.ResponseWriter, run *replicaRun, text, status string, attempts ...string) {
	defer r.env.ledger.startInterruption(r.link.address)()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for _, id := range attempts {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, headerAttempt, id, headerSignature, run.signature, len(text), text)
	}
	time.Sleep(workTime)
}

// abortResponse resets the connection of an answer.
func abortResponse(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		closeWithReset(c)
	}
}

// eventText returns one event of a stream.
func eventText(version int64, number int) string {
	return fmt.Sprintf("id: %d\ndata: weights %d event %d of %d\n\n", number, version, number, eventsPerStream)
}

// sendEvents sends the events after run.lastEvent. In rare cases it breaks the
// connection in the middle of one.
func (r *replica) sendEvents(ctx context.Context, w http.ResponseWriter, run *replicaRun, random *rand.Rand) runEnd {
	requested := requestedWork(run.body) / eventsPerStream
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerWeightVersions, strconv.FormatInt(run.version, 10))
	breakAt := -1
	if random.IntN(faultOneIn/3) == 0 {
		breakAt = random.IntN(eventsPerStream)
	}
	control := http.NewResponseController(w)
	for i := run.lastEvent + 1; i <= eventsPerStream; i++ {
		if duty.Sleep(ctx, max(r.workingTime(eventInterval), requested)) != nil || ctx.Err() != nil {
			abortResponse(w)
			return abandoned
		}
		text := eventText(run.version, i)
		if i == breakAt {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			abortResponse(w)
			return brokeOff
		}
		r.send(w, text, inStream)
	}
	return endOf(ctx)
}

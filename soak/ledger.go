package soak

import (
	"time"

	"rattanspur.example/lib/duty"
)

// requestKind is the kind of a request. It determines the route, the service and
// whether the request may run more than once.
type requestKind uint8

const (
	// lookup may run more than once.
	lookup requestKind = iota
	// order may run at most once.
	order
	// stream may resume at another replica after the last event received.
	stream
	// review is a stream that may run at most once.
	review
)

// repeatable reports whether a request of the kind may run more than once.
func (k requestKind) repeatable() bool { return k == lookup || k == stream }

// streams reports whether the answer is a stream.
func (k requestKind) streams() bool { return k == stream || k == review }

func (k requestKind) String() string { return [...]string{"lookup", "order", "stream", "review"}[k] }

// request is one attempt as its caller sent it. A retry of the caller is another
// attempt with an id of its own.
type request struct {
	// attempt is the id of the attempt.
	attempt string
	kind    requestKind
	path    string
	body    string
	// customer is the one whose key it is. key is the same for all customers.
	customer string
	key      string
	// gateway is the name of the gateway's machine.
	gateway string
	sentAt  time.Time
	// deadline is how long the caller says that it waits.
	deadline time.Duration
}

// answer is how an attempt ended for its caller.
type answer struct {
	attempt string
	// status is 0 if the caller received no head.
	status int
	// signature identifies the run that answered; empty if the answer has none.
	signature string
	body      string
	// complete says that the body ended without an error.
	complete bool
	// wholeAt is when the caller had written the last byte of the request, zero if it
	// never had. lastPartAt is when the last bytes of the body came, zero if none did.
	wholeAt    time.Time
	lastPartAt time.Time
	// receivedAt is when the attempt ended. left says that the caller ended it.
	receivedAt time.Time
	left       bool
}

// runEnd is how a run ended.
type runEnd uint8

const (
	// running means that the replica still works.
	running runEnd = iota
	// sentWhole means that the replica wrote its whole answer.
	sentWhole
	// brokeOff means that the replica ended the answer itself, or crashed.
	brokeOff
	// abandoned means that the connection was closed under the replica.
	abandoned
)

func (e runEnd) String() string {
	return [...]string{"still ran", "was sent whole", "broke off", "was abandoned"}[e]
}

// replicaRun is one run of an attempt at a replica, recorded when it began and when it
// ended.
type replicaRun struct {
	attempt string
	replica string
	service string
	zone    string
	// address is the address under which the replica is published.
	address  string
	path     string
	body     string
	customer string
	// hasKey says that the request still carried the caller's key.
	hasKey    bool
	signature string
	// version is the version of the weights; 0 at a plain replica.
	version int64
	// lastEvent is the number of the event after which the run resumes; 0 if it
	// starts from the beginning.
	lastEvent int
	// startedAt is when the request reached the replica, which may have been silent then.
	startedAt time.Time
	end       runEnd
	// endedAt is zero while the replica works.
	endedAt time.Time
}

// plannedStop is a SIGTERM of a gateway.
type plannedStop struct {
	gateway string
	at      time.Time
}

// disturbance is a span in which a fault affected a target.
type disturbance struct {
	// target is the name of a machine, the address of a replica's link or
	// "origin".
	target string
	// to is zero while the disturbance lasts.
	from, to time.Time
}

// change is a published change that must be obeyed within a time limit after it
// was acknowledged.
type change struct {
	// category is "key", "revoked", "version", "leaving", "evacuated", "limit", "route",
	// "timeout" or "burst". value is the key, the number of the version, the id of the replica, the
	// zone or the timeout of all routes in milliseconds; for a limit, the id of the replica
	// and the requests per second; for a route, its name and its service.
	category string
	value    string
	// from is the time of the acknowledgement, to the time when the change stopped
	// applying; to is zero while it applies.
	from time.Time
	to   time.Time
}

// records are everything that was observed in a soak. Maps are keyed by attempt.
type records struct {
	requests map[string]request
	answers  map[string]answer
	runs     map[string][]replicaRun
	// disturbances excuse the target from time limits. interruptions are the spans in
	// which a fault may end requests at a gateway or at a replica.
	disturbances  []disturbance
	interruptions []disturbance
	stops         []plannedStop
	// replicaAddresses are the addresses of all replicas.
	replicaAddresses map[string]bool
	changes          []change
	// takenAt is when the last record was made.
	takenAt time.Time
	// violations are those noticed while the soak ran.
	violations []string
}

// ledger collects the records. One goroutine owns them.
type ledger struct{ records *owned[records] }

func newLedger(g *duty.Group) *ledger {
	return &ledger{records: newOwned(g, "ledger", &records{
		requests: map[string]request{}, answers: map[string]answer{}, runs: map[string][]replicaRun{}, replicaAddresses: map[string]bool{},
	})}
}

func (l *ledger) addRequest(sent request) {
	apply(l.records, func(r *records) { r.requests[sent.attempt] = sent })
}

func (l *ledger) addAnswer(a answer) {
	apply(l.records, func(r *records) { r.answers[a.attempt] = a })
}

// addRun records a run and returns the number of earlier runs of its attempt.
func (l *ledger) addRun(run replicaRun) int {
	return call(l.records, func(r *records) int {
		earlier := len(r.runs[run.attempt])
		r.runs[run.attempt] = append(r.runs[run.attempt], run)
		return earlier
	})
}

// endRun records the end of the run of an attempt with the given index.
func (l *ledger) endRun(attempt string, index int, end runEnd) {
	apply(l.records, func(r *records) {
		run := &r.runs[attempt][index]
		run.end, run.endedAt = end, time.Now()
	})
}

func (l *ledger) addReplica(address string) {
	apply(l.records, func(r *records) { r.replicaAddresses[address] = true })
}

func (l *ledger) addStop(gateway string) {
	apply(l.records, func(r *records) { r.stops = append(r.stops, plannedStop{gateway, time.Now()}) })
}

func (l *ledger) addViolation(text string) {
	apply(l.records, func(r *records) { r.violations = append(r.violations, text) })
}

// startDisturbance records that a target is disturbed until the returned
// function is called.
func (l *ledger) startDisturbance(target string) (end func()) {
	return l.startSpan(target, func(r *records) *[]disturbance { return &r.disturbances })
}

// startInterruption records that requests at a target may be ended by a fault until the
// returned function is called.
func (l *ledger) startInterruption(target string) (end func()) {
	return l.startSpan(target, func(r *records) *[]disturbance { return &r.interruptions })
}

func (l *ledger) startSpan(target string, list func(*records) *[]disturbance) (end func()) {
	index := call(l.records, func(r *records) int {
		*list(r) = append(*list(r), disturbance{target: target, from: time.Now()})
		return len(*list(r)) - 1
	})
	return func() { apply(l.records, func(r *records) { (*list(r))[index].to = time.Now() }) }
}

// addChange records a change that applies until the returned function is called.
func (l *ledger) addChange(category, value string, acknowledged time.Time) (end func()) {
	index := call(l.records, func(r *records) int {
		r.changes = append(r.changes, change{category: category, value: value, from: acknowledged})
		return len(r.changes) - 1
	})
	return func() { apply(l.records, func(r *records) { r.changes[index].to = time.Now() }) }
}

// latestNumber returns the value of the last change of a category as a number,
// or 0 if there was none.
func (l *ledger) latestNumber(category string) int64 {
	return call(l.records, func(r *records) int64 {
		n := int64(0)
		for _, c := range r.changes {
			if c.category == category {
				n = parseNumber(c.value)
			}
		}
		return n
	})
}

// take returns the records; nothing may be recorded afterwards.
func (l *ledger) take() *records {
	return call(l.records, func(r *records) *records {
		r.takenAt = time.Now()
		return r
	})
}

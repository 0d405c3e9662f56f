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

func (k requestKind) String() string { return [...]string{"lookup", "order", "stream", "review"}[k] }

// request is one attempt as its caller sent it. A retry of the caller is another
// attempt with an id of its own.
type request struct {
	// attempt is the id of the attempt.
	attempt string
	kind    requestKind
	path    string
	body    string
	key     string
	// gateway is the name of the gateway's machine.
	gateway string
	sentAt  time.Time
}

// answer is what the caller received for an attempt.
type answer struct {
	attempt string
	status  int
	// signature identifies the run that answered; empty if the answer has none.
	signature string
	body      string
	// complete says that the body ended without an error.
	complete   bool
	receivedAt time.Time
}

// replicaRun is one run of an attempt at a replica, recorded when it began.
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
	startedAt time.Time
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
	// category is "key", "revoked", "version", "leaving", "evacuated" or "limit". value
	// is the key, the number of the version, the id of the replica or the zone; for a
	// limit, the id of the replica and the requests per second.
	category string
	value    string
	// from is the time of the acknowledgement, to the time when the change stopped
	// applying; to is zero while it applies.
	from time.Time
	to   time.Time
}

// records are everything that was observed in a soak. Maps are keyed by attempt.
type records struct {
	requests     map[string]request
	answers      map[string]answer
	runs         map[string][]replicaRun
	disturbances []disturbance
	changes      []change
	// violations are those noticed while the soak ran.
	violations []string
}

// ledger collects the records. One goroutine owns them.
type ledger struct{ records *owned[records] }

func newLedger(g *duty.Group) *ledger {
	return &ledger{records: newOwned(g, "ledger", &records{
		requests: map[string]request{}, answers: map[string]answer{}, runs: map[string][]replicaRun{},
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

func (l *ledger) addViolation(text string) {
	apply(l.records, func(r *records) { r.violations = append(r.violations, text) })
}

// startDisturbance records that a target is disturbed until the returned
// function is called.
func (l *ledger) startDisturbance(target string) (end func()) {
	index := call(l.records, func(r *records) int {
		r.disturbances = append(r.disturbances, disturbance{target: target, from: time.Now()})
		return len(r.disturbances) - 1
	})
	return func() { apply(l.records, func(r *records) { r.disturbances[index].to = time.Now() }) }
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
	return call(l.records, func(r *records) *records { return r })
}

package soak

import (
	"time"

	"rattanspur.example/lib/duty"
)

// kind says what a request asks for and what may be repeated.
type kind uint8

const (
	// lookup may run any number of times.
	lookup kind = iota
	// order may run once.
	order
	// stream may go on at another replica after its last event.
	stream
	// review is a stream that may run once.
	review
)

// repeatable reports whether a request of the kind may run more than once.
func (k kind) repeatable() bool { return k == lookup || k == stream }

func (k kind) String() string { return [...]string{"lookup", "order", "stream", "review"}[k] }

// sent is a request as its caller sent it.
type sent struct {
	attempt string
	kind    kind
	path    string
	body    string
	key     string
	gateway string
	at      time.Time
}

// answered is what the caller got for it.
type answered struct {
	attempt string
	status  int
	// signature is the replica's, empty if the answer has none.
	signature string
	body      string
	// whole says that the answer ended as HTTP wants it.
	whole bool
	at    time.Time
}

// ran says that a replica began to work on a request.
type ran struct {
	attempt string
	replica string
	service string
	zone    string
	// address is where the replica is published.
	address string
	path    string
	body    string
	tenant  string
	// keyed says that the caller's key came with the request.
	keyed     bool
	signature string
	version   int64
	// after is the event that the run goes on after.
	after int
	at    time.Time
}

// disturbance is a span in which something did not work as usual.
type disturbance struct {
	what     string
	from, to time.Time
}

// named is a change that binds from some time after its acknowledgement.
type named struct {
	what  string
	value string
	from  time.Time
	// to is when it stopped to bind; zero while it does.
	to time.Time
}

// records are everything that was seen.
type records struct {
	sent     map[string]sent
	answers  map[string]answered
	runs     map[string][]ran
	disturbs []disturbance
	named    []named
	// broken are promises that were seen broken when it happened.
	broken []string
}

// ledger keeps the records.
type ledger struct{ records *owned[records] }

func newLedger(g *duty.Group) *ledger {
	return &ledger{records: own(g, "ledger", &records{
		sent: map[string]sent{}, answers: map[string]answered{}, runs: map[string][]ran{},
	})}
}

func (l *ledger) sends(s sent) {
	tell(l.records, func(r *records) { r.sent[s.attempt] = s })
}

func (l *ledger) gets(a answered) {
	tell(l.records, func(r *records) { r.answers[a.attempt] = a })
}

func (l *ledger) runs(n ran) {
	tell(l.records, func(r *records) { r.runs[n.attempt] = append(r.runs[n.attempt], n) })
}

func (l *ledger) breaks(text string) {
	tell(l.records, func(r *records) { r.broken = append(r.broken, text) })
}

// disturbed notes that something does not work as usual until the returned
// function is called.
func (l *ledger) disturbed(what string) (ended func()) {
	n := ask(l.records, func(r *records) int {
		r.disturbs = append(r.disturbs, disturbance{what: what, from: time.Now()})
		return len(r.disturbs) - 1
	})
	return func() { tell(l.records, func(r *records) { r.disturbs[n].to = time.Now() }) }
}

// names notes a change that binds until the returned function is called.
func (l *ledger) names(what, value string, acknowledged time.Time) (ended func()) {
	n := ask(l.records, func(r *records) int {
		r.named = append(r.named, named{what: what, value: value, from: acknowledged})
		return len(r.named) - 1
	})
	return func() { tell(l.records, func(r *records) { r.named[n].to = time.Now() }) }
}

// newest returns the number that was named last for something, or 0.
func (l *ledger) newest(what string) int64 {
	return ask(l.records, func(r *records) int64 {
		n := int64(0)
		for _, c := range r.named {
			if c.what == what {
				n = number(c.value)
			}
		}
		return n
	})
}

// take returns the records; nothing may be noted afterwards.
func (l *ledger) take() *records {
	return ask(l.records, func(r *records) *records { return r })
}

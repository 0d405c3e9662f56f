package once

import (
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/google/uuid"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// sweepEvery is the least time between two searches for records to forget.
const sweepEvery = time.Second

// maxPromises bounds the published owners that a memory compares new ones with.
const maxPromises = 32

// Clock is one reading of an agent's clocks.
type Clock struct {
	// Wall is the time of day.
	Wall time.Time
	// Elapsed is the monotonic time since the agent's start.
	Elapsed time.Duration
}

// Start identifies one start of an agent.
type Start struct {
	Instance fleet.InstanceID
	// ID is random and differs for each start.
	ID string
	// Secret signs tokens and never leaves the process.
	Secret []byte
	// Began is the time of day at which the memory began. It must be read
	// after the agent listens on its port, when an earlier start of the
	// instance can no longer accept a request.
	Began time.Time
}

// Submission is one arrival of a request that may not be repeated.
type Submission struct {
	Customer fleet.Customer
	// Key or Token is set.
	Key   string
	Token string
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// Waited says that the submission already waited for its key's time.
	Waited bool
}

// Ticket names one admitted run of a key or token.
type Ticket struct {
	id  recordID
	run uint64
}

// Result is how an admitted run ended.
type Result uint8

// The results of a run.
const (
	// NotRun says that the request certainly was not handed over.
	NotRun Result = iota + 1
	// Ran says that the upstream answered.
	Ran
	// Lost says that the request was handed over and the answer is missing.
	Lost
)

// recordID is a key or a token of a customer.
type recordID struct {
	customer fleet.Customer
	key      uuid.UUID
	serial   uint64
}

type recordState uint8

const (
	running recordState = iota + 1
	answered
	lost
)

// record is what is remembered of a key or token.
type record struct {
	state       recordState
	run         uint64
	fingerprint string
	// answer is nil if it was not kept.
	answer *Answer
	// made is the time of a key; expires is set for tokens.
	made    Key
	expires time.Duration
}

// Memory decides for one start of one agent. It is owned by one duty.
type Memory struct {
	rules   Rules
	start   Start
	known   bool
	owners  config.Owners
	earlier []config.Owners
	// brokenUntil is the end of the times whose promised owners were changed.
	brokenUntil time.Time
	// latest is the greatest wall clock reading so far. Ages are taken from it,
	// so that a clock that steps back cannot revive a forgotten key.
	latest time.Time

	records map[recordID]*record
	// counts holds the number of records of each customer.
	counts  map[fleet.Customer]int
	held    []recordID
	heldSum int
	runs    uint64
	serial  uint64
	swept   time.Duration
}

// NewMemory returns an empty memory.
func NewMemory(s Start, r Rules) *Memory {
	s.Began = s.Began.Round(0)
	return &Memory{rules: r, start: s, latest: s.Began, records: map[recordID]*record{}, counts: map[fleet.Customer]int{}}
}

// Len returns the number of keys and tokens in memory.
func (m *Memory) Len() int { return len(m.records) }

// Configure takes in the published owners of the service. It reports whether
// they break a promise that this start has seen.
func (m *Memory) Configure(o config.Owners) bool {
	m.known = true
	if reflect.DeepEqual(o, m.owners) {
		return false
	}
	m.owners = o
	broken := false
	for _, e := range m.earlier {
		if Broken(e, o) {
			broken = true
			m.brokenUntil = maxTime(m.brokenUntil, e.Until)
		}
	}
	m.remember(o)
	return broken
}

// remember keeps the owners for comparison, those with the latest promise first.
func (m *Memory) remember(o config.Owners) {
	if len(o.Epochs) == 0 {
		return
	}
	m.earlier = append(m.earlier, o)
	slices.SortStableFunc(m.earlier, func(a, b config.Owners) int { return b.Until.Compare(a.Until) })
	m.earlier = m.earlier[:min(len(m.earlier), maxPromises)]
}

// Issue returns a new token and its lifetime.
func (m *Memory) Issue(now Clock, customer fleet.Customer) (string, time.Duration, error) {
	m.advance(now)
	m.serial++
	t := Token{
		Instance: m.start.Instance, Start: m.start.ID, Serial: m.serial,
		Customer: customer, Expires: now.Elapsed + m.rules.TokenLifetime,
	}
	text, err := t.sign(m.start.Secret)
	return text, m.rules.TokenLifetime, err
}

// Admit decides on a submission.
func (m *Memory) Admit(now Clock, s Submission) Verdict {
	m.advance(now)
	if s.Token != "" {
		return m.admitToken(now, s)
	}
	return m.admitKey(now, s)
}

func (m *Memory) admitKey(now Clock, s Submission) Verdict {
	key, err := ParseKey(s.Key)
	if err != nil {
		return refuse(KeyReason(err))
	}
	id := recordID{customer: s.Customer, key: key.id}
	if r := m.records[id]; r != nil {
		return m.repeat(id, r, s)
	}
	if v := m.checkKey(now, key, s.Waited); v.Kind != Run {
		return v
	}
	return m.open(id, &record{fingerprint: s.Fingerprint, made: key})
}

// KeyReason returns the refusal for an error of ParseKey.
func KeyReason(err error) Reason {
	if errors.Is(err, ErrNoTime) {
		return NoTime
	}
	return NotUUID
}

// checkKey applies the rules by key time. Those under which an earlier
// submission may have run come before those that say "not run": after a restart
// with a clock that stepped back, a key that ran can lie in the future.
func (m *Memory) checkKey(now Clock, k Key, waited bool) Verdict {
	if v := m.checkOwner(k); v.Kind != Run {
		return v
	}
	made := k.Time()
	wall := now.Wall.Round(0)
	ahead := made.Sub(wall)
	oldest := m.latest.Add(-m.rules.KeyLifetime)
	switch {
	case checkBegan && !made.After(m.start.Began.Add(m.rules.ClockStep)):
		return unknown(BeforeMemory)
	case !made.After(oldest.Add(-m.rules.Grace)):
		return unknown(KeyForgotten)
	case !made.After(oldest):
		return refuse(KeyExpired)
	case ahead > 0 && !waited && ahead <= m.rules.FutureWait:
		return Verdict{Kind: Later, Reason: InFuture, After: ahead}
	case ahead > 0:
		return refuse(InFuture)
	default:
		return Verdict{Kind: Run}
	}
}

func (m *Memory) checkOwner(k Key) Verdict {
	switch {
	case !m.known:
		return refuse(NoConfig)
	case len(m.owners.Epochs) == 0:
		return refuse(NoOwners)
	case !k.Time().Before(m.owners.Until):
		return refuse(BeyondUntil)
	case k.Time().Before(m.brokenUntil):
		return unknown(PromiseBroken)
	}
	switch Owner(m.owners, k) {
	case m.start.Instance:
		return Verdict{Kind: Run}
	case "":
		return unknown(BeforeEpochs)
	default:
		return refuse(NotOwner)
	}
}

func (m *Memory) admitToken(now Clock, s Submission) Verdict {
	t, err := DecodeToken(s.Token)
	switch {
	case err != nil:
		return refuse(BadToken)
	case t.Instance != m.start.Instance:
		return refuse(OtherInstance)
	case t.Start != m.start.ID:
		return unknown(OtherStart)
	case !t.verify(m.start.Secret):
		return refuse(BadToken)
	case t.Customer != s.Customer:
		return refuse(OtherCustomer)
	}
	id := recordID{customer: s.Customer, serial: t.Serial}
	if r := m.records[id]; r != nil {
		return m.repeat(id, r, s)
	}
	switch {
	case now.Elapsed >= t.Expires+m.rules.Grace:
		return unknown(TokenGone)
	case now.Elapsed >= t.Expires:
		return refuse(TokenExpired)
	}
	return m.open(id, &record{fingerprint: s.Fingerprint, expires: t.Expires})
}

// repeat answers a submission whose key or token is in memory.
func (m *Memory) repeat(id recordID, r *record, s Submission) Verdict {
	switch {
	case r.fingerprint != s.Fingerprint:
		return refuse(OtherRequest)
	case r.state == running:
		return Verdict{Kind: Wait, Ticket: Ticket{id: id, run: r.run}}
	case r.state == lost:
		return unknown(RunLost)
	case r.answer == nil:
		return Verdict{Kind: Gone}
	default:
		return Verdict{Kind: Replay, Answer: r.answer}
	}
}

// open admits a run if there is room. Records are never displaced, because a
// displaced one could be accepted again.
func (m *Memory) open(id recordID, r *record) Verdict {
	if len(m.records) >= m.rules.MaxRecords || m.counts[id.customer] >= m.rules.MaxOfCustomer {
		return refuse(Full)
	}
	m.runs++
	r.state, r.run = running, m.runs
	m.records[id] = r
	m.counts[id.customer]++
	return Verdict{Kind: Run, Ticket: Ticket{id: id, run: r.run}}
}

// Confirm repeats the rules immediately before the hand-over, because the
// process may have been paused since Admit. A reason other than the empty one
// means that the request must not be handed over.
func (m *Memory) Confirm(now Clock, t Ticket) Reason {
	m.advance(now)
	r := m.records[t.id]
	if r == nil || r.run != t.run || r.state != running {
		return RunLost
	}
	if t.id.serial != 0 {
		if now.Elapsed >= r.expires {
			return TokenExpired
		}
		return ""
	}
	return m.checkKey(now, r.made, true).Reason
}

// Finish records how a run ended. The answer may be nil.
func (m *Memory) Finish(now Clock, t Ticket, result Result, a *Answer) {
	m.advance(now)
	r := m.records[t.id]
	if r == nil || r.run != t.run || r.state != running {
		return
	}
	switch result {
	case NotRun:
		m.remove(t.id)
	case Ran:
		r.state = answered
		m.hold(t.id, r, a)
	default:
		r.state = lost
	}
}

// hold keeps an answer and drops the oldest answers beyond the bound. Their
// records stay.
func (m *Memory) hold(id recordID, r *record, a *Answer) {
	if a == nil || a.size() > min(m.rules.MaxAnswerBytes, m.rules.MaxHeldBytes) {
		return
	}
	r.answer = a
	m.held = append(m.held, id)
	m.heldSum += a.size()
	for m.heldSum > m.rules.MaxHeldBytes {
		oldest := m.held[0]
		m.held = m.held[1:]
		m.drop(m.records[oldest])
	}
}

func (m *Memory) remove(id recordID) {
	delete(m.records, id)
	m.counts[id.customer]--
	if m.counts[id.customer] == 0 {
		delete(m.counts, id.customer)
	}
}

func (m *Memory) drop(r *record) {
	if r != nil && r.answer != nil {
		m.heldSum -= r.answer.size()
		r.answer = nil
	}
}

// advance takes in a clock reading and forgets what can no longer be accepted.
func (m *Memory) advance(now Clock) {
	m.latest = maxTime(m.latest, now.Wall.Round(0))
	if now.Elapsed-m.swept < sweepEvery {
		return
	}
	m.swept = now.Elapsed
	oldest := m.latest.Add(-m.rules.KeyLifetime - m.rules.Grace)
	for id, r := range m.records {
		if r.state != running && m.expired(id, r, oldest, now) {
			m.drop(r)
			m.remove(id)
		}
	}
	m.held = slices.DeleteFunc(m.held, func(id recordID) bool { return m.records[id] == nil })
}

func (m *Memory) expired(id recordID, r *record, oldest time.Time, now Clock) bool {
	if id.serial != 0 {
		return now.Elapsed >= r.expires+m.rules.Grace
	}
	return !r.made.Time().After(oldest)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ceilMilli returns the first whole millisecond at or after t, as keys have
// times in whole milliseconds.
func ceilMilli(t time.Time) time.Time {
	down := time.UnixMilli(t.UnixMilli())
	if down.Before(t) {
		return down.Add(time.Millisecond)
	}
	return down
}

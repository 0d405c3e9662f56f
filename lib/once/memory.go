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

// sweepInterval is the minimum interval between two searches for expired records.
const sweepInterval = time.Second

// maxEarlierOwners is the maximum number of earlier publications that a memory
// keeps to compare new ones with.
const maxEarlierOwners = 32

// Clock is one reading of an agent's clocks.
type Clock struct {
	// Wall is the time of day.
	Wall time.Time
	// Elapsed is the monotonic time since the agent's start.
	Elapsed time.Duration
}

// Start identifies one start of an agent process.
type Start struct {
	Instance fleet.InstanceID
	// ID is random and differs for each start.
	ID string
	// Secret is the key that signs tokens. It never leaves the process.
	Secret []byte
	// StartedAt is the start time of the memory, a time of day. It must be read
	// after the agent listens on its port: from then on, an earlier start of
	// the instance can no longer accept a request.
	StartedAt time.Time
}

// Submission is one delivery of a request that may run only once. A caller may
// submit the same request several times.
type Submission struct {
	Customer fleet.Customer
	// Either Key or Token is set.
	Key   string
	Token string
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// Waited is whether the submission was already delayed because the time of
	// its key was in the future.
	Waited bool
}

// Ticket identifies one admitted run of a key or token.
type Ticket struct {
	id  recordID
	run uint64
}

// Result is how an admitted run ended.
type Result uint8

// The results of a run.
const (
	// NotRun means that the request was certainly not sent to the upstream.
	NotRun Result = iota + 1
	// Ran means that the upstream answered.
	Ran
	// AnswerLost means that the request was sent but no answer was received.
	AnswerLost
)

// recordID identifies a key or a token of a customer. The serial number is 0
// for a key.
type recordID struct {
	customer fleet.Customer
	key      uuid.UUID
	serial   uint64
}

type recordState uint8

const (
	running recordState = iota + 1
	answered
	answerLost
)

// record is the stored state of a key or token.
type record struct {
	state       recordState
	run         uint64
	fingerprint string
	// answer is nil if it was not kept.
	answer *Answer
	// key is set for keys. expires is set for tokens and is the time since the
	// agent's start.
	key     Key
	expires time.Duration
}

// Memory holds the keys and tokens that one start of one agent has seen and
// decides on submissions. It is not safe for concurrent use: one duty owns it.
type Memory struct {
	rules         Rules
	start         Start
	configured    bool
	owners        config.Owners
	earlierOwners []config.Owners
	// changedUntil is the time up to which published owners were final and were
	// changed nevertheless. Keys made before it are not run.
	changedUntil time.Time
	// latestWall is the latest wall clock reading so far. The age of a key is
	// computed from it, so that a key whose record was removed is not accepted
	// again after the clock stepped back.
	latestWall time.Time

	records map[recordID]*record
	// counts holds the number of records of each customer.
	counts map[fleet.Customer]int
	// cached holds the records that have an answer, oldest first.
	cached      []recordID
	cachedBytes int
	lastRun     uint64
	lastSerial  uint64
	lastSweep   time.Duration
}

// NewMemory returns an empty memory.
func NewMemory(s Start, r Rules) *Memory {
	s.StartedAt = s.StartedAt.Round(0)
	return &Memory{rules: r, start: s, latestWall: s.StartedAt, records: map[recordID]*record{}, counts: map[fleet.Customer]int{}}
}

// Len returns the number of keys and tokens in memory.
func (m *Memory) Len() int { return len(m.records) }

// Configure applies the published owners of the service. It reports whether
// they change owners that an earlier publication seen by this start made final.
func (m *Memory) Configure(o config.Owners) bool {
	m.configured = true
	if reflect.DeepEqual(o, m.owners) {
		return false
	}
	m.owners = o
	changed := false
	for _, e := range m.earlierOwners {
		if ChangesFinal(e, o) {
			changed = true
			m.changedUntil = maxTime(m.changedUntil, e.Until)
		}
	}
	m.recordOwners(o)
	return changed
}

// recordOwners keeps published owners for later comparison, those with the
// latest Until first.
func (m *Memory) recordOwners(o config.Owners) {
	if len(o.Epochs) == 0 {
		return
	}
	m.earlierOwners = append(m.earlierOwners, o)
	slices.SortStableFunc(m.earlierOwners, func(a, b config.Owners) int { return b.Until.Compare(a.Until) })
	m.earlierOwners = m.earlierOwners[:min(len(m.earlierOwners), maxEarlierOwners)]
}

// Issue returns a new token and its lifetime.
func (m *Memory) Issue(now Clock, customer fleet.Customer) (string, time.Duration, error) {
	m.advance(now)
	m.lastSerial++
	t := Token{
		Instance: m.start.Instance, Start: m.start.ID, Serial: m.lastSerial,
		Customer: customer, Expires: now.Elapsed + m.rules.TokenLifetime,
	}
	text, err := t.sign(m.start.Secret)
	return text, m.rules.TokenLifetime, err
}

// Admit decides whether a submission may run.
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
		return m.admitRepeated(id, r, s)
	}
	if v := m.checkKey(now, key, s.Waited); v.Kind != Run {
		return v
	}
	return m.startRun(id, &record{fingerprint: s.Fingerprint, key: key})
}

// KeyReason returns the reason for a refusal from an error of ParseKey.
func KeyReason(err error) Reason {
	if errors.Is(err, ErrNoTime) {
		return NoTime
	}
	return NotUUID
}

// checkKey applies the rules that depend on the owner and the time of a key.
// Rules that return Unknown, because an earlier submission may have run, come
// before rules that return Refuse, which means "not run": after a restart with
// a clock that stepped back, a key that already ran can have a future time.
func (m *Memory) checkKey(now Clock, k Key, waited bool) Verdict {
	if v := m.checkOwner(k); v.Kind != Run {
		return v
	}
	keyTime := k.Time()
	wall := now.Wall.Round(0)
	ahead := keyTime.Sub(wall)
	oldest := m.latestWall.Add(-m.rules.KeyLifetime)
	switch {
	case checkStartTime && !keyTime.After(m.start.StartedAt.Add(m.rules.ClockStep)):
		return unknown(BeforeMemory)
	case !keyTime.After(oldest.Add(-m.rules.Grace)):
		return unknown(KeyForgotten)
	case !keyTime.After(oldest):
		return refuse(KeyExpired)
	case ahead > 0 && !waited && ahead <= m.rules.MaxFutureWait:
		return Verdict{Kind: Delay, Reason: InFuture, After: ahead}
	case ahead > 0:
		return refuse(InFuture)
	default:
		return Verdict{Kind: Run}
	}
}

func (m *Memory) checkOwner(k Key) Verdict {
	switch {
	case !m.configured:
		return refuse(NoConfig)
	case len(m.owners.Epochs) == 0:
		return refuse(NoOwners)
	case !k.Time().Before(m.owners.Until):
		return refuse(BeyondUntil)
	case k.Time().Before(m.changedUntil):
		return unknown(OwnersChanged)
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
		return m.admitRepeated(id, r, s)
	}
	switch {
	case now.Elapsed >= t.Expires+m.rules.Grace:
		return unknown(TokenForgotten)
	case now.Elapsed >= t.Expires:
		return refuse(TokenExpired)
	}
	return m.startRun(id, &record{fingerprint: s.Fingerprint, expires: t.Expires})
}

// admitRepeated decides on a submission whose key or token is in memory.
func (m *Memory) admitRepeated(id recordID, r *record, s Submission) Verdict {
	switch {
	case r.fingerprint != s.Fingerprint:
		return refuse(OtherRequest)
	case r.state == running:
		return Verdict{Kind: Wait, Ticket: Ticket{id: id, run: r.run}}
	case r.state == answerLost:
		return unknown(RunLost)
	case r.answer == nil:
		return Verdict{Kind: AnswerGone}
	default:
		return Verdict{Kind: Replay, Answer: r.answer}
	}
}

// startRun admits a run if there is capacity for its record. Records are never
// evicted to make space, because the key or token of an evicted record could be
// accepted a second time.
func (m *Memory) startRun(id recordID, r *record) Verdict {
	if len(m.records) >= m.rules.MaxRecords || m.counts[id.customer] >= m.rules.MaxRecordsPerCustomer {
		return refuse(Full)
	}
	m.lastRun++
	r.state, r.run = running, m.lastRun
	m.records[id] = r
	m.counts[id.customer]++
	return Verdict{Kind: Run, Ticket: Ticket{id: id, run: r.run}}
}

// Confirm repeats the checks immediately before the request is sent to the
// upstream, because the process may have been paused since Admit. If it returns
// a reason that is not empty, the request must not be sent.
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
	return m.checkKey(now, r.key, true).Reason
}

// Finish records the result of a run. The answer may be nil. A ticket of an
// earlier run has no effect.
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
		m.cacheAnswer(t.id, r, a)
	default:
		r.state = answerLost
	}
}

// cacheAnswer keeps an answer and drops the oldest answers above the size limit.
// The records of dropped answers are kept.
func (m *Memory) cacheAnswer(id recordID, r *record, a *Answer) {
	if a == nil || a.size() > min(m.rules.MaxAnswerBytes, m.rules.MaxCachedBytes) {
		return
	}
	r.answer = a
	m.cached = append(m.cached, id)
	m.cachedBytes += a.size()
	for m.cachedBytes > m.rules.MaxCachedBytes {
		oldest := m.cached[0]
		m.cached = m.cached[1:]
		m.dropAnswer(m.records[oldest])
	}
}

func (m *Memory) remove(id recordID) {
	delete(m.records, id)
	m.counts[id.customer]--
	if m.counts[id.customer] == 0 {
		delete(m.counts, id.customer)
	}
}

func (m *Memory) dropAnswer(r *record) {
	if r != nil && r.answer != nil {
		m.cachedBytes -= r.answer.size()
		r.answer = nil
	}
}

// advance applies a clock reading and removes the records of keys and tokens
// that can no longer be accepted.
func (m *Memory) advance(now Clock) {
	m.latestWall = maxTime(m.latestWall, now.Wall.Round(0))
	if now.Elapsed-m.lastSweep < sweepInterval {
		return
	}
	m.lastSweep = now.Elapsed
	oldest := m.latestWall.Add(-m.rules.KeyLifetime - m.rules.Grace)
	for id, r := range m.records {
		if r.state != running && m.expired(id, r, oldest, now) {
			m.dropAnswer(r)
			m.remove(id)
		}
	}
	m.cached = slices.DeleteFunc(m.cached, func(id recordID) bool { return m.records[id] == nil })
}

func (m *Memory) expired(id recordID, r *record, oldest time.Time, now Clock) bool {
	if id.serial != 0 {
		return now.Elapsed >= r.expires+m.rules.Grace
	}
	return !r.key.Time().After(oldest)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ceilToMillisecond rounds t up to a whole millisecond, the resolution of key
// times.
func ceilToMillisecond(t time.Time) time.Time {
	truncated := time.UnixMilli(t.UnixMilli())
	if truncated.Before(t) {
		return truncated.Add(time.Millisecond)
	}
	return truncated
}

package poison

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rattanspur.example/lib/fleet"
)

const (
	simStep    = 10 * time.Millisecond
	simTime    = 30 * time.Second
	repeatTime = time.Second
	// handful is the number of crashes after which at most lateRequests harmful
	// requests may reach an upstream, once the gateways had settleTime.
	handful      = 5
	lateRequests = 3
	settleTime   = 500 * time.Millisecond
	// harmfulPercent is the share of harmful requests.
	harmfulPercent = 5
)

// simRequest is a request of the simulation.
type simRequest struct {
	traits   []Trait
	gateway  int
	harmful  bool
	attempts int
	// at is when it is sent, or when its answer begins.
	at, sentAt time.Time
}

// simUpstream crashes when it begins the answer to a harmful request.
type simUpstream struct {
	id       fleet.InstanceID
	start    int64
	returnAt time.Time
	requests []simRequest
}

type simMessage struct {
	at      time.Time
	to      int
	reports []Report
}

// simFleet plays gateways and upstreams with one harmful trait.
type simFleet struct {
	random    *rand.Rand
	now       time.Time
	gateways  []*Detector
	upstreams []simUpstream
	waiting   []simRequest
	messages  []simMessage
	harmful   Trait
	crashes   []time.Time
	// reached are the times at which harmful requests reached upstreams, and begun
	// the times at which an answer with a trait last began.
	reached []time.Time
	begun   map[Trait]time.Time
}

func newSimFleet(t *rapid.T) *simFleet {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, begun: map[Trait]time.Time{}}
	for i := range rapid.IntRange(1, 6).Draw(t, "gateways") {
		f.gateways = append(f.gateways, New("gateway "+strconv.Itoa(i)))
	}
	for i := range rapid.IntRange(2, 12).Draw(t, "upstreams") {
		f.upstreams = append(f.upstreams, simUpstream{id: fleet.InstanceID(strconv.Itoa(i))})
	}
	f.harmful = PartTrait("m", "harmful")
	return f
}

// newRequest draws a request with a first part and, for some, a part after it. The
// harmful trait is a first part or a part after it.
func (f *simFleet) newRequest(parts, percent int, harmfulFirst bool) simRequest {
	r := simRequest{gateway: f.random.IntN(len(f.gateways)), at: f.now}
	r.harmful = f.random.IntN(100) < percent
	if !r.harmful || !harmfulFirst {
		r.traits = append(r.traits, PartTrait("m", "first "+strconv.Itoa(f.random.IntN(parts))))
	}
	if r.harmful {
		r.traits = append(r.traits, f.harmful)
	}
	if f.random.IntN(3) == 0 {
		r.traits = append(r.traits, PartTrait("m", "later "+strconv.Itoa(f.random.IntN(parts))))
	}
	r.traits = append(r.traits, Trait(f.random.Uint64()))
	return r
}

// step sends what waits, begins and loses what is due, and delivers messages.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		if r.at.After(f.now) {
			f.waiting = append(f.waiting, r)
			continue
		}
		f.send(r)
	}
	for i := range f.upstreams {
		f.serve(&f.upstreams[i])
	}
	if f.now.Sub(start)%(100*time.Millisecond) == 0 {
		f.exchange()
	}
	f.deliver()
}

func (f *simFleet) send(r simRequest) {
	decision := f.gateways[r.gateway].Check(f.now, r.traits)
	u := f.choose(decision)
	if decision.Verdict == Blocked || u == nil {
		return
	}
	if decision.Verdict == Probe {
		f.gateways[r.gateway].ProbeSent(f.now, decision.Trait)
	}
	if decision.Verdict != Clear {
		r.attempts++
	}
	r.attempts++
	r.sentAt = f.now
	r.at = f.now.Add(time.Duration(20+f.random.IntN(200)) * time.Millisecond)
	u.requests = append(u.requests, r)
	if r.harmful {
		f.reached = append(f.reached, f.now)
	}
}

// choose returns the upstream of a request, or nil if none is up.
func (f *simFleet) choose(decision Decision) *simUpstream {
	var best *simUpstream
	var bestWeight uint64
	for i := range f.upstreams {
		u := &f.upstreams[i]
		weight := f.random.Uint64()
		if decision.Verdict != Clear {
			weight = fleet.RendezvousWeight(strconv.FormatUint(uint64(decision.Trait), 16), string(u.id))
		}
		if !u.returnAt.After(f.now) && (best == nil || weight > bestWeight) {
			best, bestWeight = u, weight
		}
	}
	return best
}

func (f *simFleet) serve(u *simUpstream) {
	crash := NewCrashID(u.id, u.start)
	due := func(r simRequest) bool { return !r.at.After(f.now) }
	if slices.ContainsFunc(u.requests, func(r simRequest) bool { return due(r) && r.harmful }) {
		f.crash(u, crash)
		return
	}
	for _, r := range u.requests {
		if due(r) {
			f.gateways[r.gateway].Answered(f.now, crash, r.sentAt)
			f.gateways[r.gateway].Began(f.now, r.traits)
			for _, t := range r.traits {
				f.begun[t] = f.now
			}
		}
	}
	u.requests = slices.DeleteFunc(u.requests, due)
}

// crash loses the requests of an upstream. Those that were not suspected are sent
// again at once, others by their callers after a while.
func (f *simFleet) crash(u *simUpstream, id CrashID) {
	f.crashes = append(f.crashes, f.now)
	for _, r := range u.requests {
		f.gateways[r.gateway].Lost(f.now, id, r.traits)
		r.at = f.now
		if r.attempts > 1 {
			r.at = f.now.Add(repeatTime)
			r.gateway = f.random.IntN(len(f.gateways))
			r.attempts = 0
		}
		f.waiting = append(f.waiting, r)
	}
	u.requests = nil
	u.start++
	u.returnAt = f.now.Add(2 * time.Second)
}

// exchange sends the messages of all gateways; one in ten is lost.
func (f *simFleet) exchange() {
	for from, g := range f.gateways {
		reports := g.Reports(f.now)
		for to := range f.gateways {
			if to == from || f.random.IntN(10) == 0 {
				continue
			}
			delay := time.Duration(f.random.IntN(150)) * time.Millisecond
			f.messages = append(f.messages, simMessage{at: f.now.Add(delay), to: to, reports: reports})
		}
	}
}

func (f *simFleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(m simMessage) bool {
		if m.at.After(f.now) {
			return false
		}
		f.gateways[m.to].Merge(f.now, m.reports)
		return true
	})
}

// Guards against a harmful trait that goes on crashing upstreams, and sound traits
// that stay blocked for it. One in twenty requests is harmful, as in the incident.
func TestRandomFleetBlocksTheHarmfulTrait(t *testing.T) {
	most, last := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t)
		parts := rapid.IntRange(2, 40).Draw(t, "parts")
		perSecond := rapid.IntRange(5, 40).Draw(t, "rate")
		first := rapid.Bool().Draw(t, "harmful first")
		for f.now.Sub(start) < simTime {
			if f.random.IntN(int(time.Second/simStep)) < perSecond {
				f.waiting = append(f.waiting, f.newRequest(parts, harmfulPercent, first))
			}
			f.step()
		}
		late := f.requireBlocked(t)
		for _, g := range f.gateways {
			f.requireSoundTraitsFree(t, g)
		}
		most, last = max(most, len(f.crashes)), max(last, late)
	})
	t.Logf("at most %d crashes and %d late requests", most, last)
}

// requireBlocked returns the number of harmful requests that reached upstreams late.
// The times of a crash differ between gateways by the transit times of messages, so
// that one of them may count an episode less than another: only after one more
// episode all of them must have convicted the trait.
func (f *simFleet) requireBlocked(t *rapid.T) int {
	if naiveEpisodes(f.crashes) > BlockAfter {
		for _, g := range f.gateways {
			require.Contains(t, g.Convicted(f.now), f.harmful)
		}
	}
	if len(f.crashes) < handful {
		return 0
	}
	limit := f.crashes[handful-1].Add(settleTime)
	late := slices.DeleteFunc(slices.Clone(f.reached), func(at time.Time) bool { return at.Before(limit) })
	require.LessOrEqual(t, len(late), lateRequests, "%d crashes", len(f.crashes))
	return len(late)
}

// requireSoundTraitsFree checks the traits of which an answer began after the last
// crash that counts against them, once messages had time to arrive.
func (f *simFleet) requireSoundTraitsFree(t *rapid.T, g *Detector) {
	for _, trait := range g.Convicted(f.now) {
		begun, any := f.begun[trait]
		if any && f.now.Sub(begun) >= time.Second {
			require.False(t, begun.After(g.findings[trait].last), "a sound trait stays blocked")
		}
	}
}

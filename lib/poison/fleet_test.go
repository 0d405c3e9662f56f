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
	// maxAnswer is the longest answer.
	maxAnswer = 3 * time.Second
)

// simRequest is a request of the simulation.
type simRequest struct {
	traits   []Trait
	gateway  int
	harmful  bool
	attempts int
	// at is when it is sent, when its answer begins, or when that ends, lasts or crashes its
	// upstream. begunAt is when the answer began; zero before that.
	at, sentAt, begunAt time.Time
	goesOn              bool
}

// simUpstream crashes a while after it begins the answer to a harmful request.
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
	// crashAfter is the time from the first event of a harmful answer to the crash.
	crashAfter time.Duration
	// reached are the times at which harmful requests reached upstreams, and survived the
	// times at which a request with a trait was last survived.
	reached  []time.Time
	survived map[Trait]time.Time
}

func newSimFleet(t *rapid.T) *simFleet {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, survived: map[Trait]time.Time{}}
	for i := range rapid.IntRange(1, 6).Draw(t, "gateways") {
		f.gateways = append(f.gateways, New("gateway "+strconv.Itoa(i)))
	}
	for i := range rapid.IntRange(2, 12).Draw(t, "upstreams") {
		f.upstreams = append(f.upstreams, simUpstream{id: fleet.InstanceID(strconv.Itoa(i))})
	}
	f.harmful = PartTrait("m", "harmful")
	f.crashAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 20, 150, 400, 1000}).Draw(t, "crash after ms")) * time.Millisecond
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
	r.sentAt, r.begunAt, r.goesOn = f.now, time.Time{}, false
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
	for i := range u.requests {
		r := &u.requests[i]
		if r.at.After(f.now) {
			continue
		}
		switch {
		case r.begunAt.IsZero():
			f.gateways[r.gateway].Answered(f.now, crash, r.sentAt)
			r.begunAt = f.now
			r.at = f.now.Add(time.Duration(f.random.Int64N(int64(maxAnswer))))
			if r.harmful {
				r.at = f.now.Add(f.crashAfter)
			}
		case !r.harmful:
			f.gateways[r.gateway].Survived(f.now, r.traits)
			f.recordSurvived(r)
		}
		if r.harmful && !r.at.After(f.now) {
			f.crash(u, crash)
			return
		}
	}
	for i := range u.requests {
		f.reportMilestones(&u.requests[i])
	}
	ended := func(r simRequest) bool { return !r.begunAt.IsZero() && !r.at.After(f.now) }
	u.requests = slices.DeleteFunc(u.requests, ended)
}

// reportMilestones tells the gateway how far an answer has gone.
func (f *simFleet) reportMilestones(r *simRequest) {
	if r.begunAt.IsZero() {
		return
	}
	answered := f.now.Sub(r.begunAt)
	switch {
	case Lasts(answered) && !Lasts(answered-simStep):
		f.recordSurvived(r)
	case answered >= earlyFor && !r.goesOn:
	default:
		return
	}
	r.goesOn = true
	f.gateways[r.gateway].GoesOn(f.now, r.traits, answered)
}

func (f *simFleet) recordSurvived(r *simRequest) {
	for _, t := range r.traits {
		f.survived[t] = f.now
	}
}

// crash loses the requests of an upstream. Those that were not suspected are sent
// again at once, others by their callers after a while.
func (f *simFleet) crash(u *simUpstream, id CrashID) {
	f.crashes = append(f.crashes, f.now)
	for _, r := range u.requests {
		answered := time.Duration(0)
		if !r.begunAt.IsZero() {
			answered = f.now.Sub(r.begunAt)
		}
		f.gateways[r.gateway].LostAnswering(f.now, id, r.traits, answered)
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

// requireSoundTraitsFree checks the traits that an upstream survived after the last crash that
// counts against them, once messages had time to arrive.
func (f *simFleet) requireSoundTraitsFree(t *rapid.T, g *Detector) {
	for _, trait := range g.Convicted(f.now) {
		survived, any := f.survived[trait]
		if any && f.now.Sub(survived) >= time.Second {
			require.False(t, survived.After(g.findings[trait].last), "a sound trait stays blocked")
		}
	}
}

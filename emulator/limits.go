package emulator

import (
	"slices"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ratelimit"
)

const (
	// limitWindow is the span in which requests to an engine with a limit are counted.
	limitWindow = 4 * time.Second
	// limitContactTime is the time from the first answer that states a limit after
	// which the limit must hold, and toldDelay the time after such an answer from which
	// the requests of its gateway count.
	limitContactTime = 3 * time.Second
	toldDelay        = 500 * time.Millisecond
	// limitOverrun and limitSlack raise a limit: in each limitWindow, an engine may get
	// as many requests as its limit allows times limitOverrun, and limitSlack more.
	limitOverrun = 1.5
	limitSlack   = 5
)

// StatedLimits makes a share of the engines state in their answers how many requests
// per second they take from all gateways together.
type StatedLimits struct {
	// At and Until are when the engines begin and cease to state their limits; an At of 0
	// means that there are none.
	At        time.Duration `ini:"at"`
	Until     time.Duration `ini:"until"`
	Share     float64       `ini:"share"`
	PerSecond float64       `ini:"per_second"`
}

// GatewayRestart ends some gateways and starts them again without what they knew.
type GatewayRestart struct {
	// At is the time of the restart; 0 means that there is none.
	At time.Duration `ini:"at"`
	// Notice is the time before At from which the gateways are leaving: they get no new
	// requests. For is how long they are down.
	Notice time.Duration `ini:"notice"`
	For    time.Duration `ini:"for"`
	Count  int           `ini:"count"`
}

// Limits holds what became of the engines that stated limits.
type Limits struct {
	// Excess is the greatest number of requests in one limitWindow beyond those that an
	// engine may get; it is negative if every engine got fewer.
	Excess int
	// UsedShare is the number of requests that the engines got from limitContactTime on,
	// as a fraction of what their limits allow.
	UsedShare float64
	// Wave is the greatest number of requests that an engine got in the second after it
	// ceased to state a limit.
	Wave int

	scenario *StatedLimits
	from     time.Time
	until    time.Time
	engines  map[fleet.InstanceID]*limitedEngine
}

// limitedEngine records the attempts that arrived at one engine with a limit.
type limitedEngine struct {
	firstStated time.Time
	// told holds when each gateway first got an answer that states the limit.
	told     map[string]time.Time
	arrivals []limitedArrival
}

// limitedArrival is one attempt. It counts if its gateway had been told of the limit.
type limitedArrival struct {
	at     time.Time
	counts bool
}

func newLimits(s *simulation) *Limits {
	l := &Limits{
		scenario: &s.scenario.Limits, from: s.startedAt.Add(s.scenario.Limits.At), until: s.startedAt.Add(s.scenario.Limits.Until),
		engines: map[fleet.InstanceID]*limitedEngine{},
	}
	count := int(s.scenario.Limits.Share * float64(len(s.order)))
	for _, i := range s.random.Perm(len(s.order))[:count] {
		l.engines[s.order[i].id] = &limitedEngine{told: map[string]time.Time{}}
	}
	return l
}

// schedule lets the engines state their limits from From to Until.
func (l *Limits) schedule(s *simulation) {
	set := func(statement ratelimit.Statement) func() {
		return func() {
			for id := range l.engines {
				s.engines[id].limit = statement
			}
		}
	}
	s.clock.at(l.from, set(ratelimit.Statement{Kind: ratelimit.Stated, PerSecond: l.scenario.PerSecond}))
	s.clock.at(l.until, set(ratelimit.Statement{}))
}

// stated records that an engine stated its limit in an answer.
func (l *Limits) stated(now time.Time, id fleet.InstanceID) {
	if e := l.engines[id]; e.firstStated.IsZero() {
		e.firstStated = now
	}
}

// toldGateway records that a gateway got an answer that states a limit.
func (l *Limits) toldGateway(now time.Time, id fleet.InstanceID, gateway string) {
	if e := l.engines[id]; e.told[gateway].IsZero() {
		e.told[gateway] = now
	}
}

// arrived records an attempt that arrived at an engine.
func (l *Limits) arrived(now time.Time, id fleet.InstanceID, gateway string) {
	if l == nil || l.engines[id] == nil {
		return
	}
	e := l.engines[id]
	told := e.told[gateway]
	e.arrivals = append(e.arrivals, limitedArrival{at: now, counts: !told.IsZero() && now.Sub(told) >= toldDelay})
}

// forget removes what a gateway had been told, because it was restarted.
func (l *Limits) forget(gateway string) {
	if l == nil {
		return
	}
	for _, e := range l.engines {
		delete(e.told, gateway)
	}
}

// summarize sets the results of a run.
func (l *Limits) summarize() {
	allowed := int(limitOverrun*l.scenario.PerSecond*limitWindow.Seconds()) + limitSlack
	l.Excess = -allowed
	used, entitled := 0, 0.0
	for _, e := range l.engines {
		if e.firstStated.IsZero() {
			continue
		}
		from := e.firstStated.Add(limitContactTime)
		l.Excess = max(l.Excess, mostIn(e.countedArrivals(from, l.until), limitWindow)-allowed)
		all := e.times(func(a limitedArrival) bool { return !a.at.Before(from) && a.at.Before(l.until) })
		used += len(all)
		entitled += l.scenario.PerSecond * l.until.Sub(from).Seconds()
		after := e.times(func(a limitedArrival) bool { return !a.at.Before(l.until) && a.at.Before(l.until.Add(time.Second)) })
		l.Wave = max(l.Wave, len(after))
	}
	if entitled > 0 {
		l.UsedShare = float64(used) / entitled
	}
}

// countedArrivals returns the times of the attempts that count for the limit.
func (e *limitedEngine) countedArrivals(from, until time.Time) []time.Time {
	return e.times(func(a limitedArrival) bool { return a.counts && !a.at.Before(from) && a.at.Before(until) })
}

func (e *limitedEngine) times(selected func(limitedArrival) bool) []time.Time {
	var out []time.Time
	for _, a := range e.arrivals {
		if selected(a) {
			out = append(out, a.at)
		}
	}
	return out
}

// mostIn returns the greatest number of times within any span of that length.
func mostIn(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

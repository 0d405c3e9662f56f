// Package emulator plays a deployment without network and clock: model engines
// that work in passes, callers that return after a rejection, and gateways that
// run the product's dispatch core with delayed knowledge of each other. It shows
// what a decision of that core does to callers under a load.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

const (
	hostName    = "emulated"
	modelName   = "model"
	serviceName = fleet.Service("engines")
	layers      = 1
	// firstVersion is the version that engines serve at the start.
	firstVersion = 1
	// warmUp is how long gateways exchange messages before the traffic starts.
	warmUp = 2 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	scenario  *Scenario
	seed      uint64
	random    *rand.Rand
	clock     clock
	startedAt time.Time
	engines   map[fleet.InstanceID]*engine
	// order holds the engines in the order in which they joined, loaders those
	// beside them, and addresses theirs.
	order     []*engine
	loaders   []*loader
	addresses []string
	gateways  []*gateway
	weights   []float64
	view      *published.View
	prompts   *prompter
	result    *Result
}

// Run plays a scenario with a seed.
func Run(sc *Scenario, seed uint64) *Result {
	s := &simulation{
		scenario: sc, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), engines: map[fleet.InstanceID]*engine{},
		result: newResult(sc.Traffic.Length), prompts: newPrompter(sc, seed),
	}
	if sc.Harmful.Class != "" {
		s.result.Harm = newHarm()
	}
	s.clock.now = time.Unix(1000, 0)
	s.startedAt = s.clock.now.Add(warmUp)
	for i := range sc.Fleet.Engines {
		s.addEngine(i)
	}
	if sc.Limits.At > 0 {
		s.result.Limits = newLimits(s)
		s.result.Limits.schedule(s)
	}
	s.publish()
	s.startGateways()
	s.scheduleEvents()
	s.clock.runUntil(s.startedAt.Add(sc.Traffic.Length + sc.Traffic.Deadline))
	if s.result.Harm != nil {
		s.result.Harm.divide()
	}
	if s.result.Limits != nil {
		s.result.Limits.summarize()
	}
	return s.result
}

func (s *simulation) startGateways() {
	seeds := []string{gatewayAddress(0), gatewayAddress(1), gatewayAddress(2)}
	for i := range s.scenario.Fleet.Gateways {
		s.gateways = append(s.gateways, newGateway(s, gatewayAddress(i), i%s.scenario.Fleet.Regions, seeds))
		s.weights = append(s.weights, 1+s.scenario.Traffic.Unevenness*(2*s.random.Float64()-1))
	}
	for _, g := range s.gateways {
		g.start(time.Duration(s.random.Int64N(int64(100 * time.Millisecond))))
	}
}

func gatewayAddress(i int) string { return fmt.Sprintf("gateway-%03d", i) }

// scheduleEvents schedules the traffic and what happens to the fleet.
func (s *simulation) scheduleEvents() {
	sc := s.scenario
	s.clock.at(s.startedAt, s.nextArrival)
	for i := range sc.Fleet.AddedEngines {
		at := sc.Fleet.AddedFrom + (sc.Fleet.AddedUntil-sc.Fleet.AddedFrom)*time.Duration(i)/time.Duration(sc.Fleet.AddedEngines)
		s.clock.at(s.startedAt.Add(at), func() {
			s.addEngine(sc.Fleet.Engines + i)
			s.publishLater()
		})
	}
	if w := sc.Weights; w.At > 0 {
		s.clock.at(s.startedAt.Add(w.At), func() { s.publishWeights(w.CopiesFrom, w.CopiesUntil) })
	}
	if w := sc.Weights; w.SecondAt > 0 {
		s.clock.at(s.startedAt.Add(w.SecondAt), func() { s.publishWeights(w.SecondCopiesFrom, w.SecondCopiesUntil) })
	}
	if sc.Crash.At > 0 {
		s.clock.at(s.startedAt.Add(sc.Crash.At), s.crashEngines)
	}
	if sc.Pause.At > 0 {
		s.clock.at(s.startedAt.Add(sc.Pause.At), s.pauseEngines)
	}
	if sc.Restart.At > 0 {
		s.clock.at(s.startedAt.Add(sc.Restart.At-sc.Restart.Notice), s.restartGateways)
	}
}

func (s *simulation) addEngine(i int) {
	e := &engine{
		model: &s.scenario.Engine, clock: &s.clock, id: fleet.InstanceID(fmt.Sprintf("engine-%04d", i)),
		address: fmt.Sprintf("address-%04d", i), region: i % s.scenario.Fleet.Regions, version: firstVersion, starts: 1,
	}
	if s.view != nil {
		e.version = s.desired().Version
	}
	e.onHarm = func() { s.crashByRequest(e) }
	s.changeSpeed(e, i)
	s.engines[e.id] = e
	s.order = append(s.order, e)
	s.addresses = append(s.addresses, e.address)
	l := newLoader(s, e)
	l.core.MarkComplete(e.version)
	s.loaders = append(s.loaders, l)
	s.every(time.Duration(s.random.Int64N(int64(loaderTick))), loaderTick, l.step)
}

// every runs a function at an offset from now and then at each interval.
func (s *simulation) every(offset, interval time.Duration, f func()) {
	var repeat func()
	repeat = func() {
		f()
		s.clock.after(interval, repeat)
	}
	s.clock.after(offset, repeat)
}

// delay returns the one-way delay between two regions.
func (s *simulation) delay(a, b int) time.Duration {
	if a == b {
		return s.scenario.Network.InRegion
	}
	return s.scenario.Network.CrossRegion
}

func (s *simulation) regions() map[fleet.FailureDomain]fleet.Region {
	out := map[fleet.FailureDomain]fleet.Region{}
	for i := range s.scenario.Fleet.Regions {
		out[fleet.FailureDomain(regionName(i))] = regionName(i)
	}
	return out
}

func (s *simulation) gatewayAt(address string) *gateway {
	i := slices.IndexFunc(s.gateways, func(g *gateway) bool { return g.address == address })
	if i < 0 {
		return nil
	}
	return s.gateways[i]
}

// pickGateway picks the gateway of a request at random by weight, among those that
// are up and not leaving. A request that returns reaches any gateway. It returns nil if
// there is none.
func (s *simulation) pickGateway() *gateway {
	total := 0.0
	for i, w := range s.weights {
		if s.gateways[i].accepts() {
			total += w
		}
	}
	n := s.random.Float64() * total
	var last *gateway
	for i, w := range s.weights {
		if !s.gateways[i].accepts() {
			continue
		}
		last = s.gateways[i]
		if n -= w; n < 0 {
			return last
		}
	}
	return last
}

// arrive lets a request arrive at a gateway. It fails if all of them are down.
func (s *simulation) arrive(c *call) {
	g := s.pickGateway()
	if g == nil {
		c.failed()
		return
	}
	g.arrive(c)
}

// restartGateways lets the first gateways leave, ends them and starts them again.
func (s *simulation) restartGateways() {
	restart := &s.scenario.Restart
	for _, g := range s.gateways[:restart.Count] {
		g.leaving = restart.Notice > 0
		s.clock.after(restart.Notice, g.stop)
		s.clock.after(restart.Notice+restart.For, g.restart)
	}
}

// nextArrival lets a caller send a request and schedules the next one.
func (s *simulation) nextArrival() {
	sc := s.scenario
	at := s.clock.now.Sub(s.startedAt)
	if at >= sc.Traffic.Length {
		return
	}
	s.newCall()
	s.clock.after(time.Duration(s.random.ExpFloat64()/s.rate(at)*float64(time.Second)), s.nextArrival)
}

// rate returns the requests per second at a time.
func (s *simulation) rate(at time.Duration) float64 {
	t := &s.scenario.Traffic
	rate := t.PerSecond
	if at < t.RampUntil {
		rate *= t.RampFrom + (1-t.RampFrom)*float64(at)/float64(t.RampUntil)
	}
	if t.BurstFactor > 0 && at >= t.BurstAt && at < t.BurstAt+t.BurstFor {
		rate *= t.BurstFactor
	}
	return rate
}

func (s *simulation) newCall() {
	class := s.pickClass()
	events := max(int(math.Round(s.size(class.Events, class.Spread, class.MaxEvents))), 1)
	stride := s.scenario.Engine.Stride
	c := &call{
		sim: s, class: class, totalEvents: events, firstSentAt: s.clock.now, maxTokens: int(class.MaxEvents) * stride,
		expectedTokens: int(float64(events*stride) * math.Exp(s.random.NormFloat64()*s.scenario.Traffic.EstimateError)),
		promptTokens:   int(s.size(class.PromptTokens, class.Spread, class.MaxPromptTokens)),
		deadline:       s.clock.now.Add(s.scenario.Traffic.Deadline), retriesLeft: s.scenario.Traffic.Retries,
		prompt: s.prompts.next(class.Name, s.clock.now.Sub(s.startedAt)),
	}
	if c.prompt.harmful {
		s.result.Harm.sent(&c.prompt)
	}
	s.clock.at(c.deadline, c.expire)
	s.clock.after(s.scenario.Network.Caller, func() { s.arrive(c) })
}

func (s *simulation) pickClass() *Class {
	total := 0.0
	for i := range s.scenario.Classes {
		total += s.scenario.Classes[i].Weight
	}
	n := s.random.Float64() * total
	for i := range s.scenario.Classes {
		if n -= s.scenario.Classes[i].Weight; n < 0 {
			return &s.scenario.Classes[i]
		}
	}
	return &s.scenario.Classes[0]
}

// size draws a log-normally distributed size.
func (s *simulation) size(mean, spread, largest float64) float64 {
	variance := math.Log(1 + spread*spread)
	return min(mean*math.Exp(s.random.NormFloat64()*math.Sqrt(variance)-variance/2), largest)
}

// publishLater publishes the fleet after the delay of registrations.
func (s *simulation) publishLater() {
	s.clock.after(s.scenario.Network.Registration, func() {
		s.publish()
		for _, g := range s.gateways {
			g.applyView(s.view)
		}
	})
}

// publish makes a view of the present state.
func (s *simulation) publish() {
	v := &published.View{Revision: 1, Config: s.config(), OutOfService: map[fleet.FailureDomain]bool{}, Desired: map[string]published.DesiredVersion{}}
	if s.view != nil {
		v.Revision = s.view.Revision + 1
		v.Desired = s.view.Desired
	}
	for _, e := range s.order {
		if e.down {
			continue
		}
		u := &published.Upstream{
			ID: e.id, Service: serviceName, Address: e.address, Domain: fleet.FailureDomain(regionName(e.region)),
			Slots: s.scenario.Engine.Slots, StartTime: e.starts, Revision: v.Revision,
		}
		if e.version > 0 {
			u.Copies = []published.Copy{{Model: modelName, Version: e.version, Layers: layers}}
		}
		v.Upstreams = append(v.Upstreams, u)
	}
	s.view = v
}

func (s *simulation) config() *published.Config {
	m := &s.scenario.Engine
	c := &published.Config{Version: 1, Services: map[fleet.Service]*published.Service{serviceName: {
		Name: serviceName, ColdPerSecond: m.ColdPerSecond, Engine: &published.Engine{
			Layers: layers, Models: []string{modelName}, PromptTokensPerSecond: m.PromptTokensPerSecond,
			TimePerToken: m.Step + time.Duration(m.Slots)*m.StepPerRequest, TokensPerPass: m.Stride,
		},
	}}}
	for i := range s.scenario.Classes {
		class := &s.scenario.Classes[i]
		c.Routes = append(c.Routes, published.Route{
			Name: class.Name, Host: hostName, Prefix: "/" + class.Name + "/", Kind: published.Streaming, Resumable: true,
			Targets: []published.Target{{Service: serviceName, Weight: 1}}, Timeout: s.scenario.Traffic.Deadline,
			LatencyGoal: class.Goal, GapGoal: class.GapGoal, Rank: class.Rank, MaxAttempts: 2,
		})
	}
	if n := s.scenario.Prompts.Customers; n > 0 && s.scenario.Prompts.CustomerSkew > 0 {
		c.Customers = map[string]*published.Customer{}
		for i := range n {
			c.Customers[customerKey(i)] = &published.Customer{Name: fleet.Customer(customerKey(i))}
		}
	}
	c.Index()
	return c
}

// crashEngines takes the engines of the scenario's crash down, together or in turn.
func (s *simulation) crashEngines() {
	crash := &s.scenario.Crash
	if crash.Turn == 0 {
		for _, e := range s.crashing() {
			s.crashEngine(e, crash.For, crash.KeepsWeights)
		}
		s.publishLater()
		return
	}
	for i, e := range s.crashing() {
		s.clock.after(time.Duration(i)*crash.Turn, func() {
			s.crashEngine(e, crash.For, crash.KeepsWeights)
			s.publishLater()
		})
	}
}

// crashing returns the engines of a region, or else a share of all of them.
func (s *simulation) crashing() []*engine {
	var out []*engine
	crash := &s.scenario.Crash
	if crash.Region != "" {
		for _, e := range s.order {
			if regionName(e.region) == crash.Region {
				out = append(out, e)
			}
		}
		return out
	}
	return s.share(crash.Share)
}

// share returns a random share of the engines.
func (s *simulation) share(of float64) []*engine {
	var out []*engine
	for _, i := range s.random.Perm(len(s.order))[:int(of*float64(len(s.order)))] {
		out = append(out, s.order[i])
	}
	return out
}

// pauseEngines pauses the engines of the scenario's pause, together or in turn.
func (s *simulation) pauseEngines() {
	pause := &s.scenario.Pause
	for i, e := range s.share(pause.Share) {
		s.clock.after(time.Duration(i)*pause.Turn, func() { e.pausedUntil = s.clock.now.Add(pause.For) })
	}
}

// crashByRequest takes an engine down because of a harmful request. Its machine runs
// on and refuses connections meanwhile.
func (s *simulation) crashByRequest(e *engine) {
	s.result.Harm.crashed(s.clock.now)
	s.crashEngine(e, s.scenario.Harmful.Down, true)
	e.refuses = true
	s.publishLater()
}

// crashEngine takes an engine down, and back up after a while. Its loader sends a
// notice if it comes back without weights.
func (s *simulation) crashEngine(e *engine, down time.Duration, keepsWeights bool) {
	if e.down {
		return
	}
	version := int64(0)
	if keepsWeights {
		version = e.version
	}
	e.crash()
	s.clock.after(down, func() {
		e.restart(version)
		if version == 0 {
			s.notify(e, 0, 0)
		}
		s.publishLater()
	})
}

// engineLoaded records that an engine serves a version for which it accepted no
// requests for a while, and tells the gateways.
func (s *simulation) engineLoaded(e *engine, previous int64, outFor time.Duration) {
	if desired := s.desired(); desired.Version == e.version && desired.Version != firstVersion {
		s.result.LoadedAfter = append(s.result.LoadedAfter, s.clock.now.Sub(desired.Published.NotBefore))
		s.result.OutFor = append(s.result.OutFor, outFor)
	}
	s.notify(e, e.version, previous)
	s.publishLater()
}

// notify sends the notice of an engine's loader to all gateways.
func (s *simulation) notify(e *engine, version, previous int64) {
	n := dispatch.Notice{Address: e.address, StartTime: e.starts, Model: modelName, Version: version, PreviousVersion: previous}
	for _, g := range s.gateways {
		s.clock.after(s.delay(e.region, g.region), func() { g.applyNotice(n) })
	}
}

// desired returns the version that engines should serve.
func (s *simulation) desired() published.DesiredVersion {
	if d, ok := s.view.Desired[modelName]; ok {
		return d
	}
	return published.DesiredVersion{Model: modelName, Version: firstVersion}
}

// publishWeights names the next version. Loaders get their copies of it in a random
// order from copiesFrom to copiesUntil later.
func (s *simulation) publishWeights(copiesFrom, copiesUntil time.Duration) {
	now, was := s.clock.now, s.desired()
	next := published.DesiredVersion{
		Model: modelName, Version: was.Version + 1, Published: published.At(now),
		Previous: append([]published.PreviousVersion{{Version: was.Version, Published: was.Published}}, was.Previous...),
	}
	v := *s.view
	v.Desired = map[string]published.DesiredVersion{modelName: next}
	s.view = &v
	for _, g := range s.gateways {
		g.applyView(s.view)
	}
	for i, at := range s.random.Perm(len(s.loaders)) {
		after := copiesFrom + (copiesUntil-copiesFrom)*time.Duration(at)/time.Duration(len(s.loaders))
		s.clock.after(after, func() { s.loaders[i].core.MarkComplete(next.Version) })
	}
}

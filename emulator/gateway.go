package emulator

import (
	"math/rand/v2"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/retry"
)

const (
	// coreTick is the time between two ticks of a gateway's core.
	coreTick = 20 * time.Millisecond
	// connectTimeout is the time after which an attempt at an engine that is down
	// ends.
	connectTimeout = time.Second
)

// gateway runs the product's dispatch core and peer table with delayed
// knowledge of the other gateways.
type gateway struct {
	sim     *simulation
	address string
	region  int
	core    *dispatch.Core
	table   *peering.Table
	calls   map[dispatch.Ticket]*call
	next    dispatch.Ticket
	// seeds are the addresses through which it finds its peers, number is its place
	// among the gateways. down is set while it does not run, leaving before that.
	seeds   []string
	number  int
	down    bool
	leaving bool
}

func newGateway(s *simulation, address string, region int, seeds []string) *gateway {
	g := &gateway{
		sim: s, address: address, region: region, seeds: seeds, number: len(s.gateways),
	}
	g.reset()
	return g
}

// reset replaces all that the gateway knows by the state of a process that has just
// started.
func (g *gateway) reset() {
	s := g.sim
	g.calls = map[dispatch.Ticket]*call{}
	g.table = peering.NewTable(g.address, regionName(g.region), g.seeds)
	random := rand.New(rand.NewPCG(s.seed, uint64(g.number)))
	g.core = dispatch.New(dispatch.Settings{
		Self: g.address, Region: regionName(g.region), Regions: s.regions(), OldVersionGrace: s.scenario.Weights.Window, Random: random.IntN,
		ColdOverrun: s.scenario.Engine.ColdOverrun, ColdSlack: s.scenario.Engine.ColdSlack,
		Retries: retry.WindowLimits{Ratio: 0.2, Reserve: 270, Window: 10 * time.Second},
	})
}

// start begins the periodic work of the gateway.
func (g *gateway) start(offset time.Duration) {
	g.core.SetPlace(g.table.Place(g.sim.clock.now))
	g.core.Update(g.sim.clock.now, g.sim.view)
	g.sim.every(offset, coreTick, func() {
		if !g.down {
			g.execute(g.core.Tick(g.sim.clock.now))
		}
	})
	g.sim.every(offset, peering.SendInterval, func() {
		if !g.down {
			g.gossip()
		}
	})
}

// accepts reports whether the gateway gets new requests.
func (g *gateway) accepts() bool { return !g.down && !g.leaving }

// stop ends the gateway: its requests fail and the engines drop them.
func (g *gateway) stop() {
	g.down = true
	for _, c := range g.calls {
		c.cancelJobs()
		c.failed()
	}
	g.reset()
	g.sim.result.Limits.forget(g.address)
}

// restart lets a gateway that was stopped run again.
func (g *gateway) restart() {
	g.down, g.leaving = false, false
	g.core.SetPlace(g.table.Place(g.sim.clock.now))
	g.core.Update(g.sim.clock.now, g.sim.view)
}

// gossip exchanges state with the peers, as the router duty does.
func (g *gateway) gossip() {
	now := g.sim.clock.now
	g.table.Expire(now)
	g.core.SetPlace(g.table.Place(now))
	demands := g.core.Demands(now)
	g.core.SetPeerLoads(now, g.table.PeerLoads(now), g.table.Shares(now, demands))
	sharing := g.table.Sharing(now)
	sharing.Settled = sharing.Settled && !g.leaving
	g.core.SetSharing(now, sharing)
	m := &peering.Message{
		From: g.address, Region: regionName(g.region), Loads: g.core.Loads(now), Demands: demands, Peers: g.table.KnownPeers(),
		Leaving: g.leaving, Processes: g.table.StatedProcesses(now), Crashes: g.core.Detector().Reports(now), Limits: g.core.LimitReports(),
	}
	for _, t := range g.table.Targets(now) {
		peer := g.sim.gatewayAt(t)
		if peer == nil || g.sim.random.Float64() < g.sim.scenario.Network.DatagramLoss {
			continue
		}
		g.sim.clock.after(g.sim.delay(g.region, peer.region), func() { peer.receive(m) })
	}
}

// receive applies a message of a peer.
func (g *gateway) receive(m *peering.Message) {
	if g.down {
		return
	}
	now := g.sim.clock.now
	g.table.Record(now, m)
	g.execute(g.core.ApplyReports(now, m.Crashes))
	g.execute(g.core.ApplyLimits(now, m.Limits))
}

// arrive handles a request of a caller.
func (g *gateway) arrive(c *call) {
	g.next++
	c.ticket, c.gateway, c.arrivedAt = g.next, g, g.sim.clock.now
	g.calls[c.ticket] = c
	path := "/" + c.class.Name + "/"
	g.execute(g.core.Arrive(g.sim.clock.now, c.ticket, dispatch.Call{
		Host: hostName, Path: path, Key: c.prompt.key, TimeBudget: c.deadline.Sub(g.sim.clock.now), Model: modelName,
		Traits:       c.prompt.traits(path),
		PromptTokens: c.promptTokens, MaxAnswerTokens: c.maxTokens, ExpectedAnswerTokens: c.expectedTokens,
	}))
}

// execute carries out the actions of the core.
func (g *gateway) execute(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			g.send(&a)
		case dispatch.Refuse:
			c := g.calls[a.Ticket]
			delete(g.calls, a.Ticket)
			if a.Trait != 0 && !c.prompt.harmful {
				g.sim.result.Blocked++
			}
			if a.Verdict == dispatch.NotRun {
				c.refused(a.RetryAfter)
			} else {
				c.failed()
			}
		case dispatch.Finish:
			delete(g.calls, a.Ticket)
		case dispatch.Interrupt:
			if c := g.calls[a.Ticket]; c != nil {
				if c.hedge != nil {
					c.hedge.endHere(retry.Stalled)
				}
				c.attempt.endHere(retry.Stalled)
			}
		case dispatch.Deliver:
		}
	}
}

// send starts one attempt at an engine.
func (g *gateway) send(send *dispatch.Send) {
	c := g.calls[send.Ticket]
	e := g.sim.engines[send.Upstream]
	a := &attempt{
		gateway: g, call: c, engine: e, send: *send, sentAt: g.sim.clock.now, delay: g.sim.delay(g.region, e.region),
		result: dispatch.AttemptResult{Version: send.ExpectVersion},
	}
	a.job = &job{
		promptTokens: c.promptTokens, remaining: c.remainingTokens(g.sim.scenario.Engine.Stride), harmful: c.prompt.harmful, harmlessEvents: g.sim.scenario.Harmful.Events,
		onStart: a.started, onEvent: func() { a.reply(a.eventReceived) }, onEnd: a.end,
	}
	if send.Hedge {
		a.hedge, c.hedge = true, a
	} else {
		c.attempt = a
	}
	a.watch(send.FirstByteSilence, send.FirstByteTimeout)
	j := a.job
	g.sim.clock.after(a.delay, func() { a.arrive(j) })
}

// applyNotice delivers a loader's notice.
func (g *gateway) applyNotice(n dispatch.Notice) { g.execute(g.core.ApplyNotice(g.sim.clock.now, n)) }

func (g *gateway) applyView(v *published.View) { g.execute(g.core.Update(g.sim.clock.now, v)) }

// regionName returns the name of the region with the given number.
func regionName(n int) fleet.Region { return fleet.Region(rune('a' + n)) }

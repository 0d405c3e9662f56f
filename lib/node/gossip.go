package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// viewEvery bounds how often changes of members alone are published.
const viewEvery = 200 * time.Millisecond

// gossipEvent is an input of the gossip duty.
type gossipEvent interface{ gossipEvent() }

type (
	// adopted carries the accepted document and its compressed bytes.
	adopted struct {
		config *config.Accepted
		packed []byte
	}
	refusedDocument struct{ stamp config.Stamp }
	fetchFailed     struct{ stamp config.Stamp }
	// serviceRead says that the configuration service answered.
	serviceRead struct{}
	listRead    struct{ list confservice.InstanceList }
	received    struct {
		heartbeat *gossip.Heartbeat
		answer    *ring.Ring[gossip.Heartbeat]
	}
	answered struct {
		heartbeat *gossip.Heartbeat
		joined    bool
	}
	exchangeFailed struct{ id fleet.InstanceID }
	tableAsked     struct{ answer *ring.Ring[gossip.Heartbeat] }
	documentAsked  struct{ answer *ring.Ring[adopted] }
	statusAsked    struct{ answer *ring.Ring[Status] }

	servingChanged struct {
		root      fleet.Digest
		switching bool
	}
	leaving   struct{ told *ring.Ring[struct{}] }
	crashed   struct{ fingerprints []string }
	succeeded struct{ fingerprint string }
	heard     struct {
		address string
		stamp   config.Stamp
	}
)

func (adopted) gossipEvent()         {}
func (refusedDocument) gossipEvent() {}
func (fetchFailed) gossipEvent()     {}
func (serviceRead) gossipEvent()     {}
func (listRead) gossipEvent()        {}
func (received) gossipEvent()        {}
func (answered) gossipEvent()        {}
func (exchangeFailed) gossipEvent()  {}
func (tableAsked) gossipEvent()      {}
func (documentAsked) gossipEvent()   {}
func (statusAsked) gossipEvent()     {}
func (servingChanged) gossipEvent()  {}
func (leaving) gossipEvent()         {}
func (crashed) gossipEvent()         {}
func (succeeded) gossipEvent()       {}
func (heard) gossipEvent()           {}

// gossiper owns the gossip core and publishes views.
type gossiper struct {
	node *Node
	core *gossip.Core
	// held is the greatest accepted document; inForce is the one in the last view.
	held    adopted
	inForce config.Stamp
	// shown is the number of changes that the last view shows.
	shown uint64
	// told waits for the first member that knows that this process leaves.
	told *ring.Ring[struct{}]
}

func (n *Node) runGossip(ctx context.Context) error {
	g := &gossiper{node: n, core: gossip.New(gossip.Options{
		Self:        n.settings.Self,
		Incarnation: fleet.Incarnation(n.start.UnixMilli()),
		Now:         n.start,
		StartWait:   n.settings.StartWait,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})}
	beat := time.NewTicker(gossip.HeartbeatInterval)
	defer beat.Stop()
	view := time.NewTicker(viewEvery)
	defer view.Stop()
	for {
		select {
		case e := <-n.inbox.Out():
			g.step(ctx, e)
		case e := <-n.notices.Out():
			g.step(ctx, e)
		case <-beat.C:
			g.act(ctx, g.core.Tick(time.Now()))
			g.measure()
		case <-view.C:
			g.publishMembers(ctx)
		case <-ctx.Done():
			return nil
		}
		g.publishConfig(ctx)
	}
}

func (g *gossiper) step(ctx context.Context, e gossipEvent) {
	now := time.Now()
	switch e := e.(type) {
	case adopted:
		g.held = e
		g.act(ctx, g.core.ConfigAdopted(now, e.config.Stamp))
	case refusedDocument:
		g.core.ConfigRejected(e.stamp)
	case fetchFailed:
		g.core.FetchFailed(e.stamp)
	case serviceRead:
		g.core.ServiceRead(now)
	case listRead:
		g.act(ctx, g.core.SetInstanceList(now, e.list.Instances, e.list.Revision))
	case heard:
		g.act(ctx, g.core.ObserveStamp(now, e.address, e.stamp))
	case received, answered, exchangeFailed:
		g.exchange(ctx, now, e)
	case tableAsked, documentAsked, statusAsked:
		g.question(ctx, now, e)
	default:
		g.notice(ctx, now, e)
	}
}

// exchange takes in messages of other members and failures to reach them.
func (g *gossiper) exchange(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case received:
		answer, actions := g.core.HandleHeartbeat(now, e.heartbeat)
		_ = e.answer.Put(ctx, answer)
		g.act(ctx, actions)
	case answered:
		if e.joined {
			g.act(ctx, g.core.HandleTable(now, e.heartbeat))
		} else {
			g.act(ctx, g.core.HandleAnswer(now, e.heartbeat))
		}
		g.tell(ctx)
	case exchangeFailed:
		g.core.ExchangeFailed(now, e.id)
	}
}

// question answers handlers.
func (g *gossiper) question(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case tableAsked:
		_ = e.answer.Put(ctx, g.core.TableMessage(now))
	case documentAsked:
		_ = e.answer.Put(ctx, g.held)
	case statusAsked:
		_ = e.answer.Put(ctx, g.status(now))
	}
}

// notice takes in what the role says of itself.
func (g *gossiper) notice(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case servingChanged:
		g.core.SetServing(now, e.root, e.switching)
	case leaving:
		g.told = e.told
		g.act(ctx, g.core.Leave(now))
		if len(g.core.Members()) <= 1 {
			g.tell(ctx)
		}
	case crashed:
		g.act(ctx, g.core.ReportCrash(now, e.fingerprints))
	case succeeded:
		g.act(ctx, g.core.ReportSuccess(now, e.fingerprint))
	}
}

func (g *gossiper) tell(ctx context.Context) {
	if g.told != nil {
		_ = g.told.Put(ctx, struct{}{})
	}
}

// act hands actions to the duties that carry them out. It never blocks, since
// those duties send their results back to this one.
func (g *gossiper) act(ctx context.Context, actions []gossip.Action) {
	n := g.node
	for _, a := range actions {
		switch a := a.(type) {
		case gossip.Send:
			_ = n.exchanges.Put(ctx, exchange{to: a.To, message: a.Message})
		case gossip.Fetch:
			if n.fetches.Put(ctx, fetch{address: a.Address, stamp: a.Stamp}) != nil {
				g.core.FetchFailed(a.Stamp)
			}
		case gossip.Read:
			_ = n.reads.Put(ctx, struct{}{})
		case gossip.Watch:
			_ = n.watches.Put(ctx, a.On)
			_ = n.listings.Put(ctx, a.On)
		case gossip.Conflict:
			_ = n.conflicts.Put(ctx, conflict{held: a.Adopted, heard: a.Observed})
		}
	}
}

// publishConfig publishes a view if there is a greater configuration and the
// start of the process is over.
func (g *gossiper) publishConfig(ctx context.Context) {
	c := g.held.config
	if c == nil || c.Stamp == g.inForce || !g.core.Started(time.Now()) {
		return
	}
	g.inForce = c.Stamp
	_ = level.Info(g.node.logger).Log("msg", "configuration adopted", "generation", c.Generation)
	g.node.Record(timeline.Event{Kind: timeline.ConfigAdopted, Generation: c.Generation})
	g.publish(ctx)
}

// publishMembers publishes a view if members or suspects have changed.
func (g *gossiper) publishMembers(ctx context.Context) {
	if !g.inForce.IsZero() && g.core.Changes() != g.shown {
		g.publish(ctx)
	}
}

func (g *gossiper) publish(ctx context.Context) {
	g.shown = g.core.Changes()
	v := View{
		Config:    g.held.config,
		Members:   g.core.Members(),
		Suspects:  suspects(g.core.SuspectRequests()),
		Suspected: g.core.SuspectedMembers(),
	}
	for _, r := range g.node.views {
		_ = r.Put(ctx, v)
	}
}

func suspects(list []gossip.Suspect) []wire.Suspect {
	var out []wire.Suspect
	for _, s := range list {
		out = append(out, wire.Suspect{Fingerprint: s.Fingerprint, Crashes: s.Crashes(), Last: s.Last})
	}
	return out
}

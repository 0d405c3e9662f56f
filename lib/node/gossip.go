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
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
)

// viewInterval is the minimum time between two views published for changes of
// members or the evidence about crashes.
const viewInterval = 200 * time.Millisecond

// gossipEvent is an input of the gossip duty.
type gossipEvent interface{ gossipEvent() }

type (
	// acceptedConfig holds an accepted document and its compressed bytes.
	acceptedConfig struct {
		config     *config.Accepted
		compressed []byte
	}
	documentRejected struct{ stamp config.Stamp }
	fetchFailed      struct{ stamp config.Stamp }
	// serviceRead is a successful read of the configuration service.
	serviceRead       struct{}
	listRead          struct{ list confservice.InstanceList }
	heartbeatReceived struct {
		heartbeat *gossip.Heartbeat
		answer    *ring.Ring[gossip.Heartbeat]
	}
	heartbeatAnswered struct {
		heartbeat *gossip.Heartbeat
		fullTable bool
	}
	exchangeFailed struct{ id fleet.InstanceID }
	tableQuery     struct{ answer *ring.Ring[gossip.Heartbeat] }
	documentQuery  struct{ answer *ring.Ring[acceptedConfig] }
	statusQuery    struct{ answer *ring.Ring[Status] }

	servingChanged struct {
		root      fleet.Digest
		switching bool
	}
	leaving       struct{ announced *ring.Ring[struct{}] }
	crashesShared struct{ reports []poison.Report }
	stampObserved struct {
		address string
		stamp   config.Stamp
	}
)

func (acceptedConfig) gossipEvent()    {}
func (documentRejected) gossipEvent()  {}
func (fetchFailed) gossipEvent()       {}
func (serviceRead) gossipEvent()       {}
func (listRead) gossipEvent()          {}
func (heartbeatReceived) gossipEvent() {}
func (heartbeatAnswered) gossipEvent() {}
func (exchangeFailed) gossipEvent()    {}
func (tableQuery) gossipEvent()        {}
func (documentQuery) gossipEvent()     {}
func (statusQuery) gossipEvent()       {}
func (servingChanged) gossipEvent()    {}
func (leaving) gossipEvent()           {}
func (crashesShared) gossipEvent()     {}
func (stampObserved) gossipEvent()     {}

// gossiper owns the gossip core and publishes views.
type gossiper struct {
	node *Node
	core *gossip.Core
	// accepted is the greatest accepted document; inForce is the stamp of the
	// one in the last view.
	accepted acceptedConfig
	inForce  config.Stamp
	// publishedChanges is the change counter at the last published view.
	publishedChanges uint64
	// leaveAnnounced receives an element when a member knows that this process
	// is leaving; nil unless it is.
	leaveAnnounced *ring.Ring[struct{}]
}

func (n *Node) runGossip(ctx context.Context) error {
	g := &gossiper{node: n, core: gossip.New(gossip.Options{
		Self:        n.settings.Self,
		Incarnation: fleet.Incarnation(n.startTime.UnixMilli()),
		Now:         n.startTime,
		StartWait:   n.settings.StartWait,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})}
	heartbeatTicker := time.NewTicker(gossip.HeartbeatInterval)
	defer heartbeatTicker.Stop()
	viewTicker := time.NewTicker(viewInterval)
	defer viewTicker.Stop()
	for {
		select {
		case e := <-n.inbox.Out():
			g.handle(ctx, e)
		case e := <-n.notices.Out():
			g.handle(ctx, e)
		case <-heartbeatTicker.C:
			g.execute(ctx, g.core.Tick(time.Now()))
			g.updateMetrics()
		case <-viewTicker.C:
			g.publishMembers(ctx)
		case <-ctx.Done():
			return nil
		}
		g.publishConfig(ctx)
	}
}

func (g *gossiper) handle(ctx context.Context, e gossipEvent) {
	now := time.Now()
	switch e := e.(type) {
	case acceptedConfig:
		g.accepted = e
		g.execute(ctx, g.core.ConfigAccepted(now, e.config.Stamp))
	case documentRejected:
		g.core.ConfigRejected(e.stamp)
	case fetchFailed:
		g.core.FetchFailed(e.stamp)
	case serviceRead:
		g.core.ServiceRead(now)
	case listRead:
		g.execute(ctx, g.core.SetInstanceList(now, e.list.Instances, e.list.Revision))
	case stampObserved:
		g.execute(ctx, g.core.ObserveStamp(now, e.address, e.stamp))
	case heartbeatReceived, heartbeatAnswered, exchangeFailed:
		g.handleExchange(ctx, now, e)
	case tableQuery, documentQuery, statusQuery:
		g.answerQuery(ctx, now, e)
	default:
		g.handleNotice(ctx, now, e)
	}
}

// handleExchange applies messages of other members and failures to reach them.
func (g *gossiper) handleExchange(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case heartbeatReceived:
		answer, actions := g.core.HandleHeartbeat(now, e.heartbeat)
		_ = e.answer.Put(ctx, answer)
		g.execute(ctx, actions)
	case heartbeatAnswered:
		if e.fullTable {
			g.execute(ctx, g.core.HandleTable(now, e.heartbeat))
		} else {
			g.execute(ctx, g.core.HandleAnswer(now, e.heartbeat))
		}
		g.confirmLeave(ctx)
	case exchangeFailed:
		g.core.ExchangeFailed(now, e.id)
	}
}

// answerQuery answers queries of request handlers.
func (g *gossiper) answerQuery(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case tableQuery:
		_ = e.answer.Put(ctx, g.core.TableMessage(now))
	case documentQuery:
		_ = e.answer.Put(ctx, g.accepted)
	case statusQuery:
		_ = e.answer.Put(ctx, g.status(now))
	}
}

// handleNotice applies a notice of the process's role.
func (g *gossiper) handleNotice(ctx context.Context, now time.Time, e gossipEvent) {
	switch e := e.(type) {
	case servingChanged:
		g.core.SetServing(now, e.root, e.switching)
	case leaving:
		g.leaveAnnounced = e.announced
		g.execute(ctx, g.core.Leave(now))
		if len(g.core.Members()) <= 1 {
			g.confirmLeave(ctx)
		}
	case crashesShared:
		g.execute(ctx, g.core.AddCrashes(now, e.reports))
	}
}

// confirmLeave unblocks Leave if the process is leaving.
func (g *gossiper) confirmLeave(ctx context.Context) {
	if g.leaveAnnounced != nil {
		_ = g.leaveAnnounced.Put(ctx, struct{}{})
	}
}

// execute passes actions to the duties that perform them. It never blocks,
// since those duties send their results back to this one.
func (g *gossiper) execute(ctx context.Context, actions []gossip.Action) {
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
			_ = n.readRequests.Put(ctx, struct{}{})
		case gossip.Watch:
			_ = n.watchSwitch.Put(ctx, a.On)
			_ = n.listSwitch.Put(ctx, a.On)
		case gossip.Conflict:
			_ = n.conflicts.Put(ctx, conflict{accepted: a.Accepted, observed: a.Observed})
		}
	}
}

// publishConfig publishes a view if a greater configuration was accepted and
// the process has completed its start.
func (g *gossiper) publishConfig(ctx context.Context) {
	c := g.accepted.config
	if c == nil || c.Stamp == g.inForce || !g.core.Started(time.Now()) {
		return
	}
	g.inForce = c.Stamp
	_ = level.Info(g.node.logger).Log("msg", "configuration adopted", "generation", c.Generation)
	g.node.Record(timeline.Event{Kind: timeline.ConfigAdopted, Generation: c.Generation})
	g.publish(ctx)
}

// publishMembers publishes a view if members or the evidence about crashes have
// changed.
func (g *gossiper) publishMembers(ctx context.Context) {
	if !g.inForce.IsZero() && g.core.Changes() != g.publishedChanges {
		g.publish(ctx)
	}
}

func (g *gossiper) publish(ctx context.Context) {
	g.publishedChanges = g.core.Changes()
	v := View{
		Config:    g.accepted.config,
		Members:   g.core.Members(),
		Crashes:   g.core.Crashes(time.Now()),
		Suspected: g.core.SuspectedMembers(),
	}
	for _, r := range g.node.views {
		_ = r.Put(ctx, v)
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"rattanspur.example/lib/dispatch"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/peering"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

const (
	// maxDatagram bounds a message between gateways.
	maxDatagram = 32 << 10
	// pullPause is the time between two reads of peers' views. The own watch
	// usually brings what is new before the first one.
	pullPause = 300 * time.Millisecond
)

// rosterAsk asks the router for what the loaders of a service need.
type rosterAsk struct {
	service fleet.Service
	reply   *ring.Ring[rosterAnswer]
}

func (rosterAsk) event() {}

type rosterAnswer struct {
	roster peering.Roster
	known  bool
}

// heard carries a message of a peer to the router.
type heard struct{ message *peering.Message }

func (heard) event() {}

// outgoing is a message for some peers.
type outgoing struct {
	message peering.Message
	targets []string
}

// startPeers runs the duties that speak with other gateways.
func (g *Gateway) startPeers(group *duty.Group) error {
	if g.settings.Peers == "" {
		return nil
	}
	conn, err := net.ListenPacket("udp4", g.settings.Peers)
	if err != nil {
		return err
	}
	context.AfterFunc(group.Context(), func() { _ = conn.Close() })
	group.Go("peer receiver", func(ctx context.Context) error { return g.runReceiver(ctx, conn) })
	group.Go("peer sender", func(ctx context.Context) error { return g.runSender(ctx, conn) })
	group.Go("peer puller", g.runPuller)
	return nil
}

func (g *Gateway) runReceiver(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A refused datagram of an earlier send is reported here.
			_ = duty.Sleep(ctx, peering.SendInterval)
			continue
		}
		var m peering.Message
		if json.Unmarshal(buffer[:n], &m) != nil {
			g.metrics.badMessages.Inc()
			continue
		}
		if g.inbox.Put(ctx, heard{message: &m}) != nil {
			return nil
		}
	}
}

func (g *Gateway) runSender(ctx context.Context, conn net.PacketConn) error {
	for {
		o, err := g.outgoing.Take(ctx)
		if err != nil {
			return nil
		}
		data, err := json.Marshal(&o.message)
		if err != nil || len(data) > maxDatagram {
			g.metrics.badMessages.Inc()
			continue
		}
		for _, t := range o.targets {
			address, err := net.ResolveUDPAddr("udp4", t)
			if err == nil {
				// A lost message is replaced by the next one.
				_, _ = conn.WriteTo(data, address)
			}
		}
	}
}

// runPuller reads the view of a peer that knows more, which is how a gateway
// that the store turns away stays up to date.
func (g *Gateway) runPuller(ctx context.Context) error {
	for {
		p, err := g.pulls.Take(ctx)
		if err != nil {
			return nil
		}
		if err := g.pull(ctx, p); err != nil {
			_ = g.logger.Log("event", "peer-unreadable", "peer", p.peer, "err", err)
		}
		_ = duty.Sleep(ctx, pullPause)
	}
}

// pull asks a peer for what is newer than a revision, under a prefix.
type pull struct {
	peer   string
	after  uint64
	prefix string
}

func (g *Gateway) pull(ctx context.Context, p pull) error {
	b, err := g.sync.Changes(ctx, p.peer, p.after, p.prefix)
	if err != nil {
		return err
	}
	for _, f := range b.Findings {
		_ = g.logger.Log("event", "item-unreadable", "peer", p.peer, "err", f)
	}
	_ = g.logger.Log("event", "view-pulled", "peer", p.peer, "after", p.after, "items", len(b.Changes))
	return g.watcher.EnqueuePeerChanges(ctx, b)
}

// newSeeds are the seeds of changed settings.
type newSeeds struct{ seeds []string }

func (newSeeds) event() {}

// SetSeeds takes in the seeds of changed settings.
func (g *Gateway) SetSeeds(seeds []string) {
	_ = g.inbox.Put(context.Background(), newSeeds{seeds: seeds})
}

// serveRoster names what the loaders of a service need.
func (g *Gateway) serveRoster(w http.ResponseWriter, r *http.Request) {
	q := rosterAsk{service: fleet.Service(r.URL.Query().Get("service")), reply: ring.New[rosterAnswer](1, ring.Wait)}
	if g.inbox.Put(r.Context(), q) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a, err := q.reply.Take(r.Context())
	switch {
	case err != nil:
	case !a.known:
		w.WriteHeader(http.StatusNotFound)
	default:
		wire.WriteJSON(w, &a.roster)
	}
}

func (r *router) roster(ctx context.Context, now time.Time, q rosterAsk) {
	s := &r.gateway.settings
	var a rosterAnswer
	a.roster, a.known = peering.RosterOf(r.view, q.service, s.Dispatch.Regions)
	self := peering.Member{Control: s.Control, Region: s.Dispatch.Region}
	a.roster.Gateways = append([]peering.Member{self}, r.peers.Live(now)...)
	_ = q.reply.Put(ctx, a)
}

// heard takes in a message of a peer.
func (r *router) heard(ctx context.Context, now time.Time, m *peering.Message) {
	if e := m.Engine; e != nil {
		r.carryOut(ctx, r.core.ApplyNotice(now, dispatch.Notice{
			Address: e.Address, StartTime: e.StartTime, Model: e.Model, Version: e.Version, PreviousVersion: e.PreviousVersion,
		}))
		return
	}
	r.peers.Record(now, m)
	for _, s := range m.Suspects {
		r.core.Suspects().ApplyReport(now, s.Fingerprint, s.Crashes, now)
	}
}

// gossip tells peers what they need and takes in what they told.
func (r *router) gossip(ctx context.Context, now time.Time) {
	r.peers.Expire(now)
	r.core.SetProcesses(r.peers.Processes())
	demands := r.core.Demands(now)
	r.core.SetPeerLoads(now, r.peers.PeerLoads(now), r.peers.Shares(now, demands))
	g := r.gateway
	_ = g.outgoing.Put(ctx, outgoing{
		message: peering.Message{
			From: g.settings.Peers, Control: g.settings.Control, Revision: r.revision,
			Region: g.settings.Dispatch.Region,
			Loads:  r.core.Loads(), Demands: demands, Suspects: suspects(r.core), Peers: r.peers.KnownPeers(),
		},
		targets: r.peers.Targets(now),
	})
	// The first read of a peer's view also tells since when versions are wanted.
	after := r.revision
	if !r.informed {
		after = 0
	}
	if peer, ok := r.peers.PeerWithNewerView(now, after); ok && g.pulls.Put(ctx, pull{peer: peer, after: after}) == nil {
		r.informed = true
	} else if !ok && now.Before(r.unsureUntil) {
		r.askTimes(ctx, now)
	}
}

// unsureFor is how long peers are asked since when a version is wanted. They
// may hear of it later than a process that has just started.
const unsureFor = 4 * time.Second

// askTimes asks a peer since when versions are wanted, another one each time.
func (r *router) askTimes(ctx context.Context, now time.Time) {
	live := r.peers.Live(now)
	if len(live) == 0 {
		return
	}
	r.asked++
	p := pull{peer: live[r.asked%len(live)].Control, prefix: r.gateway.settings.WantedPrefix}
	_ = r.gateway.pulls.Put(ctx, p)
}

// noteUnsure notes until when peers are asked for the times of wanted versions.
func (r *router) noteUnsure(now time.Time, v *published.View) {
	unsure := false
	for model, w := range v.Desired {
		if !w.FirstSeen.IsZero() {
			continue
		}
		unsure = true
		if r.view == nil || r.view.Desired[model].Version != w.Version {
			r.unsureUntil = now.Add(unsureFor)
		}
	}
	if !unsure {
		r.unsureUntil = time.Time{}
	}
}

// maxSuspects bounds the suspects of one message.
const maxSuspects = 16

func suspects(c *dispatch.Core) []peering.Suspect {
	var out []peering.Suspect
	for f, n := range c.Suspects().Observed(maxSuspects) {
		out = append(out, peering.Suspect{Fingerprint: f, Crashes: n})
	}
	return out
}

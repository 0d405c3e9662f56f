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
	// maxDatagramBytes is the maximum size of a message between gateways.
	maxDatagramBytes = 32 << 10
	// pullInterval is the time between two reads of peers' views. Usually, this
	// process's own watch delivers changes before the first read.
	pullInterval = 300 * time.Millisecond
)

// rosterQuery is an event that requests the roster of a service, which loaders
// need. The router puts its reply on the ring.
type rosterQuery struct {
	service fleet.Service
	reply   *ring.Ring[rosterReply]
}

func (rosterQuery) event() {}

type rosterReply struct {
	roster peering.Roster
	known  bool
}

// peerMessage is an event that carries a message of a peer.
type peerMessage struct{ message *peering.Message }

func (peerMessage) event() {}

// outboundMessage is a message to send to some peers. The targets are UDP
// addresses.
type outboundMessage struct {
	message peering.Message
	targets []string
}

// startPeers starts the duties that communicate with other gateways, unless the
// settings have no Peers address.
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

// runReceiver passes messages from peers to the router.
func (g *Gateway) runReceiver(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The rejection of a datagram that was sent earlier is reported here.
			_ = duty.Sleep(ctx, peering.SendInterval)
			continue
		}
		var m peering.Message
		if json.Unmarshal(buffer[:n], &m) != nil || !m.Valid() {
			g.metrics.badMessages.Inc()
			continue
		}
		if g.inbox.Put(ctx, peerMessage{message: &m}) != nil {
			return nil
		}
	}
}

// runSender sends this gateway's messages to peers.
func (g *Gateway) runSender(ctx context.Context, conn net.PacketConn) error {
	for {
		o, err := g.outbound.Take(ctx)
		if err != nil {
			return nil
		}
		data, err := json.Marshal(&o.message)
		if err != nil || len(data) > maxDatagramBytes {
			g.metrics.badMessages.Inc()
			continue
		}
		for _, t := range o.targets {
			address, err := net.ResolveUDPAddr("udp4", t)
			if err == nil {
				// A failed send is ignored: the next message replaces this one.
				_, _ = conn.WriteTo(data, address)
			}
		}
	}
}

// runPuller reads changes from peers that have a newer view. This keeps a gateway
// that cannot read the store up to date.
func (g *Gateway) runPuller(ctx context.Context) error {
	for {
		p, err := g.pulls.Take(ctx)
		if err != nil {
			return nil
		}
		if err := g.pullView(ctx, p); err != nil {
			_ = g.logger.Log("event", "peer-unreadable", "peer", p.Control, "err", err)
		}
		_ = duty.Sleep(ctx, pullInterval)
	}
}

func (g *Gateway) pullView(ctx context.Context, p peering.ViewSource) error {
	b, err := g.viewClient.Changes(ctx, p.Control, p.After, "")
	if err != nil {
		return err
	}
	for _, f := range b.Findings {
		_ = g.logger.Log("event", "item-unreadable", "peer", p.Control, "err", f)
	}
	_ = g.logger.Log("event", "view-pulled", "peer", p.Control, "after", p.After, "items", len(b.Changes))
	return g.watcher.EnqueuePeerChanges(ctx, b)
}

// seedUpdate is an event that carries the seeds of changed settings.
type seedUpdate struct{ seeds []string }

func (seedUpdate) event() {}

// SetSeeds replaces the seeds when the settings change.
func (g *Gateway) SetSeeds(seeds []string) {
	_ = g.inbox.Put(context.Background(), seedUpdate{seeds: seeds})
}

// serveRoster responds with the roster of the service in the query, or with 404
// if the view has no such service with engines.
func (g *Gateway) serveRoster(w http.ResponseWriter, r *http.Request) {
	q := rosterQuery{service: fleet.Service(r.URL.Query().Get("service")), reply: ring.New[rosterReply](1, ring.Wait)}
	if g.inbox.Put(r.Context(), q) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply, err := q.reply.Take(r.Context())
	switch {
	case err != nil:
	case !reply.known:
		w.WriteHeader(http.StatusNotFound)
	default:
		wire.WriteJSON(w, &reply.roster)
	}
}

func (r *router) replyRoster(ctx context.Context, now time.Time, q rosterQuery) {
	s := &r.gateway.settings
	var reply rosterReply
	reply.roster, reply.known = peering.RosterOf(r.view, q.service, s.Dispatch.Regions)
	self := peering.Member{Control: s.Control, Region: s.Dispatch.Region}
	reply.roster.Gateways = append([]peering.Member{self}, r.peers.Live(now)...)
	_ = q.reply.Put(ctx, reply)
}

// handlePeerMessage applies a message of a loader or of another gateway.
func (r *router) handlePeerMessage(ctx context.Context, now time.Time, m *peering.Message) {
	if e := m.Engine; e != nil {
		r.execute(ctx, r.core.ApplyNotice(now, dispatch.Notice{
			Address: e.Address, StartTime: e.StartTime, Model: e.Model, Version: e.Version, PreviousVersion: e.PreviousVersion,
		}))
		return
	}
	r.peers.Record(now, m)
	if r.view != nil && r.view.Learns(now, m.Versions) {
		_ = r.gateway.watcher.EnqueueAges(ctx, m.From, m.Versions)
	}
	r.execute(ctx, r.core.ApplyLimits(now, m.Limits))
	if len(m.Crashes) > 0 {
		r.execute(ctx, r.core.ApplyReports(now, m.Crashes))
		r.checkConvictions(now)
	}
}

// gossip applies what peers have reported and sends them this gateway's state.
// It also requests a read of a peer's view if that view is newer.
func (r *router) gossip(ctx context.Context, now time.Time) {
	r.peers.Expire(now)
	r.checkConvictions(now)
	r.core.SetPlace(r.peers.Place(now))
	demands := r.core.Demands(now)
	r.core.SetPeerLoads(now, r.peers.PeerLoads(now), r.peers.Shares(now, demands))
	g := r.gateway
	leaving := g.stopping()
	sharing := r.peers.Sharing(now)
	sharing.Settled = sharing.Settled && !leaving
	r.core.SetSharing(now, sharing)
	r.logLimits()
	var versions map[string][]published.VersionAge
	if r.view != nil {
		versions = r.view.Ages(now)
	}
	_ = g.outbound.Put(ctx, outboundMessage{
		message: peering.Message{
			From: g.settings.Peers, Control: g.settings.Control, Number: r.revision.Number(), Era: r.revision.Era(), Config: r.view.ConfigVersion(),
			Region: g.settings.Dispatch.Region, Leaving: leaving, Processes: r.peers.StatedProcesses(now),
			Loads: r.core.Loads(now), Demands: demands, Crashes: r.core.Detector().Reports(now), Peers: r.peers.KnownPeers(),
			Versions: versions, Limits: r.core.LimitReports(),
		},
		targets: r.peers.Targets(now),
	})
	if source, ok := r.peers.PeerWithNewerView(now, r.revision, r.view.ConfigVersion()); ok {
		_ = g.pulls.Put(ctx, source)
	}
}

// logLimits logs which upstreams began or ceased to state limits, and updates the
// metric.
func (r *router) logLimits() {
	for _, change := range r.core.LimitChanges() {
		event := "limit-stated"
		if change.Ended {
			event = "limit-ended"
		}
		own, _ := r.core.OwnLimit(change.ID)
		_ = r.gateway.logger.Log("event", event, "upstream", change.ID, "limit", change.PerSecond, "change", change.Change, "own", own)
	}
	r.gateway.metrics.statedLimits.Store(int64(r.core.StatedLimits()))
}

// Package node runs the duties that entry and agent share: the adopted
// configuration, the members, the exchange with other processes and the time line.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// messageRing is the capacity of the rings between the node's duties.
	messageRing = 256
	// documentRing bounds the documents, of up to 1 MB each, that wait for validation.
	documentRing = 8
	// exchangeRing bounds the heartbeats that wait for a sender.
	exchangeRing = 32
	// senders is the number of heartbeats in flight; more than the members that
	// an adoption is pushed to, since some of them may not answer.
	senders = 8
	// fetchers is the number of documents read from peers at a time; the second
	// one goes on when a peer stops in the middle of an answer.
	fetchers = 2
	// eventLog is the number of events that a process keeps.
	eventLog = 4096
	// requestTimeout bounds short requests to the platform and to peers.
	requestTimeout = 2 * time.Second
	// retryDelay is the time between two tries of a service that failed.
	retryDelay = 500 * time.Millisecond
	// leaveWait bounds how long Leave waits until some members know.
	leaveWait = time.Second
	// idleConnections bounds the open connections to members; they are chosen
	// at random, so that few connections are used again.
	idleConnections = 32
	// idleTimeout closes connections to members that are not used again.
	idleTimeout = 15 * time.Second
)

// View is what a process knows of the fleet. It is immutable.
type View struct {
	Config  *config.Accepted
	Members []fleet.Instance
	// Suspects are the contents of requests that were in flight when an engine crashed.
	Suspects []wire.Suspect
	// Suspected are members whose last heartbeat exchange with this process
	// failed. That lowers preference only: silence is not death.
	Suspected map[fleet.InstanceID]bool
}

// Node owns the shared duties of one process.
type Node struct {
	settings settings.Node
	logger   log.Logger
	start    time.Time
	peers    *wire.Client
	// control and platform carry the control messages and count their bytes.
	control  *wire.Client
	platform *http.Client
	traffic  traffic
	metrics  *metrics.Set

	// inbox and notices lead to the gossip duty. The notices come from roles,
	// which must never wait for the node.
	inbox   *ring.Ring[gossipEvent]
	notices *ring.Ring[gossipEvent]
	// documents and conflicts lead to the configuration duty.
	documents *ring.Ring[document]
	conflicts *ring.Ring[conflict]
	// exchanges and fetches lead to the senders and the fetchers.
	exchanges *ring.Ring[exchange]
	fetches   *ring.Ring[fetch]
	// watches, listings and reads lead to the readers of the platform.
	watches  *ring.Ring[bool]
	listings *ring.Ring[bool]
	reads    *ring.Ring[struct{}]
	events   *ring.Ring[timelineMessage]
	views    []*ring.Ring[View]
}

// New returns a node; Start begins its duties.
func New(s settings.Node, logger log.Logger) *Node {
	n := &Node{
		settings:  s,
		logger:    logger,
		start:     time.Now(),
		metrics:   metrics.NewSet(),
		peers:     &wire.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, Keys: s.PeerKeys},
		inbox:     ring.New[gossipEvent](messageRing, ring.Wait),
		notices:   ring.New[gossipEvent](messageRing, ring.DropOldest),
		documents: ring.New[document](documentRing, ring.Wait),
		conflicts: ring.New[conflict](messageRing, ring.DropOldest),
		exchanges: ring.New[exchange](exchangeRing, ring.Refuse),
		fetches:   ring.New[fetch](fetchers, ring.Refuse),
		watches:   ring.New[bool](1, ring.DropOldest),
		listings:  ring.New[bool](1, ring.DropOldest),
		reads:     ring.New[struct{}](1, ring.DropOldest),
		events:    ring.New[timelineMessage](messageRing, ring.DropOldest),
	}
	n.control = &wire.Client{HTTP: n.traffic.peers.client(requestTimeout), Keys: s.PeerKeys}
	n.platform = n.traffic.platform.client(0)
	return n
}

// SetServing publishes to the other processes which root this agent serves and
// whether its engine is changing versions.
func (n *Node) SetServing(root fleet.Digest, switching bool) {
	n.notify(servingChanged{root: root, switching: switching})
}

// Leave publishes to the other processes that this one is going to stop. It
// returns when the first members were told or after a second.
func (n *Node) Leave() {
	n.Record(timeline.Event{Kind: timeline.ProcessLeaving})
	told := ring.New[struct{}](1, ring.Refuse)
	n.notify(leaving{told: told})
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	_, _ = told.Take(ctx)
}

// ReportCrash publishes the fingerprints of the requests that were in flight
// when this agent's engine crashed.
func (n *Node) ReportCrash(fingerprints []string) {
	if len(fingerprints) > 0 {
		n.notify(crashed{fingerprints: fingerprints})
	}
}

// ReportSuccess withdraws suspicion from a fingerprint whose request completed.
func (n *Node) ReportSuccess(fingerprint string) { n.notify(succeeded{fingerprint: fingerprint}) }

// Heard takes in the configuration stamp that a process at an address decided
// by. If it is greater than the adopted one, the document is fetched there.
func (n *Node) Heard(address string, s config.Stamp) {
	if !s.IsZero() {
		n.notify(heard{address: address, stamp: s})
	}
}

// notify never blocks; when the ring is full the oldest notice is discarded.
func (n *Node) notify(e gossipEvent) { _ = n.notices.Put(context.Background(), e) }

// Self returns the process's own record.
func (n *Node) Self() fleet.Instance { return n.settings.Self }

// Peers returns the client for requests to other processes.
func (n *Node) Peers() *wire.Client { return n.peers }

// Logger returns the process's logger.
func (n *Node) Logger() log.Logger { return n.logger }

// Subscribe returns a ring that holds the newest view. It must be called
// before Start.
func (n *Node) Subscribe() *ring.Ring[View] {
	r := ring.New[View](1, ring.DropOldest)
	n.views = append(n.views, r)
	return r
}

// Start begins the duties of the node in a group.
func (n *Node) Start(g *duty.Group) {
	g.Go("timeline", n.runTimeline)
	g.Go("configuration", n.runConfiguration)
	g.Go("gossip", n.runGossip)
	for range senders {
		g.Go("heartbeat sender", n.runSender)
	}
	for range fetchers {
		g.Go("configuration fetcher", n.runFetcher)
	}
	g.Go("configuration watch", n.runWatch)
	g.Go("instance list", n.runList)
	n.Record(timeline.Event{Kind: timeline.ProcessStarted, Detail: string(n.settings.Self.Role)})
}

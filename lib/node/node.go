// Package node runs the duties that entry and agent share: adoption of the
// configuration, membership, gossip with other processes and the time line.
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
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/sock"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// messageRingSize is the capacity of the message rings between the node's
	// duties.
	messageRingSize = 256
	// documentRingSize limits the documents, of up to 1 MB each, that wait for
	// validation.
	documentRingSize = 8
	// exchangeRingSize limits the heartbeats that wait for a sender.
	exchangeRingSize = 32
	// senderCount limits the heartbeats in flight. It exceeds the number of
	// members that a new configuration is pushed to, since some of them may not
	// answer.
	senderCount = 8
	// fetcherCount limits the concurrent fetches of documents from peers. With
	// two, one continues when a peer stalls in the middle of a response.
	fetcherCount = 2
	// eventLogSize is the number of events that a process keeps.
	eventLogSize = 4096
	// requestTimeout limits short requests to the platform and to peers.
	requestTimeout = 2 * time.Second
	// retryDelay is the minimum delay before a failed read of the platform is
	// retried; jitter extends it up to twice as long.
	retryDelay = 500 * time.Millisecond
	// leaveTimeout limits how long Leave waits until another member knows.
	leaveTimeout = time.Second
	// idleConnections limits the idle connections to members. Members are
	// chosen at random, so few connections are reused.
	idleConnections = 32
	// idleTimeout is how long an unused connection to a member stays open.
	idleTimeout = 15 * time.Second
)

// View is a snapshot of the fleet as this process knows it. It is immutable.
type View struct {
	Config  *config.Accepted
	Members []fleet.Instance
	// Crashes is the evidence about crashes of upstreams.
	Crashes []poison.Report
	// Suspected are the members whose last heartbeat exchange with this process
	// failed. It only lowers their preference: a failed exchange does not prove
	// that a member is down.
	Suspected map[fleet.InstanceID]bool
}

// Node owns the shared duties of one process.
type Node struct {
	settings  settings.Node
	logger    log.Logger
	startTime time.Time
	peers     *wire.Client
	// control and platform send the control messages and count their bytes.
	control  *wire.Client
	platform *http.Client
	traffic  traffic
	metrics  *metrics.Set

	// inbox and notices feed the gossip duty. Notices come from the process's
	// role, which must never wait for the node.
	inbox   *ring.Ring[gossipEvent]
	notices *ring.Ring[gossipEvent]
	// documents and conflicts feed the configuration duty.
	documents *ring.Ring[document]
	conflicts *ring.Ring[conflict]
	// exchanges and fetches feed the senders and the fetchers.
	exchanges *ring.Ring[exchange]
	fetches   *ring.Ring[fetch]
	// watchSwitch, listSwitch and readRequests control the readers of the
	// platform.
	watchSwitch  *ring.Ring[bool]
	listSwitch   *ring.Ring[bool]
	readRequests *ring.Ring[struct{}]
	events       *ring.Ring[timelineMessage]
	views        []*ring.Ring[View]
}

// New returns a node; Start starts its duties.
func New(s settings.Node, logger log.Logger) *Node {
	n := &Node{
		settings:  s,
		logger:    logger,
		startTime: time.Now(),
		metrics:   metrics.NewSet(),
		peers: &wire.Client{HTTP: &http.Client{Transport: relay.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: sock.MaxHeadBytes,
		})}, Keys: s.PeerKeys},
		inbox:        ring.New[gossipEvent](messageRingSize, ring.Wait),
		notices:      ring.New[gossipEvent](messageRingSize, ring.DropOldest),
		documents:    ring.New[document](documentRingSize, ring.Wait),
		conflicts:    ring.New[conflict](messageRingSize, ring.DropOldest),
		exchanges:    ring.New[exchange](exchangeRingSize, ring.Refuse),
		fetches:      ring.New[fetch](fetcherCount, ring.Refuse),
		watchSwitch:  ring.New[bool](1, ring.DropOldest),
		listSwitch:   ring.New[bool](1, ring.DropOldest),
		readRequests: ring.New[struct{}](1, ring.DropOldest),
		events:       ring.New[timelineMessage](messageRingSize, ring.DropOldest),
	}
	n.control = &wire.Client{HTTP: n.traffic.peers.client(requestTimeout), Keys: s.PeerKeys}
	n.platform = n.traffic.platform.client(0)
	return n
}

// SetServing announces which root this agent serves and whether its engine is
// switching versions.
func (n *Node) SetServing(root fleet.Digest, switching bool) {
	n.notify(servingChanged{root: root, switching: switching})
}

// Leave announces that this process is about to stop. It returns when another
// member knows or after leaveTimeout.
func (n *Node) Leave() {
	n.Record(timeline.Event{Kind: timeline.ProcessLeaving})
	announced := ring.New[struct{}](1, ring.Refuse)
	n.notify(leaving{announced: announced})
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, _ = announced.Take(ctx)
}

// ObserveStamp handles the configuration stamp that the process at an address
// uses. If it is greater than the accepted one, the document is fetched from
// there.
func (n *Node) ObserveStamp(address string, s config.Stamp) {
	if !s.IsZero() {
		n.notify(stampObserved{address: address, stamp: s})
	}
}

// notify never blocks; if the ring is full, the oldest notice is dropped.
func (n *Node) notify(e gossipEvent) { _ = n.notices.Put(context.Background(), e) }

// Self returns the process's own record.
func (n *Node) Self() fleet.Instance { return n.settings.Self }

// Peers returns the client for requests to other processes.
func (n *Node) Peers() *wire.Client { return n.peers }

// Logger returns the process's logger.
func (n *Node) Logger() log.Logger { return n.logger }

// Subscribe returns a ring that holds the latest view. It must be called before
// Start.
func (n *Node) Subscribe() *ring.Ring[View] {
	r := ring.New[View](1, ring.DropOldest)
	n.views = append(n.views, r)
	return r
}

// Start starts the duties of the node in a group.
func (n *Node) Start(g *duty.Group) {
	g.Go("timeline", n.runTimeline)
	g.Go("configuration", n.runConfiguration)
	g.Go("gossip", n.runGossip)
	for range senderCount {
		g.Go("heartbeat sender", n.runSender)
	}
	for range fetcherCount {
		g.Go("configuration fetcher", n.runFetcher)
	}
	g.Go("configuration watch", n.runWatch)
	g.Go("instance list", n.runList)
	n.Record(timeline.Event{Kind: timeline.ProcessStarted, Detail: string(n.settings.Self.Role)})
}

// Package node runs the duties that entry and agent share: the adopted
// configuration, the members, and the time line.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/platform"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/settings"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// messageRing is the capacity of the rings between the node's duties.
	messageRing = 256
	// eventLog is the number of events that a process keeps.
	eventLog = 4096
	// requestTimeout bounds short requests to the platform and to peers.
	requestTimeout = 2 * time.Second
	// retryDelay is the time between two tries of a service that failed.
	retryDelay = 500 * time.Millisecond
)

// View is what a process knows of the fleet. It is immutable.
type View struct {
	Config  *config.Accepted
	Members []fleet.Instance
	// Suspects are the contents of requests that were in flight when an engine crashed.
	Suspects []wire.Suspect
}

// Node owns the shared duties of one process.
type Node struct {
	settings settings.Node
	logger   log.Logger
	http     *http.Client
	peers    *wire.Client

	published *ring.Ring[[]byte]
	lists     *ring.Ring[platform.InstanceList]
	events    *ring.Ring[timelineMessage]
	views     []*ring.Ring[View]
}

// New returns a node; Start begins its duties.
func New(s settings.Node, logger log.Logger) *Node {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	return &Node{
		settings:  s,
		logger:    logger,
		http:      client,
		peers:     &wire.Client{HTTP: client, Keys: s.PeerKeys},
		published: ring.New[[]byte](messageRing, ring.Wait),
		lists:     ring.New[platform.InstanceList](1, ring.DropOldest),
		events:    ring.New[timelineMessage](messageRing, ring.DropOldest),
	}
}

// PeerHandler serves the paths under /peer/ that belong to the node's duties.
func (n *Node) PeerHandler() http.Handler { return http.NotFoundHandler() }

// SetServing publishes to the other processes which root this agent serves and
// whether its engine is changing versions.
func (n *Node) SetServing(fleet.Digest, bool) {}

// Leave publishes to the other processes that this one is going to stop.
func (n *Node) Leave() {
	n.Record(timeline.Event{Kind: timeline.ProcessLeaving})
}

// ReportCrash publishes the fingerprints of the requests that were in flight
// when this agent's engine crashed.
func (n *Node) ReportCrash([]string) {}

// ReportSuccess withdraws suspicion from a fingerprint whose request completed.
func (n *Node) ReportSuccess(string) {}

// Heard takes in the configuration stamp that a process at an address decided
// by. If it is greater than the adopted one, the document is fetched there.
func (n *Node) Heard(string, config.Stamp) {}

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
	g.Go("configuration", n.runView)
	g.Go("configuration watch", n.runWatch)
	g.Go("instance list", n.runList)
	n.Record(timeline.Event{Kind: timeline.ProcessStarted, Detail: string(n.settings.Self.Role)})
}

// runView owns the adopted configuration and the member table.
func (n *Node) runView(ctx context.Context) error {
	table := gossip.NewTable(n.settings.Self)
	var adopted *config.Accepted
	for {
		select {
		case data := <-n.published.Out():
			next := n.accept(adopted, data)
			if next == adopted {
				continue
			}
			adopted = next
		case list := <-n.lists.Out():
			table.SetList(list.Instances)
		case <-ctx.Done():
			return nil
		}
		n.publishView(ctx, View{Config: adopted, Members: table.Members()})
	}
}

func (n *Node) publishView(ctx context.Context, v View) {
	if v.Config == nil {
		return
	}
	for _, r := range n.views {
		_ = r.Put(ctx, v)
	}
}

// accept returns the greater of the adopted document and a published one.
func (n *Node) accept(adopted *config.Accepted, data []byte) *config.Accepted {
	next, err := config.Accept(data)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "published configuration rejected", "err", err)
		n.Record(timeline.Event{Kind: timeline.ConfigRejected, Detail: err.Error()})
		return adopted
	}
	if adopted != nil && next.Stamp.Compare(adopted.Stamp) <= 0 {
		return adopted
	}
	_ = level.Info(n.logger).Log("msg", "configuration adopted", "generation", next.Generation)
	n.Record(timeline.Event{Kind: timeline.ConfigAdopted, Generation: next.Generation})
	return next
}

func (n *Node) runWatch(ctx context.Context) error {
	service := platform.NewConfigService(n.settings.ConfigURL, n.settings.ConfigKey, n.http)
	var index uint64
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, n.settings.WatchWait+requestTimeout)
		value, err := service.Read(limited, index, n.settings.WatchWait)
		cancel()
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "configuration service did not answer", "err", err)
			sleep(ctx, retryDelay)
			continue
		}
		if value.Index == index {
			continue
		}
		index = value.Index
		if n.published.Put(ctx, value.Bytes) != nil {
			return nil
		}
	}
	return nil
}

func (n *Node) runList(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, requestTimeout)
		list, err := platform.ReadInstances(limited, n.http, n.settings.InstancesURL)
		cancel()
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "instance list did not answer", "err", err)
		} else {
			_ = n.lists.Put(ctx, list)
		}
		sleep(ctx, n.settings.ListEvery)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

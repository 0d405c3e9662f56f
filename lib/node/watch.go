package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
)

const (
	// logEvery bounds how often the same failure of the platform is logged.
	logEvery = 30 * time.Second
	// listBytesPerSecond bounds what a watcher spends on reading the instance
	// list, which is about 1 MB at the expected size.
	listBytesPerSecond = 6000
	// watchBytesPerSecond bounds what a watcher spends on watches that end
	// without a change, up to the longest watch.
	watchBytesPerSecond = 4000
	longestWatch        = time.Minute
	// joinTries is the number of peers that are asked for the member table
	// before the list is read again.
	joinTries = 3
)

// outage logs a failing service at once and then at most every logEvery.
type outage struct {
	node   *Node
	text   string
	logged time.Time
	down   bool
}

func (o *outage) failed(now time.Time, err error) {
	o.down = true
	if o.logged.IsZero() || now.Sub(o.logged) >= logEvery {
		o.logged = now
		_ = level.Warn(o.node.logger).Log("msg", o.text+" could not be read", "err", err)
	}
}

// invalid logs records of the instance list that were left out.
func (o *outage) invalid(problems []error) {
	if now := time.Now(); now.Sub(o.logged) >= logEvery {
		o.logged = now
		_ = level.Warn(o.node.logger).Log("msg", "records of the instance list were left out",
			"count", len(problems), "first", problems[0])
	}
}

func (o *outage) answered() {
	if o.down {
		o.down = false
		o.logged = time.Time{}
		_ = level.Info(o.node.logger).Log("msg", o.text+" can be read again")
	}
}

// watcher reads the configuration service.
type watcher struct {
	node    *Node
	service *confservice.ConfigService
	index   uint64
	// size is the length of the last value.
	size   int
	outage outage
}

// wait returns how long the next watch lasts without a change. The service
// sends the whole value at the end of a watch also if nothing changed, so
// watches of a large document are longer.
func (w *watcher) wait() time.Duration {
	byRate := min(time.Duration(w.size)*time.Second/watchBytesPerSecond, longestWatch)
	return jitter(max(w.node.settings.WatchWait, byRate))
}

// runWatch reads the service once at the start, then watches it while the
// gossip core says so, and reads it once for each Read action.
func (n *Node) runWatch(ctx context.Context) error {
	w := &watcher{
		node:    n,
		service: confservice.NewConfigService(n.settings.ConfigURL, n.settings.ConfigKey, n.platform),
		outage:  outage{node: n, text: "configuration service"},
	}
	_ = w.read(ctx, 0)
	on := false
	for ctx.Err() == nil {
		if on {
			on = w.watch(ctx)
			continue
		}
		select {
		case on = <-n.watches.Out():
		case <-n.reads.Out():
			_ = w.read(ctx, 0)
		case <-ctx.Done():
		}
	}
	return nil
}

// watch waits for one change and reports whether watching goes on.
func (w *watcher) watch(ctx context.Context) bool {
	if w.read(ctx, w.index) != nil {
		w.index = 0
		_ = duty.Sleep(ctx, jitter(2*retryDelay))
	}
	select {
	case on := <-w.node.watches.Out():
		return on
	default:
		return true
	}
}

// read reads the service; with an index it waits for a change.
func (w *watcher) read(ctx context.Context, index uint64) error {
	wait := w.wait()
	limited, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	value, err := w.service.Read(limited, index, wait)
	if err != nil {
		w.outage.failed(time.Now(), err)
		return err
	}
	w.outage.answered()
	w.size = len(value.Bytes)
	_ = w.node.inbox.Put(ctx, serviceRead{})
	if value.Index != index {
		w.index = value.Index
		_ = w.node.documents.Put(ctx, document{bytes: value.Bytes})
	}
	return nil
}

// runList joins the fleet at the start and then reads the instance list while
// this process is a watcher.
func (n *Node) runList(ctx context.Context) error {
	service := confservice.NewInstanceService(n.settings.InstancesURL, n.platform)
	o := &outage{node: n, text: "instance list"}
	n.join(ctx, service, o)
	on := false
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if on {
			_, size, err := n.readList(ctx, service, o)
			pause = n.settings.ListInterval + time.Duration(size)*time.Second/listBytesPerSecond
			if err != nil {
				pause = n.settings.ListInterval + jitter(2*retryDelay)
			}
		}
		on = n.awaitListing(ctx, on, pause)
	}
	return nil
}

// awaitListing waits for the next reading or, while not watching, for a command.
func (n *Node) awaitListing(ctx context.Context, on bool, pause time.Duration) bool {
	var due <-chan time.Time
	if on {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case on = <-n.listings.Out():
	case <-due:
	case <-ctx.Done():
	}
	return on
}

func (n *Node) readList(ctx context.Context, s *confservice.InstanceService, o *outage) (confservice.InstanceList, int, error) {
	limited, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list, size, err := s.Read(limited)
	if err != nil {
		o.failed(time.Now(), err)
		return list, size, err
	}
	o.answered()
	if len(list.Invalid) > 0 {
		o.invalid(list.Invalid)
	}
	_ = n.inbox.Put(ctx, listRead{list: list})
	return list, size, nil
}

// join reads the instance list and the member table of a peer. It keeps trying
// until the list was read and a peer answered or none is listed.
func (n *Node) join(ctx context.Context, s *confservice.InstanceService, o *outage) {
	for ctx.Err() == nil {
		list, _, err := n.readList(ctx, s, o)
		if err == nil && n.joinPeers(ctx, list.Instances) {
			return
		}
		_ = duty.Sleep(ctx, jitter(2*retryDelay))
	}
}

// joinPeers asks some peers in random order and reports whether one answered
// or there is none.
func (n *Node) joinPeers(ctx context.Context, list []fleet.Instance) bool {
	peers := make([]fleet.Instance, 0, len(list))
	for _, i := range list {
		if i.ID != n.settings.Self.ID {
			peers = append(peers, i)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), joinTries)] {
		if n.joinPeer(ctx, p) {
			return true
		}
	}
	return len(peers) == 0
}

func (n *Node) joinPeer(ctx context.Context, p fleet.Instance) bool {
	limited, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := n.control.Get(limited, p.Address, wire.PathMembers, wire.MaxMessageBytes)
	if err != nil {
		return false
	}
	table, clock, err := wire.DecodeTable(data)
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "member table of a peer is not valid", "peer", p.ID, "err", err)
		return false
	}
	n.Observe(clock)
	return n.inbox.Put(ctx, answered{heartbeat: table, joined: true}) == nil
}

// jitter returns a duration between half of d and d, so that processes that
// started or failed together don't stay in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/zeebo/blake3"

	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
)

const (
	// outageLogInterval is the minimum time between logs of the same failure.
	outageLogInterval = 30 * time.Second
	// listBytesPerSecond limits the rate at which a watcher reads the instance
	// list, which is about 1 MB at the expected size.
	listBytesPerSecond = 6000
	// watchBytesPerSecond limits the bytes that a watcher receives from watches
	// without a change: watches of a large document last longer, up to
	// maxWatchDuration.
	watchBytesPerSecond = 4000
	maxWatchDuration    = time.Minute
	// maxJoinPeers is the number of peers queried for the member table before
	// the list is read again.
	maxJoinPeers = 3
)

// outage logs a failing service immediately and then at most once per
// outageLogInterval.
type outage struct {
	node     *Node
	service  string
	loggedAt time.Time
	down     bool
}

func (o *outage) recordFailure(now time.Time, err error) {
	o.down = true
	if o.loggedAt.IsZero() || now.Sub(o.loggedAt) >= outageLogInterval {
		o.loggedAt = now
		_ = level.Warn(o.node.logger).Log("msg", o.service+" could not be read", "err", err)
	}
}

// recordInvalid logs invalid records of the instance list, which are ignored.
func (o *outage) recordInvalid(problems []error) {
	if now := time.Now(); now.Sub(o.loggedAt) >= outageLogInterval {
		o.loggedAt = now
		_ = level.Warn(o.node.logger).Log("msg", "invalid records of the instance list ignored",
			"count", len(problems), "first", problems[0])
	}
}

func (o *outage) recordSuccess() {
	if o.down {
		o.down = false
		o.loggedAt = time.Time{}
		_ = level.Info(o.node.logger).Log("msg", o.service+" can be read again")
	}
}

// watcher reads the configuration service.
type watcher struct {
	node    *Node
	service *confservice.ConfigService
	index   uint64
	// digest is that of the last value. After a restore, the service may give out an
	// index again for another value.
	digest [32]byte
	// size is the length of the last value, in bytes.
	size   int
	outage outage
}

// watchDuration returns how long the next watch waits for a change. A watch
// that ends without a change still returns the whole value, so watches of a
// large document are longer.
func (w *watcher) watchDuration() time.Duration {
	byRate := min(time.Duration(w.size)*time.Second/watchBytesPerSecond, maxWatchDuration)
	return jitter(max(w.node.settings.WatchWait, byRate))
}

// runWatch reads the service once at start. It then watches the service while
// the gossip core requests it, and otherwise reads it once per Read action.
func (n *Node) runWatch(ctx context.Context) error {
	w := &watcher{
		node:    n,
		service: confservice.NewConfigService(n.settings.ConfigURL, n.settings.ConfigKey, n.platform),
		outage:  outage{node: n, service: "configuration service"},
	}
	_ = w.read(ctx, 0)
	watching := false
	for ctx.Err() == nil {
		if watching {
			watching = w.watch(ctx)
			continue
		}
		select {
		case watching = <-n.watchSwitch.Out():
		case <-n.readRequests.Out():
			_ = w.read(ctx, 0)
		case <-ctx.Done():
		}
	}
	return nil
}

// watch performs one watch and reports whether to continue watching.
func (w *watcher) watch(ctx context.Context) bool {
	if w.read(ctx, w.index) != nil {
		w.index = 0
		_ = duty.Sleep(ctx, jitter(2*retryDelay))
	}
	select {
	case on := <-w.node.watchSwitch.Out():
		return on
	default:
		return true
	}
}

// read reads the service. With a non-zero index it waits for a change, at most
// for watchDuration.
func (w *watcher) read(ctx context.Context, index uint64) error {
	duration := w.watchDuration()
	timeoutCtx, cancel := context.WithTimeout(ctx, duration+requestTimeout)
	defer cancel()
	value, err := w.service.Read(timeoutCtx, index, duration)
	if err != nil {
		w.outage.recordFailure(time.Now(), err)
		return err
	}
	w.outage.recordSuccess()
	w.size = len(value.Bytes)
	_ = w.node.inbox.Put(ctx, serviceRead{})
	digest := blake3.Sum256(value.Bytes)
	if value.Index != index || digest != w.digest {
		w.index, w.digest = value.Index, digest
		_ = w.node.documents.Put(ctx, document{bytes: value.Bytes})
	}
	return nil
}

// runList joins the fleet at start and then reads the instance list while this
// process is a watcher.
func (n *Node) runList(ctx context.Context) error {
	service := confservice.NewInstanceService(n.settings.InstancesURL, n.platform)
	o := &outage{node: n, service: "instance list"}
	n.join(ctx, service, o)
	reading := false
	for ctx.Err() == nil {
		interval := time.Duration(0)
		if reading {
			_, size, err := n.readList(ctx, service, o)
			interval = n.settings.ListInterval + time.Duration(size)*time.Second/listBytesPerSecond
			if err != nil {
				interval = n.settings.ListInterval + jitter(2*retryDelay)
			}
		}
		reading = n.awaitNextRead(ctx, reading, interval)
	}
	return nil
}

// awaitNextRead waits until the next read is due or reading is switched on or
// off. It reports whether reading is on.
func (n *Node) awaitNextRead(ctx context.Context, reading bool, interval time.Duration) bool {
	var timerC <-chan time.Time
	if reading {
		timer := time.NewTimer(interval)
		defer timer.Stop()
		timerC = timer.C
	}
	select {
	case reading = <-n.listSwitch.Out():
	case <-timerC:
	case <-ctx.Done():
	}
	return reading
}

func (n *Node) readList(ctx context.Context, s *confservice.InstanceService, o *outage) (confservice.InstanceList, int, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list, size, err := s.Read(timeoutCtx)
	if err != nil {
		o.recordFailure(time.Now(), err)
		return list, size, err
	}
	o.recordSuccess()
	if len(list.Invalid) > 0 {
		o.recordInvalid(list.Invalid)
	}
	_ = n.inbox.Put(ctx, listRead{list: list})
	return list, size, nil
}

// join reads the instance list and the member table of a peer. It retries until
// the list was read and a peer has answered or none is listed.
func (n *Node) join(ctx context.Context, s *confservice.InstanceService, o *outage) {
	for ctx.Err() == nil {
		list, _, err := n.readList(ctx, s, o)
		if err == nil && n.joinPeers(ctx, list.Instances) {
			return
		}
		_ = duty.Sleep(ctx, jitter(2*retryDelay))
	}
}

// joinPeers queries several peers in random order and reports whether one
// answered or there is none.
func (n *Node) joinPeers(ctx context.Context, list []fleet.Instance) bool {
	peers := make([]fleet.Instance, 0, len(list))
	for _, i := range list {
		if i.ID != n.settings.Self.ID {
			peers = append(peers, i)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), maxJoinPeers)] {
		if n.joinPeer(ctx, p) {
			return true
		}
	}
	return len(peers) == 0
}

func (n *Node) joinPeer(ctx context.Context, p fleet.Instance) bool {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, err := n.control.Get(timeoutCtx, p.Address, wire.PathMembers, wire.MaxMessageBytes)
	if err != nil {
		return false
	}
	table, clock, err := wire.DecodeTable(data)
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "member table of a peer is invalid", "peer", p.ID, "err", err)
		return false
	}
	n.ObserveClock(clock)
	return n.inbox.Put(ctx, heartbeatAnswered{heartbeat: table, fullTable: true}) == nil
}

// jitter returns a random duration between d/2 and d, so that processes that
// started or failed together do not stay synchronized.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

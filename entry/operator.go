package entry

import (
	"context"
	"time"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/operator"
)

// snapshotTimeout is the maximum time for collecting a snapshot.
const snapshotTimeout = 2 * time.Second

// snapshotSource provides snapshots to the operator page. Its run method is the
// duty that holds the newest view.
type snapshotSource struct {
	node    *node.Node
	views   *ring.Ring[node.View]
	queries *ring.Ring[*ring.Ring[node.View]]
}

func newSnapshotSource(n *node.Node) *snapshotSource {
	return &snapshotSource{
		node:    n,
		views:   n.Subscribe(),
		queries: ring.New[*ring.Ring[node.View]](16, ring.Refuse),
	}
}

func (s *snapshotSource) run(ctx context.Context) error {
	var view node.View
	for {
		select {
		case view = <-s.views.Out():
		case reply := <-s.queries.Out():
			_ = reply.Put(ctx, view)
		case <-ctx.Done():
			return nil
		}
	}
}

// Snapshot implements operator.Source. It returns an error if too many queries are
// pending or the duties do not reply within snapshotTimeout.
func (s *snapshotSource) Snapshot(ctx context.Context) (operator.Snapshot, error) {
	queryCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply := ring.New[node.View](1, ring.Refuse)
	if err := s.queries.Put(queryCtx, reply); err != nil {
		return operator.Snapshot{}, err
	}
	view, err := reply.Take(queryCtx)
	if err != nil {
		return operator.Snapshot{}, err
	}
	events, err := s.node.Events(queryCtx)
	return operator.Snapshot{
		Self: s.node.Self(), Config: view.Config, Members: view.Members, Events: events,
	}, err
}

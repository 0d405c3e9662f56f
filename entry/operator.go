package entry

import (
	"context"
	"time"

	"rattanspur.example/lib/node"
	"rattanspur.example/lib/ring"
	"rattanspur.example/operator"
)

// snapshotTimeout bounds a question of the operator page to the process.
const snapshotTimeout = 2 * time.Second

// snapshots is the duty that keeps the newest view for the operator page.
type snapshots struct {
	node      *node.Node
	views     *ring.Ring[node.View]
	questions *ring.Ring[*ring.Ring[node.View]]
}

func newSnapshots(n *node.Node) *snapshots {
	return &snapshots{
		node:      n,
		views:     n.Subscribe(),
		questions: ring.New[*ring.Ring[node.View]](16, ring.Refuse),
	}
}

func (s *snapshots) run(ctx context.Context) error {
	var view node.View
	for {
		select {
		case view = <-s.views.Out():
		case answer := <-s.questions.Out():
			_ = answer.Put(ctx, view)
		case <-ctx.Done():
			return nil
		}
	}
}

// Snapshot implements operator.Source.
func (s *snapshots) Snapshot(ctx context.Context) (operator.Snapshot, error) {
	limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	answer := ring.New[node.View](1, ring.Refuse)
	if err := s.questions.Put(limited, answer); err != nil {
		return operator.Snapshot{}, err
	}
	view, err := answer.Take(limited)
	if err != nil {
		return operator.Snapshot{}, err
	}
	events, err := s.node.Events(limited)
	return operator.Snapshot{
		Self: s.node.Self(), Config: view.Config, Members: view.Members, Events: events,
	}, err
}

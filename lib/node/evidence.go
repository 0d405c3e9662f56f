package node

import (
	"time"

	"rattanspur.example/lib/poison"
)

// Evidence is the evidence about requests that crash upstreams in one duty of a
// process, with what that duty observes itself. Each duty holds its own, so that its
// decisions wait for no other duty. It is not safe for concurrent use.
type Evidence struct {
	*poison.Detector
	node *Node
	// shared is the revision of the evidence that the node knows.
	shared uint64
}

// NewEvidence returns empty evidence of a duty of the node's process.
func NewEvidence(n *Node) *Evidence {
	return &Evidence{Detector: poison.New(string(n.settings.Self.ID)), node: n}
}

// Apply adds the evidence of a view. Share must have been called after the last
// event that the duty observed.
func (e *Evidence) Apply(now time.Time, v View) {
	e.Merge(now, v.Crashes)
	e.shared = e.Revision()
}

// Share passes the evidence on to the other processes if the duty observed something
// new. All of it is passed on, since a notice may be dropped when the ring is full.
func (e *Evidence) Share(now time.Time) {
	if e.Revision() == e.shared {
		return
	}
	e.shared = e.Revision()
	e.node.notify(crashesShared{reports: e.All(now)})
}

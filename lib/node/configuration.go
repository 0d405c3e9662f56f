package node

import (
	"bytes"
	"compress/gzip"
	"context"

	"github.com/go-kit/log/level"
	"github.com/zeebo/blake3"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
)

const (
	// maxReportedCauses limits the causes remembered as reported.
	maxReportedCauses = 64
	// maxDetail limits the detail of an event, in bytes.
	maxDetail = 512
)

// document is a published document from the configuration service or from a
// peer.
type document struct {
	bytes []byte
	// stamp is the one that the peer announced; zero for a document from the
	// service.
	stamp   config.Stamp
	address string
}

// conflict is a pair of different stamps with the same generation.
type conflict struct{ accepted, observed config.Stamp }

// acceptor validates documents and owns the greatest accepted configuration.
type acceptor struct {
	node     *Node
	accepted *config.Accepted
	// reported holds the causes already logged, so that repeated reads of the
	// same document are not logged again.
	reported map[string]bool
}

func (n *Node) runConfiguration(ctx context.Context) error {
	a := &acceptor{node: n, reported: map[string]bool{}}
	for {
		select {
		case d := <-n.documents.Out():
			a.handle(ctx, d)
		case c := <-n.conflicts.Out():
			a.reportConflict(c)
		case <-ctx.Done():
			return nil
		}
	}
}

// handle accepts a document if it is valid and greater than the accepted one.
func (a *acceptor) handle(ctx context.Context, d document) {
	if a.accepted != nil && bytes.Equal(d.bytes, a.accepted.Bytes) {
		return
	}
	next, err := config.Accept(d.bytes)
	if err == nil && !d.stamp.IsZero() && next.Stamp != d.stamp {
		_ = level.Warn(a.node.logger).Log("msg", "peer sent another document than it announced",
			"address", d.address, "generation", next.Generation)
		_ = a.node.inbox.Put(ctx, documentRejected{stamp: d.stamp})
		return
	}
	if err != nil {
		a.rejectDocument(ctx, d, err)
		return
	}
	if a.accepted != nil && next.Stamp.Compare(a.accepted.Stamp) <= 0 {
		a.reportOlder(next)
		return
	}
	if a.accepted != nil && next.Generation == a.accepted.Generation {
		a.reportConflict(conflict{accepted: a.accepted.Stamp, observed: next.Stamp})
	}
	a.accepted = next
	_ = a.node.inbox.Put(ctx, acceptedConfig{config: next, compressed: compress(next.Bytes)})
}

// rejectDocument records that an invalid document of a peer was rejected, so
// that it is not fetched again. It reports each invalid document once.
func (a *acceptor) rejectDocument(ctx context.Context, d document, err error) {
	if !d.stamp.IsZero() {
		_ = a.node.inbox.Put(ctx, documentRejected{stamp: d.stamp})
	}
	digest := fleet.Digest(blake3.Sum256(d.bytes))
	if !a.firstReport("rejected " + digest.String()) {
		return
	}
	_ = level.Error(a.node.logger).Log("msg", "published configuration rejected", "digest", digest, "err", err)
	detail := err.Error()
	a.node.Record(timeline.Event{Kind: timeline.ConfigRejected, Detail: detail[:min(len(detail), maxDetail)]})
}

// reportOlder reports a document whose stamp is not greater than the accepted
// one.
func (a *acceptor) reportOlder(next *config.Accepted) {
	if next.Generation == a.accepted.Generation {
		a.reportConflict(conflict{accepted: a.accepted.Stamp, observed: next.Stamp})
		return
	}
	if a.firstReport("older " + next.Stamp.Digest.String()) {
		_ = level.Warn(a.node.logger).Log("msg", "configuration service returned an older generation",
			"generation", next.Generation, "adopted", a.accepted.Generation)
	}
}

// reportConflict reports two documents of the same generation once.
func (a *acceptor) reportConflict(c conflict) {
	low, high := c.accepted.Digest, c.observed.Digest
	if c.accepted.Compare(c.observed) > 0 {
		low, high = high, low
	}
	if !a.firstReport("conflict " + low.String() + high.String()) {
		return
	}
	_ = level.Error(a.node.logger).Log("msg", "two contents were published with the same generation",
		"generation", c.observed.Generation, "in_force", high, "ignored", low)
	a.node.Record(timeline.Event{
		Kind: timeline.ConfigConflict, Generation: c.observed.Generation,
		Detail: "in force " + high.String() + ", ignored " + low.String(),
	})
}

// firstReport reports whether a cause is new, and remembers it.
func (a *acceptor) firstReport(cause string) bool {
	if a.reported[cause] {
		return false
	}
	if len(a.reported) >= maxReportedCauses {
		clear(a.reported)
	}
	a.reported[cause] = true
	return true
}

// compress compresses a document once for all processes that request it.
func compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

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
	// maxReported bounds the causes that are remembered as reported.
	maxReported = 64
	// maxDetail bounds the detail of an event.
	maxDetail = 512
)

// document is a published document from the service or from a peer.
type document struct {
	bytes []byte
	// stamp is what the peer at the address called it; zero from the service.
	stamp   config.Stamp
	address string
}

// conflict is a pair of stamps with the same generation.
type conflict struct{ held, heard config.Stamp }

// adopter owns the adopted configuration.
type adopter struct {
	node    *Node
	adopted *config.Accepted
	// reported holds the causes that were logged, so that repeated reads of
	// the same document say nothing new.
	reported map[string]bool
}

func (n *Node) runConfiguration(ctx context.Context) error {
	a := &adopter{node: n, reported: map[string]bool{}}
	for {
		select {
		case d := <-n.documents.Out():
			a.take(ctx, d)
		case c := <-n.conflicts.Out():
			a.conflict(c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *adopter) take(ctx context.Context, d document) {
	if a.adopted != nil && bytes.Equal(d.bytes, a.adopted.Bytes) {
		return
	}
	next, err := config.Accept(d.bytes)
	if err == nil && !d.stamp.IsZero() && next.Stamp != d.stamp {
		_ = level.Warn(a.node.logger).Log("msg", "peer sent another document than it announced",
			"address", d.address, "generation", next.Generation)
		_ = a.node.inbox.Put(ctx, refusedDocument{stamp: d.stamp})
		return
	}
	if err != nil {
		a.reject(ctx, d, err)
		return
	}
	if a.adopted != nil && next.Stamp.Compare(a.adopted.Stamp) <= 0 {
		a.older(next)
		return
	}
	if a.adopted != nil && next.Generation == a.adopted.Generation {
		a.conflict(conflict{held: a.adopted.Stamp, heard: next.Stamp})
	}
	a.adopted = next
	_ = a.node.inbox.Put(ctx, adopted{config: next, packed: pack(next.Bytes)})
}

func (a *adopter) reject(ctx context.Context, d document, err error) {
	if !d.stamp.IsZero() {
		_ = a.node.inbox.Put(ctx, refusedDocument{stamp: d.stamp})
	}
	digest := fleet.Digest(blake3.Sum256(d.bytes))
	if !a.first("rejected " + digest.String()) {
		return
	}
	_ = level.Error(a.node.logger).Log("msg", "published configuration rejected", "digest", digest, "err", err)
	detail := err.Error()
	a.node.Record(timeline.Event{Kind: timeline.ConfigRejected, Detail: detail[:min(len(detail), maxDetail)]})
}

// older reports a document that is below the adopted one.
func (a *adopter) older(next *config.Accepted) {
	if next.Generation == a.adopted.Generation {
		a.conflict(conflict{held: a.adopted.Stamp, heard: next.Stamp})
		return
	}
	if a.first("older " + next.Stamp.Digest.String()) {
		_ = level.Warn(a.node.logger).Log("msg", "configuration service answers an older generation",
			"generation", next.Generation, "adopted", a.adopted.Generation)
	}
}

func (a *adopter) conflict(c conflict) {
	low, high := c.held.Digest, c.heard.Digest
	if c.held.Compare(c.heard) > 0 {
		low, high = high, low
	}
	if !a.first("conflict " + low.String() + high.String()) {
		return
	}
	_ = level.Error(a.node.logger).Log("msg", "two contents were published with the same generation",
		"generation", c.heard.Generation, "in_force", high, "ignored", low)
	a.node.Record(timeline.Event{
		Kind: timeline.ConfigConflict, Generation: c.heard.Generation,
		Detail: "in force " + high.String() + ", ignored " + low.String(),
	})
}

// first reports whether a cause was not reported yet and remembers it.
func (a *adopter) first(cause string) bool {
	if a.reported[cause] {
		return false
	}
	if len(a.reported) >= maxReported {
		clear(a.reported)
	}
	a.reported[cause] = true
	return true
}

// pack compresses a document once for all processes that will ask for it.
func pack(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

package node

import (
	"context"
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/wire"
)

// documentTimeout limits the transfer of a document of up to 1 MB.
const documentTimeout = 10 * time.Second

// exchange is a heartbeat to send.
type exchange struct {
	to      fleet.Instance
	message gossip.Heartbeat
}

// fetch is a request for a document from a peer.
type fetch struct {
	address string
	stamp   config.Stamp
}

func (n *Node) runSender(ctx context.Context) error {
	for {
		e, err := n.exchanges.Take(ctx)
		if err != nil {
			return nil
		}
		if n.inbox.Put(ctx, n.send(ctx, e)) != nil {
			return nil
		}
	}
}

// send performs one exchange and returns its result.
func (n *Node) send(ctx context.Context, e exchange) gossipEvent {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	failed := exchangeFailed{id: e.to.ID}
	data, err := wire.EncodeHeartbeat(&e.message, n.Clock(timeoutCtx))
	if err != nil {
		return failed
	}
	body, err := n.control.Post(timeoutCtx, e.to.Address, wire.PathHeartbeat, data, wire.MaxHeartbeatBytes)
	if err != nil {
		return failed
	}
	answer, clock, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return failed
	}
	n.ObserveClock(clock)
	return heartbeatAnswered{heartbeat: answer}
}

func (n *Node) runFetcher(ctx context.Context) error {
	for {
		f, err := n.fetches.Take(ctx)
		if err != nil {
			return nil
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, documentTimeout)
		data, err := n.control.Get(timeoutCtx, f.address, wire.PathConfig+f.stamp.Digest.String(), config.MaxDocumentBytes)
		cancel()
		if err != nil {
			_ = n.inbox.Put(ctx, fetchFailed{stamp: f.stamp})
			continue
		}
		_ = n.documents.Put(ctx, document{bytes: data, stamp: f.stamp, address: f.address})
	}
}

package node

import (
	"context"
	"io"
	"net/http"
	"strings"

	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// PeerHandler serves the node's paths under /peer/. It requires the peer key.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathHeartbeat, n.serveHeartbeat)
	mux.HandleFunc("GET "+wire.PathConfig+"{digest}", n.serveConfig)
	mux.HandleFunc("GET "+wire.PathMembers, n.serveMembers)
	return wire.Keys(n.settings.PeerKeys).Require(mux)
}

func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, "heartbeat could not be read", http.StatusBadRequest)
		return
	}
	heartbeat, clock, err := wire.DecodeHeartbeat(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.ObserveClock(clock)
	n.answerHeartbeat(w, r, func(answer *ring.Ring[gossip.Heartbeat]) gossipEvent {
		return heartbeatReceived{heartbeat: heartbeat, answer: answer}
	})
}

func (n *Node) serveMembers(w http.ResponseWriter, r *http.Request) {
	n.answerHeartbeat(w, r, func(answer *ring.Ring[gossip.Heartbeat]) gossipEvent {
		return tableQuery{answer: answer}
	})
}

func (n *Node) answerHeartbeat(
	w http.ResponseWriter, r *http.Request, event func(*ring.Ring[gossip.Heartbeat]) gossipEvent,
) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	h, err := query(ctx, n, event)
	if err != nil {
		http.Error(w, "gossip duty does not answer", http.StatusServiceUnavailable)
		return
	}
	data, err := wire.EncodeHeartbeat(&h, n.Clock(ctx))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// serveConfig sends the published bytes unchanged, so that their digest
// matches.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	accepted, err := query(ctx, n, func(answer *ring.Ring[acceptedConfig]) gossipEvent { return documentQuery{answer: answer} })
	if err != nil {
		http.Error(w, "gossip duty does not answer", http.StatusServiceUnavailable)
		return
	}
	if accepted.config == nil || accepted.config.Stamp.Digest.String() != r.PathValue("digest") {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(accepted.compressed)
		return
	}
	_, _ = w.Write(accepted.config.Bytes)
}

// query sends a query to the gossip duty and waits for the answer.
func query[T any](ctx context.Context, n *Node, event func(*ring.Ring[T]) gossipEvent) (T, error) {
	answer := ring.New[T](1, ring.Refuse)
	if err := n.inbox.Put(ctx, event(answer)); err != nil {
		var zero T
		return zero, err
	}
	return answer.Take(ctx)
}

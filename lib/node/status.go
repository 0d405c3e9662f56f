package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/wire"
)

// Status is the state of the node's duties.
type Status struct {
	Instance fleet.Instance `json:"instance"`
	// Ready is true if a configuration is in force and the process is not
	// leaving; otherwise Reason says why it is not ready.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Generation and Digest identify the configuration in force.
	Generation fleet.Generation `json:"generation"`
	Digest     fleet.Digest     `json:"digest"`
	Members    int              `json:"members"`
	Leaving    int              `json:"leaving"`
	// Suspected is the number of members whose last exchange with this process
	// failed.
	Suspected int  `json:"suspected"`
	Watching  bool `json:"watching"`
	// Fresh is true if some process has read the configuration service
	// recently; FreshSeconds is the age of that read, or -1 if there was none.
	Fresh        bool    `json:"fresh"`
	FreshSeconds float64 `json:"fresh_seconds"`
	// Suspects are the traits of requests that are under suspicion of crashing
	// upstreams.
	Suspects []Suspect    `json:"suspects,omitempty"`
	Traffic  Traffic      `json:"traffic"`
	Rings    []RingStatus `json:"rings"`
}

// Suspect is a trait of requests that may crash upstreams. Blocked is set if
// requests with it are refused.
type Suspect struct {
	Trait    string `json:"trait"`
	Episodes int    `json:"episodes"`
	Blocked  bool   `json:"blocked,omitempty"`
}

// Traffic counts the bytes of the control exchanges that this process
// initiates, including responses and all headers.
type Traffic struct {
	PeersSent        uint64 `json:"peers_sent"`
	PeersReceived    uint64 `json:"peers_received"`
	PlatformSent     uint64 `json:"platform_sent"`
	PlatformReceived uint64 `json:"platform_received"`
}

// RingStatus is the fill level of a ring between duties and the number of
// elements that it dropped.
type RingStatus struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Drops    uint64 `json:"drops"`
}

// Status returns the state of the node's duties or the context's error.
func (n *Node) Status(ctx context.Context) (Status, error) {
	return query(ctx, n, func(answer *ring.Ring[Status]) gossipEvent { return statusQuery{answer: answer} })
}

// StatusHandler serves Status as JSON. It requires the peer key.
func (n *Node) StatusHandler() http.Handler {
	return wire.Keys(n.settings.PeerKeys).Require(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		s, err := n.Status(ctx)
		if err != nil {
			http.Error(w, "gossip duty does not answer", http.StatusServiceUnavailable)
			return
		}
		wire.WriteJSON(w, s)
	}))
}

// ReadyHandler answers 200 if the process is ready, and otherwise 503 with the
// reason. It requires no key.
func (n *Node) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		s, err := n.Status(ctx)
		switch {
		case err != nil:
			http.Error(w, "gossip duty does not answer", http.StatusServiceUnavailable)
		case !s.Ready:
			http.Error(w, s.Reason, http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
}

func (g *gossiper) status(now time.Time) Status {
	n := g.node
	s := Status{
		Instance:   n.settings.Self,
		Ready:      !g.inForce.IsZero() && g.leaveAnnounced == nil,
		Generation: g.inForce.Generation,
		Digest:     g.inForce.Digest,
		Suspected:  len(g.core.SuspectedMembers()),
		Watching:   g.core.Watching(),
		Fresh:      g.core.Fresh(now),
		Suspects:   suspects(g.core.Suspicions(now)),
		Traffic: Traffic{
			PeersSent: n.traffic.peers.sent.Load(), PeersReceived: n.traffic.peers.received.Load(),
			PlatformSent: n.traffic.platform.sent.Load(), PlatformReceived: n.traffic.platform.received.Load(),
		},
		Rings: n.rings(),
	}
	s.FreshSeconds = g.freshSeconds(now)
	for _, m := range g.core.Members() {
		s.Members++
		if m.State == fleet.StateLeaving {
			s.Leaving++
		}
	}
	switch {
	case s.Ready:
	case g.leaveAnnounced != nil:
		s.Reason = "the process is leaving"
	case g.accepted.config == nil:
		s.Reason = "no configuration was accepted yet"
	default:
		s.Reason = "waiting for an answer of a peer"
	}
	return s
}

func suspects(list []poison.Decision) []Suspect {
	var out []Suspect
	for _, d := range list {
		out = append(out, Suspect{Trait: d.Trait.String(), Episodes: d.Episodes, Blocked: d.Verdict == poison.Blocked})
	}
	return out
}

func (g *gossiper) freshSeconds(now time.Time) float64 {
	age, known := g.core.ServiceReadAge(now)
	if !known {
		return -1
	}
	return age.Seconds()
}

func (n *Node) rings() []RingStatus {
	return []RingStatus{
		ringStatus("inbox", n.inbox), ringStatus("notices", n.notices),
		ringStatus("documents", n.documents), ringStatus("exchanges", n.exchanges),
		ringStatus("fetches", n.fetches), ringStatus("events", n.events),
	}
}

func ringStatus[T any](name string, r *ring.Ring[T]) RingStatus {
	return RingStatus{Name: name, Depth: r.Depth(), Capacity: r.Capacity(), Drops: r.Drops()}
}

// WriteMetrics writes the metrics of the node's duties in Prometheus text
// format.
func (n *Node) WriteMetrics(w io.Writer) { n.metrics.WritePrometheus(w) }

// updateMetrics updates the metrics of the node's duties.
func (g *gossiper) updateMetrics() {
	m := g.node.metrics
	set := func(name string, v float64) { m.GetOrCreateGauge(name, nil).Set(v) }
	flag := map[bool]float64{true: 1}
	set("rattanspur_config_generation", float64(g.inForce.Generation))
	set("rattanspur_members", float64(len(g.core.Members())))
	set("rattanspur_members_suspected", float64(len(g.core.SuspectedMembers())))
	set("rattanspur_request_suspects", float64(len(g.core.Suspicions(time.Now()))))
	set("rattanspur_config_watching", flag[g.core.Watching()])
	set("rattanspur_config_read_age_seconds", g.freshSeconds(time.Now()))
	t := &g.node.traffic
	for name, c := range map[string]*byteCounter{"peers": &t.peers, "platform": &t.platform} {
		m.GetOrCreateCounter(`rattanspur_control_sent_bytes_total{to="` + name + `"}`).Set(c.sent.Load())
		m.GetOrCreateCounter(`rattanspur_control_received_bytes_total{from="` + name + `"}`).Set(c.received.Load())
	}
	for _, r := range g.node.rings() {
		set(`rattanspur_ring_depth{ring="node_`+r.Name+`"}`, float64(r.Depth))
		m.GetOrCreateCounter(`rattanspur_ring_drops_total{ring="node_` + r.Name + `"}`).Set(r.Drops)
	}
}

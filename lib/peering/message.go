package peering

import (
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/published"
	"rattanspur.example/lib/ratelimit"
)

// Load is the load that one process puts on an upstream.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int `json:"n"`
	// PromptTokens is the number of prompt tokens of the requests that have no
	// answer yet.
	PromptTokens int `json:"p,omitempty"`
	// Speed is what the upstream stated to this process itself.
	Speed Speed `json:"s,omitzero"`
}

// Demand describes the requests for a service that arrive and wait at one
// process.
type Demand struct {
	PerSecond float64 `json:"r"`
	// Steady is a mean over a longer time that changes in steps. Budgets are divided by
	// it, because each change moves parts of them.
	Steady  float64 `json:"q,omitempty"`
	Waiting int     `json:"w,omitempty"`
	// Refused is true if requests were recently refused for lack of capacity.
	Refused bool `json:"f,omitempty"`
	// RefusedRank is the most urgent one of the ranks at which new requests were recently
	// refused, as its place among those of the service's routes from 1; 0 if none were, or if
	// the service has only one rank.
	RefusedRank int `json:"k,omitempty"`
}

// Message is the state that a process sends to its peers. The JSON names are
// short because it is sent often.
type Message struct {
	// From is the address at which the sender receives messages, Control the
	// address at which its view can be read.
	From    string       `json:"from"`
	Control string       `json:"control"`
	Region  fleet.Region `json:"region"`
	// Number and Era are the revision of the newest item in the sender's view. Builds that
	// know no eras send and read the number alone.
	Number uint64 `json:"rev"`
	Era    uint64 `json:"era,omitempty"`
	// Config is the version of the configuration in the sender's view.
	Config int64 `json:"cfg,omitempty"`
	// Loads is the sender's load at each upstream.
	Loads map[fleet.InstanceID]Load `json:"loads,omitempty"`
	// Demands is the demand for each service at the sender.
	Demands map[fleet.Service]Demand `json:"demands,omitempty"`
	// Crashes is evidence about crashes of upstreams. Unlike the other fields, a
	// message without it does not replace that of earlier messages.
	Crashes []poison.Report `json:"crashes,omitempty"`
	// Limits is what the sender knows of the limits that upstreams state. A message
	// without it does not replace that of earlier messages.
	Limits []ratelimit.Report `json:"limits,omitempty"`
	// Versions says how long the sender has known the desired versions, by model.
	Versions map[string][]published.VersionAge `json:"versions,omitempty"`
	// Processes is the number of processes that share budgets, the sender included; 0 if it
	// has just started and does not know them.
	Processes int `json:"processes,omitempty"`
	// Leaving is set if the sender is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Peers lists addresses of processes that the sender has received messages
	// from.
	Peers []string `json:"peers,omitempty"`
	// Engine is set in messages from a loader, which sets no other field.
	Engine *EngineNotice `json:"engine,omitempty"`
}

// maxPerSecond and maxCount bound the rates and the counts in a message. Larger ones,
// and negative ones, would distort the decisions of the receiver.
const (
	maxPerSecond = 1e6
	maxCount     = 1 << 30
)

// Revision returns the revision of the newest item in the sender's view.
func (m *Message) Revision() published.Revision { return published.NewRevision(m.Era, m.Number) }

// Valid reports whether all numbers in the message are possible.
func (m *Message) Valid() bool {
	for _, l := range m.Loads {
		if !validCount(l.Requests) || !validCount(l.PromptTokens) || !l.Speed.valid() {
			return false
		}
	}
	for _, d := range m.Demands {
		if !validRate(d.PerSecond) || !validRate(d.Steady) || !validCount(d.Waiting) || !validCount(d.RefusedRank) {
			return false
		}
	}
	for i := range m.Limits {
		if !m.Limits[i].Valid() {
			return false
		}
	}
	for i := range m.Crashes {
		if !m.Crashes[i].Valid() {
			return false
		}
	}
	return m.Processes >= 0 && m.Processes <= maxProcesses && validVersion(m.Config) && (m.Engine == nil || m.Engine.valid()) && published.ValidAges(m.Versions)
}

func validRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxPerSecond }

func validCount(n int) bool { return n >= 0 && n <= maxCount }

func validVersion(v int64) bool { return v >= 0 && v <= published.MaxVersion }

// EngineNotice is a loader's notice to gateways about its engine. It arrives
// before the engine's own registration changes.
type EngineNotice struct {
	Address string `json:"address"`
	// StartTime distinguishes starts of the engine.
	StartTime int64  `json:"born"`
	Model     string `json:"model"`
	// Version is the version that the engine serves; 0 while it loads new
	// weights.
	Version int64 `json:"version"`
	// PreviousVersion is the version that the engine served before.
	PreviousVersion int64 `json:"was"`
}

// valid reports whether all numbers in the notice are possible. Nothing would follow the
// greatest ones.
func (n *EngineNotice) valid() bool {
	return n.StartTime >= 0 && n.StartTime <= published.MaxStartTime && validVersion(n.Version) && validVersion(n.PreviousVersion)
}

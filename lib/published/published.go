// Package published defines the state that operators and upstreams publish
// about a deployment: routes, services, customers, failure domains out of
// service, desired weight versions, and the upstreams themselves. It contains
// only types and lookups. Adapters decode published items into these types, and
// the decision cores read them.
package published

import (
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
)

// Kind says how a route's requests are answered and whether they may be
// repeated.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered with a stream of events.
	Streaming
)

// String returns the kind's name as logs show it.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "streaming"}[k]
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service fleet.Service
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a caller waits for its answer.
	Timeout time.Duration
	// LatencyGoal is the latency up to which an answer earns full credit. It is
	// measured to the complete answer or to the first event of a stream.
	LatencyGoal time.Duration
	// GapGoal is the longest interval between two events of a stream that still
	// counts as on time.
	GapGoal time.Duration
	// Rank is the urgency of the route's requests; 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of upstreams that one request may be sent
	// to.
	MaxAttempts int
	// Anonymous routes need no customer key.
	Anonymous bool
	// Resumable streams can continue at another upstream after the last event
	// that was received.
	Resumable bool
	// Regions are the regions that may serve the route; empty allows all.
	Regions []fleet.Region
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Layers is the number of layers of the model.
	Layers int
	Models []string
	// TimePerToken is the time in which an engine with full slots generates one
	// token for each of its requests.
	TimePerToken time.Duration
	// TokensPerPass is the number of tokens that an engine generates for each of its requests
	// between two times at which it reads prompts; 0 if it is not published.
	TokensPerPass int
	// PromptTokensPerSecond is the rate at which an engine reads prompt tokens.
	PromptTokensPerSecond float64
}

// Origin is the original source of the weights.
type Origin struct {
	Address       string
	FailureDomain fleet.FailureDomain
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name fleet.Service
	// ColdPerSecond is the number of requests per second that a cold upstream
	// can handle from all callers together; 0 means no limit.
	ColdPerSecond float64
	// Engine is nil for services without a model.
	Engine *Engine
	// Origin is nil for services other than an origin of weights.
	Origin *Origin
}

// Customer is a sender of requests, identified by its keys.
type Customer struct {
	Name fleet.Customer
	// Rank replaces the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	// Regions are the regions that may serve the customer; empty allows all.
	Regions []fleet.Region
}

// Limits bounds what a caller may send; 0 means that no limit is published.
type Limits struct{ BodyBytes int64 }

// Config is one published configuration. It is immutable once decoded.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[fleet.Service]*Service
	Customers map[string]*Customer
	// KeysRequired is true if customers are published, so that requests need a
	// key.
	KeysRequired bool
	Limits       Limits

	byHost map[string][]*Route
	byName map[string]*Route
}

// Index builds the indexes for route lookups. The decoder calls it once.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	c.byName = make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.byName[r.Name] = r
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Route returns the route of the host with the longest prefix that matches the
// path, or nil. Hosts are matched without regard to case.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasRoute reports whether a route of that name exists.
func (c *Config) HasRoute(route string) bool { return c.byName[route] != nil }

// Customer returns the customer that a key belongs to, or nil.
func (c *Config) Customer(key string) *Customer { return c.Customers[key] }

// Origin returns the origin of the weights, or nil if none is published.
func (c *Config) Origin() *Origin {
	for _, s := range c.Services {
		if s.Origin != nil {
			return s.Origin
		}
	}
	return nil
}

// MaxVersion is the greatest version of a configuration or of weights that counts. The
// next ones, and sums of two, do not overflow.
const MaxVersion = 1 << 62

// MaxStartTime is the greatest start time of an upstream that counts, the end of the year
// 9999 as Unix time in milliseconds.
const MaxStartTime = 253402300799999

// Copy describes one version of a model's weights that an upstream holds.
type Copy struct {
	Model   string
	Version int64
	// Layers is the number of contiguous layers held, counted from the first.
	Layers int
}

// Upstream is a running instance of a service, as it registers itself.
type Upstream struct {
	ID      fleet.InstanceID
	Service fleet.Service
	Address string
	Domain  fleet.FailureDomain
	// Slots is the number of requests that the upstream runs concurrently.
	Slots    int
	Draining bool
	// ColdRemaining is how long the upstream stays cold after its registration
	// was written.
	ColdRemaining time.Duration
	// Copies lists the models that the upstream serves; it is empty for an
	// engine without weights.
	Copies []Copy
	// StartTime is the Unix time of the upstream's start in milliseconds. It
	// distinguishes starts under the same ID.
	StartTime int64
	// Revision is the store's revision of the registration.
	Revision Revision
}

// CompleteVersion returns the version of a model of which copies hold at least
// the given number of layers, or 0.
func CompleteVersion(copies []Copy, model string, layers int) int64 {
	for _, c := range copies {
		if c.Model == model && c.Layers >= layers {
			return c.Version
		}
	}
	return 0
}

// DesiredVersion is the version of a model that upstreams should serve.
type DesiredVersion struct {
	Model   string
	Version int64
	// Revision is the store's revision with which the version became desired, or was
	// last written again. It distinguishes it from earlier times at which the same
	// version was desired.
	Revision Revision
	// Published is what this process and its peers know of the publication of the version;
	// nothing for a version in the first snapshot. Its update window begins at NotBefore,
	// or after an outage (see GraceStart).
	Published Publication
	// Previous lists the versions that were desired before, the newest first.
	// Each still becomes due by its own publication.
	Previous []PreviousVersion
	// Outages are the times in which the store was unavailable to this process.
	Outages Outages
}

// PreviousVersion is a formerly desired version with its Revision and publication.
type PreviousVersion struct {
	Version   int64
	Revision  Revision
	Published Publication
}

// Due returns the newest version whose grace period of a length is over, or 0.
func (d DesiredVersion) Due(now time.Time, grace time.Duration) int64 {
	return d.DueAhead(now, grace, 0)
}

// DueAhead returns the newest version whose grace period of a length is over after a margin, or
// 0.
func (d DesiredVersion) DueAhead(now time.Time, grace, margin time.Duration) int64 {
	if now.Sub(d.GraceStart(d.Published, grace)) >= grace-margin {
		return d.Version
	}
	for _, p := range d.Previous {
		if now.Sub(d.GraceStart(p.Published, grace)) >= grace-margin {
			return p.Version
		}
	}
	return 0
}

// VersionAge is what a process knows of the publication of a version of a model. The JSON
// names are short because it is sent often.
type VersionAge struct {
	Version int64 `json:"v"`
	// Number and Era are DesiredVersion.Revision; 0 in a message of a process that does
	// not report them.
	Number uint64 `json:"r"`
	Era    uint64 `json:"e,omitempty"`
	// AgeMS is the time since Publication.NotBefore and UncertaintyMS the uncertainty, in
	// ms.
	AgeMS         int64 `json:"a"`
	UncertaintyMS int64 `json:"u,omitempty"`
}

// Revision returns the revision with which the version became desired.
func (a VersionAge) Revision() Revision { return NewRevision(a.Era, a.Number) }

// publication returns what the age says of the publication if it is received now.
func (a VersionAge) publication(now time.Time) Publication {
	return Publication{
		NotBefore:   now.Add(-time.Duration(a.AgeMS) * time.Millisecond),
		Uncertainty: time.Duration(a.UncertaintyMS) * time.Millisecond,
	}
}

// View is the published state as one process knows it. A view is immutable.
type View struct {
	// Revision is the revision of the newest item.
	Revision Revision
	Config   *Config
	// Upstreams are sorted by ID.
	Upstreams []*Upstream
	// OutOfService is the set of failure domains that operators took out of
	// service.
	OutOfService map[fleet.FailureDomain]bool
	Desired      map[string]DesiredVersion
}

// ConfigVersion returns the version of the configuration, or 0 if none is known. It may
// be called on a nil view.
func (v *View) ConfigVersion() int64 {
	if v == nil || v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// Package published holds what operators and upstreams publish about a
// deployment: routes, services, customers, failure domains out of service,
// wanted weights, and the upstreams themselves. It holds types and look-ups
// only; adapters decode into it and decision cores read it.
package published

import (
	"slices"
	"strings"
	"time"

	"rattanspur.example/lib/fleet"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a series of events.
	Streaming
)

// String returns the kind's name as logs show it.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "streaming"}[k]
}

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service fleet.Service
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route sends the requests of a host and a path prefix to a service.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time to a whole answer, or to a stream's first event, that
	// earns its full credit.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream in time.
	GapGoal time.Duration
	// Rank orders routes; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no customer key.
	Anonymous bool
	// Resumable streams may go on at another upstream after their last event.
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
	// Token is the time that an engine with full slots takes for a token of
	// each request.
	Token time.Duration
	// PromptPerSecond is the number of prompt tokens that an engine reads.
	PromptPerSecond float64
}

// Origin is where weights come from.
type Origin struct {
	Address       string
	FailureDomain fleet.FailureDomain
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name fleet.Service
	// ColdPerSecond is the number of requests a second that a cold upstream
	// bears from all callers together; 0 does not limit.
	ColdPerSecond float64
	// Engine is nil for services without a model.
	Engine *Engine
	// Origin is nil for services other than an origin of weights.
	Origin *Origin
}

// Customer is a sender of requests, known by its keys.
type Customer struct {
	Name fleet.Customer
	// Rank takes precedence over the route's if HasRank is set.
	Rank    int
	HasRank bool
	// Regions are the regions that may serve the customer; empty allows all.
	Regions []fleet.Region
}

// Limits bound what a caller may send; 0 means that no bound is published.
type Limits struct{ BodyBytes int64 }

// Config is one published configuration. It is immutable once decoded.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[fleet.Service]*Service
	Customers map[string]*Customer
	// Keyed says that customers are published, so that requests need a key.
	Keyed  bool
	Limits Limits

	byHost map[string][]*Route
	byName map[string]*Route
}

// Index prepares the look-up of routes; the decoder calls it once.
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

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Has reports whether a route of that name exists.
func (c *Config) Has(route string) bool { return c.byName[route] != nil }

// Customer returns the holder of a key, or nil.
func (c *Config) Customer(key string) *Customer { return c.Customers[key] }

// Origin returns the service that weights come from, or nil.
func (c *Config) Origin() *Origin {
	for _, s := range c.Services {
		if s.Origin != nil {
			return s.Origin
		}
	}
	return nil
}

// Copy is the weights of one model as an upstream holds them.
type Copy struct {
	Model   string
	Version int64
	// Layers is the number of layers held without a gap from the first one.
	Layers int
}

// Upstream is a running instance of a service, as it publishes itself.
type Upstream struct {
	ID      fleet.InstanceID
	Service fleet.Service
	Address string
	Domain  fleet.FailureDomain
	// Slots is the number of requests that it runs at once.
	Slots    int
	Draining bool
	// ColdLeft is how long the upstream stays cold after the entry was written.
	ColdLeft time.Duration
	// Copies are the models that it serves; empty for an engine without weights.
	Copies []Copy
	// Born tells one start from another under the same id.
	Born int64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Whole returns the version of a model of which the upstream holds all layers,
// or 0.
func Whole(copies []Copy, model string, layers int) int64 {
	for _, c := range copies {
		if c.Model == model && c.Layers >= layers {
			return c.Version
		}
	}
	return 0
}

// Wanted is the version of a model that upstreams are to serve.
type Wanted struct {
	Model   string
	Version int64
	// Learned is when this process first saw the version.
	Learned time.Time
	// Earlier are the versions that were wanted before, the newest first; each
	// is still due within its own time.
	Earlier []Named
}

// Named is a version with the time at which this process first saw it.
type Named struct {
	Version int64
	Learned time.Time
}

// Due returns the newest version that was wanted for at least a time, or 0.
func (w Wanted) Due(now time.Time, after time.Duration) int64 {
	if now.Sub(w.Learned) >= after {
		return w.Version
	}
	for _, e := range w.Earlier {
		if now.Sub(e.Learned) >= after {
			return e.Version
		}
	}
	return 0
}

// View is everything published, as one process knows it. A view is immutable.
type View struct {
	// Revision is that of the newest item.
	Revision uint64
	Config   *Config
	// Upstreams are ordered by id.
	Upstreams []*Upstream
	// Out holds the failure domains that operators took out of service.
	Out    map[fleet.FailureDomain]bool
	Wanted map[string]Wanted
}

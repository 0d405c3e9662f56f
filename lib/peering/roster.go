package peering

import (
	"slices"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

// PathRoster is the path at which a gateway serves the Roster of the service in
// the query, or of the first service with engines if the query has none.
const PathRoster = "/peer/roster"

// Roster is the part of the published state that the loaders of a service need.
// It is much smaller than the whole state, because every loader reads it during
// a transfer.
type Roster struct {
	// Gateways lists the live gateways; each has a seeder beside it.
	Gateways []Member      `json:"gateways"`
	Service  fleet.Service `json:"service"`
	Model    string        `json:"model"`
	Layers   int           `json:"layers"`
	// Origin is the address of the origin of weights.
	Origin       string           `json:"origin"`
	OriginRegion fleet.Region     `json:"origin_region"`
	Engines      []EngineLocation `json:"engines"`
}

// EngineLocation is the address and region of an engine.
type EngineLocation struct {
	Address string       `json:"address"`
	Region  fleet.Region `json:"region"`
}

// RosterOf returns the roster of a service without Gateways. If service is
// empty, the first service with engines by name is used. ok is false if the view
// has no such service with engines.
func RosterOf(v *published.View, service fleet.Service, regions map[fleet.FailureDomain]fleet.Region) (r Roster, ok bool) {
	if v == nil || v.Config == nil {
		return r, false
	}
	s := engineService(v.Config, service)
	if s == nil {
		return r, false
	}
	r = Roster{Service: s.Name, Model: s.Engine.Models[0], Layers: s.Engine.Layers}
	if o := v.Config.Origin(); o != nil {
		r.Origin, r.OriginRegion = o.Address, regions[o.FailureDomain]
	}
	for _, u := range v.Upstreams {
		if u.Service == s.Name {
			r.Engines = append(r.Engines, EngineLocation{Address: u.Address, Region: regions[u.Domain]})
		}
	}
	return r, true
}

// engineService returns the named service if it has engines, or the first service
// with engines by name if service is empty, or nil.
func engineService(c *published.Config, service fleet.Service) *published.Service {
	var names []fleet.Service
	for name, s := range c.Services {
		if s.Engine != nil && len(s.Engine.Models) > 0 && (service == "" || name == service) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return c.Services[slices.Min(names)]
}

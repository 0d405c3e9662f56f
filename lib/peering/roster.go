package peering

import (
	"slices"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/published"
)

// PathRoster is where a gateway names what the loaders of a service need, with
// the service in the query; without one, the first service with engines.
const PathRoster = "/peer/roster"

// Roster is what the loaders of a service need to know. It is much smaller
// than what is published, because every loader reads it during a transfer.
type Roster struct {
	// Gateways are alive and have a seeder beside them.
	Gateways []Member      `json:"gateways"`
	Service  fleet.Service `json:"service"`
	Model    string        `json:"model"`
	Layers   int           `json:"layers"`
	// Origin is the address of the origin of weights.
	Origin       string       `json:"origin"`
	OriginRegion fleet.Region `json:"origin_region"`
	Engines      []EngineAt   `json:"engines"`
}

// EngineAt is where an engine of the service runs.
type EngineAt struct {
	Address string       `json:"address"`
	Region  fleet.Region `json:"region"`
}

// RosterOf returns the roster of a service; ok is false if the view has no
// such service with engines.
func RosterOf(v *published.View, service fleet.Service, regions map[fleet.FailureDomain]fleet.Region) (r Roster, ok bool) {
	if v == nil || v.Config == nil {
		return r, false
	}
	s := engines(v.Config, service)
	if s == nil {
		return r, false
	}
	r = Roster{Service: s.Name, Model: s.Engine.Models[0], Layers: s.Engine.Layers}
	if o := v.Config.Origin(); o != nil {
		r.Origin, r.OriginRegion = o.Address, regions[o.FailureDomain]
	}
	for _, u := range v.Upstreams {
		if u.Service == s.Name {
			r.Engines = append(r.Engines, EngineAt{Address: u.Address, Region: regions[u.Domain]})
		}
	}
	return r, true
}

func engines(c *published.Config, service fleet.Service) *published.Service {
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

package operator

import (
	"fmt"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// bytesPerMB is the number of bytes in a megabyte as the page shows it.
const bytesPerMB = 1e6

// Effect is the effect that a draft would have on the fleet, as far as this entry
// knows the fleet.
type Effect struct {
	// Loads lists the services whose upstreams would load weights.
	Loads []ServiceEffect `json:"loads"`
	// Losing lists the failure domains that would stop getting new work.
	Losing []DomainEffect `json:"losing"`
}

// ServiceEffect is the effect of a draft on a service: the number of upstreams that
// would load the weights of a profile.
type ServiceEffect struct {
	Service   fleet.Service     `json:"service"`
	Profile   fleet.ProfileName `json:"profile"`
	Upstreams int               `json:"upstreams"`
	// Bytes is the number of bytes that all upstreams together would receive; 0 if
	// the size of the weights is unknown.
	Bytes int64 `json:"bytes"`
}

// DomainEffect is the effect of a draft on a failure domain that would be taken out
// of service: the number of upstreams that would get no new work.
type DomainEffect struct {
	Domain    fleet.FailureDomain `json:"failure_domain"`
	Upstreams int                 `json:"upstreams"`
}

// Text returns the description of the effect on the page.
func (e ServiceEffect) Text() string {
	text := fmt.Sprintf("%d upstreams of %s load %s", e.Upstreams, e.Service, e.Profile)
	if e.Bytes > 0 {
		text += fmt.Sprintf(", %.0f MB in all", float64(e.Bytes)/bytesPerMB)
	}
	return text
}

// Text returns the description of the effect on the page.
func (e DomainEffect) Text() string {
	return fmt.Sprintf("%d upstreams in %s get no new work", e.Upstreams, e.Domain)
}

// EffectOf returns the effect of the next document on the members of a snapshot.
func EffectOf(s Snapshot, next *config.Accepted) Effect {
	var e Effect
	for i := range next.Services {
		service := &next.Services[i]
		profile := next.ServedProfile(service.Name)
		if profile == nil {
			continue
		}
		if n := countToLoad(s.Members, service.Name, profile.Weights.Root); n > 0 {
			e.Loads = append(e.Loads, ServiceEffect{
				Service: service.Name, Profile: profile.Name, Upstreams: n,
				Bytes: int64(n) * profile.Weights.Bytes,
			})
		}
	}
	for _, d := range next.FailureDomains {
		if d.State == config.DomainOut && s.Config.DomainIn(d.Name) {
			e.Losing = append(e.Losing, DomainEffect{Domain: d.Name, Upstreams: countUpstreams(s.Members, d.Name)})
		}
	}
	return e
}

// countToLoad returns the number of live upstreams of a service that serve other
// weights than those with a root digest, or none.
func countToLoad(members []fleet.Instance, service fleet.Service, root fleet.Digest) int {
	n := 0
	for _, m := range members {
		if m.Role == fleet.RoleAgent && m.Service == service && m.State == fleet.StateLive && m.Serving != root {
			n++
		}
	}
	return n
}

// countUpstreams returns the number of upstreams in a failure domain, whatever
// their state.
func countUpstreams(members []fleet.Instance, domain fleet.FailureDomain) int {
	n := 0
	for _, m := range members {
		if m.Role == fleet.RoleAgent && m.FailureDomain == domain {
			n++
		}
	}
	return n
}

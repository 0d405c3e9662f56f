package operator

import (
	"fmt"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// bytesPerMB converts sizes for display.
const bytesPerMB = 1e6

// Effect is what a draft would make the fleet do, by what this entry knows.
type Effect struct {
	// Loads counts the upstreams that would load weights, by service.
	Loads []Loading `json:"loads"`
	// Losing names the failure domains that would lose new work.
	Losing []Losing `json:"losing"`
}

// Loading is the work of a switch at one service.
type Loading struct {
	Service   fleet.Service     `json:"service"`
	Profile   fleet.ProfileName `json:"profile"`
	Upstreams int               `json:"upstreams"`
	// Bytes is what all upstreams together receive; 0 if the size is unknown.
	Bytes int64 `json:"bytes"`
}

// Losing is a failure domain that is taken out.
type Losing struct {
	Domain    fleet.FailureDomain `json:"failure_domain"`
	Upstreams int                 `json:"upstreams"`
}

// Text returns the loading as a sentence for the page.
func (l Loading) Text() string {
	text := fmt.Sprintf("%d upstreams of %s load %s", l.Upstreams, l.Service, l.Profile)
	if l.Bytes > 0 {
		text += fmt.Sprintf(", %.0f MB in all", float64(l.Bytes)/bytesPerMB)
	}
	return text
}

// Text returns the loss as a sentence for the page.
func (l Losing) Text() string {
	return fmt.Sprintf("%d upstreams in %s get no new work", l.Upstreams, l.Domain)
}

// EffectOf computes what the next document would make the members do.
func EffectOf(s Snapshot, next *config.Accepted) Effect {
	var e Effect
	for i := range next.Services {
		service := &next.Services[i]
		profile := next.ServedProfile(service.Name)
		if profile == nil {
			continue
		}
		if n := toLoad(s.Members, service.Name, profile.Weights.Root); n > 0 {
			e.Loads = append(e.Loads, Loading{
				Service: service.Name, Profile: profile.Name, Upstreams: n,
				Bytes: int64(n) * profile.Weights.Bytes,
			})
		}
	}
	for _, d := range next.FailureDomains {
		if d.State == config.DomainOut && s.Config.DomainIn(d.Name) {
			e.Losing = append(e.Losing, Losing{Domain: d.Name, Upstreams: upstreamsIn(s.Members, d.Name)})
		}
	}
	return e
}

func toLoad(members []fleet.Instance, service fleet.Service, root fleet.Digest) int {
	n := 0
	for _, m := range members {
		if m.Role == fleet.RoleAgent && m.Service == service && m.State == fleet.StateLive && m.Serving != root {
			n++
		}
	}
	return n
}

func upstreamsIn(members []fleet.Instance, domain fleet.FailureDomain) int {
	n := 0
	for _, m := range members {
		if m.Role == fleet.RoleAgent && m.FailureDomain == domain {
			n++
		}
	}
	return n
}

package routing

import (
	"strings"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Target is the service that a call is for and the weights that may answer.
type Target struct {
	Service *config.Service
	// Profile is the preferred profile; nil for plain services.
	Profile *config.Profile
	// Named says that the caller named the profile and not the service.
	Named bool
}

// Resolve finds the service by the model's name (a profile or a service) or by
// the longest path prefix of a plain service. Service is nil if none matches.
func Resolve(a *config.Accepted, path, model string) Target {
	if model != "" {
		if t := resolveModel(a, model); t.Service != nil {
			return t
		}
	}
	var t Target
	for i := range a.Services {
		s := &a.Services[i]
		if s.Kind != config.KindPlain || !strings.HasPrefix(path, s.PathPrefix) {
			continue
		}
		if t.Service == nil || len(s.PathPrefix) > len(t.Service.PathPrefix) {
			t.Service = s
		}
	}
	return t
}

func resolveModel(a *config.Accepted, model string) Target {
	if s := a.Service(fleet.Service(model)); s != nil && s.Kind == config.KindModel {
		return Target{Service: s, Profile: a.ServedProfile(s.Name)}
	}
	p := a.Profile(fleet.ProfileName(model))
	if p == nil || p.Retired {
		return Target{}
	}
	for i := range a.Services {
		s := &a.Services[i]
		if s.Kind == config.KindModel && s.Profile == p.Name {
			return Target{Service: s, Profile: p, Named: true}
		}
	}
	return Target{}
}

// Roots returns the weights that may answer, the preferred ones first. While
// new weights are on their way to the replicas of a service, profiles of the
// same model that are not retired may answer calls that name the service.
func (t Target) Roots(a *config.Accepted) []fleet.Digest {
	if t.Profile == nil {
		return nil
	}
	roots := []fleet.Digest{t.Profile.Weights.Root}
	if t.Named {
		return roots
	}
	for i := range a.Profiles {
		p := &a.Profiles[i]
		if p != t.Profile && !p.Retired && p.Model == t.Profile.Model {
			roots = append(roots, p.Weights.Root)
		}
	}
	return roots
}

// ProfileOf returns the profile with those weights; the preferred profile wins.
func (t Target) ProfileOf(a *config.Accepted, root fleet.Digest) *config.Profile {
	if t.Profile == nil || t.Profile.Weights.Root == root {
		return t.Profile
	}
	for i := range a.Profiles {
		if a.Profiles[i].Weights.Root == root && !a.Profiles[i].Retired {
			return &a.Profiles[i]
		}
	}
	return t.Profile
}

package routing

import (
	"strings"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// Target is the service that a call is for and the profile that should serve it.
type Target struct {
	Service *config.Service
	// Profile is the preferred profile; nil for plain services.
	Profile *config.Profile
	// ProfileRequested is set if the caller named the profile, not the service.
	ProfileRequested bool
}

// Resolve finds the service by the model's name, which is that of a profile or a
// service, or else by the longest path prefix of a plain service. The Service of
// the result is nil if none matches.
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
			return Target{Service: s, Profile: p, ProfileRequested: true}
		}
	}
	return Target{}
}

// Roots returns the root digests of the weights that may serve the call, the
// preferred ones first; nil for plain services. For calls that name the service,
// all profiles of the same model that are not retired are acceptable, because
// new weights may still be on their way to the replicas.
func (t Target) Roots(a *config.Accepted) []fleet.Digest {
	if t.Profile == nil {
		return nil
	}
	roots := []fleet.Digest{t.Profile.Weights.Root}
	if t.ProfileRequested {
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

// ProfileOf returns the profile that has the given weights and is not retired.
// The preferred profile takes precedence and is returned if no profile matches;
// for plain services the result is nil.
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

package config

import (
	"fmt"
	"net/url"
	"strings"

	"rattanspur.example/lib/finding"
)

// maxNameLength is the size limit in bytes of names, which appear in metrics and
// events.
const maxNameLength = 128

func validate(a *Accepted, l *finding.List) {
	if a.Generation == 0 {
		l.Add("generation", "is missing or 0; generations count from 1")
	}
	validateProfiles(a, l)
	validateServices(a, l)
	validateDomains(a, l)
	validateCustomers(a, l)
}

func validateProfiles(a *Accepted, l *finding.List) {
	seen := uniqueNames{}
	for i, p := range a.Profiles {
		key := fmt.Sprintf("profiles[%d]", i)
		seen.check(l, key+".name", string(p.Name))
		if p.Model == "" {
			l.Add(key+".model", "is missing")
		}
		if p.Version == "" {
			l.Add(key+".version", "is missing")
		}
		if p.Weights.Root.IsZero() {
			l.Add(key+".weights.root", "is missing")
		}
		if p.Weights.Region == "" {
			l.Add(key+".weights.region", "is missing")
		}
		if p.Weights.Bytes < 0 {
			l.Add(key+".weights.bytes", "is negative")
		}
		checkURL(l, key+".weights.origin", p.Weights.Origin, true)
		checkURL(l, key+".weights.store", p.Weights.Store, false)
	}
}

func validateServices(a *Accepted, l *finding.List) {
	seen := uniqueNames{}
	prefixes := uniqueNames{}
	for i := range a.Services {
		s := &a.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		seen.check(l, key+".name", string(s.Name))
		switch s.Kind {
		case KindModel:
			validateModelService(a, l, key, s)
		case KindPlain:
			prefixes.check(l, key+".path_prefix", s.PathPrefix)
			if !strings.HasPrefix(s.PathPrefix, "/") {
				l.Add(key+".path_prefix", "%q does not start with /", s.PathPrefix)
			}
		default:
			l.Add(key+".kind", "%q is neither %q nor %q", s.Kind, KindModel, KindPlain)
		}
		validateLimits(l, key+".limits", s.Limits)
		validateOwners(l, key+".owners", s.Owners)
	}
}

func validateModelService(a *Accepted, l *finding.List, key string, s *Service) {
	p := a.profiles[s.Profile]
	switch {
	case p == nil:
		l.Add(key+".profile", "profile %q does not exist", s.Profile)
	case p.Retired:
		l.Add(key+".profile", "profile %q is retired", s.Profile)
	}
}

func validateLimits(l *finding.List, key string, v Limits) {
	if v.Cold < 1 {
		l.Add(key+".cold", "is %d, want at least 1 request", v.Cold)
	}
	if v.Warm < v.Cold {
		l.Add(key+".warm", "is %d, want at least cold (%d)", v.Warm, v.Cold)
	}
	if v.RampStep < 1 {
		l.Add(key+".ramp_step", "is %d, want at least 1 completion", v.RampStep)
	}
	if v.MaxUnavailable < 0 {
		l.Add(key+".max_unavailable", "is negative")
	}
}

func validateOwners(l *finding.List, key string, o Owners) {
	for i, e := range o.Epochs {
		epochKey := fmt.Sprintf("%s.epochs[%d]", key, i)
		if len(e.Instances) == 0 {
			l.Add(epochKey+".instances", "is empty")
		}
		if i > 0 && !e.Start.After(o.Epochs[i-1].Start) {
			l.Add(epochKey+".start", "is not after the start of the epoch before it")
		}
	}
	if len(o.Epochs) > 0 && o.Until.IsZero() {
		l.Add(key+".until", "is missing although there are epochs")
	}
}

func validateDomains(a *Accepted, l *finding.List) {
	seen := uniqueNames{}
	for i, d := range a.FailureDomains {
		key := fmt.Sprintf("failure_domains[%d]", i)
		seen.check(l, key+".name", string(d.Name))
		if d.Region == "" {
			l.Add(key+".region", "is missing")
		}
		if d.State != DomainIn && d.State != DomainOut {
			l.Add(key+".state", "%q is neither %q nor %q", d.State, DomainIn, DomainOut)
		}
	}
}

func validateCustomers(a *Accepted, l *finding.List) {
	seen := uniqueNames{}
	keys := uniqueNames{}
	for i, c := range a.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		seen.check(l, key+".name", string(c.Name))
		keys.check(l, key+".key_sha256", c.KeySHA256)
		if c.Weight < 0 {
			l.Add(key+".weight", "is negative")
		}
	}
}

// uniqueNames detects values that are missing, too long or used twice.
type uniqueNames map[string]bool

func (n uniqueNames) check(l *finding.List, key, name string) {
	switch {
	case name == "":
		l.Add(key, "is missing")
	case len(name) > maxNameLength:
		l.Add(key, "has %d characters, the limit is %d", len(name), maxNameLength)
	case n[name]:
		l.Add(key, "%q is used twice", name)
	}
	n[name] = true
}

func checkURL(l *finding.List, key, value string, required bool) {
	if value == "" {
		if required {
			l.Add(key, "is missing")
		}
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.Add(key, "%q is not an http or https URL", value)
	}
}

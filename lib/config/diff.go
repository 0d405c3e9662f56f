package config

import (
	"fmt"
	"slices"

	"rattanspur.example/lib/fleet"
)

// ChangeKind is the kind of a difference between two documents.
type ChangeKind string

// The kinds of change.
const (
	ProfileAdded    ChangeKind = "profile_added"
	ProfileChanged  ChangeKind = "profile_changed"
	ProfileRetired  ChangeKind = "profile_retired"
	ProfileRemoved  ChangeKind = "profile_removed"
	ProfileChosen   ChangeKind = "profile_chosen"
	ServiceAdded    ChangeKind = "service_added"
	ServiceRemoved  ChangeKind = "service_removed"
	ServiceChanged  ChangeKind = "service_changed"
	LimitsChanged   ChangeKind = "limits_changed"
	OwnersChanged   ChangeKind = "owners_changed"
	DomainAdded     ChangeKind = "failure_domain_added"
	DomainRemoved   ChangeKind = "failure_domain_removed"
	DomainTakenOut  ChangeKind = "failure_domain_out"
	DomainTakenIn   ChangeKind = "failure_domain_in"
	CustomerAdded   ChangeKind = "customer_added"
	CustomerRemoved ChangeKind = "customer_removed"
	CustomerChanged ChangeKind = "customer_changed"
	// GenerationNotGreater means that no process would adopt the later document.
	GenerationNotGreater ChangeKind = "generation_not_greater"
)

// Change is one difference and its effect on the fleet.
type Change struct {
	Kind          ChangeKind          `json:"kind"`
	Service       fleet.Service       `json:"service,omitempty"`
	Profile       fleet.ProfileName   `json:"profile,omitempty"`
	FailureDomain fleet.FailureDomain `json:"failure_domain,omitempty"`
	Customer      fleet.Customer      `json:"customer,omitempty"`
	// Meaning describes what the fleet will do.
	Meaning string `json:"meaning"`
	// Violation is true if the change breaks a guarantee of the older document
	// or has no effect, so that it should not be published.
	Violation bool `json:"violation,omitempty"`
}

// Diff returns the differences from one accepted document to a later one, in
// document order.
func Diff(from, to *Accepted) []Change {
	var d differ
	if to.Generation <= from.Generation {
		d.violation(Change{Kind: GenerationNotGreater}, "generation %d is not greater than %d; no process adopts it",
			to.Generation, from.Generation)
	}
	d.profiles(from, to)
	d.services(from, to)
	d.domains(from, to)
	d.customers(from, to)
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(c Change, format string, args ...any) {
	c.Meaning = fmt.Sprintf(format, args...)
	d.changes = append(d.changes, c)
}

func (d *differ) violation(c Change, format string, args ...any) {
	c.Violation = true
	d.add(c, format, args...)
}

func (d *differ) profiles(from, to *Accepted) {
	for _, p := range to.Profiles {
		old := from.Profile(p.Name)
		switch {
		case old == nil:
			d.add(Change{Kind: ProfileAdded, Profile: p.Name}, "version %s can be chosen by a service", p.Version)
		case p.Retired && !old.Retired:
			d.add(Change{Kind: ProfileRetired, Profile: p.Name}, "requests that name the profile are refused; agents free version %s", p.Version)
		case *old != p:
			d.add(Change{Kind: ProfileChanged, Profile: p.Name}, "version %s with root %.12s becomes version %s with root %.12s",
				old.Version, old.Weights.Root, p.Version, p.Weights.Root)
			d.profileReloads(to, old, &p)
		}
	}
	for _, p := range from.Profiles {
		if to.Profile(p.Name) == nil {
			d.add(Change{Kind: ProfileRemoved, Profile: p.Name}, "requests that name the profile find nothing")
		}
	}
}

// profileReloads reports the services that load other weights because the
// profile that they already serve has changed.
func (d *differ) profileReloads(to *Accepted, old, p *Profile) {
	if old.Weights.Root == p.Weights.Root {
		return
	}
	for i := range to.Services {
		if s := &to.Services[i]; s.Kind == KindModel && s.Profile == p.Name {
			d.add(Change{Kind: ProfileChosen, Service: s.Name, Profile: p.Name}, "%s", loadMeaning(s, p))
		}
	}
}

// loadMeaning describes how the upstreams of a service load the weights of a
// profile.
func loadMeaning(s *Service, p *Profile) string {
	manner := "closing one upstream after another"
	switch {
	case s.LoadsAlongside:
		manner = "beside the version that serves"
	case s.Limits.MaxUnavailable > 1:
		manner = fmt.Sprintf("closing up to %d upstreams at a time", s.Limits.MaxUnavailable)
	}
	return fmt.Sprintf("every upstream of %s loads version %s with root %.12s, %s", s.Name, p.Version, p.Weights.Root, manner)
}

func (d *differ) services(from, to *Accepted) {
	for i := range to.Services {
		s := &to.Services[i]
		old := from.Service(s.Name)
		if old == nil {
			d.add(Change{Kind: ServiceAdded, Service: s.Name}, "requests for the service are routed to its upstreams")
			old = &Service{}
		} else {
			d.service(old, s)
		}
		if p := to.ServedProfile(s.Name); p != nil && old.Profile != s.Profile {
			d.add(Change{Kind: ProfileChosen, Service: s.Name, Profile: s.Profile}, "%s", loadMeaning(s, p))
		}
	}
	for i := range from.Services {
		if s := &from.Services[i]; to.Service(s.Name) == nil {
			d.add(Change{Kind: ServiceRemoved, Service: s.Name}, "requests for the service are refused and its upstreams receive no work")
			d.owners(s, &Service{Name: s.Name})
		}
	}
}

func (d *differ) service(old, s *Service) {
	if old.Kind != s.Kind || old.PathPrefix != s.PathPrefix || !slices.Equal(old.Once, s.Once) ||
		old.ChecksFence != s.ChecksFence || old.LoadsAlongside != s.LoadsAlongside {
		d.add(Change{Kind: ServiceChanged, Service: s.Name}, "kind, path, calls that may not be repeated or engine properties differ")
	}
	if old.Limits != s.Limits {
		d.add(Change{Kind: LimitsChanged, Service: s.Name}, "an upstream takes %d requests cold and %d warm, instead of %d and %d",
			s.Limits.Cold, s.Limits.Warm, old.Limits.Cold, old.Limits.Warm)
	}
	d.owners(old, s)
}

// owners compares owner epochs and checks the guarantee of the older document
// (Owners.Until).
func (d *differ) owners(old, s *Service) {
	c := Change{Kind: OwnersChanged, Service: s.Name}
	before := len(d.changes)
	for _, e := range s.Owners.Epochs {
		known := slices.IndexFunc(old.Owners.Epochs, func(o OwnerEpoch) bool { return o.Start.Equal(e.Start) })
		if known >= 0 && slices.Equal(old.Owners.Epochs[known].Instances, e.Instances) {
			continue
		}
		if e.Start.Before(old.Owners.Until) {
			d.violation(c, "owners from %s change although the document in force promises none before %s; a request may run twice",
				e.Start.Format(timeFormat), old.Owners.Until.Format(timeFormat))
			continue
		}
		d.add(c, "%d instances own the keys made from %s on", len(e.Instances), e.Start.Format(timeFormat))
	}
	d.removedEpochs(c, old, s)
	switch {
	case s.Owners.Until.Before(old.Owners.Until):
		d.violation(c, "the promise ends at %s instead of %s; processes that hold the older document still rely on it",
			s.Owners.Until.Format(timeFormat), old.Owners.Until.Format(timeFormat))
	case s.Owners.Until.After(old.Owners.Until) && len(d.changes) == before:
		d.add(c, "keys made before %s are accepted", s.Owners.Until.Format(timeFormat))
	}
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// removedEpochs checks that only the oldest epochs are removed. If a later one
// is removed, its keys get the owners of the epoch before it.
func (d *differ) removedEpochs(c Change, old, s *Service) {
	for i, o := range old.Owners.Epochs {
		kept := slices.ContainsFunc(s.Owners.Epochs, func(e OwnerEpoch) bool { return e.Start.Equal(o.Start) })
		if kept || !o.Start.Before(old.Owners.Until) {
			continue
		}
		earlier := slices.ContainsFunc(s.Owners.Epochs, func(e OwnerEpoch) bool { return e.Start.Before(o.Start) })
		if earlier {
			d.violation(c, "the epoch from %s is removed and its keys get another owner; a request may run twice", o.Start.Format(timeFormat))
		} else if i+1 < len(old.Owners.Epochs) || len(s.Owners.Epochs) > 0 {
			d.add(c, "keys made before the next epoch than %s are refused", o.Start.Format(timeFormat))
		}
	}
}

func (d *differ) domains(from, to *Accepted) {
	for _, f := range to.FailureDomains {
		c := Change{FailureDomain: f.Name}
		old := from.domains[f.Name]
		switch {
		case old == nil && f.State == DomainIn:
			c.Kind = DomainAdded
			d.add(c, "instances in the failure domain take work")
		case old == nil:
			c.Kind = DomainAdded
			d.add(c, "instances in the failure domain take no work yet")
		case old.State != f.State && f.State == DomainOut:
			c.Kind = DomainTakenOut
			d.add(c, "the failure domain gets no new work within a few seconds; requests in progress end there")
		case old.State != f.State:
			c.Kind = DomainTakenIn
			d.add(c, "the failure domain takes new work; cold upstreams start at their cold limit")
		}
	}
	for _, f := range from.FailureDomains {
		if to.domains[f.Name] == nil {
			d.add(Change{Kind: DomainRemoved, FailureDomain: f.Name}, "instances in a failure domain that is not named take no work")
		}
	}
}

func (d *differ) customers(from, to *Accepted) {
	old := map[fleet.Customer]Customer{}
	for _, c := range from.Customers {
		old[c.Name] = c
	}
	for _, c := range to.Customers {
		before, known := old[c.Name]
		delete(old, c.Name)
		switch {
		case !known:
			d.add(Change{Kind: CustomerAdded, Customer: c.Name}, "requests with the customer's key are accepted")
		case before.KeySHA256 != c.KeySHA256:
			d.add(Change{Kind: CustomerChanged, Customer: c.Name}, "the customer's former key is refused")
		case before != c:
			d.add(Change{Kind: CustomerChanged, Customer: c.Name}, "the customer's weight is %d and its priority %d", c.Weight, c.Priority)
		}
	}
	for _, c := range from.Customers {
		if _, removed := old[c.Name]; removed {
			d.add(Change{Kind: CustomerRemoved, Customer: c.Name}, "requests with the customer's key are refused")
		}
	}
}

package config

import (
	"bytes"

	"github.com/zeebo/blake3"

	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
)

// Stamp orders accepted documents by generation, then by digest. The order is
// total, so processes that adopt the greatest stamp they have seen converge on
// the same document.
type Stamp struct {
	Generation fleet.Generation `json:"generation"`
	Digest     fleet.Digest     `json:"digest"`
}

// Compare returns -1, 0 or 1 if s is less than, equal to or greater than o.
func (s Stamp) Compare(o Stamp) int {
	switch {
	case s.Generation < o.Generation:
		return -1
	case s.Generation > o.Generation:
		return 1
	default:
		return bytes.Compare(s.Digest[:], o.Digest[:])
	}
}

// IsZero reports whether no document has been adopted yet.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Accepted is a document that passed validation. It is immutable. Processes
// forward it as the published bytes, so that the digest stays the same.
type Accepted struct {
	Document
	Stamp Stamp
	Bytes []byte

	profiles       map[fleet.ProfileName]*Profile
	services       map[fleet.Service]*Service
	domains        map[fleet.FailureDomain]*FailureDomain
	customersByKey map[string]*Customer
}

// Accept parses and validates published bytes. The error is a *finding.Error
// with all findings.
func Accept(data []byte) (*Accepted, error) {
	var findings finding.List
	if len(data) > MaxDocumentBytes {
		findings.Add("", "document has %d bytes, the limit is %d", len(data), MaxDocumentBytes)
		return nil, findings.Err()
	}
	a := &Accepted{Bytes: data}
	if err := decode(data, &a.Document); err != nil {
		return nil, err
	}
	a.index()
	validate(a, &findings)
	if len(findings.Findings) > 0 {
		setLines(data, findings.Findings)
		return nil, findings.Err()
	}
	a.Stamp = Stamp{Generation: a.Generation, Digest: blake3.Sum256(data)}
	return a, nil
}

func (a *Accepted) index() {
	a.profiles = make(map[fleet.ProfileName]*Profile, len(a.Profiles))
	for i := range a.Profiles {
		a.profiles[a.Profiles[i].Name] = &a.Profiles[i]
	}
	a.services = make(map[fleet.Service]*Service, len(a.Services))
	for i := range a.Services {
		a.services[a.Services[i].Name] = &a.Services[i]
	}
	a.domains = make(map[fleet.FailureDomain]*FailureDomain, len(a.FailureDomains))
	for i := range a.FailureDomains {
		a.domains[a.FailureDomains[i].Name] = &a.FailureDomains[i]
	}
	a.customersByKey = make(map[string]*Customer, len(a.Customers))
	for i := range a.Customers {
		a.customersByKey[a.Customers[i].KeySHA256] = &a.Customers[i]
	}
}

// Profile returns the profile with that name, or nil.
func (a *Accepted) Profile(name fleet.ProfileName) *Profile { return a.profiles[name] }

// Service returns the service with that name, or nil.
func (a *Accepted) Service(name fleet.Service) *Service { return a.services[name] }

// CustomerByKey returns the customer whose key has that SHA-256, or nil.
func (a *Accepted) CustomerByKey(sha256Hex string) *Customer { return a.customersByKey[sha256Hex] }

// DomainIn reports whether a failure domain accepts new work. A domain that is
// not in the document accepts none.
func (a *Accepted) DomainIn(name fleet.FailureDomain) bool {
	d := a.domains[name]
	return d != nil && d.State == DomainIn
}

// ServedProfile returns the profile that a model service serves, or nil.
func (a *Accepted) ServedProfile(name fleet.Service) *Profile {
	s := a.services[name]
	if s == nil || s.Kind != KindModel {
		return nil
	}
	return a.profiles[s.Profile]
}

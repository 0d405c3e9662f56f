package operator

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
)

// Action is the kind of a configuration change.
type Action string

// The actions that can be drafted.
const (
	// Switch changes the profile that a service serves.
	Switch Action = "switch"
	// Retire marks a profile as retired.
	Retire Action = "retire"
	// DomainOut takes a failure domain out of service.
	DomainOut Action = "domain-out"
	// DomainIn puts a failure domain back in service.
	DomainIn Action = "domain-in"
)

// Change is one change of the configuration. Which fields are used depends on the
// action.
type Change struct {
	Action  Action
	Service fleet.Service
	Profile fleet.ProfileName
	Domain  fleet.FailureDomain
}

// Draft returns a copy of the current document with the change applied and the
// next generation. It returns a *finding.Error if the change refers to something
// that does not exist or the resulting document is not valid.
func Draft(current *config.Accepted, change Change) (*config.Accepted, error) {
	next, err := clone(&current.Document)
	if err != nil {
		return nil, err
	}
	next.Generation++
	if err := apply(next, change); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(next, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "encode draft")
	}
	return config.Accept(data)
}

func clone(d *config.Document) (*config.Document, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	var c config.Document
	return &c, eris.Wrap(json.Unmarshal(data, &c), "decode configuration")
}

func apply(d *config.Document, change Change) error {
	var l finding.List
	switch change.Action {
	case Switch:
		applySwitch(d, change, &l)
	case Retire:
		applyRetire(d, change, &l)
	case DomainOut:
		applyDomain(d, change.Domain, config.DomainOut, &l)
	case DomainIn:
		applyDomain(d, change.Domain, config.DomainIn, &l)
	default:
		l.Add("action", "%q is not an action", change.Action)
	}
	return l.Err()
}

func applySwitch(d *config.Document, change Change, l *finding.List) {
	for i := range d.Services {
		if d.Services[i].Name == change.Service {
			d.Services[i].Profile = change.Profile
			return
		}
	}
	l.Add("service", "%q does not exist", change.Service)
}

func applyRetire(d *config.Document, change Change, l *finding.List) {
	for i := range d.Profiles {
		if d.Profiles[i].Name == change.Profile {
			d.Profiles[i].Retired = true
			return
		}
	}
	l.Add("profile", "%q does not exist", change.Profile)
}

func applyDomain(d *config.Document, name fleet.FailureDomain, state config.DomainState, l *finding.List) {
	for i := range d.FailureDomains {
		if d.FailureDomains[i].Name == name {
			d.FailureDomains[i].State = state
			return
		}
	}
	l.Add("failure_domain", "%q does not exist", name)
}

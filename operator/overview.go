package operator

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/timeline"
)

// maxShownEvents is the maximum number of events on the page.
const maxShownEvents = 30

// Overview is the state that the page shows and state.json contains.
type Overview struct {
	Instance   fleet.InstanceID `json:"instance"`
	Generation fleet.Generation `json:"generation"`
	Digest     fleet.Digest     `json:"digest"`
	Services   []ServiceState   `json:"services"`
	Profiles   []ProfileState   `json:"profiles"`
	Domains    []DomainState    `json:"failure_domains"`
	Events     []EventLine      `json:"events"`
}

// ServiceState counts the upstreams of a service.
type ServiceState struct {
	Name    fleet.Service      `json:"name"`
	Kind    config.ServiceKind `json:"kind"`
	Profile fleet.ProfileName  `json:"profile,omitempty"`
	// Serving is the number of live upstreams that serve the chosen profile. For a
	// service without a profile, it is the number of live upstreams.
	Serving int `json:"serving"`
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	Percent int `json:"percent"`
	// Profiles lists the profiles that a switch of the service can choose.
	Profiles []fleet.ProfileName
}

// ProfileState counts the upstreams that serve a profile.
type ProfileState struct {
	Name    fleet.ProfileName `json:"name"`
	Version fleet.Version     `json:"version"`
	Serving int               `json:"serving"`
	Retired bool              `json:"retired"`
	Chosen  bool              `json:"chosen"`
}

// DomainState counts the instances of a failure domain.
type DomainState struct {
	Name      fleet.FailureDomain `json:"name"`
	Region    fleet.Region        `json:"region"`
	In        bool                `json:"in"`
	Instances int                 `json:"instances"`
}

// EventLine is one event as the page shows it.
type EventLine struct {
	Time     string           `json:"time"`
	Instance fleet.InstanceID `json:"instance"`
	Kind     timeline.Kind    `json:"kind"`
	Detail   string           `json:"detail,omitempty"`
}

// Summarize returns the overview of a snapshot. If the snapshot has no
// configuration, only Instance is set.
func Summarize(s Snapshot) Overview {
	o := Overview{Instance: s.Self.ID}
	if s.Config == nil {
		return o
	}
	o.Generation = s.Config.Generation
	o.Digest = s.Config.Stamp.Digest
	serving := countServing(s.Members)
	for i := range s.Config.Services {
		o.Services = append(o.Services, serviceState(s, &s.Config.Services[i]))
	}
	for i := range s.Config.Profiles {
		p := &s.Config.Profiles[i]
		o.Profiles = append(o.Profiles, ProfileState{
			Name: p.Name, Version: p.Version, Serving: serving[p.Weights.Root],
			Retired: p.Retired, Chosen: isChosen(s.Config, p.Name),
		})
	}
	for _, d := range s.Config.FailureDomains {
		o.Domains = append(o.Domains, DomainState{
			Name: d.Name, Region: d.Region, In: d.State == config.DomainIn,
			Instances: countInstances(s.Members, d.Name),
		})
	}
	o.Events = eventLines(s.Events)
	return o
}

func countServing(members []fleet.Instance) map[fleet.Digest]int {
	counts := map[fleet.Digest]int{}
	for _, m := range members {
		if !m.Serving.IsZero() {
			counts[m.Serving]++
		}
	}
	return counts
}

func serviceState(s Snapshot, service *config.Service) ServiceState {
	state := ServiceState{Name: service.Name, Kind: service.Kind, Profile: service.Profile}
	profile := s.Config.ServedProfile(service.Name)
	for _, m := range s.Members {
		switch {
		case m.Role != fleet.RoleAgent || m.Service != service.Name:
			continue
		case m.State == fleet.StateLeaving:
			state.Leaving++
			continue
		}
		state.Live++
		if profile == nil || m.Serving == profile.Weights.Root {
			state.Serving++
		}
	}
	if state.Live > 0 {
		state.Percent = 100 * state.Serving / state.Live
	}
	if service.Kind == config.KindModel {
		state.Profiles = otherProfiles(s.Config, service.Profile)
	}
	return state
}

func otherProfiles(c *config.Accepted, chosen fleet.ProfileName) []fleet.ProfileName {
	var names []fleet.ProfileName
	for _, p := range c.Profiles {
		if !p.Retired && p.Name != chosen {
			names = append(names, p.Name)
		}
	}
	return names
}

func isChosen(c *config.Accepted, name fleet.ProfileName) bool {
	for _, s := range c.Services {
		if s.Kind == config.KindModel && s.Profile == name {
			return true
		}
	}
	return false
}

func countInstances(members []fleet.Instance, name fleet.FailureDomain) int {
	n := 0
	for _, m := range members {
		if m.FailureDomain == name {
			n++
		}
	}
	return n
}

// eventLines returns up to maxShownEvents events, newest first. Events of single
// requests are left out, because they would hide the rest.
func eventLines(events []timeline.Event) []EventLine {
	var lines []EventLine
	for i := len(events) - 1; i >= 0 && len(lines) < maxShownEvents; i-- {
		e := events[i]
		if e.Request != "" {
			continue
		}
		lines = append(lines, EventLine{
			Time:     time.UnixMilli(e.Stamp.Wall).UTC().Format("15:04:05"),
			Instance: e.Instance, Kind: e.Kind, Detail: e.Detail,
		})
	}
	return lines
}

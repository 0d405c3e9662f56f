package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"text/tabwriter"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/routing"
)

type explainCommand struct {
	Instances string `long:"instances-url" description:"base URL of the instance list" required:"true"`

	Model string `long:"model" description:"model that the request names"`
	Path  string `long:"path" description:"path of the request" default:"/v1/chat/completions"`
	JSON  bool   `long:"json" description:"print JSON"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"configuration document"`
	} `positional-args:"yes" required:"yes"`
}

// explanation describes where an entry would route a request.
type explanation struct {
	Service fleet.Service `json:"service,omitempty"`
	// Profiles lists the acceptable profiles, the preferred one first.
	Profiles  []fleet.ProfileName `json:"profiles,omitempty"`
	Upstreams []upstreamState     `json:"upstreams"`
}

// upstreamState describes whether an upstream of the service accepts new work.
// Reason is set if it does not.
type upstreamState struct {
	Instance      fleet.InstanceID    `json:"instance"`
	FailureDomain fleet.FailureDomain `json:"failure_domain"`
	TakesNewWork  bool                `json:"takes_new_work"`
	Reason        string              `json:"reason,omitempty"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	accepted, err := readConfig(c.Args.File)
	if err != nil {
		return err
	}
	list, err := confservice.ReadInstances(context.Background(), http.DefaultClient, c.Instances)
	if err != nil {
		return err
	}
	e := c.explain(accepted, list.Instances)
	if c.JSON {
		return printJSON(os.Stdout, e)
	}
	return printExplanation(e)
}

// explain resolves the request as an entry does and returns the state of each
// upstream of the service.
func (c *explainCommand) explain(a *config.Accepted, members []fleet.Instance) explanation {
	e := explanation{Upstreams: []upstreamState{}}
	target := routing.Resolve(a, c.Path, c.Model)
	if target.Service == nil {
		return e
	}
	e.Service = target.Service.Name
	for _, root := range target.Roots(a) {
		if p := target.ProfileOf(a, root); p != nil {
			e.Profiles = append(e.Profiles, p.Name)
		}
	}
	for _, m := range members {
		if m.Role == fleet.RoleAgent && m.Service == e.Service {
			e.Upstreams = append(e.Upstreams, stateOf(a, m))
		}
	}
	sort.Slice(e.Upstreams, func(i, j int) bool { return e.Upstreams[i].Instance < e.Upstreams[j].Instance })
	return e
}

// stateOf returns whether an upstream accepts new work.
func stateOf(a *config.Accepted, m fleet.Instance) upstreamState {
	s := upstreamState{Instance: m.ID, FailureDomain: m.FailureDomain}
	switch {
	case m.State != fleet.StateLive:
		s.Reason = "instance is leaving"
	case !a.DomainIn(m.FailureDomain):
		s.Reason = "failure domain is out"
	default:
		s.TakesNewWork = true
	}
	return s
}

func printExplanation(e explanation) error {
	if e.Service == "" {
		fmt.Println("no profile, service or path matches")
		return errSilent
	}
	fmt.Printf("service %s profiles %v\n", e.Service, e.Profiles)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, u := range e.Upstreams {
		state := "takes new work"
		if !u.TakesNewWork {
			state = u.Reason
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", u.Instance, u.FailureDomain, state)
	}
	return w.Flush()
}

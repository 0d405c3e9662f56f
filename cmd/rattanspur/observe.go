package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/node"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// queryTimeout bounds the query of one process.
const queryTimeout = 3 * time.Second

// peerKeyVariable is the environment variable with the peer key. A flag would
// show the key in the system's list of processes.
const peerKeyVariable = "RATTANSPUR_PEER_KEY"

// fleetOption selects the processes that a command queries.
type fleetOption struct {
	Instances string   `long:"instances-url" description:"base URL of the instance list"`
	Addresses []string `long:"address" description:"address of a process; may be repeated"`
	JSON      bool     `long:"json" description:"print JSON"`
}

// processes returns the processes to query.
func (o *fleetOption) processes(ctx context.Context) ([]fleet.Instance, error) {
	var list []fleet.Instance
	for _, a := range o.Addresses {
		list = append(list, fleet.Instance{ID: fleet.InstanceID(a), Address: a})
	}
	if o.Instances == "" {
		if len(list) == 0 {
			return nil, eris.New("give --instances-url or --address")
		}
		return list, nil
	}
	published, err := confservice.ReadInstances(ctx, http.DefaultClient, o.Instances)
	return append(list, published.Instances...), err
}

// peerClient returns a client that uses the peer key from the environment.
func peerClient() *wire.Client {
	return &wire.Client{HTTP: http.DefaultClient, Keys: wire.Keys{os.Getenv(peerKeyVariable)}}
}

// queryResult is the response of one process. Missing is the error if it did not
// respond.
type queryResult[T any] struct {
	Instance fleet.InstanceID `json:"instance"`
	Missing  string           `json:"missing,omitempty"`
	Value    T                `json:"value,omitempty"`
}

// queryAll gets a path from each process, one after the other.
func queryAll[T any](ctx context.Context, processes []fleet.Instance, path string) []queryResult[T] {
	client := peerClient()
	results := make([]queryResult[T], len(processes))
	for i, p := range processes {
		results[i].Instance = p.ID
		limited, cancel := context.WithTimeout(ctx, queryTimeout)
		if err := client.GetJSON(limited, p.Address, path, &results[i].Value); err != nil {
			results[i].Missing = err.Error()
		}
		cancel()
	}
	return results
}

type timelineCommand struct {
	fleetOption
	Request  string `long:"request" description:"only events of this request"`
	Profile  string `long:"profile" description:"only events of this profile"`
	Domain   string `long:"failure-domain" description:"only events of this failure domain"`
	Instance string `long:"instance" description:"only events of this instance"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	ctx := context.Background()
	processes, err := c.processes(ctx)
	if err != nil {
		return err
	}
	report := timeline.Select(c.query(), node.CollectTimelines(ctx, peerClient(), processes))
	if c.JSON {
		return printJSON(os.Stdout, report)
	}
	for _, gap := range report.Missing {
		fmt.Fprintf(os.Stderr, "missing %s: %s\n", gap.Instance, gap.Reason)
	}
	return printEvents(report.Events)
}

func (c *timelineCommand) query() timeline.Query {
	return timeline.Query{
		Request:       c.Request,
		Profile:       fleet.ProfileName(c.Profile),
		Instance:      fleet.InstanceID(c.Instance),
		FailureDomain: fleet.FailureDomain(c.Domain),
	}
}

func printEvents(events []timeline.Event) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range events {
		at := time.UnixMilli(e.Stamp.Wall).UTC().Format("15:04:05.000")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Instance, e.Kind, e.Peer, e.Request, e.Detail)
	}
	return w.Flush()
}

type statusCommand struct{ fleetOption }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx := context.Background()
	processes, err := c.processes(ctx)
	if err != nil {
		return err
	}
	results := queryAll[json.RawMessage](ctx, processes, wire.PathStatus)
	if c.JSON {
		return printJSON(os.Stdout, results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, a := range results {
		state := string(a.Value)
		if a.Missing != "" {
			state = "missing: " + a.Missing
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\n", a.Instance, state)
	}
	return w.Flush()
}

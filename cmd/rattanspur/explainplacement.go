package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/gateway"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/wire"
)

// customerKeyVariable is the environment variable with the key of a customer. A flag would
// show the key in the system's list of processes.
const customerKeyVariable = "RATTANSPUR_CUSTOMER_KEY"

// explainPlacementCommand asks a running gateway where a request would go now, and why. The
// request is not sent.
type explainPlacementCommand struct {
	Gateway              string        `long:"gateway" description:"control address of the gateway, as host:port" required:"true"`
	Host                 string        `long:"host" description:"host that the request names" required:"true"`
	Path                 string        `long:"path" description:"path of the request" required:"true"`
	Customer             string        `long:"customer" description:"name of the customer; without it, the key is read from RATTANSPUR_CUSTOMER_KEY"`
	Model                string        `long:"model" description:"model that the request names"`
	PromptTokens         int           `long:"prompt-tokens" description:"number of tokens of the prompt"`
	MaxAnswerTokens      int           `long:"max-answer-tokens" description:"maximum number of tokens of the answer"`
	ExpectedAnswerTokens int           `long:"expected-answer-tokens" description:"caller's estimate of the tokens of the answer"`
	TimeBudget           time.Duration `long:"time-budget" description:"how long the caller waits, such as 6s"`
	Parts                []string      `long:"prompt-part" description:"identifier of a part of the prompt that other requests share; may be repeated"`
	Upstream             string        `long:"upstream" description:"upstream to list in any case"`
	Limit                int           `long:"limit" description:"maximum number of upstreams to list for each service" default:"20"`
	JSON                 bool          `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *explainPlacementCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	p, err := c.query(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(os.Stdout, p)
	} else {
		err = printPlacement(os.Stdout, p)
	}
	if err == nil && p.Verdict != "" {
		return errSilent
	}
	return err
}

// query asks the gateway.
func (c *explainPlacementCommand) query(ctx context.Context) (*gateway.Placement, error) {
	q := gateway.PlacementQuery{
		Host: c.Host, Path: c.Path, Customer: fleet.Customer(c.Customer), Model: c.Model,
		PromptTokens: c.PromptTokens, MaxAnswerTokens: c.MaxAnswerTokens, ExpectedAnswerTokens: c.ExpectedAnswerTokens,
		TimeBudgetMS: c.TimeBudget.Milliseconds(), PromptParts: c.Parts,
		Upstream: fleet.InstanceID(c.Upstream), Limit: c.Limit,
	}
	if c.Customer == "" {
		q.Key = os.Getenv(customerKeyVariable)
	}
	client := wire.Client{HTTP: http.DefaultClient}
	var p gateway.Placement
	if err := client.PostJSON(ctx, c.Gateway, gateway.PathExplain, &q, &p); err != nil {
		return nil, eris.Wrapf(err, "ask gateway %s", c.Gateway)
	}
	return &p, nil
}

// printPlacement prints what would become of a request.
func printPlacement(w io.Writer, p *gateway.Placement) error {
	if p.Route != "" {
		_, _ = fmt.Fprintf(w, "route %s", p.Route)
		if p.Customer != "" {
			_, _ = fmt.Fprintf(w, ", customer %s", p.Customer)
		}
		if p.Returning {
			_, _ = fmt.Fprint(w, ", a retry after a rejection by its time budget")
		}
		_, _ = fmt.Fprintln(w)
	}
	if p.Verdict != "" {
		_, _ = fmt.Fprintf(w, "refused (%s): %s\n", p.Verdict, p.Reason)
	}
	for i := range p.Services {
		if err := printServicePlacement(w, &p.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

func printServicePlacement(w io.Writer, s *gateway.ServicePlacement) error {
	_, _ = fmt.Fprintf(w, "service %s (weight %d): %s\n", s.Service, s.Weight, decisionText(s))
	if s.Contended {
		_, _ = fmt.Fprintln(w, "  new requests wait or are rejected, so each gateway uses only the slots that it owns")
	}
	for _, n := range s.Counts {
		_, _ = fmt.Fprintf(w, "  %d %s%s\n", n.Count, n.State, suffix(": ", n.Reason))
	}
	if err := printUpstreamPlacements(w, s.Upstreams); err != nil {
		return err
	}
	if s.Omitted > 0 {
		_, _ = fmt.Fprintf(w, "  %d further upstreams are not listed (--limit, --upstream)\n", s.Omitted)
	}
	return nil
}

// decisionText describes a decision and its reason.
func decisionText(s *gateway.ServicePlacement) string {
	switch {
	case s.Upstream != "":
		return fmt.Sprintf("sent to %s", s.Upstream)
	case s.MaxWaitMS > 0:
		return fmt.Sprintf("%s for at most %d ms, behind %d others: %s", s.Decision, s.MaxWaitMS, s.Ahead, s.Reason)
	case s.RetryAfterMS > 0:
		return fmt.Sprintf("%s, retry after %d ms: %s", s.Decision, s.RetryAfterMS, s.Reason)
	}
	return s.Decision + suffix(": ", s.Reason)
}

// suffix returns a text behind a separator, or "" if the text is empty.
func suffix(separator, text string) string {
	if text == "" {
		return ""
	}
	return separator + text
}

func printUpstreamPlacements(out io.Writer, list []gateway.UpstreamPlacement) error {
	if len(list) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "  upstream\tregion\tstate\tload/slots\town\tprompt tokens\tversion\tcost\tparts\treason")
	for i := range list {
		u := &list[i]
		cost, parts := "-", "-"
		if u.Parts != nil {
			cost, parts = fmt.Sprintf("%.3f", u.Cost), partsText(u.Parts)
		}
		reason := u.Reason
		if u.AvoidedForMS > 0 {
			reason += fmt.Sprintf(" (%d ms more)", u.AvoidedForMS)
		}
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%s\t%s\t%s\n",
			u.Upstream, u.Region, u.State, u.Load, u.Slots, u.OwnSlots, u.PromptTokens, u.Version, cost, parts, strings.TrimSpace(reason))
	}
	return w.Flush()
}

// partsText lists the parts of a cost that are not zero.
func partsText(p *gateway.PlacementCosts) string {
	var parts []string
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"load", p.Load}, {"region", p.Region}, {"ownership", p.Ownership},
		{"first-byte", p.FirstByte}, {"prompts", p.Prompts}, {"update", p.Update},
	} {
		if text := fmt.Sprintf("%.3f", part.value); text != "0.000" && text != "-0.000" {
			parts = append(parts, part.name+" "+text)
		}
	}
	return strings.Join(parts, ", ")
}

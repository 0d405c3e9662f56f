package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// bindSlack is added to a time that binds, for the clocks of the parts of a
// soak.
const bindSlack = 200 * time.Millisecond

// verdict collects the promises that the records show broken.
type verdict struct {
	*records
	broken []string
}

func (v *verdict) add(rule, attempt, format string, values ...any) {
	s := v.sent[attempt]
	v.broken = append(v.broken, fmt.Sprintf("%s: attempt %s (%s) by %s: %s", rule, attempt, s.kind, s.gateway, fmt.Sprintf(format, values...)))
}

// check returns the promises that the records show broken. Promises with a
// time are checked if timed is set.
func check(r *records, timed bool) []string {
	v := &verdict{records: r, broken: slices.Clone(r.broken)}
	for attempt, runs := range r.runs {
		v.runs(attempt, runs)
		if timed {
			for i := range runs {
				v.times(&runs[i])
			}
		}
	}
	for attempt, a := range r.answers {
		v.answer(attempt, a)
		if timed && a.status == http.StatusUnauthorized {
			v.denied(attempt, a)
		}
	}
	slices.Sort(v.broken)
	return v.broken
}

// runs checks what replicas worked on.
func (v *verdict) runs(attempt string, runs []ran) {
	s, known := v.sent[attempt]
	if !known {
		v.broken = append(v.broken, "UNASKED: a replica ran "+attempt+", which nobody sent")
		return
	}
	if len(runs) > 1 && !s.kind.repeatable() {
		v.add("TWICE", attempt, "ran %d times", len(runs))
	}
	if len(runs) > maxAttempts {
		v.add("ATTEMPTS", attempt, "ran at %d replicas", len(runs))
	}
	service := deskService
	if s.kind == stream || s.kind == review {
		service = engineService
	}
	for _, n := range runs {
		switch {
		case n.path != s.path || n.body != s.body:
			v.add("UNASKED", attempt, "ran with another path or body")
		case n.tenant != tenantName || n.keyed:
			v.add("UNASKED", attempt, "ran for customer %q, with the key passed on: %t", n.tenant, n.keyed)
		case n.service != service:
			v.add("ROUTE", attempt, "ran at a replica of %s", n.service)
		}
	}
}

// answer checks what a caller got.
func (v *verdict) answer(attempt string, a answered) {
	runs := v.records.runs[attempt]
	s := v.sent[attempt]
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 && !s.kind.repeatable() {
			v.add("REFUSED", attempt, "was answered %d and ran at %s", a.status, runs[0].replica)
		}
		return
	case http.StatusUnauthorized:
		if len(runs) > 0 {
			v.add("REFUSED", attempt, "was answered 401 and ran")
		}
		return
	case http.StatusOK:
	default:
		return
	}
	i := slices.IndexFunc(runs, func(n ran) bool { return n.signature == a.signature })
	switch {
	case i < 0:
		v.add("MIXED", attempt, "a success with the signature %q of no run", a.signature)
	case !a.whole:
	case s.kind == stream || s.kind == review:
		if want := eventsOf(runs[i].version); a.body != want {
			v.add("ORDER", attempt, "a stream that looks complete is %q", shorten(a.body, want))
		}
	case a.body != resultOf(attempt, runs[i].replica):
		v.add("MIXED", attempt, "the body %q is not the replica's", a.body)
	}
}

// denied checks a refusal of a key: it is broken if the key was published long
// enough before the request and not revoked before the answer.
func (v *verdict) denied(attempt string, a answered) {
	s := v.sent[attempt]
	known := false
	for _, c := range v.named {
		due := c.from.Add(configTime + bindSlack)
		switch {
		case c.value != s.key:
		case c.what == "revoked" && c.from.Before(a.at):
			return
		case c.what == "key" && s.at.After(due) && v.calm(s.gateway, due.Add(-configTime), a.at):
			known = true
		}
	}
	if known {
		v.add("DENIED", attempt, "%s was answered 401", s.key)
	}
}

// eventsOf is a whole stream.
func eventsOf(version int64) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(eventOf(version, i))
	}
	return b.String()
}

// shorten returns a text from where it differs from another.
func shorten(text, other string) string {
	n := 0
	for n < len(text) && n < len(other) && text[n] == other[n] {
		n++
	}
	const shown = 80
	return text[max(n-shown, 0):min(n+shown, len(text))]
}

// times checks a run against what was published before it.
func (v *verdict) times(n *ran) {
	s := v.sent[n.attempt]
	bound := func(rule string, c *named, within time.Duration, format string, values ...any) {
		due := c.from.Add(within + bindSlack)
		if !n.at.After(due) || !s.at.After(c.from) || (!c.to.IsZero() && n.at.After(c.to)) {
			return
		}
		if v.calm(s.gateway, due.Add(-within), n.at) && v.calm(n.address, due.Add(-within), n.at) {
			v.add(rule, n.attempt, "%s, %s after that was acknowledged", fmt.Sprintf(format, values...), n.at.Sub(c.from).Round(time.Millisecond))
		}
	}
	for i := range v.named {
		c := &v.named[i]
		switch {
		case c.what == "leaving" && c.value == n.replica:
			bound("DRAIN", c, drainTime, "reached %s, which leaves", n.replica)
		case c.what == "evacuated" && c.value == n.zone:
			bound("EVAC", c, evacuateTime, "reached %s in %s, which is evacuated", n.replica, n.zone)
		case c.what == "revoked" && c.value == s.key:
			bound("CONFIG", c, configTime, "ran with the revoked %s", s.key)
		case c.what == "version" && n.service == engineService && n.version < number(c.value):
			bound("VERSION", c, versionTime, "began on version %d of the weights instead of %s", n.version, c.value)
		}
	}
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// calm reports whether something was undisturbed in a span and the contact
// time before it.
func (v *verdict) calm(what string, from, to time.Time) bool {
	from = from.Add(-contactTime)
	for _, d := range v.disturbs {
		if d.what == what && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

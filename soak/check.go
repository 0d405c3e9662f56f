package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// clockSlack is added to each time limit to allow for differences between the
// clocks of the parts of a soak.
const clockSlack = 200 * time.Millisecond

// verification checks the records of a soak and collects the violations of
// guarantees. The methods runs, answer, ending, departure, refusedKey, timeLimits,
// shares and limits each check one group of rules.
type verification struct {
	*records
	violations []string
}

// addViolation adds a violation of a rule by one attempt.
func (v *verification) addViolation(rule, attempt, format string, values ...any) {
	sent := v.requests[attempt]
	v.violations = append(v.violations, fmt.Sprintf("%s: attempt %s (%s) by %s: %s", rule, attempt, sent.kind, sent.gateway, fmt.Sprintf(format, values...)))
}

// check returns the violations in the records, sorted. It checks guarantees with
// a time limit only if timed is set.
func check(r *records, timed bool) []string {
	v := &verification{records: r, violations: slices.Clone(r.violations)}
	for attempt, runs := range r.runs {
		v.runs(attempt, runs)
		if timed {
			for i := range runs {
				v.timeLimits(&runs[i])
			}
		}
	}
	for attempt, a := range r.answers {
		v.answer(attempt, a)
		v.ending(attempt, a, timed)
		if timed {
			v.departure(attempt, a)
		}
		if timed && a.status == http.StatusUnauthorized {
			v.refusedKey(attempt, a)
		}
	}
	v.shares()
	if timed {
		v.limits()
	}
	slices.Sort(v.violations)
	return v.violations
}

// runs verifies the runs of one attempt: how often it ran, and that each run
// received the right request at a replica of the right service.
func (v *verification) runs(attempt string, runs []replicaRun) {
	sent, known := v.requests[attempt]
	if !known {
		v.violations = append(v.violations, "UNASKED: a replica ran "+attempt+", which nobody sent")
		return
	}
	if len(runs) > 1 && !sent.kind.repeatable() {
		v.addViolation("TWICE", attempt, "ran %d times", len(runs))
	}
	if len(runs) > maxAttempts {
		v.addViolation("ATTEMPTS", attempt, "ran at %d replicas", len(runs))
	}
	for _, run := range runs {
		switch {
		case run.path != sent.path || run.body != sent.body:
			v.addViolation("UNASKED", attempt, "ran with another path or body")
		case run.customer != sent.customer || run.hasKey:
			v.addViolation("UNASKED", attempt, "ran for customer %q, with the key passed on: %t", run.customer, run.hasKey)
		case !v.routed(&sent, &run):
			v.addViolation("ROUTE", attempt, "ran at a replica of %s", run.service)
		}
	}
}

// routed reports whether the run was at a replica of the service of its route. Which of
// two published services it is depends on the time.
func (v *verification) routed(sent *request, run *replicaRun) bool {
	if sent.kind.streams() {
		return run.service == engineService
	}
	return run.service == plainService || run.service == annexService && slices.ContainsFunc(v.changes, func(c change) bool {
		return c.category == "route" && c.value == sent.kind.String()+" "+annexService && c.from.Before(run.startedAt.Add(clockSlack))
	})
}

// answer verifies the answer to one attempt. An attempt refused with 401 must not
// have run; one refused otherwise may have run only if it is repeatable. A success
// must carry the signature of a run and, if complete, the body of that run.
func (v *verification) answer(attempt string, a answer) {
	runs := v.records.runs[attempt]
	sent := v.requests[attempt]
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 && !sent.kind.repeatable() {
			v.addViolation("REFUSED", attempt, "was answered %d and ran at %s", a.status, runs[0].replica)
		}
		return
	case http.StatusUnauthorized:
		if len(runs) > 0 {
			v.addViolation("REFUSED", attempt, "was answered 401 and ran")
		}
		return
	case http.StatusRequestEntityTooLarge:
		v.addViolation("REFUSED", attempt, "was answered %d with a body of %d bytes", a.status, len(sent.body))
		return
	case http.StatusOK:
	default:
		return
	}
	i := slices.IndexFunc(runs, func(run replicaRun) bool { return run.signature == a.signature })
	switch {
	case i < 0:
		v.addViolation("MIXED", attempt, "a success with the signature %q of no run", a.signature)
	case !a.complete:
	case sent.kind.streams():
		if want := streamBody(runs[i].version); a.body != want {
			v.addViolation("ORDER", attempt, "a stream that looks complete is %q", excerpt(a.body, want))
		}
	case a.body != resultBody(attempt, runs[i].replica):
		v.addViolation("MIXED", attempt, "the body %q is not the replica's", a.body)
	}
}

// refusedKey verifies a 401 answer. It is a violation if the key was published
// long enough before the request and not revoked before the answer, and the
// gateway was undisturbed.
func (v *verification) refusedKey(attempt string, a answer) {
	sent := v.requests[attempt]
	known := false
	for _, c := range v.changes {
		due := c.from.Add(configTime + clockSlack)
		switch {
		case c.value != sent.key:
		case c.category == "revoked" && c.from.Before(a.receivedAt):
			return
		case c.category == "key" && sent.sentAt.After(due) && v.undisturbed(sent.gateway, due.Add(-configTime), a.receivedAt):
			known = true
		}
	}
	if known {
		v.addViolation("DENIED", attempt, "%s was answered 401", sent.key)
	}
}

// streamBody returns the body of a complete stream.
func streamBody(version int64) string {
	var b strings.Builder
	for i := 1; i <= eventsPerStream; i++ {
		b.WriteString(eventText(version, i))
	}
	return b.String()
}

// excerpt returns the part of text around the first difference from other.
func excerpt(text, other string) string {
	n := 0
	for n < len(text) && n < len(other) && text[n] == other[n] {
		n++
	}
	const shown = 80
	return text[max(n-shown, 0):min(n+shown, len(text))]
}

// timeLimits verifies one run against the changes that were acknowledged before
// its request was sent. Each change must be obeyed within its time limit, unless
// the gateway or the replica was disturbed.
func (v *verification) timeLimits(run *replicaRun) {
	sent := v.requests[run.attempt]
	checkLimit := func(rule string, c *change, within time.Duration, format string, values ...any) {
		due := c.from.Add(within + clockSlack)
		if !run.startedAt.After(due) || !sent.sentAt.After(c.from) || (!c.to.IsZero() && run.startedAt.After(c.to)) {
			return
		}
		if v.undisturbed(sent.gateway, due.Add(-within), run.startedAt) && v.undisturbed(run.address, due.Add(-within), run.startedAt) {
			v.addViolation(rule, run.attempt, "%s, %s after that was acknowledged", fmt.Sprintf(format, values...), run.startedAt.Sub(c.from).Round(time.Millisecond))
		}
	}
	for i := range v.changes {
		c := &v.changes[i]
		switch {
		case c.category == "leaving" && c.value == run.replica:
			checkLimit("DRAIN", c, drainTime, "reached %s, which leaves", run.replica)
		case c.category == "evacuated" && c.value == run.zone:
			checkLimit("EVAC", c, evacuateTime, "reached %s in %s, which is evacuated", run.replica, run.zone)
		case c.category == "revoked" && c.value == sent.key:
			checkLimit("CONFIG", c, configTime, "ran with the revoked %s", sent.key)
		case c.category == "route" && c.value == sent.kind.String()+" "+annexService && run.service == plainService:
			checkLimit("CONFIG", c, configTime, "ran at a replica of %s, which its route had left", run.service)
		case c.category == "version" && run.service == engineService && run.version < parseNumber(c.value):
			checkLimit("VERSION", c, versionTime, "began on version %d of the weights instead of %s", run.version, c.value)
		}
	}
}

// parseNumber parses a decimal number. It returns 0 for any other text.
func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// undisturbed reports whether no disturbance of the target overlaps the given
// span extended by undisturbedTime before its start.
func (v *verification) undisturbed(target string, from, to time.Time) bool {
	from = from.Add(-undisturbedTime)
	for _, d := range v.disturbances {
		if d.target == target && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

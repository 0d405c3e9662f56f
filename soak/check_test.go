package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var baseTime = time.Unix(1000, 0)

// oneRequest returns the records of one request that ran once and was answered
// without a violation.
func oneRequest(k requestKind) *records {
	sent := request{attempt: "a", kind: k, path: "/p", body: "b", customer: customers[0], key: "key", gateway: "g", sentAt: baseTime.Add(time.Minute)}
	run := replicaRun{
		attempt: "a", replica: "r", service: plainService, zone: "z", address: "address", path: "/p", body: "b",
		customer: customers[0], signature: "s", startedAt: baseTime.Add(time.Minute),
	}
	received := answer{attempt: "a", status: http.StatusOK, signature: "s", body: resultBody("a", "r"), complete: true}
	if k == stream || k == review {
		run.service, run.version, received.body = engineService, 1, streamBody(1)
	}
	return &records{
		requests: map[string]request{"a": sent}, runs: map[string][]replicaRun{"a": {run}}, answers: map[string]answer{"a": received},
	}
}

// Guards against checks that report allowed behaviour as a violation.
func TestAllowedRecordsPass(t *testing.T) {
	for _, k := range []requestKind{lookup, order, stream, review} {
		require.Empty(t, check(oneRequest(k), true), k.String())
	}
	repeated := oneRequest(stream)
	repeated.runs["a"] = append(repeated.runs["a"], repeated.runs["a"][0])
	require.Empty(t, check(repeated, true))
}

// Guards against a check that misses the violation it is meant to find.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	// pastLimit publishes a change whose time limit ends a second before the run
	// begins.
	pastLimit := func(category, value string, within time.Duration) func(r *records) {
		return func(r *records) {
			r.changes = []change{{category: category, value: value, from: baseTime.Add(time.Minute - within - time.Second)}}
			sent := r.requests["a"]
			sent.sentAt = baseTime.Add(time.Minute - time.Millisecond)
			r.requests["a"] = sent
		}
	}
	modifyRun := func(modify func(run *replicaRun)) func(r *records) {
		return func(r *records) { modify(&r.runs["a"][0]) }
	}
	modifyAnswer := func(modify func(a *answer)) func(r *records) {
		return func(r *records) {
			a := r.answers["a"]
			modify(&a)
			r.answers["a"] = a
		}
	}
	for name, c := range map[string]struct {
		rule   string
		kind   requestKind
		modify func(r *records)
	}{
		"order that ran twice":     {"TWICE", order, func(r *records) { r.runs["a"] = append(r.runs["a"], r.runs["a"][0]) }},
		"too many attempts":        {"ATTEMPTS", lookup, func(r *records) { r.runs["a"] = append(r.runs["a"], r.runs["a"][0], r.runs["a"][0]) }},
		"refused request that ran": {"REFUSED", review, modifyAnswer(func(a *answer) { a.status = http.StatusServiceUnavailable })},
		"small body refused":       {"REFUSED", order, modifyAnswer(func(a *answer) { a.status = http.StatusRequestEntityTooLarge })},
		"request that nobody sent": {"UNASKED", order, func(r *records) { delete(r.requests, "a"); clear(r.answers) }},
		"changed body":             {"UNASKED", order, modifyRun(func(run *replicaRun) { run.body = "other" })},
		"another customer":         {"UNASKED", order, modifyRun(func(run *replicaRun) { run.customer = "other" })},
		"key passed on":            {"UNASKED", order, modifyRun(func(run *replicaRun) { run.hasKey = true })},
		"another service":          {"ROUTE", order, modifyRun(func(run *replicaRun) { run.service = engineService })},
		"answer without a run":     {"MIXED", order, modifyAnswer(func(a *answer) { a.signature = "" })},
		"truncated answer":         {"MIXED", order, modifyAnswer(func(a *answer) { a.body = a.body[1:] })},
		"truncated stream":         {"ORDER", stream, modifyAnswer(func(a *answer) { a.body = a.body[:len(a.body)-10] })},
		"stream of mixed versions": {"ORDER", stream, modifyAnswer(func(a *answer) { a.body = strings.Replace(a.body, "weights 1", "weights 2", 1) })},
		"run at a leaving replica": {"DRAIN", order, pastLimit("leaving", "r", drainTime)},
		"run in an evacuated zone": {"EVAC", order, pastLimit("evacuated", "z", evacuateTime)},
		"run with a revoked key":   {"CONFIG", order, pastLimit("revoked", "key", configTime)},
		"run on older weights":     {"VERSION", stream, pastLimit("version", "2", versionTime)},
		"recorded during the soak": {"EXIT", order, func(r *records) { r.violations = []string{"EXIT: x"} }},
	} {
		t.Run(name, func(t *testing.T) {
			r := oneRequest(c.kind)
			c.modify(r)
			violations := check(r, true)
			require.NotEmpty(t, violations)
			require.Contains(t, violations[0], c.rule)
		})
	}
}

// Guards against a check that misses the refusal of a key that every gateway
// must know, and against one that reports a correct refusal.
func TestRefusedKeys(t *testing.T) {
	denied := oneRequest(order)
	clear(denied.runs)
	denied.answers["a"] = answer{attempt: "a", status: http.StatusUnauthorized, receivedAt: baseTime.Add(time.Minute)}
	require.Empty(t, check(denied, true), "the key was never published")
	denied.changes = []change{{category: "key", value: "key", from: baseTime.Add(time.Minute - configTime)}}
	require.Empty(t, check(denied, true), "the time limit of the key had not passed")
	denied.changes[0].from = baseTime
	require.NotEmpty(t, check(denied, true))
	require.Empty(t, check(denied, false))
	denied.changes = append(denied.changes, change{category: "revoked", value: "key", from: baseTime.Add(time.Second)})
	require.Empty(t, check(denied, true), "the key was revoked before the answer")
}

// Guards against a check that applies time limits to a process that was
// disturbed meanwhile.
func TestDisturbedProcessIsExcused(t *testing.T) {
	for _, target := range []string{"g", "address"} {
		r := oneRequest(order)
		r.changes = []change{{category: "leaving", value: "r", from: baseTime}}
		require.NotEmpty(t, check(r, true))
		r.disturbances = []disturbance{{target: target, from: baseTime.Add(time.Minute - undisturbedTime), to: baseTime.Add(time.Minute)}}
		require.Empty(t, check(r, true), target)
		require.Empty(t, check(r, false))
	}
}

// Guards against a check that misses requests beyond a limit that a replica named, and
// against one that counts those before it was known or of a disturbed gateway.
func TestRequestsBeyondALimitAreFound(t *testing.T) {
	spaced := func(spacing time.Duration) *records {
		r := oneRequest(lookup)
		first := r.runs["a"][0]
		for i := range 40 {
			run := first
			run.startedAt = first.startedAt.Add(time.Duration(i) * spacing)
			r.runs["a"] = append(r.runs["a"], run)
		}
		r.changes = []change{{category: "limit", value: "r 2", from: first.startedAt.Add(-undisturbedTime - clockSlack)}}
		return r
	}
	violations := func(r *records) []string {
		v := &verification{records: r}
		v.limits()
		return v.violations
	}
	require.Len(t, violations(spaced(100*time.Millisecond)), 1)
	require.Empty(t, violations(spaced(300*time.Millisecond)))
	early := spaced(100 * time.Millisecond)
	early.changes[0].from = early.changes[0].from.Add(4 * time.Second)
	require.Empty(t, violations(early))
	disturbed := spaced(100 * time.Millisecond)
	disturbed.disturbances = []disturbance{{target: "g", from: baseTime}}
	require.Empty(t, violations(disturbed))
}

// Guards against a check that misses a request which was read whole and ended without an
// answer, and against one that reports an end that the replica, the caller, the deadline,
// a fault or a planned stop explains.
func TestRequestsWithoutAnAnswerAreFound(t *testing.T) {
	sentAt := baseTime.Add(time.Minute)
	// ended returns the records of a request that was cut after a second, with a run that
	// was abandoned under its replica.
	ended := func(k requestKind, modify func(r *records, sent *request, a *answer, run *replicaRun)) *records {
		r := oneRequest(k)
		sent, a, run := r.requests["a"], r.answers["a"], &r.runs["a"][0]
		sent.deadline = requestTimeout
		a.complete, a.wholeAt, a.lastPartAt, a.receivedAt = false, sentAt, sentAt.Add(time.Millisecond), sentAt.Add(time.Second)
		run.end, run.endedAt = abandoned, a.receivedAt
		r.takenAt = a.receivedAt.Add(time.Minute)
		modify(r, &sent, &a, run)
		r.requests["a"], r.answers["a"] = sent, a
		return r
	}
	end := func(after time.Duration) func(r *records, sent *request, a *answer, run *replicaRun) {
		return func(_ *records, _ *request, a *answer, run *replicaRun) {
			a.receivedAt = sentAt.Add(after)
			a.lastPartAt, run.endedAt = a.receivedAt, a.receivedAt
		}
	}
	stopped := func(before, after, whole time.Duration) func(r *records, sent *request, a *answer, run *replicaRun) {
		return func(r *records, sent *request, a *answer, run *replicaRun) {
			end(after)(r, sent, a, run)
			sent.deadline = longRequestTimeout
			a.wholeAt = sentAt.Add(whole)
			r.stops = []plannedStop{{"g", sentAt.Add(-before)}}
		}
	}
	interrupted := func(target string) func(r *records, sent *request, a *answer, run *replicaRun) {
		return func(r *records, _ *request, _ *answer, _ *replicaRun) {
			r.interruptions = []disturbance{{target: target, from: sentAt.Add(time.Millisecond), to: sentAt.Add(2 * time.Millisecond)}}
		}
	}
	noRun := func(r *records, _ *request, a *answer, _ *replicaRun) {
		clear(r.runs)
		a.status, a.lastPartAt = 0, time.Time{}
	}
	unknown := func(r *records, sent *request, a *answer, run *replicaRun) {
		end(time.Second)(r, sent, a, run)
		a.status, a.complete = http.StatusBadGateway, true
	}
	for name, c := range map[string]struct {
		kind   requestKind
		modify func(r *records, sent *request, a *answer, run *replicaRun)
		// timed and untimed are the rules that a timed and an untimed soak report; "" for
		// none.
		timed, untimed string
	}{
		"cut stream":                {review, end(time.Second), "LOST", "LOST"},
		"cut body":                  {order, end(time.Second), "LOST", "LOST"},
		"caller left":               {review, func(_ *records, _ *request, a *answer, _ *replicaRun) { a.left = true }, "", ""},
		"not written whole":         {review, func(_ *records, _ *request, a *answer, _ *replicaRun) { a.wholeAt = time.Time{} }, "", ""},
		"replica broke off":         {review, func(_ *records, _ *request, _ *answer, run *replicaRun) { run.end = brokeOff }, "", ""},
		"gap that nobody bears":     {review, func(_ *records, _ *request, a *answer, _ *replicaRun) { a.receivedAt = sentAt.Add(gapPatience) }, "", ""},
		"deadline reached":          {review, end(requestTimeout), "", ""},
		"no end after the deadline": {review, end(requestTimeout + lateAnswerTime), "SILENT", ""},
		"timeout of the route": {review, func(r *records, sent *request, a *answer, run *replicaRun) {
			end(shortRouteTimeout)(r, sent, a, run)
			r.changes = []change{{category: "timeout", value: "2500", from: sentAt.Add(-time.Minute), to: sentAt.Add(-time.Second)}}
		}, "", ""},
		"interrupted gateway": {review, interrupted("g"), "", ""},
		"interrupted replica": {review, interrupted("address"), "", ""},
		"replica without a run interrupted": {review, func(r *records, sent *request, a *answer, run *replicaRun) {
			interrupted("other")(r, sent, a, run)
			r.replicaAddresses = map[string]bool{"other": true}
		}, "LOST", ""},
		"other replica interrupted": {review, interrupted("other"), "LOST", "LOST"},
		"no answer and no run":      {order, noRun, "LOST", ""},
		"closed before it was read": {order, func(r *records, sent *request, a *answer, run *replicaRun) {
			noRun(r, sent, a, run)
			a.receivedAt = sentAt.Add(closeRaceTime)
		}, "", ""},
		"no answer with a run": {order, func(_ *records, _ *request, a *answer, _ *replicaRun) {
			a.status, a.lastPartAt = 0, time.Time{}
		}, "LOST", "LOST"},
		"no answer and no run, interrupted replica": {order, func(r *records, sent *request, a *answer, run *replicaRun) {
			noRun(r, sent, a, run)
			interrupted("address")(r, sent, a, run)
		}, "LOST", ""},
		"cut early in a stop":      {review, stopped(3*time.Second, time.Second, 0), "LOST", "LOST"},
		"cut at the end of a stop": {review, stopped(3*time.Second, 1900*time.Millisecond, 0), "", ""},
		"sent late in a stop":      {review, stopped(2*time.Second, 2900*time.Millisecond, 1500*time.Millisecond), "LOST", ""},
		"refused at the end of a stop": {review, func(r *records, sent *request, a *answer, run *replicaRun) {
			stopped(2*time.Second, 2900*time.Millisecond, 1500*time.Millisecond)(r, sent, a, run)
			a.status, a.complete = http.StatusBadGateway, true
		}, "", ""},
		"refused early in a stop": {review, func(r *records, sent *request, a *answer, run *replicaRun) {
			stopped(2*time.Second, 1900*time.Millisecond, 1500*time.Millisecond)(r, sent, a, run)
			a.status, a.complete = http.StatusBadGateway, true
		}, "UNKNOWN", "UNKNOWN"},
		"outcome unknown": {order, unknown, "UNKNOWN", "UNKNOWN"},
		"outcome unknown, no run": {order, func(r *records, sent *request, a *answer, run *replicaRun) {
			unknown(r, sent, a, run)
			clear(r.runs)
		}, "UNKNOWN", ""},
		"replica works on": {review, func(_ *records, _ *request, a *answer, run *replicaRun) {
			a.left, run.end = true, running
		}, "GONE", ""},
		"replica works on, interrupted": {review, func(r *records, sent *request, a *answer, run *replicaRun) {
			interrupted("address")(r, sent, a, run)
			a.left, run.end = true, running
		}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			for timed, rule := range map[bool]string{true: c.timed, false: c.untimed} {
				violations := check(ended(c.kind, c.modify), timed)
				if rule == "" {
					require.Empty(t, violations, "timed: %t", timed)
					continue
				}
				require.Len(t, violations, 1, "timed: %t", timed)
				require.Contains(t, violations[0], rule)
			}
		})
	}
}

// Guards against a check that misses runs at the service that a route has left, or
// reports those at the service to which it moved.
func TestMovedRoutes(t *testing.T) {
	moved := change{category: "route", value: lookup.String() + " " + annexService, from: baseTime}
	r := oneRequest(lookup)
	r.changes = []change{moved}
	require.Contains(t, check(r, true)[0], "CONFIG")
	require.Empty(t, check(r, false))
	r.runs["a"][0].service = annexService
	require.Empty(t, check(r, true))
	r.changes = nil
	require.Contains(t, check(r, true)[0], "ROUTE")
}

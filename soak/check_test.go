package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1000, 0)

// one returns the records of one request that ran once and was answered.
func one(k kind) *records {
	s := sent{attempt: "a", kind: k, path: "/p", body: "b", key: "key", gateway: "g", at: begin.Add(time.Minute)}
	n := ran{
		attempt: "a", replica: "r", service: deskService, zone: "z", address: "address", path: "/p", body: "b",
		tenant: tenantName, signature: "s", at: begin.Add(time.Minute),
	}
	got := answered{attempt: "a", status: http.StatusOK, signature: "s", body: resultOf("a", "r"), whole: true}
	if k == stream || k == review {
		n.service, n.version, got.body = engineService, 1, eventsOf(1)
	}
	return &records{
		sent: map[string]sent{"a": s}, runs: map[string][]ran{"a": {n}}, answers: map[string]answered{"a": got},
	}
}

// Guards against checks that find fault with what is allowed.
func TestAllowedRecordsPass(t *testing.T) {
	for _, k := range []kind{lookup, order, stream, review} {
		require.Empty(t, check(one(k), true), k.String())
	}
	again := one(stream)
	again.runs["a"] = append(again.runs["a"], again.runs["a"][0])
	require.Empty(t, check(again, true))
}

// Guards against a check that misses what it is for.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	due := func(what, value string, within time.Duration) func(r *records) {
		return func(r *records) {
			r.named = []named{{what: what, value: value, from: begin.Add(time.Minute - within - time.Second)}}
			s := r.sent["a"]
			s.at = begin.Add(time.Minute - time.Millisecond)
			r.sent["a"] = s
		}
	}
	run := func(change func(n *ran)) func(r *records) {
		return func(r *records) { change(&r.runs["a"][0]) }
	}
	get := func(change func(a *answered)) func(r *records) {
		return func(r *records) {
			a := r.answers["a"]
			change(&a)
			r.answers["a"] = a
		}
	}
	for name, c := range map[string]struct {
		rule   string
		kind   kind
		change func(r *records)
	}{
		"order that ran twice":      {"TWICE", order, func(r *records) { r.runs["a"] = append(r.runs["a"], r.runs["a"][0]) }},
		"too many attempts":         {"ATTEMPTS", lookup, func(r *records) { r.runs["a"] = append(r.runs["a"], r.runs["a"][0], r.runs["a"][0]) }},
		"refusal that is not true":  {"REFUSED", review, get(func(a *answered) { a.status = http.StatusServiceUnavailable })},
		"unknown request":           {"UNASKED", order, func(r *records) { delete(r.sent, "a"); clear(r.answers) }},
		"changed body":              {"UNASKED", order, run(func(n *ran) { n.body = "other" })},
		"another customer":          {"UNASKED", order, run(func(n *ran) { n.tenant = "other" })},
		"key passed on":             {"UNASKED", order, run(func(n *ran) { n.keyed = true })},
		"another service":           {"ROUTE", order, run(func(n *ran) { n.service = engineService })},
		"answer of nobody":          {"MIXED", order, get(func(a *answered) { a.signature = "" })},
		"answer that is not whole":  {"MIXED", order, get(func(a *answered) { a.body = a.body[1:] })},
		"stream that lacks its end": {"ORDER", stream, get(func(a *answered) { a.body = a.body[:len(a.body)-10] })},
		"stream of mixed weights":   {"ORDER", stream, get(func(a *answered) { a.body = strings.Replace(a.body, "weights 1", "weights 2", 1) })},
		"leaving replica":           {"DRAIN", order, due("leaving", "r", drainTime)},
		"evacuated zone":            {"EVAC", order, due("evacuated", "z", evacuateTime)},
		"revoked key":               {"CONFIG", order, due("revoked", "key", configTime)},
		"older weights":             {"VERSION", stream, due("version", "2", versionTime)},
		"seen when it happened":     {"EXIT", order, func(r *records) { r.broken = []string{"EXIT: x"} }},
	} {
		t.Run(name, func(t *testing.T) {
			r := one(c.kind)
			c.change(r)
			broken := check(r, true)
			require.NotEmpty(t, broken)
			require.Contains(t, broken[0], c.rule)
		})
	}
}

// Guards against a refusal of a key that every gateway must know, and against a
// check that holds a right refusal against them.
func TestRefusedKeys(t *testing.T) {
	denied := one(order)
	clear(denied.runs)
	denied.answers["a"] = answered{attempt: "a", status: http.StatusUnauthorized, at: begin.Add(time.Minute)}
	require.Empty(t, check(denied, true), "nobody published the key")
	denied.named = []named{{what: "key", value: "key", from: begin.Add(time.Minute - configTime)}}
	require.Empty(t, check(denied, true), "it was published just before")
	denied.named[0].from = begin
	require.NotEmpty(t, check(denied, true))
	require.Empty(t, check(denied, false))
	denied.named = append(denied.named, named{what: "revoked", value: "key", from: begin.Add(time.Second)})
	require.Empty(t, check(denied, true), "it was revoked")
}

// Guards against promises with a time that are held against a process which
// was disturbed meanwhile.
func TestDisturbedProcessIsExcused(t *testing.T) {
	for _, what := range []string{"g", "address"} {
		r := one(order)
		r.named = []named{{what: "leaving", value: "r", from: begin}}
		require.NotEmpty(t, check(r, true))
		r.disturbs = []disturbance{{what: what, from: begin.Add(time.Minute - contactTime), to: begin.Add(time.Minute)}}
		require.Empty(t, check(r, true), what)
		require.Empty(t, check(r, false))
	}
}

package soak

import (
	"fmt"
	"sync/atomic"
	"time"
)

// hostName is the name under which callers ask for all services.
const hostName = "soak.example"

// tenantName is the customer that holds every key.
const tenantName = "customer"

// configuration publishes routes and keys. It is changed by one duty.
type configuration struct {
	world *world
	// version is that of the newest one, next the key that it adds and old the
	// one before.
	version   int64
	next, old string
	// key is the newest key that every gateway should know.
	key atomic.Pointer[string]
	// revoked is the key that was taken away last; nil if none was.
	revoked atomic.Pointer[string]
}

func newConfiguration(w *world) *configuration {
	c := &configuration{world: w}
	first := "key-0"
	w.ledger.names("key", first, c.publish(first))
	c.key.Store(&first)
	return c
}

// add publishes a further key.
func (c *configuration) add() {
	c.next = fmt.Sprintf("key-%d", c.version)
	c.world.ledger.names("key", c.next, c.publish(*c.key.Load(), c.next))
}

// use makes callers use the key that was added.
func (c *configuration) use() {
	next := c.next
	c.old = *c.key.Swap(&next)
}

// revoke takes the older key away.
func (c *configuration) revoke() {
	old := c.old
	c.world.ledger.names("revoked", old, c.publish(c.next))
	c.revoked.Store(&old)
}

// publish publishes a configuration with some keys.
func (c *configuration) publish(keys ...string) time.Time {
	c.version++
	route := func(name, kind, service string, timeout, goal int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": timeout, "goal_ms": goal, "gap_goal_ms": goal, "max_attempts": maxAttempts,
			"resumable": resumable, "priority": 0,
		}
	}
	return c.world.store.put(keyConfig, map[string]any{
		"version": c.version,
		"routes": []any{
			route(lookup.String(), "safe", deskService, 2000, 500, false),
			route(order.String(), "unsafe", deskService, 2000, 500, false),
			route(stream.String(), "streaming", engineService, 5000, 1000, true),
			route(review.String(), "streaming", engineService, 5000, 1000, false),
		},
		"services": []any{
			map[string]any{"name": deskService},
			map[string]any{"name": engineService, "engine": map[string]any{
				"slots": replicaSlots, "layers": layers, "step_ms": eventPause.Milliseconds(), "per_seq_ms": 0,
				"read_per_s": 100000, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": "origin", "origin": c.world.origin.address, "zone": zones[0]},
		},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": keys}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
	})
}

// maxAttempts is the number of replicas that one request may run at.
const maxAttempts = 2

package soak

import (
	"fmt"
	"sync/atomic"
	"time"
)

// hostName is the host name under which callers reach all services.
const hostName = "soak.example"

// customerName is the name of the customer that holds every key.
const customerName = "customer"

// configuration publishes routes and keys to the store. Only one goroutine calls
// its methods; callers read the two atomic fields.
type configuration struct {
	env *environment
	// version is the version of the newest published configuration, addedKey the
	// key that was added last, and previousKey the key that callers used before
	// currentKey.
	version               int64
	addedKey, previousKey string
	// keys are the keys in the newest published configuration.
	keys []string
	// currentKey is the newest key that every gateway should know; callers use it.
	currentKey atomic.Pointer[string]
	// revokedKey is the key that was revoked last; nil if none was.
	revokedKey atomic.Pointer[string]
}

// newConfiguration publishes a first configuration with one key.
func newConfiguration(env *environment) *configuration {
	c := &configuration{env: env}
	first := "key-0"
	env.ledger.addChange("key", first, c.publish(first))
	c.currentKey.Store(&first)
	return c
}

// addKey publishes a new key next to the current one.
func (c *configuration) addKey() {
	c.addedKey = fmt.Sprintf("key-%d", c.version)
	c.env.ledger.addChange("key", c.addedKey, c.publish(*c.currentKey.Load(), c.addedKey))
}

// switchKey makes callers use the added key.
func (c *configuration) switchKey() {
	next := c.addedKey
	c.previousKey = *c.currentKey.Swap(&next)
}

// revokeKey publishes a configuration without the previous key.
func (c *configuration) revokeKey() {
	old := c.previousKey
	c.env.ledger.addChange("revoked", old, c.publish(c.addedKey))
	c.revokedKey.Store(&old)
}

// republish publishes the same keys again, under further versions.
func (c *configuration) republish(times int) {
	for range times {
		c.publish(c.keys...)
	}
}

// publish publishes a configuration with the given keys and returns the time of
// the acknowledgement.
func (c *configuration) publish(keys ...string) time.Time {
	c.version++
	c.keys = keys
	route := func(name, kind, service string, timeout, goal int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": timeout, "goal_ms": goal, "gap_goal_ms": goal, "max_attempts": maxAttempts,
			"resumable": resumable, "priority": 0,
		}
	}
	return c.env.store.put(keyConfig, map[string]any{
		"version": c.version,
		"routes": []any{
			route(lookup.String(), "safe", plainService, 2000, 500, false),
			route(order.String(), "unsafe", plainService, 2000, 500, false),
			route(stream.String(), "streaming", engineService, 5000, 1000, true),
			route(review.String(), "streaming", engineService, 5000, 1000, false),
		},
		"services": []any{
			map[string]any{"name": plainService},
			map[string]any{"name": engineService, "engine": map[string]any{
				"slots": replicaSlots, "layers": layerCount, "step_ms": eventInterval.Milliseconds(), "per_seq_ms": 0,
				"read_per_s": 100000, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": "origin", "origin": c.env.origin.address, "zone": zones[0]},
		},
		"tenants": []any{map[string]any{"name": customerName, "api_keys": keys}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20},
	})
}

// maxAttempts is the maximum number of replicas that one request may run at.
const maxAttempts = 2

package soak

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// hostName is the host name under which callers reach all services.
const hostName = "soak.example"

// Goals of the routes. Callers of streams bear gaps that are longer than any pause of a
// replica.
const (
	plainGoal     = 500 * time.Millisecond
	streamGoal    = 400 * time.Millisecond
	streamGapGoal = 300 * time.Millisecond
)

// Timeouts of all routes. A configuration names the short one for a while, which is
// longer than any pause of a replica as well.
const (
	routeTimeout      = 10 * time.Second
	shortRouteTimeout = 2500 * time.Millisecond
)

// maxBodyBytes is the maximum size of the body of a request. Gateways have the same one before
// they know a configuration.
const maxBodyBytes = 4 << 20

// priorities is the number of different priorities of routes.
const priorities = 3

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
	// absent is a service that is left out; "" if none is. annexed says that the routes of
	// the plain service lead to the annex. timeout is that of all routes.
	absent  string
	annexed bool
	timeout time.Duration
	// bodyBytes is the published limit of the body of a request.
	bodyBytes int
	// currentKey is the newest key that every gateway should know; callers use it.
	currentKey atomic.Pointer[string]
	// revokedKey is the key that was revoked last; nil if none was.
	revokedKey atomic.Pointer[string]
}

// newConfiguration publishes a first configuration with one key.
func newConfiguration(env *environment) *configuration {
	c := &configuration{env: env, timeout: routeTimeout, bodyBytes: maxBodyBytes}
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

// leaveOut publishes a configuration without a service, or with all of them for "". Its
// routes stay.
func (c *configuration) leaveOut(service string) {
	c.absent = service
	c.republish(1)
}

// moveRoutes publishes a configuration in which the routes of the plain service lead to
// the annex, and returns a function that publishes one in which they lead back.
func (c *configuration) moveRoutes() (back func()) {
	c.annexed = true
	at := c.publish(c.keys...)
	ends := []func(){
		c.env.ledger.addChange("route", lookup.String()+" "+annexService, at),
		c.env.ledger.addChange("route", order.String()+" "+annexService, at),
	}
	return func() {
		for _, end := range ends {
			end()
		}
		c.annexed = false
		c.republish(1)
	}
}

// shortenTimeouts publishes a configuration with short timeouts and returns a function
// that publishes one with the usual ones.
func (c *configuration) shortenTimeouts() (back func()) {
	c.timeout = shortRouteTimeout
	end := c.env.ledger.addChange("timeout", fmt.Sprint(shortRouteTimeout.Milliseconds()), time.Now())
	c.republish(1)
	return func() {
		c.timeout = routeTimeout
		c.republish(1)
		end()
	}
}

// publish publishes a configuration with the given keys and returns the time of
// the acknowledgement.
func (c *configuration) publish(keys ...string) time.Time {
	c.version++
	c.keys = keys
	plain := plainService
	if c.annexed {
		plain = annexService
	}
	route := func(name, kind, service string, goal, gapGoal time.Duration, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": c.timeout.Milliseconds(), "goal_ms": goal.Milliseconds(), "gap_goal_ms": gapGoal.Milliseconds(), "max_attempts": maxAttempts,
			"resumable": resumable, "priority": seededRandom(c.env.options.Seed, "priority of "+name, 0).IntN(priorities),
		}
	}
	var tenants []any
	for _, customer := range customers {
		var customerKeys []string
		for _, key := range keys {
			customerKeys = append(customerKeys, customerKey(customer, key))
		}
		tenants = append(tenants, map[string]any{"name": customer, "api_keys": customerKeys})
	}
	return c.env.store.put(keyConfig, map[string]any{
		"version": c.version,
		"routes": []any{
			route(lookup.String(), "safe", plain, plainGoal, plainGoal, false),
			route(order.String(), "unsafe", plain, plainGoal, plainGoal, false),
			route(stream.String(), "streaming", engineService, streamGoal, streamGapGoal, true),
			route(review.String(), "streaming", engineService, streamGoal, streamGapGoal, false),
		},
		"services": slices.DeleteFunc([]any{
			map[string]any{"name": plainService},
			map[string]any{"name": annexService},
			map[string]any{"name": engineService, "engine": map[string]any{
				"slots": replicaSlots, "layers": layerCount, "step_ms": eventInterval.Milliseconds(), "per_seq_ms": 0,
				"read_per_s": 100000, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": "origin", "origin": c.env.origin.address, "zone": zones[0]},
		}, func(s any) bool { return s.(map[string]any)["name"] == c.absent }),
		"tenants": tenants,
		"limits":  map[string]any{"max_body_bytes": c.bodyBytes},
	})
}

// maxAttempts is the maximum number of replicas that one request may run at.
const maxAttempts = 2

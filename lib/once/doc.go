// Package once runs each request that is marked as not repeatable at most once.
//
// A caller submits such a request either with a token that an agent issued or
// with its own idempotency key, a UUID that contains the time at which it was
// made. The package does no I/O and reads no clock: it gets submissions and
// clock readings and returns verdicts.
package once

// Package once decides whether a request that may run at most once may run.
//
// A caller submits such a request either with a token that an agent issued or
// with its own idempotency key, a UUID that contains the time at which it was
// made. The package does no I/O and reads no clock: it gets submissions and
// clock readings and returns verdicts.
package once

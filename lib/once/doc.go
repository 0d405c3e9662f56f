// Package once decides whether a request that may not be repeated may run.
//
// A caller submits such a request either with a token that an agent issued or
// with a key of its own that carries a time. The core is pure: it takes
// submissions and clock readings and returns verdicts.
package once

// Package once decides whether a request that may not be repeated may run.
package once

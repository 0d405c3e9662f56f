// Package retry decides whether a call may be tried again.
package retry

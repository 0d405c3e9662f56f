// Package operator serves the operator page.
package operator

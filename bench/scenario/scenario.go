// Package scenario holds the scenarios of the benchmark. Each starts what it
// needs, reports its figures and stops. All but Capacity measure real processes
// on loopback.
package scenario

import (
	"context"

	"rattanspur.example/bench/figure"
)

// Env holds the inputs of a scenario and its report.
type Env struct {
	// Binary is the path of the rattanspur binary.
	Binary string
	Report *figure.Report
	// Sizes are the numbers of agents or processes for the scenarios that
	// measure several fleet sizes.
	Sizes []int
}

// Scenario is a named measurement that adds figures to the report.
type Scenario struct {
	Name string
	Run  func(ctx context.Context, env Env) error
}

// All returns the scenarios in the order in which they run.
func All() []Scenario {
	return []Scenario{
		{Name: "capacity", Run: Capacity},
		{Name: "burst", Run: burst},
		{Name: "config", Run: Config},
		{Name: "control", Run: Control},
		{Name: "cold", Run: Cold},
		{Name: "drain", Run: Drain},
		{Name: "move", Run: Move},
		{Name: "route", Run: Route},
		{Name: "stream", Run: Stream},
		{Name: "once", Run: Once},
	}
}

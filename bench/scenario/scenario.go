// Package scenario holds the fixed scenarios of the benchmark. Each runs real
// processes on loopback and stops by itself.
package scenario

import (
	"context"

	"rattanspur.example/bench/figure"
)

// Env is what a scenario runs with.
type Env struct {
	// Binary is the path of the rattanspur binary.
	Binary string
	Report *figure.Report
	// Sizes are the numbers of agents for scenarios that grow.
	Sizes []int
}

// Scenario measures some figures.
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

// Command emulate plays scenarios in the emulator and prints, for each scenario
// and seed, what callers got.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/emulator"
)

// options are the command-line flags.
type options struct {
	Seed       uint64 `long:"seed" description:"first seed" default:"1"`
	Seeds      int    `long:"seeds" description:"number of seeds" default:"3"`
	Timeline   bool   `long:"timeline" description:"print the counts of every second"`
	Positional struct {
		Scenarios []string `positional-arg-name:"SCENARIO" required:"1"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	fmt.Println("scenario seed asked in_time served refused failed returned loaded_first loaded_half loaded_last mean_out")
	for _, path := range o.Positional.Scenarios {
		scenario, err := emulator.ReadScenario(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		for i := range o.Seeds {
			seed := o.Seed + uint64(i)
			print(path, seed, emulator.Run(scenario, seed), o.Timeline)
		}
	}
}

// print writes the counts of one run.
func print(path string, seed uint64, r *emulator.Result, timeline bool) {
	t := &r.Total
	fmt.Printf("%s %d %d %.3f %.3f %.3f %d %d %s %s\n", path, seed, t.Asked, t.InTimeShare(), t.ServedShare(), t.RefusedShare(),
		t.Failed, t.Returned, loadTimes(r.LoadedAfter), r.MeanOutFor().Round(time.Millisecond))
	if !timeline {
		return
	}
	for second, t := range r.Seconds {
		fmt.Printf("  %2d s: asked %5d, in time %.3f, served %.3f, refused %.3f, failed %d\n", second, t.Asked, t.InTimeShare(),
			t.ServedShare(), t.RefusedShare(), t.Failed)
	}
}

// loadTimes returns when the first engine, half of them and the last one served
// the published weights.
func loadTimes(after []time.Duration) string {
	if len(after) == 0 {
		return "- - -"
	}
	sorted := slices.Sorted(slices.Values(after))
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprint(round(sorted[0]), " ", round(sorted[len(sorted)/2]), " ", round(sorted[len(sorted)-1]))
}

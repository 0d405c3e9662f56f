// Command emulate plays scenarios in the emulator and prints, for each scenario
// and seed, what callers got.
package main

import (
	"fmt"
	"maps"
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
	fmt.Println("scenario seed asked in_time served refused failed returned loaded_first loaded_half loaded_last mean_out blocked")
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
	fmt.Printf("%s %d %d %.3f %.3f %.3f %d %d %s %s %d\n", path, seed, t.Asked, t.InTimeShare(), t.ServedShare(), t.RefusedShare(),
		t.Failed, t.Returned, loadTimes(r.LoadedAfter), r.MeanOutFor().Round(time.Millisecond), r.Blocked)
	fmt.Printf("  %d refusals, on average %s after the request had arrived; %d streams cut\n", len(r.RefusedAfter), r.MeanRefusedAfter().Round(time.Millisecond), t.Cut)
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		t := r.Classes[name]
		fmt.Printf("  %s: asked %d, in time %.3f, served %.3f, refused %.3f\n", name, t.Asked, t.InTimeShare(), t.ServedShare(), t.RefusedShare())
	}
	if r.Harm != nil {
		printHarm(r.Harm)
	}
	if l := r.Limits; l != nil {
		fmt.Printf("  limits: at most %d requests beyond what an engine may get, %.2f of what the limits allow used, %d requests in the second after the end\n",
			l.Excess, l.UsedShare, l.Wave)
	}
	if !timeline {
		return
	}
	for second, t := range r.Seconds {
		fmt.Printf("  %2d s: asked %5d, in time %.3f, served %.3f, refused %.3f, failed %d\n", second, t.Asked, t.InTimeShare(),
			t.ServedShare(), t.RefusedShare(), t.Failed)
	}
}

// printHarm writes what harmful requests did, and what became of the sound ones of
// their class that were sent at the same time.
func printHarm(h *emulator.Harm) {
	fmt.Printf("  harmful: %d requests, %d crashes, %d attempts reached engines, %d of them late; %d requests refused\n",
		h.Requests, h.Crashes, h.Reached, h.ReachedLate, h.Refused)
	for _, g := range []struct {
		name  string
		tally *emulator.Tally
	}{{"same first part", &h.Beside}, {"other first part", &h.Apart}} {
		t := g.tally
		fmt.Printf("  sound, %s: asked %d, begun %.3f, in time %d, late %d, refused %d, failed %d\n", g.name, t.Asked, t.BegunShare(),
			t.InTime, t.Late, t.Refused, t.Failed)
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

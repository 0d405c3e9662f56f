// Command standin plays the cases of the review: it starts the programs under test and the
// stand-ins of a case, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to their functions, which return what broke the rule.
var cases = map[string]func(w *world) []string{
	"herd":            playHerd,
	"interim-status":  playInterimStatus,
	"frozen-loader":   playFrozenLoader,
	"late-version":    playLateVersion,
	"planned-stop":    playPlannedStop,
	"silent-store":    playSilentStore,
	"spoilt-manifest": playSpoiltManifest,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, folder, program string) (status int) {
	var w *world
	defer func() {
		cause := recover()
		if w != nil {
			if cause != nil {
				w.record.write("could not run: %v", cause)
			}
			w.close()
		}
		if cause != nil {
			fmt.Fprintln(os.Stderr, "could not run:", cause)
			status = 2
		}
	}()
	w = newWorld(folder, program)
	w.endOnSignal()
	w.record.say("case %s, trouble %t", name, w.trouble)
	broken := cases[name](w)
	for i, line := range broken {
		if i < 20 {
			w.record.say("BROKEN %s", line)
		}
	}
	w.record.say("%d breaks of the rule", len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}

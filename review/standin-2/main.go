// Command standin-2 plays the cases of the second review: each starts real processes of
// rattanspur on loopback addresses, with stand-ins for the store, replicas and clients.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 110 * time.Second

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	unable verdict = 2
)

// cases maps the name of each case to its function.
var cases = map[string]func(w *world) verdict{}

func main() {
	// The kernel ends the processes of a case with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(int(unable))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(int(unable))
	}
	os.Exit(int(run(play, os.Args[2], os.Args[3])))
}

// run plays a case and ends all processes that it started.
func run(play func(w *world) verdict, program, record string) (v verdict) {
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.close()
	defer time.AfterFunc(maxTime, func() { os.Exit(int(unable)) }).Stop()
	defer func() {
		if cause := recover(); cause != nil {
			w.note("the case could not run: %v", cause)
			v = unable
		}
		w.note("exit %d", v)
	}()
	return play(w)
}

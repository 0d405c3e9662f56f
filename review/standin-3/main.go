// Command world plays one case of the review: it starts the programs under test and all
// stand-ins, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// env is what a case gets.
type env struct {
	root, dir string
	trouble   bool
	rec       *recorder
	hosts     hosts
}

var cases = map[string]func(*env) (int, error){"drain": drain, "harmful": harmful, "whole": whole}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE ROOT RECORD")
		os.Exit(unable)
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	if err := choosePorts(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	e := &env{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	code, err := cases[os.Args[1]](e)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		rec.log("could not run: %v", err)
		code = unable
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	rec.log("exit %d", code)
	fmt.Println("exit", code)
	os.Exit(code)
}

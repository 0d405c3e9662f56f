// Command report writes an HTML page with plots of the rounds in a journal.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"rattanspur.example/report"
)

type options struct {
	Journal string `long:"journal" description:"folder of the journal" default:"journal"`
	Out     string `long:"out" description:"folder for the page" default:"report-out"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o *options) error {
	entries, err := report.Read(o.Journal)
	if err != nil {
		return err
	}
	if err := report.Write(o.Out, entries); err != nil {
		return err
	}
	fmt.Printf("%d entries, page in %s\n", len(entries), o.Out)
	return nil
}

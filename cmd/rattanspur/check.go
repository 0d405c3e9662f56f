package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/settings"
)

// checkResult is the output of check with --json.
type checkResult struct {
	Valid    bool              `json:"valid"`
	Findings []finding.Finding `json:"findings"`
	// Changes lists the differences from the document in force.
	Changes []config.Change `json:"changes,omitempty"`
}

type checkCommand struct {
	Kind string `long:"kind" description:"what the file is" choice:"config" choice:"entry" choice:"agent" default:"config"`
	JSON bool   `long:"json" description:"print the findings as JSON"`
	// Against is the document in force; with it, check shows the changes that
	// publishing FILE would make.
	Against string `long:"against" description:"document in force; shows what FILE would change"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration document or settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It fails if there is any finding or if a
// change violates a guarantee of the document in force.
func (c *checkCommand) Execute([]string) error {
	changes, err := c.check()
	var found *finding.Error
	if err != nil && !errors.As(err, &found) {
		return err
	}
	result := checkResult{Valid: err == nil, Findings: []finding.Finding{}, Changes: changes}
	if found != nil {
		result.Findings = found.Findings
	}
	if c.JSON {
		if werr := printJSON(os.Stdout, result); werr != nil {
			return werr
		}
	}
	if !result.Valid {
		return c.failure(err)
	}
	if !c.JSON {
		printChanges(c.Args.File, result.Changes)
	}
	for _, change := range result.Changes {
		if change.Violation {
			return errSilent
		}
	}
	return nil
}

func printChanges(file string, changes []config.Change) {
	fmt.Println(file + ": valid")
	for _, c := range changes {
		mark := " "
		if c.Violation {
			mark = "!"
		}
		fmt.Printf("%s %s: %s\n", mark, c.Kind, c.Meaning)
	}
}

// failure returns the error of an invalid file, or errSilent if the JSON output
// already contains the findings.
func (c *checkCommand) failure(err error) error {
	if c.JSON {
		return errSilent
	}
	return err
}

func (c *checkCommand) check() ([]config.Change, error) {
	switch c.Kind {
	case "entry":
		_, err := settings.LoadEntry(c.Args.File)
		return nil, err
	case "agent":
		_, err := settings.LoadAgent(c.Args.File)
		return nil, err
	}
	next, err := readConfig(c.Args.File)
	if err != nil || c.Against == "" {
		return nil, err
	}
	inForce, err := readConfig(c.Against)
	if err != nil {
		return nil, err
	}
	return config.Diff(inForce, next), nil
}

// readConfig reads and validates the configuration document in a file. The
// findings name the file.
func readConfig(file string) (*config.Accepted, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	accepted, err := config.Accept(data)
	var found *finding.Error
	if errors.As(err, &found) {
		for i := range found.Findings {
			found.Findings[i].File = file
		}
	}
	return accepted, err
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

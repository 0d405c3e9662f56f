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

// checkResult is the answer of check with --json.
type checkResult struct {
	Valid    bool              `json:"valid"`
	Findings []finding.Finding `json:"findings"`
}

type checkCommand struct {
	Kind string `long:"kind" description:"what the file is" choice:"config" choice:"entry" choice:"agent" default:"config"`
	JSON bool   `long:"json" description:"print the findings as JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration document or settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It fails if there is any finding.
func (c *checkCommand) Execute([]string) error {
	err := c.check()
	var found *finding.Error
	if err != nil && !errors.As(err, &found) {
		return err
	}
	result := checkResult{Valid: err == nil, Findings: []finding.Finding{}}
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
		fmt.Println(c.Args.File + ": valid")
	}
	return nil
}

// failure avoids printing the findings twice.
func (c *checkCommand) failure(err error) error {
	if c.JSON {
		return errSilent
	}
	return err
}

func (c *checkCommand) check() error {
	switch c.Kind {
	case "entry":
		_, err := settings.LoadEntry(c.Args.File)
		return err
	case "agent":
		_, err := settings.LoadAgent(c.Args.File)
		return err
	}
	_, err := readConfig(c.Args.File)
	return err
}

// readConfig accepts a document in a file; findings name the file.
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

package main

import (
	"io"
	"os"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/requestlog"
)

// explainRequestCommand prints the path of one request through the system. It
// reads the logs of any number of processes.
type explainRequestCommand struct {
	Arguments struct {
		ID   string   `positional-arg-name:"ID" description:"Id of the request" required:"true"`
		Logs []string `positional-arg-name:"FILE" description:"Logs; standard input without any"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainRequestCommand) Execute([]string) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Arguments.Logs) > 0 {
		logs = nil
	}
	for _, name := range c.Arguments.Logs {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	path, err := requestlog.Find(c.Arguments.ID, logs...)
	if err != nil {
		return eris.Wrap(err, "read logs")
	}
	if err := path.Write(os.Stdout); err != nil {
		return err
	}
	if len(path.Lines) == 0 {
		return errSilent
	}
	return nil
}

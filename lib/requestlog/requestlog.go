// Package requestlog finds the path of one request in the logs of any number
// of processes and says what is missing.
package requestlog

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	// TS is the time of day as its process saw it.
	TS       string
	Instance string
	Event    string
	Request  string
	// Text holds the other fields in their order.
	Text string
}

// viewEvents are lines that say what a process believed.
var viewEvents = []string{"view", "view-pulled", "dependency-lost", "dependency-regained", "start", "stop-begun"}

// Path is what logs say of one request.
type Path struct {
	Lines []Line
	// Before holds, for each instance on the path, the last line before the
	// request that says what the instance believed.
	Before map[string]Line
	// Missing says what a whole path would hold and the logs do not.
	Missing []string
}

// Find reads logs and returns the path of a request. Lines that are not
// logfmt, such as what a supervisor puts between them, are passed over.
func Find(id string, logs ...io.Reader) (*Path, error) {
	p := &Path{Before: map[string]Line{}}
	for _, r := range logs {
		if err := p.read(id, r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(p.Lines, func(a, b Line) int { return strings.Compare(a.TS, b.TS) })
	p.findMissing()
	return p, nil
}

func (p *Path) read(id string, r io.Reader) error {
	believed := map[string]Line{}
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		l := parse(d)
		switch {
		case l.Request == id:
			p.Lines = append(p.Lines, l)
			if b, ok := believed[l.Instance]; ok {
				p.Before[l.Instance] = b
			}
		case slices.Contains(viewEvents, l.Event):
			believed[l.Instance] = l
		case l.Event == "log-dropped":
			p.Missing = append(p.Missing, "an instance dropped lines of its log: "+l.Text)
		}
	}
	return d.Err()
}

func parse(d *logfmt.Decoder) Line {
	var l Line
	var text []string
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "ts":
			l.TS = value
		case "instance":
			l.Instance = value
		case "event":
			l.Event = value
		case "request":
			l.Request = value
		case "":
		default:
			text = append(text, fmt.Sprintf("%s=%q", key, value))
		}
	}
	l.Text = strings.Join(text, " ")
	return l
}

// findMissing names what the path lacks.
func (p *Path) findMissing() {
	attempts, ends := 0, 0
	for _, l := range p.Lines {
		switch l.Event {
		case "attempt":
			attempts++
			if strings.Contains(l.Text, `end="answered"`) {
				ends++
			}
		case "refused", "caller-left":
			ends++
		}
	}
	switch {
	case len(p.Lines) == 0:
		p.Missing = append(p.Missing, "no line names the request: it did not reach a process whose log is here, or its lines were dropped")
	case ends == 0:
		p.Missing = append(p.Missing, "no line says how the request ended: the process stopped before it did, or the line was dropped")
	case attempts == 0:
		p.Missing = append(p.Missing, "the request was not sent to any upstream")
	}
}

// Write prints a path for a reader.
func (p *Path) Write(w io.Writer) error {
	for instance, l := range p.Before {
		if _, err := fmt.Fprintf(w, "%s  %s  believed before: %s %s\n", l.TS, instance, l.Event, l.Text); err != nil {
			return err
		}
	}
	for _, l := range p.Lines {
		if _, err := fmt.Fprintf(w, "%s  %s  %s %s\n", l.TS, l.Instance, l.Event, l.Text); err != nil {
			return err
		}
	}
	for _, m := range p.Missing {
		if _, err := fmt.Fprintln(w, "missing:", m); err != nil {
			return err
		}
	}
	return nil
}

// Package requestlog extracts the path of one request from the logs of any
// number of processes and reports missing parts.
package requestlog

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	// Timestamp is the wall clock time of the process that wrote the line.
	Timestamp string
	Instance  string
	Event     string
	Request   string
	// Fields holds the other fields in their order.
	Fields string
}

// stateEvents are the events that describe a process's view of the system.
var stateEvents = []string{"view", "view-pulled", "dependency-lost", "dependency-regained", "start", "stop-begun"}

// Path is the record of one request in the logs.
type Path struct {
	Lines []Line
	// StateBefore holds, for each instance on the path, its last line with a
	// state event before its last line of the request.
	StateBefore map[string]Line
	// Missing lists what a complete path would contain and the logs do not.
	Missing []string
}

// Find reads logs and returns the path of a request. Text that is not logfmt,
// such as a supervisor's own output, is ignored; the number of such lines that
// name the request is added to Missing.
func Find(id string, logs ...io.Reader) (*Path, error) {
	p := &Path{StateBefore: map[string]Line{}}
	for _, r := range logs {
		if err := p.read(id, r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(p.Lines, func(a, b Line) int { return strings.Compare(a.Timestamp, b.Timestamp) })
	p.findMissing()
	return p, nil
}

// maxLineBytes limits the length of a line; longer lines are ignored.
const maxLineBytes = 64 << 10

func (p *Path) read(id string, r io.Reader) error {
	lastState := map[string]Line{}
	unparsed := 0
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if l, parseErr := parse(text); parseErr == nil {
			p.addLine(id, l, lastState)
		} else if bytes.Contains(text, []byte("request="+id)) {
			unparsed++
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if unparsed > 0 {
		p.Missing = append(p.Missing, fmt.Sprintf("lines with the request's id that could not be read: %d", unparsed))
	}
	return nil
}

// addLine adds a line of the request, or a notice of dropped lines, to the path.
// lastState holds the last line with a state event of each instance.
func (p *Path) addLine(id string, l Line, lastState map[string]Line) {
	switch {
	case l.Request == id:
		p.Lines = append(p.Lines, l)
		if state, ok := lastState[l.Instance]; ok {
			p.StateBefore[l.Instance] = state
		}
	case slices.Contains(stateEvents, l.Event):
		lastState[l.Instance] = l
	case l.Event == "log-dropped":
		p.Missing = append(p.Missing, "an instance dropped lines of its log: "+l.Fields)
	}
}

// lineStart is the start of each line that a process writes; a collector's
// prefix before it is ignored.
var lineStart = []byte("ts=")

func parse(data []byte) (Line, error) {
	var l Line
	var fields []string
	if i := bytes.Index(data, lineStart); i > 0 {
		data = data[i:]
	}
	d := logfmt.NewDecoder(bytes.NewReader(data))
	d.ScanRecord()
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "ts":
			l.Timestamp = value
		case "instance":
			l.Instance = value
		case "event":
			l.Event = value
		case "request":
			l.Request = value
		case "":
		default:
			fields = append(fields, fmt.Sprintf("%s=%q", key, value))
		}
	}
	l.Fields = strings.Join(fields, " ")
	return l, d.Err()
}

// findMissing adds the missing parts of the path to Missing.
func (p *Path) findMissing() {
	attempts, ends := 0, 0
	for _, l := range p.Lines {
		switch l.Event {
		case "attempt":
			attempts++
			if strings.Contains(l.Fields, `end="answered"`) {
				ends++
			}
		case "refused", "caller-left", "connection-closed":
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

// Write prints the path as text.
func (p *Path) Write(w io.Writer) error {
	for instance, l := range p.StateBefore {
		if _, err := fmt.Fprintf(w, "%s  %s  believed before: %s %s\n", l.Timestamp, instance, l.Event, l.Fields); err != nil {
			return err
		}
	}
	for _, l := range p.Lines {
		if _, err := fmt.Fprintf(w, "%s  %s  %s %s\n", l.Timestamp, l.Instance, l.Event, l.Fields); err != nil {
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

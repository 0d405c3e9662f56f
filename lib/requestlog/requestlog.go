// Package requestlog finds the path of one request in the logs of any number
// of processes and says what is missing.
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

// maxLine bounds a line; what is longer is passed over.
const maxLine = 64 << 10

func (p *Path) read(id string, r io.Reader) error {
	believed := map[string]Line{}
	unread := 0
	in := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if l, perr := parse(text); perr == nil {
			p.take(id, l, believed)
		} else if bytes.Contains(text, []byte("request="+id)) {
			unread++
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if unread > 0 {
		p.Missing = append(p.Missing, fmt.Sprintf("lines with the request's id that could not be read: %d", unread))
	}
	return nil
}

// take takes in a line; believed holds what each instance said last of what it
// believes.
func (p *Path) take(id string, l Line, believed map[string]Line) {
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

// firstField begins each line that a process writes; what a collector puts
// before it is passed over.
var firstField = []byte("ts=")

func parse(data []byte) (Line, error) {
	var l Line
	var text []string
	if i := bytes.Index(data, firstField); i > 0 {
		data = data[i:]
	}
	d := logfmt.NewDecoder(bytes.NewReader(data))
	d.ScanRecord()
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
	return l, d.Err()
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

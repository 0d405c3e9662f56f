package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"rattanspur.example/lib/finding"
)

// decode reads the one JSON value that data must hold. The error is a
// *finding.Error with the line of the problem.
func decode(data []byte, v any) error {
	var findings finding.List
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		line, key := placeOf(data, err, decoder.InputOffset())
		findings.AddAt("", line, key, "document is not valid: %s", strings.TrimPrefix(err.Error(), "json: "))
		return findings.Err()
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.AddAt("", lineAt(data, decoder.InputOffset()), "", "there is text after the end of the document")
	}
	return findings.Err()
}

// placeOf returns the line of a decoder's error and, if it is known, the key.
func placeOf(data []byte, err error, offset int64) (line int, key string) {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return lineAt(data, syntax.Offset), ""
	case errors.As(err, &kind):
		return lineAt(data, kind.Offset), kind.Field
	}
	name, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return lineAt(data, offset), ""
	}
	name = strings.Trim(name, `"`)
	lines, order := keyLines(data)
	for _, path := range order {
		if path == name || strings.HasSuffix(path, "."+name) {
			return lines[path], path
		}
	}
	return 0, name
}

func lineAt(data []byte, offset int64) int {
	end := min(int(offset), len(data))
	return 1 + bytes.Count(data[:end], []byte{'\n'})
}

// locate fills in the lines of findings. A missing key gets the line of the
// value that should hold it.
func locate(data []byte, findings []finding.Finding) {
	lines, _ := keyLines(data)
	for i := range findings {
		path := findings[i].Key
		for path != "" && lines[path] == 0 {
			path = parent(path)
		}
		findings[i].Line = lines[path]
	}
}

// parent returns the path of the value that holds the value at path.
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// keyLines returns the line of each value of a JSON document by its path, such
// as services[2].profile, and the paths in their order.
func keyLines(data []byte) (lines map[string]int, order []string) {
	w := &lineWalker{decoder: json.NewDecoder(bytes.NewReader(data)), data: data, line: 1, lines: map[string]int{}}
	_ = w.value("")
	return w.lines, w.order
}

type lineWalker struct {
	decoder *json.Decoder
	data    []byte
	// counted is the offset up to which line is counted.
	counted int
	line    int
	lines   map[string]int
	order   []string
}

func (w *lineWalker) mark(path string) {
	if path == "" {
		return
	}
	end := int(w.decoder.InputOffset())
	w.line += bytes.Count(w.data[w.counted:end], []byte{'\n'})
	w.counted = end
	if _, known := w.lines[path]; !known {
		w.lines[path] = w.line
		w.order = append(w.order, path)
	}
}

// value walks one value; an error ends the walk.
func (w *lineWalker) value(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.mark(path)
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.array(path)
	}
	return nil
}

func (w *lineWalker) object(path string) error {
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if path != "" {
			name = path + "." + name
		}
		w.mark(name)
		if err := w.value(name); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *lineWalker) array(path string) error {
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

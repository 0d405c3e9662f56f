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

// decode decodes data, which must hold exactly one JSON value. The error is a
// *finding.Error with the line of the problem.
func decode(data []byte, v any) error {
	var findings finding.List
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		line, key := errorLocation(data, err, decoder.InputOffset())
		findings.AddAt("", line, key, "document is not valid: %s", strings.TrimPrefix(err.Error(), "json: "))
		return findings.Err()
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.AddAt("", lineAt(data, decoder.InputOffset()), "", "there is text after the end of the document")
	}
	return findings.Err()
}

// errorLocation returns the line of a decoder's error and, if known, the key.
func errorLocation(data []byte, err error, offset int64) (line int, key string) {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return lineAt(data, syntaxErr.Offset), ""
	case errors.As(err, &typeErr):
		return lineAt(data, typeErr.Offset), typeErr.Field
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

// setLines sets the lines of findings. A missing key gets the line of the value
// that should contain it.
func setLines(data []byte, findings []finding.Finding) {
	lines, _ := keyLines(data)
	for i := range findings {
		path := findings[i].Key
		for path != "" && lines[path] == 0 {
			path = parent(path)
		}
		findings[i].Line = lines[path]
	}
}

// parent returns the path of the value that contains the value at path.
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// keyLines returns the line of each value of a JSON document by its path, such
// as services[2].profile, and the paths in document order.
func keyLines(data []byte) (lines map[string]int, order []string) {
	w := &lineWalker{decoder: json.NewDecoder(bytes.NewReader(data)), data: data, line: 1, lines: map[string]int{}}
	_ = w.value("")
	return w.lines, w.order
}

type lineWalker struct {
	decoder *json.Decoder
	data    []byte
	// countedOffset is the offset up to which newlines are counted in line.
	countedOffset int
	line          int
	lines         map[string]int
	order         []string
}

// recordLine records the current line for a path that has none yet.
func (w *lineWalker) recordLine(path string) {
	if path == "" {
		return
	}
	end := int(w.decoder.InputOffset())
	w.line += bytes.Count(w.data[w.countedOffset:end], []byte{'\n'})
	w.countedOffset = end
	if _, known := w.lines[path]; !known {
		w.lines[path] = w.line
		w.order = append(w.order, path)
	}
}

// value walks one value and stops at the first error.
func (w *lineWalker) value(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	w.recordLine(path)
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
		w.recordLine(name)
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

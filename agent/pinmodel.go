package agent

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// jsonSpace is the white space of JSON.
	jsonSpace = " \t\r\n"
	// pinnedNameBytes is how much longer a body may become by the name of its model.
	pinnedNameBytes = 1 << 10
)

// pinModel sets the model name in the JSON body of a call. All other fields stay as
// they are. The result is the only copy of the body that it makes.
func pinModel(body []byte, name string) ([]byte, error) {
	object := bytes.TrimLeft(body, jsonSpace)
	if len(object) == 0 || object[0] != '{' || !json.Valid(object) {
		return nil, eris.New("a call for a model needs a JSON object as its body")
	}
	encoded, err := json.Marshal(name)
	if err != nil {
		return nil, eris.Wrap(err, "model name")
	}
	const start, end = `{"model":`, `,}`
	out := make([]byte, 0, len(start)+len(encoded)+len(object)+len(end))
	out = append(append(out, start...), encoded...)
	for rest := object[1:]; len(rest) > 0; {
		var key, field []byte
		if key, field, rest = nextField(rest); key != nil && !isModel(key) {
			out = append(append(out, ','), field...)
		}
	}
	return append(out, '}'), nil
}

// isModel reports whether a JSON string is the key of the model name. Decoders that
// ignore case would accept each of its forms.
func isModel(key []byte) bool {
	var name string
	return json.Unmarshal(key, &name) == nil && strings.EqualFold(name, "model")
}

// nextField returns the first field of the rest of a valid JSON object, its key, and
// what follows. The key is nil if there is no field; nothing follows the last one.
func nextField(object []byte) (key, field, rest []byte) {
	depth := 0
	for i := 0; i < len(object); i++ {
		switch object[i] {
		case '"':
			end := i + stringLength(object[i:])
			if key == nil {
				key = object[i:end]
			}
			i = end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return key, bytes.Trim(object[:i], jsonSpace), nil
			}
			depth--
		case ',':
			if depth == 0 {
				return key, bytes.Trim(object[:i], jsonSpace), object[i+1:]
			}
		}
	}
	return nil, nil, nil
}

// stringLength returns the length of the JSON string at the start of valid JSON, with
// its quotes.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

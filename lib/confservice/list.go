package confservice

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/fleet"
)

// InstanceList is the platform's view of the fleet, which may lag behind.
type InstanceList struct {
	// Revision orders the lists; 0 if the list states none that can be read.
	Revision  uint64           `json:"revision"`
	Instances []fleet.Instance `json:"instances"`
	// Invalid has one error for each record that was omitted from Instances, and one for a
	// revision that cannot be read.
	Invalid []error `json:"-"`
}

const (
	// maxRevision is the greatest revision of a list. Sums of two do not overflow.
	maxRevision = 1 << 62
	// maxNesting is the depth up to which values of a list are decoded. The decoder rejects
	// a document with one value that is nested too deeply.
	maxNesting = 64
)

// errRevision is the finding for a list without a readable revision.
var errRevision = eris.Errorf("revision of the instance list is missing or not a number from 1 to %d", int64(maxRevision))

// ParseInstances parses an instance list. Each record is decoded for itself. Records that
// cannot be decoded or cannot be members are omitted, because members would otherwise
// forward them to each other.
func ParseInstances(data []byte) (InstanceList, error) {
	var document struct {
		Revision  json.RawMessage   `json:"revision"`
		Instances []json.RawMessage `json:"instances"`
	}
	err := json.Unmarshal(data, &document)
	if err != nil {
		err = json.Unmarshal(cutNested(data, maxNesting), &document)
	}
	if err != nil {
		return InstanceList{}, eris.Wrap(err, "instance list is not valid JSON")
	}
	list := InstanceList{Instances: make([]fleet.Instance, 0, len(document.Instances))}
	if json.Unmarshal(document.Revision, &list.Revision) != nil || list.Revision == 0 || list.Revision > maxRevision {
		list.Revision = 0
		list.Invalid = append(list.Invalid, errRevision)
	}
	for _, record := range document.Instances {
		i, err := parseInstance(record)
		if err != nil {
			list.Invalid = append(list.Invalid, err)
			continue
		}
		list.Instances = append(list.Instances, i)
	}
	return list, nil
}

func parseInstance(record []byte) (fleet.Instance, error) {
	var i fleet.Instance
	if err := json.Unmarshal(record, &i); err != nil {
		return i, eris.Wrap(err, "decode record of an instance")
	}
	return i, i.Check()
}

// cutNested returns a JSON document in which null replaces all arrays and objects that are
// nested more deeply than a limit.
func cutNested(data []byte, limit int) []byte {
	var out bytes.Buffer
	depth := 0
	inString, escaped := false, false
	for _, c := range data {
		opens := !inString && (c == '[' || c == '{')
		closes := !inString && (c == ']' || c == '}')
		if opens {
			depth++
		}
		switch {
		case depth <= limit:
			out.WriteByte(c)
		case opens && depth == limit+1:
			out.WriteString("null")
		}
		if closes {
			depth--
		}
		if c == '"' && !escaped {
			inString = !inString
		}
		escaped = inString && c == '\\' && !escaped
	}
	return out.Bytes()
}

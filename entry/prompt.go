package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"rattanspur.example/lib/poison"
)

// maxParts is the maximum number of parts of a prompt that get a trait. The traits go to the
// agent in a header, of which they take up to 11 KB. The first parts get one, because those
// are the parts that different conversations share.
const maxParts = 512

// prompt is what the entry reads from the body of a call to a model service. It is
// empty for other calls and if the body is not valid JSON.
type prompt struct {
	model string
	// text holds the encoded messages, or the prompt of a plain completion.
	text []byte
	// parts identifies the parts of the prompt that requests may share. partsLeftOut is the
	// number of those beyond maxParts.
	parts        []string
	partsLeftOut int
}

// messages are the messages of a conversation and their encoding.
type messages struct {
	encoded []byte
	list    []message
}

type message struct {
	Role      string          `json:"role"`
	Content   json.RawMessage `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// UnmarshalJSON implements json.Unmarshaler. Messages of another form get no traits;
// whether they are valid is for the engine to decide.
func (m *messages) UnmarshalJSON(data []byte) error {
	m.encoded = bytes.Clone(data)
	if json.Unmarshal(data, &m.list) != nil {
		m.list = nil
	}
	return nil
}

// inspectBody reads the body of a call to a model service.
func inspectBody(path string, body []byte) prompt {
	if !strings.HasPrefix(path, "/v1/") {
		return prompt{}
	}
	var request struct {
		Model    string          `json:"model"`
		Messages messages        `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
		Tools    json.RawMessage `json:"tools"`
		System   json.RawMessage `json:"system"`
	}
	if json.Unmarshal(body, &request) != nil {
		return prompt{}
	}
	if len(request.Messages.encoded) == 0 {
		return prompt{model: request.Model, text: request.Prompt}
	}
	p := prompt{model: request.Model, text: request.Messages.encoded}
	p.addPart("tools", request.Tools)
	p.addPart("system", request.System)
	list := request.Messages.list
	for i := range list[:max(len(list)-1, 0)] {
		p.addPart(list[i].Role, list[i].Content, list[i].ToolCalls)
	}
	return p
}

// addPart adds a part with a role, unless its content is empty.
func (p *prompt) addPart(role string, contents ...json.RawMessage) {
	var part bytes.Buffer
	for _, content := range contents {
		if len(content) > 0 && string(content) != "null" && json.Compact(&part, content) == nil {
			part.WriteByte('\n')
		}
	}
	switch {
	case part.Len() == 0:
	case len(p.parts) == maxParts:
		p.partsLeftOut++
	default:
		p.parts = append(p.parts, role+"\n"+part.String())
	}
}

// traits returns the traits of a request.
func (p *prompt) traits(customer, target string, body []byte) []poison.Trait {
	out := make([]poison.Trait, 0, len(p.parts)+1)
	for _, part := range p.parts {
		out = append(out, poison.PartTrait(p.model, part))
	}
	return append(out, poison.RequestTrait(customer, target, body))
}

package engine

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/fleet"
)

// maxLoaded is the largest number of versions in one load report.
const maxLoaded = 64

// Report is an engine's load report.
type Report struct {
	BootID  string   `json:"boot_id"`
	Warm    bool     `json:"warm"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Loaded  []Loaded `json:"loaded"`
	// Fence is the highest fencing token received; 0 if the engine ignores tokens.
	Fence int64 `json:"fence"`
}

// Loaded is one version in the engine's memory.
type Loaded struct {
	Model   string        `json:"model"`
	Version fleet.Version `json:"version"`
	Root    fleet.Digest  `json:"root"`
}

// ServedName returns the model name under which an engine serves exactly the
// version with that root. Calls carry this name, so that the request selects the
// weights and not the state of the engine.
func ServedName(root fleet.Digest) string { return root.String() }

// Has reports whether the engine holds the weights with that root.
func (r *Report) Has(root fleet.Digest) bool {
	for _, l := range r.Loaded {
		if l.Root == root {
			return true
		}
	}
	return false
}

// DecodeReport decodes a load report. It returns an error for a truncated report,
// for one with more versions than an engine can hold, and for a version without
// a root.
func DecodeReport(data []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "decode engine report")
	}
	if len(r.Loaded) > maxLoaded {
		return nil, eris.Errorf("engine report names %d versions, the limit is %d", len(r.Loaded), maxLoaded)
	}
	for _, l := range r.Loaded {
		if l.Root.IsZero() {
			return nil, eris.New("engine report names a version without a root")
		}
	}
	return &r, nil
}

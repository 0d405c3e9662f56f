package engine

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/fleet"
)

// maxLoaded bounds the versions in one load report.
const maxLoaded = 64

// Report is what an engine says of itself.
type Report struct {
	BootID  string   `json:"boot_id"`
	Warm    bool     `json:"warm"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Loaded  []Loaded `json:"loaded"`
	// Fence is the highest fencing number seen; 0 if the engine ignores them.
	Fence int64 `json:"fence"`
}

// Loaded is one version in the engine's memory.
type Loaded struct {
	Model   string        `json:"model"`
	Version fleet.Version `json:"version"`
	Root    fleet.Digest  `json:"root"`
}

// ServedName is the model name by which an engine serves exactly the version
// with that root. Calls are sent with it, so that the request itself and not
// the engine's state selects the weights.
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

// DecodeReport reads a load report. A report that is cut, or that names more
// versions than an engine can hold, is an error and not a report of less.
func DecodeReport(data []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(err, "engine report")
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

package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Usage is what a process uses of its machine.
type Usage struct {
	// PeakBytes is the largest resident memory so far.
	PeakBytes int64
	// Files is the number of open descriptors.
	Files int
}

// ReadUsage reads the usage of a running process from /proc.
func ReadUsage(pid int) (Usage, error) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "open descriptors")
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "process status")
	}
	for line := range strings.Lines(string(data)) {
		text, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
		return Usage{PeakBytes: kb << 10, Files: len(files)}, eris.Wrap(err, "VmHWM")
	}
	return Usage{}, eris.Errorf("process %d has ended: its status has no VmHWM", pid)
}

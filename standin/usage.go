package standin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is what a process uses of its machine.
type Usage struct {
	// PeakBytes is the largest resident memory so far.
	PeakBytes int64
	// Files is the number of open descriptors.
	Files int
}

const (
	// usageInterval is the time between two reads of the usage of a process.
	usageInterval = 50 * time.Millisecond
	// steadyReads is how many reads in a row must bring no new peak, and maxUsageReads
	// the number of reads after which a process that still grows is not followed.
	steadyReads   = 20
	maxUsageReads = 200
)

// PeakUsage follows the usage of a running process until it no longer grows and returns
// the largest values.
func PeakUsage(pid int) (Usage, error) {
	var peak Usage
	for reads, steady := 0, 0; steady < steadyReads && reads < maxUsageReads; reads++ {
		u, err := ReadUsage(pid)
		if err != nil {
			return peak, err
		}
		steady++
		if u.PeakBytes > peak.PeakBytes || u.Files > peak.Files {
			peak = Usage{PeakBytes: max(u.PeakBytes, peak.PeakBytes), Files: max(u.Files, peak.Files)}
			steady = 0
		}
		time.Sleep(usageInterval)
	}
	return peak, nil
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

package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor time in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	// The command name in parentheses may contain spaces, so that fields are
	// counted from its end.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, eris.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "resident memory")
	}
	for line := range strings.Lines(string(data)) {
		text, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
		return kib << 10, eris.Wrap(err, "resident memory")
	}
	return 0, eris.Errorf("/proc/%d/status has no VmRSS", pid)
}

// machineTime returns the busy and idle processor time of the whole machine,
// summed over all cores. Waiting for I/O counts as idle.
func machineTime() (busy, idle time.Duration, err error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, eris.Wrap(err, "machine time")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const idleField, waitField = 3, 4
	for i, text := range strings.Fields(line)[1:] {
		ticks, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, 0, eris.Wrap(err, "machine time")
		}
		if i == idleField || i == waitField {
			idle += time.Duration(ticks) * clockTick
		} else {
			busy += time.Duration(ticks) * clockTick
		}
	}
	return busy, idle, nil
}

package gateway

import (
	"cmp"
	"slices"
	"time"
)

const (
	// connectionBytes is the memory of a caller's connection: the buffers and the
	// goroutine of the server. connectionMemoryDivisor is the divisor for the part of
	// the memory of the process that connections may take.
	connectionBytes         = 16 << 10
	connectionMemoryDivisor = 8
	// otherFiles are the descriptors for everything but callers and their requests at
	// upstreams.
	otherFiles = 64
	// A connection whose request runs needs two descriptors, one of them for the
	// upstream. A quarter of the connections are being closed (connlimit.New), so four
	// connections need seven descriptors.
	filesOfConnections, connectionsOfFiles = 7, 4
)

// maxConnections returns how many connections callers may have open if the process may
// use a memory and a number of descriptors; 0 files mean no limit.
func maxConnections(memoryBytes int64, files int) int {
	limit := int(memoryBytes / connectionMemoryDivisor / connectionBytes)
	if files > 0 {
		limit = min(limit, (files-otherFiles)*connectionsOfFiles/filesOfConnections)
	}
	return max(limit, 1)
}

// makeRoom closes up to n connections, first those that have been idle for the longest
// time. If too few are idle, incomplete bodies are evicted, whose connections are then
// closed.
func (f *front) makeRoom(n int, urgent bool) {
	closed := f.closeLongestIdle(n)
	closed += f.gateway.bodies.MakeRoom(n-closed, urgent)
	f.gateway.metrics.connectionsDisplaced.Add(closed)
}

// closeLongestIdle closes up to n connections that have been idle for the longest time, except
// those on which a request is on its way. It returns how many.
func (f *front) closeLongestIdle(n int) (closed int) {
	for _, c := range f.idle() {
		if closed == n {
			break
		}
		if c.closeIfIdle() {
			closed++
			_ = f.gateway.logger.Log("event", "connection-displaced", "idle", time.Since(time.Unix(0, c.idleSince.Load())).Seconds())
		}
	}
	return closed
}

// idle returns the connections that are idle after a request, that for the longest time
// first.
func (f *front) idle() []*callerConn {
	conns := slices.DeleteFunc(f.open(), func(c *callerConn) bool {
		return c.use.Load() != connIdle || c.idleSince.Load() == 0
	})
	slices.SortFunc(conns, func(a, b *callerConn) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	return conns
}

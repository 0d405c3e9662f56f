package gateway

import (
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

const (
	// unusedAge is the age from which a connection without any byte of a request, or with an
	// incomplete head, gives way to others, and urgentUnusedAge if no further connection may
	// be open. Callers that need a connection use it earlier.
	unusedAge       = time.Second
	urgentUnusedAge = 250 * time.Millisecond
)

// makeRoom closes up to n connections, first those that have been idle for the longest
// time, then those that have brought no request since they were opened, or no complete head.
// If these are too few, incomplete bodies are evicted, whose connections are then closed.
func (f *front) makeRoom(n int, urgent bool) {
	age := unusedAge
	if urgent {
		age = urgentUnusedAge
	}
	now := time.Now()
	closed := f.displace(now, n, f.idle(), (*callerConn).closeIfIdle)
	if closed < n {
		closed += f.displace(now, n-closed, f.unused(now.Add(-age)), (*callerConn).closeIfUnused)
	}
	closed += f.gateway.bodies.MakeRoom(n-closed, urgent)
	f.gateway.metrics.connectionsDisplaced.Add(closed)
}

// displace closes up to n connections, except those on which a request has arrived meanwhile.
// It returns how many.
func (f *front) displace(now time.Time, n int, conns []*callerConn, closeConn func(*callerConn) bool) (closed int) {
	for _, c := range conns {
		if closed == n {
			break
		}
		since := c.waitingSince()
		if closeConn(c) {
			closed++
			_ = f.gateway.logger.Log("event", "connection-displaced", "idle", now.Sub(since).Seconds(), "used", c.idleSince.Load() != 0)
		}
	}
	return closed
}

// idle returns the connections that are idle after a request, that for the longest time
// first.
func (f *front) idle() []*callerConn {
	return f.waiting(func(c *callerConn) bool { return c.use.Load() == connIdle && c.idleSince.Load() != 0 })
}

// unused returns the connections that have brought no request, or only a part of a head,
// since a time or before, that for the longest time first.
func (f *front) unused(before time.Time) []*callerConn {
	return f.waiting(func(c *callerConn) bool {
		use := c.use.Load()
		return (use == connHead || use == connIdle && c.idleSince.Load() == 0) && !c.waitingSince().After(before)
	})
}

// waiting returns the open connections that a condition holds for, in the order of the times
// since which they wait.
func (f *front) waiting(holds func(*callerConn) bool) []*callerConn {
	conns := slices.DeleteFunc(f.open(), func(c *callerConn) bool { return !holds(c) })
	slices.SortFunc(conns, func(a, b *callerConn) int { return a.waitingSince().Compare(b.waitingSince()) })
	return conns
}

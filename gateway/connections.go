package gateway

import "time"

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

// makeRoom closes the connection that has been idle for the longest time. If none is
// idle, it evicts the incomplete body that costs most, whose connection is then closed.
func (f *front) makeRoom() {
	now := time.Now()
	for {
		idle := f.longestIdle()
		if idle == nil {
			if f.gateway.bodies.EvictWorst() {
				f.gateway.metrics.connectionsDisplaced.Inc()
			}
			return
		}
		if idle.closeIfIdle() {
			f.gateway.metrics.connectionsDisplaced.Inc()
			_ = f.gateway.logger.Log("event", "connection-displaced", "idle", now.Sub(time.Unix(0, idle.idleSince.Load())).Seconds())
			return
		}
	}
}

// longestIdle returns the connection that has been idle for the longest time after a
// request, or nil.
func (f *front) longestIdle() *callerConn {
	var longest *callerConn
	for _, c := range f.open() {
		if c.use.Load() != connIdle || c.idleSince.Load() == 0 {
			continue
		}
		if longest == nil || c.idleSince.Load() < longest.idleSince.Load() {
			longest = c
		}
	}
	return longest
}

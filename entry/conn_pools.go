package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/relay"
	"rattanspur.example/lib/sock"
)

const (
	// maxIdleConnsPerAgent is the maximum number of idle connections to an agent.
	maxIdleConnsPerAgent = 64
	// idleConnTimeout is the time after which an idle connection to an agent is
	// closed.
	idleConnTimeout = 30 * time.Second
)

// connPool holds the connections to one agent. The connections of a replaced pool
// are closed as soon as their calls have ended.
type connPool struct {
	address   string
	createdAt time.Time
	transport relay.Transport
}

// connPools holds the connection pools of all agents. It is owned by the router;
// a forwarder uses the pool of its attempt.
type connPools struct {
	maxAge time.Duration
	byID   map[fleet.InstanceID]*connPool
}

func newConnPools(maxAge time.Duration) *connPools {
	return &connPools{maxAge: maxAge, byID: map[fleet.InstanceID]*connPool{}}
}

// get returns the connection pool of an agent. A pool older than maxAge is
// replaced, because open connections may have stalled while new ones work.
func (p *connPools) get(now time.Time, agent fleet.Instance) *connPool {
	pool := p.byID[agent.ID]
	if pool != nil && pool.address == agent.Address && now.Sub(pool.createdAt) < p.maxAge {
		return pool
	}
	if pool != nil {
		pool.transport.CloseIdleConnections()
	}
	pool = &connPool{address: agent.Address, createdAt: now, transport: newTransport()}
	p.byID[agent.ID] = pool
	return pool
}

// discard removes a pool in which a connection stalled or delivered a response
// that belongs to another attempt. It does nothing if the pool was already
// replaced.
func (p *connPools) discard(id fleet.InstanceID, pool *connPool) {
	if p.byID[id] != pool {
		return
	}
	pool.transport.CloseIdleConnections()
	delete(p.byID, id)
}

// retain removes the pools of agents for which keep returns false.
func (p *connPools) retain(keep func(fleet.InstanceID) bool) {
	for id, pool := range p.byID {
		if !keep(id) {
			pool.transport.CloseIdleConnections()
			delete(p.byID, id)
		}
	}
}

func newTransport() relay.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return relay.NewTransport(&http.Transport{
		MaxResponseHeaderBytes: sock.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := sock.DialWith(ctx, dialer, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerAgent,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
}

// countingConn counts the bytes passed to Write. The count shows whether any byte
// of a request was written.
type countingConn struct {
	*sock.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	// The bytes are counted before the write, since a failed write may have sent
	// some of them.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

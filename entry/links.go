package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rattanspur.example/lib/fleet"
)

const (
	// idlePerAgent bounds the idle connections to one agent.
	idlePerAgent = 64
	// idleAge closes connections to agents that are not used.
	idleAge = 30 * time.Second
)

// link holds the connections to one agent. Connections of a replaced link are
// closed as soon as their calls have ended.
type link struct {
	address   string
	born      time.Time
	transport *http.Transport
}

// links are the connections to all agents. They are owned by the router; a
// forwarder uses the link that its attempt names.
type links struct {
	age  time.Duration
	byID map[fleet.InstanceID]*link
}

func newLinks(age time.Duration) *links {
	return &links{age: age, byID: map[fleet.InstanceID]*link{}}
}

// to returns the link to an agent. A link that is too old is replaced, because
// an open connection may have gone silent while new ones work.
func (l *links) to(now time.Time, agent fleet.Instance) *link {
	k := l.byID[agent.ID]
	if k != nil && k.address == agent.Address && now.Sub(k.born) < l.age {
		return k
	}
	if k != nil {
		k.transport.CloseIdleConnections()
	}
	k = &link{address: agent.Address, born: now, transport: newTransport()}
	l.byID[agent.ID] = k
	return k
}

// drop replaces a link on which a connection went silent or gave an answer
// that cannot be trusted. A link that was replaced before is left alone.
func (l *links) drop(id fleet.InstanceID, k *link) {
	if l.byID[id] != k {
		return
	}
	k.transport.CloseIdleConnections()
	delete(l.byID, id)
}

// retain closes the links to agents for which keep returns false.
func (l *links) retain(keep func(fleet.InstanceID) bool) {
	for id, k := range l.byID {
		if !keep(id) {
			k.transport.CloseIdleConnections()
			delete(l.byID, id)
		}
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: idlePerAgent,
		IdleConnTimeout:     idleAge,
		DisableCompression:  true,
	}
}

// countedConn counts the bytes that were handed to the operating system, so
// that "no byte of the request was written" is known and not assumed.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	// Counted before the write: a write that fails may have sent a part.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

package main

import (
	"net"
	"sync"
)

// link is a proxy for TCP connections. It can make the open ones silent for good, without a
// reset, while new ones work.
type link struct {
	address string
	target  string
	mu      sync.Mutex
	// silenced is closed for the connections that are open now when they fall silent.
	silenced chan struct{}
}

func (w *world) newLink(target string) *link {
	l := listen(w.newHost())
	k := &link{address: l.Addr().String(), target: target, silenced: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k
}

// silence makes all open connections silent.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.silenced)
	k.silenced = make(chan struct{})
}

func (k *link) carry(c net.Conn) {
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	k.mu.Lock()
	silenced := k.silenced
	k.mu.Unlock()
	ends := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			copyUntil(pair[0], pair[1], silenced)
			ends <- struct{}{}
		}()
	}
	select {
	case <-ends:
		select {
		case <-silenced:
			// A silent connection stays open towards both ends.
			return
		default:
		}
		_ = c.Close()
		_ = t.Close()
	case <-silenced:
	}
}

// copyUntil copies bytes from one end to the other until the connection ends or is silent.
func copyUntil(to, from net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

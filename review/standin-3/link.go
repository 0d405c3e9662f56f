package main

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is a TCP path to a server that can be cut. While it is cut, open connections carry
// nothing, what was sent on them waits, and new connections are not established: the queue
// of the listener is full, so that their first packets are dropped.
type link struct {
	address string
	target  string
	l       net.Listener

	mu      sync.Mutex
	cond    *sync.Cond
	cut     bool
	fillers []net.Conn
}

// newLink listens on an IPv4 loopback address with the shortest queue.
func newLink(ip net.IP, target string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{}
	copy(sa.Addr[:], ip.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "link")
	l, err := net.FileListener(f)
	_ = f.Close()
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target, l: l}
	k.cond = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// wait blocks while the link is cut.
func (k *link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.cond.Wait()
	}
}

func (k *link) accept() {
	for {
		k.wait()
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		// A connection that was accepted as the cut began is not carried.
		go func() {
			k.wait()
			up, err := net.Dial("tcp", k.target)
			if err != nil {
				_ = c.Close()
				return
			}
			go k.copy(up, c)
			k.copy(c, up)
		}()
	}
}

func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.wait()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

// setCut cuts the link, or heals it.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	k.cut = cut
	fillers := k.fillers
	k.fillers = nil
	k.cond.Broadcast()
	k.mu.Unlock()
	for _, c := range fillers {
		_ = c.Close()
	}
	if !cut {
		return
	}
	// The goroutine in Accept takes one more connection, then the queue fills.
	for range 8 {
		c, err := net.DialTimeout("tcp", k.address, 40*time.Millisecond)
		if err != nil {
			return
		}
		k.mu.Lock()
		k.fillers = append(k.fillers, c)
		k.mu.Unlock()
	}
}

package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// link is the network between the daemons and one worker. While it is cut, it passes nothing on: bytes and ends of connections
// wait until it heals, and no connection is accepted.
type link struct {
	address string
	backend string

	mu   sync.Mutex
	open chan struct{} // closed while the link passes
}

// newLink returns a link to a backend, at a free address.
func newLink(backend string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), backend: backend, open: make(chan struct{})}
	close(k.open)
	go k.serve(l)
	return k, nil
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

// await waits until the link passes.
func (k *link) await() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.connect(c)
	}
}

// connect passes the bytes of a connection on. A worker that refuses it resets it.
func (k *link) connect(c net.Conn) {
	k.await()
	b, err := net.Dial("tcp", k.backend)
	if err != nil {
		reset(c)
		return
	}
	go k.pass(b, c)
	k.pass(c, b)
}

// pass copies one direction. It passes the end of the bytes on as an end, and a reset as a reset.
func (k *link) pass(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		k.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

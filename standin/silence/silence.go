// Package silence makes a stand-in silent for a while, as a process is that has been stopped by a signal: its connections
// are accepted, and nothing is read or written.
package silence

import (
	"net"
	"sync"
)

// Switch begins and ends the silence of a stand-in. The zero value is ready to use. It is safe for concurrent use.
type Switch struct {
	mu   sync.Mutex
	over chan struct{} // closed at the end of the silence; nil: there is none
}

// Begin begins the silence, and reports whether there was none.
func (s *Switch) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		return false
	}
	s.over = make(chan struct{})
	return true
}

// End ends the silence.
func (s *Switch) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		close(s.over)
		s.over = nil
	}
}

// wait waits until there is no silence.
func (s *Switch) wait() {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		<-over
	}
}

// Listen returns a listener whose connections the switch holds.
func (s *Switch) Listen(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	s *Switch
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.s}, nil
}

type conn struct {
	net.Conn
	s *Switch
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.s.wait()
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.s.wait()
	return c.Conn.Write(b)
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

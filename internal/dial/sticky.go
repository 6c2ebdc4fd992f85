package dial

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// stickyConn is a connection whose error stays. The kernel reports the error of a connection, such as a reset by the
// peer, to one call only. Where a write meets it, the following reads return io.EOF, and an answer that ends with its
// connection would look complete.
type stickyConn struct {
	net.Conn
	writing sync.Mutex    // held during a write
	broken  syscall.Errno // the error of the connection that a write has met; 0: none. Guarded by writing
}

// Write implements net.Conn.
func (c *stickyConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	var errno syscall.Errno
	// Without an earlier error, EPIPE means that the peer closed its side before it reset the connection: the end is its own.
	if c.broken == 0 && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken = errno
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side; after a write that met an error of
// the connection it returns that error.
func (c *stickyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns the error of a read that has met the end of the connection. It waits for a write in progress, which may
// have met an error that it has not returned yet.
func (c *stickyConn) end() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // the peer may have closed its side without reading what is sent
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.broken != 0 {
		return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.broken}
	}
	return io.EOF
}

// NetConn returns the underlying connection.
func (c *stickyConn) NetConn() net.Conn { return c.Conn }

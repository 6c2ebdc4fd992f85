package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/doorvalve/doorvalve/internal/dial"
)

// The bytes from the endpoint travel in frames: the length of the content in two bytes, in big-endian
// order, then the content. Two lengths stand for the end of the endpoint's side. The end of the relayed
// connection alone does not show that: the kernel closes the connections of a killed relay in the same way.
const (
	// lengthClosed says that the endpoint has closed its side, and lengthReset that its side broke.
	lengthClosed = 0
	lengthReset  = 1<<16 - 1

	// lengthBytes is the size of the length, and frameBytes that of the largest frame.
	lengthBytes = 2
	frameBytes  = lengthBytes + copyBytes
)

// putLength writes the length of a frame to its first bytes.
func putLength(frame []byte, length int) { binary.BigEndian.PutUint16(frame, uint16(length)) }

// framedConn is a connection through a relay that sends frames. Writes pass unchanged.
type framedConn struct {
	net.Conn
	r    *bufio.Reader
	left int   // bytes of the present frame that have not been read
	end  error // of the endpoint's side; nil before it
}

// Read implements net.Conn. It returns io.EOF once the endpoint has closed its side, an error that is
// syscall.ECONNRESET if that side broke, and dial.ErrRelayEnded if the connection ends without word of
// either.
func (c *framedConn) Read(b []byte) (int, error) {
	if c.left == 0 && c.end == nil {
		c.end = c.nextFrame()
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, relayError(err)
}

// nextFrame reads the length of the next frame. It returns the end of the endpoint's side as an error.
func (c *framedConn) nextFrame() error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c.r, length[:]); err != nil {
		return relayError(err)
	}
	switch n := int(binary.BigEndian.Uint16(length[:])); n {
	case lengthClosed:
		return io.EOF
	case lengthReset:
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	default:
		c.left = n
		return nil
	}
}

// relayError replaces the errors of a relayed connection that has ended.
func relayError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return dial.ErrRelayEnded
	}
	return err
}

// unframedConn is a connection through a daemon of a version that sends no frames: its end may be that of
// the endpoint's side or of the relay.
type unframedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn. It never returns io.EOF.
func (c *unframedConn) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if errors.Is(err, io.EOF) {
		err = dial.ErrRelayEnded
	}
	return n, err
}

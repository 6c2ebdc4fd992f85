package dial

import (
	"errors"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// brokenConn is a connection whose kernel reports its error to the write, and the end to the read.
type brokenConn struct {
	net.Conn
	writeErr error
	wrote    chan struct{} // the write returns once it is closed; nil: at once
	deadline sync.Once     // of the write
}

func (c *brokenConn) Write([]byte) (int, error) {
	if c.wrote != nil {
		<-c.wrote
	}
	return 0, c.writeErr
}

func (c *brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetWriteDeadline ends the write in progress.
func (c *brokenConn) SetWriteDeadline(time.Time) error {
	c.deadline.Do(func() { close(c.wrote) })
	return nil
}

func (c *brokenConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *brokenConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against a reset that looks like the end of an answer because a write has taken its error.
func TestEndAfterAnErrorIsNoEnd(t *testing.T) {
	write := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	for _, c := range []struct {
		name     string
		writeErr error
		want     error
	}{
		{"no error", nil, io.EOF},
		{"reset", write(syscall.ECONNRESET), syscall.ECONNRESET},
		{"timed out", write(syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		{"reset after the peer closed its side", write(syscall.EPIPE), io.EOF},
		{"ended by its deadline", os.ErrDeadlineExceeded, io.EOF},
	} {
		for _, inProgress := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				under := &brokenConn{writeErr: c.writeErr}
				conn := &stickyConn{Conn: under}
				if inProgress {
					under.wrote = make(chan struct{})
					go func() { _, _ = conn.Write([]byte("x")) }()
					for conn.writing.TryLock() {
						conn.writing.Unlock()
						time.Sleep(time.Millisecond)
					}
				} else {
					_, _ = conn.Write([]byte("x"))
				}
				for range 2 {
					if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
						t.Errorf("write in progress: %v: error %v, want %v", inProgress, err, c.want)
					}
				}
			})
		}
	}
}

// Guards against the same on a real connection, whichever call the kernel tells the reset, and against a sound end
// that counts as a reset.
func TestEndOfAConnectionBesideAWrite(t *testing.T) {
	const plays = 2000
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"reset":                   {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
		"closed, reads no more":   {func(c *net.TCPConn) { _ = c.CloseWrite() }, io.EOF},
		"closed, goes on reading": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = io.ReadFull(conn, make([]byte, 1000))
						_, _ = io.WriteString(conn, "part")
						c.end(conn.(*net.TCPConn))
					}()
				}
			}()
			for range plays {
				if err := readBesideWrite(t, l.Addr().String()); !errors.Is(err, c.want) {
					t.Fatalf("the read ended with %v, want %v", err, c.want)
				}
			}
		})
	}
}

// readBesideWrite reads a connection to its end while it writes to it, and returns the error of the last read.
func readBesideWrite(t *testing.T, address string) error {
	conn, err := TCP(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var writing sync.WaitGroup
	defer writing.Wait()
	defer func() { _ = conn.SetWriteDeadline(time.Unix(1, 0)) }()
	writing.Go(func() {
		for err := error(nil); err == nil; {
			_, err = conn.Write(make([]byte, 4<<10))
		}
	})
	for {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return err
		}
	}
}

// opensConnection matches code that opens a connection without New. A field of an http.Transport has no dot before it.
var opensConnection = regexp.MustCompile(`\.DialContext\(|\)\.DialContext\b|\bnet\.Dial(Timeout)?\(`)

// Guards against programs that read answers on connections that were not opened here.
func TestOnlyThisPackageOpensConnections(t *testing.T) {
	const root = "../.."
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch name, _ := filepath.Rel(root, path); {
		case err != nil:
			return err
		case d.IsDir() && slices.Contains([]string{".git", "review", "standin", "internal/dial", "cmd/doorvalve-bench"}, name):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		files++
		content, err := os.ReadFile(path)
		if found := opensConnection.Find(content); found != nil {
			t.Errorf("%s: %s opens a connection", path, found)
		}
		return err
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files read: %v", files, err)
	}
}

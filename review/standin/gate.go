package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a proxy before a worker, at the address that the worker registers. It can lose the opening
// packets of new connections: it leaves connections of its own in its short accept queue, so that the
// kernel drops further ones.
type gate struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	resumed *sync.Cond
	paused  bool
	fillers []net.Conn
}

// dropCheck is the time in which a connection opens if its opening packet is not lost.
const dropCheck = 50 * time.Millisecond

func newGate(target string) (*gate, error) {
	l, err := listenShort()
	if err != nil {
		return nil, err
	}
	g := &gate{target: target, listener: l}
	g.resumed = sync.NewCond(&g.mu)
	go g.accept()
	return g, nil
}

// listenShort listens on a free port of 127.0.0.1 with the shortest possible accept queue.
func listenShort() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "gate")
	defer func() { _ = f.Close() }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		for g.paused {
			g.resumed.Wait()
		}
		filler := g.isFiller(c)
		g.mu.Unlock()
		if filler {
			_ = c.Close()
			continue
		}
		go g.relay(c)
	}
}

// isFiller reports whether a connection is one of the gate's own. The caller holds the mutex.
func (g *gate) isFiller(c net.Conn) bool {
	for _, f := range g.fillers {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			return true
		}
	}
	return false
}

var errNotDropped = errors.New("the gate could not make the kernel drop opening packets")

// drop makes the gate lose the opening packets of new connections until pass is called.
func (g *gate) drop() error {
	g.mu.Lock()
	g.paused, g.fillers = true, nil
	g.mu.Unlock()
	dropped := 0
	for range 16 {
		c, err := net.DialTimeout("tcp", g.address(), dropCheck)
		if err != nil {
			if dropped++; dropped == 2 { // once may be before the accept loop has stopped
				return nil
			}
			continue
		}
		dropped = 0
		g.mu.Lock()
		g.fillers = append(g.fillers, c)
		g.mu.Unlock()
	}
	g.pass()
	return errNotDropped
}

// pass ends drop.
func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.fillers {
		_ = c.Close()
	}
	g.paused = false
	g.resumed.Broadcast()
}

// relay copies the bytes of both directions. It passes on ends and resets.
func (g *gate) relay(c net.Conn) {
	w, err := net.Dial("tcp", g.target)
	if err != nil {
		reset(c)
		return
	}
	go func() {
		_, err := io.Copy(w, c)
		if err != nil {
			reset(w)
			return
		}
		_ = w.(*net.TCPConn).CloseWrite()
	}()
	if _, err := io.Copy(c, w); err != nil {
		reset(c)
	}
	_ = c.Close()
	_ = w.Close()
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const (
	firstPort = 10000
	lastPort  = 32000 // below the ports that the kernel gives to outgoing connections
)

// freeAddress returns an address of 127.0.0.1 with a port that is free now.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

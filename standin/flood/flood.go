// Package flood is an endpoint in trouble: it answers each request with bytes without end, until its caller
// closes the connection.
package flood

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what is sent without end. All begin at the first byte of the answer, or after a sound beginning of it.
type Kind string

// Kinds of answers.
const (
	HeadLines      Kind = "head of many lines"
	HeadLine       Kind = "head of one line"
	StatusLine     Kind = "status line"
	NoHTTP         Kind = "bytes that are no HTTP"
	Informational  Kind = "informational answers"
	SizedBody      Kind = "body with a length"
	UnframedBody   Kind = "body without a length"
	ChunkedBody    Kind = "chunked body"
	ChunkExtension Kind = "extension of a chunk"
	Trailers       Kind = "trailers"
	Event          Kind = "event"
	EventAfterSome Kind = "event after complete ones"
)

// Kinds are all kinds.
var Kinds = []Kind{HeadLines, HeadLine, StatusLine, NoHTTP, Informational, SizedBody, UnframedBody, ChunkedBody, ChunkExtension, Trailers, Event, EventAfterSome}

// sendBuffer is the size of the kernel's send buffer of a connection, in bytes.
const sendBuffer = 16 << 10

// Server is such an endpoint.
type Server struct {
	// Header returns the lines of the head of a sound answer, each with its line end.
	Header func(*http.Request) string
	// Interval is the time between two pieces of a byte; 0: as fast as the caller reads.
	Interval time.Duration

	kind     Kind
	listener net.Listener
	requests atomic.Int64
	bytes    atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// New returns a server that listens on a free port of the loopback interface. Serve starts it.
func New(kind Kind) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Server{kind: kind, listener: l, conns: map[net.Conn]bool{}, Header: func(*http.Request) string { return "" }}, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests received.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Bytes returns the number of bytes sent.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Open returns the number of connections that are still being sent to.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve serves until Close.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = c.Close()
		}
		_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer) // what waits there would count as sent
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // a caller that breaks off shows when the answer is written
	s.requests.Add(1)
	s.kind.Send(s.Header(req), s.Interval, func(content []byte) bool { return s.write(c, content) })
}

func (s *Server) write(c net.Conn, content []byte) bool {
	n, err := c.Write(content)
	s.bytes.Add(int64(n))
	return err == nil
}

// Send writes an answer of the kind until write reports that it failed. header has the lines of the head of a sound
// answer, and interval is the time between two bytes; 0: as fast as write returns.
func (k Kind) Send(header string, interval time.Duration, write func([]byte) bool) {
	begin, piece := k.answer(header)
	if !write([]byte(begin)) {
		return
	}
	content, step := bytes.Repeat([]byte(piece), 16<<10/len(piece)), 1
	if interval == 0 {
		step = len(content)
	}
	for i := 0; write(content[i : i+step]); i = (i + step) % len(content) {
		time.Sleep(interval)
	}
}

// answer returns the beginning of an answer, and what is repeated after it.
func (k Kind) answer(header string) (begin, piece string) {
	const ok, noise = "HTTP/1.1 200 OK\r\n", "no answer "
	head := ok + header
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch k {
	case HeadLines:
		return ok, "X-Line: no answer\r\n"
	case HeadLine:
		return ok + "X-Line: ", noise
	case StatusLine:
		return "HTTP/1.1 200 ", noise
	case Informational:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	case SizedBody:
		return head + "Content-Length: 1000000000000\r\n\r\n", noise
	case UnframedBody:
		return head + "Connection: close\r\n\r\n", noise
	case ChunkedBody:
		return chunked, "a\r\n" + noise + "\r\n"
	case ChunkExtension:
		return chunked + "a;x=", noise
	case Trailers:
		return chunked + "0\r\n", "X-Line: no answer\r\n"
	case Event:
		return head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: ", noise
	case EventAfterSome:
		return head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: token 1\n\nid: 2\ndata: ", noise
	}
	return "", noise
}

package inbound

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/intake"
)

// Guards against a caller that has closed its sending side being taken for one whose connection broke.
func TestEndOfACallersBytes(t *testing.T) {
	for end, closeConn := range map[End]func(*net.TCPConn){
		SendingClosed: func(c *net.TCPConn) { _ = c.CloseWrite() },
		Broken: func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(end.String(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			before, after := make(chan End, 1), make(chan End, 1)
			srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				c := Of(r)
				before <- c.End()
				<-r.Context().Done() // by net/http, when the caller's bytes have ended
				after <- c.End()
			})}
			listener := Listen(l, Options{Limits: intake.Limits{HeadBytes: 1000, HeadTime: time.Minute}})
			listener.Configure(srv)
			go func() { _ = srv.Serve(listener) }()
			t.Cleanup(func() { _ = srv.Close() })
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if got := <-before; got != NotEnded {
				t.Errorf("before the caller ended: %v", got)
			}
			closeConn(c.(*net.TCPConn))
			if got := <-after; got != end {
				t.Errorf("got %v, want %v", got, end)
			}
		})
	}
}

package bounded

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/standin/flood"
)

// Guards against answers without an end that are read for as long as their sender goes on.
func TestAnswersWithoutAnEndAreBroken(t *testing.T) {
	want := map[flood.Kind]error{
		flood.HeadLines: ErrHeadTooLarge, flood.HeadLine: ErrHeadTooLarge, flood.StatusLine: ErrHeadTooLarge, flood.NoHTTP: ErrHeadTooLarge, flood.Informational: ErrHeadTooLarge,
		flood.SizedBody: ErrBodyTooLarge, flood.UnframedBody: ErrBodyTooLarge, flood.ChunkedBody: ErrBodyTooLarge, flood.Event: ErrBodyTooLarge, flood.EventAfterSome: ErrBodyTooLarge,
		flood.ChunkExtension: nil, flood.Trailers: nil, // net/http has bounds of its own
	}
	for _, kind := range flood.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			err := get(t, kind, 0, 1<<20)
			if err == nil || want[kind] != nil && !errors.Is(err, want[kind]) {
				t.Errorf("%v, want %v", err, want[kind])
			}
		})
	}
}

// Guards against heads that come byte by byte and hold a request until its deadline.
func TestSlowHeadsAreBroken(t *testing.T) {
	for _, kind := range []flood.Kind{flood.HeadLines, flood.HeadLine, flood.StatusLine, flood.NoHTTP} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			if err := get(t, kind, 50*time.Millisecond, 1<<20); !errors.Is(err, ErrHeadTooSlow) {
				t.Error(err)
			}
		})
	}
}

// get reads an answer of a server that sends it without end.
func get(t *testing.T, kind flood.Kind, interval time.Duration, maxBody int64) error {
	s, err := flood.New(kind)
	if err != nil {
		t.Fatal(err)
	}
	s.Interval = interval
	go s.Serve()
	defer s.Close()
	c := &http.Client{Transport: Transport{Head(&http.Transport{}), maxBody}, Timeout: 20 * time.Second}
	resp, err := c.Get("http://" + s.Address())
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

func TestBodyUpToTheLimitIsRead(t *testing.T) {
	for _, c := range []struct {
		limit int64
		want  error
	}{{5, nil}, {4, ErrBodyTooLarge}} {
		content, err := io.ReadAll(&limited{io.NopCloser(strings.NewReader("12345")), c.limit})
		if !errors.Is(err, c.want) || err == nil && string(content) != "12345" {
			t.Errorf("limit %d: %q, %v", c.limit, content, err)
		}
	}
}

// Whatever is sent in place of an answer, it is read in a bounded time and up to the bounds.
func FuzzAnswer(f *testing.F) {
	for _, content := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n12345\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 999\r\n\r\n", "\x00\x01", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		const maxBody = 64
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = far.Write(content)
			}()
			return near, nil
		}
		transport := Transport{Head(&http.Transport{DialContext: dial, DisableKeepAlives: true}), maxBody}
		req, err := http.NewRequest(http.MethodGet, "http://endpoint", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return
		}
		if err := CheckHead(resp); err != nil {
			t.Fatalf("an answer was passed on: %v", err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if len(body) > maxBody || err == nil && resp.ContentLength > maxBody {
			t.Fatalf("%d bytes of %d were read: %v", len(body), resp.ContentLength, err)
		}
	})
}

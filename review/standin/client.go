package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reply is what a requester gets for a stream.
type reply struct {
	status   int
	events   []int
	complete bool // the answer ended as the protocol ends a complete one
	err      error
	after    time.Duration
}

// String describes the reply.
func (r reply) String() string {
	last := 0
	if len(r.events) > 0 {
		last = r.events[len(r.events)-1]
	}
	return fmt.Sprintf("status %d, %d events, the last with id %d, ended as complete: %v, error: %v, after %d ms", r.status, len(r.events), last, r.complete, r.err, r.after.Milliseconds())
}

// requester sends requests to one daemon over kept channels.
type requester struct{ client *http.Client }

func newRequester() *requester {
	return &requester{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

// stream sends a request of a streaming route and reads the answer to its end.
func (q *requester) stream(address, host, path, id, model string, timeLeft time.Duration) reply {
	begun := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte("prompt of "+id)))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("Doorvalve-Request-Id", id)
	req.Header.Set("Doorvalve-Time-Remaining", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	req.Header.Set("Doorvalve-Model", model)
	req.Header.Set("Doorvalve-Token-Count", "826,300")
	req.Header.Set("Doorvalve-Prompt-Prefix", fmt.Sprintf("5c1e07a2:198,%x:628", id))
	resp, err := q.client.Do(req)
	if err != nil {
		return reply{err: err, after: time.Since(begun)}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, _ := strconv.Atoi(n)
			r.events = append(r.events, number)
		}
	}
	r.err = lines.Err()
	r.complete, r.after = r.err == nil, time.Since(begun)
	return r
}

// inOrder reports whether the events are 1 to n.
func inOrder(events []int, n int) bool {
	if len(events) != n {
		return false
	}
	for i, e := range events {
		if e != i+1 {
			return false
		}
	}
	return true
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// callCmd is a small HTTP client, so that scripts don't depend on another program.
type callCmd struct {
	URL     string        `arg:""`
	Data    string        `help:"Body; with one, the method is POST."`
	Method  string        `help:"Method."`
	Header  []string      `sep:"none" help:"Header as Name:value; may be repeated."`
	Summary bool          `help:"Print the status and the time taken instead of the body."`
	Wait    time.Duration `help:"Try again for this long until there is an answer."`
	Timeout time.Duration `default:"60s"`
}

// Run sends one request to a loopback address and prints the body of the
// answer, or the status and the time taken. Connection errors are retried for
// the time Wait.
func (c *callCmd) Run() error {
	if err := loopback(c.URL); err != nil {
		return err
	}
	start := time.Now()
	resp, err := c.send()
	for err != nil && time.Since(start) < c.Wait {
		time.Sleep(50 * time.Millisecond)
		resp, err = c.send()
	}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if !c.Summary {
		_, err = io.Copy(os.Stdout, resp.Body)
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	fmt.Printf("status %d after %.1f s\n", resp.StatusCode, time.Since(start).Seconds())
	return nil
}

func (c *callCmd) send() (*http.Response, error) {
	method := c.Method
	if method == "" && c.Data != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, c.URL, strings.NewReader(c.Data))
	if err != nil {
		return nil, err
	}
	for _, h := range c.Header {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	client := &http.Client{Timeout: c.Timeout}
	return client.Do(req)
}

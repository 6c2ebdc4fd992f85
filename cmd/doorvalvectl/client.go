package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
)

// errNoAnswer is returned when a change was sent to a daemon and no answer
// came, so that the change may or may not have taken effect.
var errNoAnswer = errors.New("no answer; the change may have been accepted: look at `doorvalvectl history`")

// refusedError is the error for a request that a daemon refused.
type refusedError struct{ protocol.Refusal }

// Error implements error.
func (e *refusedError) Error() string { return e.Detail }

func (e *refusedError) conflict() bool   { return e.Status == http.StatusConflict }
func (e *refusedError) mayHaveRun() bool { return e.Verdict != protocol.NotRun }

const callTimeout = 15 * time.Second

// maxAnswerBytes bounds an answer of a daemon; the largest are state dumps.
const maxAnswerBytes = 256 << 20

// client sends requests to the operators' listener of one daemon.
type client struct {
	base  string
	token string
	http  *http.Client
}

func (c *cli) clients() ([]*client, error) {
	if len(c.Address) == 0 {
		return nil, errors.New("no daemon named: use --address or DOORVALVE_ADDRESS")
	}
	transport := bounded.Head(&http.Transport{DialContext: dial.TCP})
	scheme := "http://"
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", c.CA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		scheme = "https://"
	}
	var list []*client
	for _, a := range c.Address {
		list = append(list, &client{base: scheme + a, token: c.Token, http: &http.Client{Transport: bounded.Transport{RoundTripper: transport, MaxBody: maxAnswerBytes}, Timeout: callTimeout}})
	}
	return list, nil
}

// call sends a request to the first daemon that accepts a connection. Only
// connection errors lead to the next daemon, so that a change that was sent
// but not answered is never sent twice.
func (c *cli) call(method, path string, body []byte) ([]byte, error) {
	list, err := c.clients()
	if err != nil {
		return nil, err
	}
	for _, cl := range list {
		var answer []byte
		if answer, err = cl.call(method, path, body); err == nil || !dial.IsDialError(err) {
			return answer, err
		}
	}
	return nil, err
}

func (c *client) call(method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		if method != http.MethodGet && !dial.IsDialError(err) {
			return nil, fmt.Errorf("%w (%w)", errNoAnswer, err)
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 300 {
		return answer, nil
	}
	refused := &refusedError{}
	if json.Unmarshal(answer, &refused.Refusal) != nil || refused.Detail == "" {
		refused.Refusal = protocol.Refusal{Status: resp.StatusCode, Detail: fmt.Sprintf("%s %s: status %d: %s", method, path, resp.StatusCode, answer)}
	}
	return nil, refused
}

// get sends a GET request and decodes the JSON answer into v.
func (c *cli) get(path string, v any) error {
	answer, err := c.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, v)
}

// print writes v to standard output as JSON if the output format is json, and
// calls text otherwise.
func (c *cli) print(v any, text func()) error {
	if c.Output != "json" {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

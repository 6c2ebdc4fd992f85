// Package platform is the client of the platform's object API and host list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/transport/meter"
	"github.com/doorvalve/doorvalve/transport/silence"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("platform")

// ErrNotFound says that the platform answered and has no such object.
var ErrNotFound = lease.ErrNotFound

// Kind is a kind of object.
type Kind string

// The kinds that the system keeps.
const (
	KindBundle    Kind = "bundle"    // immutable content, by digest
	KindReview    Kind = "review"    // author and sign-offs, by digest
	KindConfig    Kind = "config"    // the pointer to the bundle in force
	KindLease     Kind = "lease"     // by group
	KindPlacement Kind = "placement" // by group
	KindClaim     Kind = "claim"     // heads, by shard
	KindSegment   Kind = "segment"   // sealed claims
	KindDrain     Kind = "drain"     // endpoints drained by operators
	KindHeldBack  Kind = "held-back" // requests under which endpoints end
	KindLimits    Kind = "limits"    // that endpoints name
)

// Object is one stored value.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

// Host is one entry of the host list, which lags behind reality.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

// Roles of hosts.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
)

// Options configure a Client.
type Options struct {
	URL     string
	Timeout time.Duration // until the answer to a call begins that is no watch
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opt   Options
	http  *http.Client
	calls atomic.Int64
	meter meter.Meter
	hosts atomic.Pointer[hostList] // last seen
}

// New returns a client.
func New(opt Options) *Client {
	c := &Client{opt: opt}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.meter.Dial(opt.Timeout), MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	return c
}

// Bytes returns the bytes exchanged.
func (c *Client) Bytes() meter.Counts { return c.meter.Counts() }

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

func (c *Client) do(ctx context.Context, method, path string, version string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, limit := silence.Limit(ctx, timeout)
	defer limit.End()
	req, err := http.NewRequestWithContext(ctx, method, c.opt.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	if version != "" {
		req.Header.Set("If-Match", version)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, Error.Wrap(limit.Explain(err))
	}
	defer func() { _ = resp.Body.Close() }()
	limit.Extend(silence.TransferTimeout)
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, Error.Wrap(limit.Explain(err))
}

func (c *Client) getJSON(ctx context.Context, path string, timeout time.Duration, v any) error {
	status, body, err := c.do(ctx, http.MethodGet, path, "", nil, timeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNotFound
	case status != http.StatusOK:
		return Error.New("GET %s: status %d", path, status)
	}
	return Error.Wrap(json.Unmarshal(body, v))
}

func objectPath(kind Kind, name string) string {
	return "/objects/" + string(kind) + "/" + url.PathEscape(name)
}

// Get reads an object's value into v and returns its version. It returns
// ErrNotFound when the platform says that there is none.
func (c *Client) Get(ctx context.Context, kind Kind, name string, v any) (version uint64, err error) {
	var o Object
	if err := c.getJSON(ctx, objectPath(kind, name), c.opt.Timeout, &o); err != nil {
		return 0, err
	}
	return o.Version, Error.Wrap(json.Unmarshal(o.Value, v))
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, error) {
	var list []Object
	err := c.getJSON(ctx, "/objects/"+string(kind), c.opt.Timeout, &list)
	return list, err
}

// Put writes v if the object's version is still expected; 0 means that the
// object must not exist.
func (c *Client) Put(ctx context.Context, kind Kind, name string, expected uint64, v any) (version uint64, outcome protocol.WriteOutcome) {
	body, err := json.Marshal(v)
	if err != nil {
		return 0, protocol.WriteUnknown
	}
	status, answer, err := c.do(ctx, http.MethodPut, objectPath(kind, name), fmt.Sprint(expected), body, c.opt.Timeout)
	switch {
	case err == nil && status == http.StatusConflict:
		return 0, protocol.WriteConflict
	case err != nil || status != http.StatusOK:
		return 0, protocol.WriteUnknown
	}
	var o Object
	if json.Unmarshal(answer, &o) != nil {
		return 0, protocol.WriteUnknown
	}
	return o.Version, protocol.WriteOK
}

// Delete removes an object; an absent one is no error.
func (c *Client) Delete(ctx context.Context, kind Kind, name string) error {
	_, _, err := c.do(ctx, http.MethodDelete, objectPath(kind, name), "", nil, c.opt.Timeout)
	return err
}

// Watched is the answer to a watch.
type Watched struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Watch waits up to wait for a change of one of the kinds after a revision.
func (c *Client) Watch(ctx context.Context, kinds []Kind, since uint64, wait time.Duration) (Watched, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	var w Watched
	path := fmt.Sprintf("/watch?kinds=%s&since=%d&wait_ms=%d", strings.Join(names, ","), since, wait.Milliseconds())
	err := c.getJSON(ctx, path, wait+c.opt.Timeout, &w)
	return w, err
}

// hostList is a host list with its entity tag.
type hostList struct {
	etag string
	list []Host
}

// Hosts returns the host list; the caller must not change it. An unchanged list
// costs a short answer where the platform knows entity tags.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.opt.URL+"/hosts", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	last := c.hosts.Load()
	if last != nil && last.etag != "" {
		req.Header.Set("If-None-Match", last.etag)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && last != nil {
		return last.list, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("host list: status %d", resp.StatusCode)
	}
	next := &hostList{etag: resp.Header.Get("ETag")}
	if err := json.NewDecoder(resp.Body).Decode(&next.list); err != nil {
		return nil, Error.Wrap(err)
	}
	c.hosts.Store(next)
	return next.list, nil
}

// recordObject is the only object of a record's kind.
const recordObject = "main"

// ReadRecord decodes the record of a name into v; ErrNotFound says that there is none.
func (c *Client) ReadRecord(ctx context.Context, name string, v any) (version uint64, err error) {
	return c.Get(ctx, Kind(name), recordObject, v)
}

// WriteRecord writes the record of a name if its version is still expected; 0 means that it
// must not exist.
func (c *Client) WriteRecord(ctx context.Context, name string, expected uint64, v any) (version uint64, outcome protocol.WriteOutcome, err error) {
	version, outcome = c.Put(ctx, Kind(name), recordObject, expected, v)
	return version, outcome, nil
}

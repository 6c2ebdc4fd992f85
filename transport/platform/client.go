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

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/meter"
	"github.com/doorvalve/doorvalve/transport/silence"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("platform")

// ErrNotFound says that the platform answered and has no such object.
var ErrNotFound = lease.ErrNotFound

// ErrHistoryLost says that the platform cannot tell what has changed since a version.
var ErrHistoryLost = discovery.ErrHistoryLost

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
	// Generations hears of the generation that each answer names; nil: nobody does.
	Generations *generations.Tracker
}

// headerGeneration names the platform's generation in each of its answers: it rises each time its
// objects come back from a copy. A platform that never says one has a single generation.
const headerGeneration = "Platform-Generation"

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

// answer is what the platform said to a call.
type answer struct {
	status     int
	generation uint64
	body       []byte
}

// at returns a version of the platform's generation.
func (a *answer) at(revision uint64) storeversion.Version {
	return storeversion.Version{Generation: a.generation, Revision: revision}
}

func (c *Client) do(ctx context.Context, method, path string, version string, body []byte, timeout time.Duration) (a answer, err error) {
	ctx, limit := silence.Limit(ctx, timeout)
	defer limit.End()
	req, err := http.NewRequestWithContext(ctx, method, c.opt.URL+path, bytes.NewReader(body))
	if err != nil {
		return a, Error.Wrap(err)
	}
	if version != "" {
		req.Header.Set("If-Match", version)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return a, Error.Wrap(limit.Explain(err))
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if a.generation, err = c.opt.Generations.ObserveHeader(resp.Header.Get(headerGeneration), method); err != nil {
		return a, Error.Wrap(err)
	}
	limit.Extend(silence.TransferTimeout)
	a.body, err = io.ReadAll(resp.Body)
	return a, Error.Wrap(limit.Explain(err))
}

// getJSON decodes an answer into v. It returns the platform's generation also with ErrNotFound.
func (c *Client) getJSON(ctx context.Context, path string, timeout time.Duration, v any) (answer, error) {
	a, err := c.do(ctx, http.MethodGet, path, "", nil, timeout)
	switch {
	case err != nil:
		return a, err
	case a.status == http.StatusNotFound:
		return a, ErrNotFound
	case a.status == http.StatusGone:
		return a, ErrHistoryLost
	case a.status != http.StatusOK:
		return a, Error.New("GET %s: status %d", path, a.status)
	}
	return a, Error.Wrap(json.Unmarshal(a.body, v))
}

func objectPath(kind Kind, name string) string {
	return "/objects/" + string(kind) + "/" + url.PathEscape(name)
}

// Get reads an object's value into v and returns its version. It returns
// ErrNotFound, with the platform's generation, when there is none.
func (c *Client) Get(ctx context.Context, kind Kind, name string, v any) (storeversion.Version, error) {
	var o Object
	a, err := c.getJSON(ctx, objectPath(kind, name), c.opt.Timeout, &o)
	if err != nil {
		return a.at(0), err
	}
	return a.at(o.Version), Error.Wrap(json.Unmarshal(o.Value, v))
}

// List returns all objects of a kind, and the generation that their versions are of.
func (c *Client) List(ctx context.Context, kind Kind) (list []Object, generation uint64, err error) {
	a, err := c.getJSON(ctx, "/objects/"+string(kind), c.opt.Timeout, &list)
	return list, a.generation, err
}

// Put writes v if the object's version is still expected; an absent one means that the object must
// not exist. A version of an older generation than the platform's is no condition, as its revision
// may by now be that of another content: it is not sent, and a write that met one has an unknown
// outcome.
func (c *Client) Put(ctx context.Context, kind Kind, name string, expected storeversion.Version, v any) (version storeversion.Version, outcome protocol.WriteOutcome) {
	if c.opt.Generations.Outdated(expected) {
		return storeversion.Version{Generation: c.opt.Generations.Highest()}, protocol.WriteConflict
	}
	body, err := json.Marshal(v)
	if err != nil {
		return version, protocol.WriteUnknown
	}
	a, err := c.do(ctx, http.MethodPut, objectPath(kind, name), fmt.Sprint(expected.Revision), body, c.opt.Timeout)
	switch {
	case err == nil && a.status == http.StatusConflict:
		return a.at(0), protocol.WriteConflict
	case err != nil || a.status != http.StatusOK:
		return version, protocol.WriteUnknown
	}
	var o Object
	if json.Unmarshal(a.body, &o) != nil || a.generation != expected.Generation {
		return version, protocol.WriteUnknown
	}
	return a.at(o.Version), protocol.WriteOK
}

// Absent returns the condition that an object must not exist.
func (c *Client) IfAbsent() storeversion.Version {
	return storeversion.Version{Generation: c.opt.Generations.Highest()}
}

// Delete removes an object; an absent one is no error.
func (c *Client) Delete(ctx context.Context, kind Kind, name string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(kind, name), "", nil, c.opt.Timeout)
	return err
}

// Watched is the answer to a watch.
type WatchResult struct {
	Revision   uint64   `json:"revision"`
	Objects    []Object `json:"objects"`
	Generation uint64   `json:"-"` // of the revisions
}

// Watch waits up to wait for a change of one of the kinds after a version. It returns
// ErrHistoryLost where the platform's objects have come back from a copy since.
func (c *Client) Watch(ctx context.Context, kinds []Kind, since storeversion.Version, wait time.Duration) (WatchResult, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	var w WatchResult
	path := fmt.Sprintf("/watch?kinds=%s&since=%d&wait_ms=%d", strings.Join(names, ","), since.Revision, wait.Milliseconds())
	a, err := c.getJSON(ctx, path, wait+c.opt.Timeout, &w)
	if err == nil && a.generation != since.Generation && !since.Absent() {
		err = ErrHistoryLost
	}
	w.Generation = a.generation
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
func (c *Client) ReadRecord(ctx context.Context, name string, v any) (storeversion.Version, error) {
	return c.Get(ctx, Kind(name), recordObject, v)
}

// WriteRecord writes the record of a name if its version is still expected; an absent one means
// that it must not exist.
func (c *Client) WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (version storeversion.Version, outcome protocol.WriteOutcome, err error) {
	version, outcome = c.Put(ctx, Kind(name), recordObject, expected, v)
	return version, outcome, nil
}

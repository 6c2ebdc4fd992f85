// Package platform is the client of the platform's object API and host list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/lease"
	"github.com/doorvalve/doorvalve/driver/generations"
	"github.com/doorvalve/doorvalve/internal/bounded"
	"github.com/doorvalve/doorvalve/internal/dial"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/storeversion"
	"github.com/doorvalve/doorvalve/transport/meter"
	"github.com/doorvalve/doorvalve/transport/silence"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("platform")

// ErrNotFound reports that the platform answered that it has no such object.
var ErrNotFound = lease.ErrNotFound

// ErrHistoryLost reports that the platform can't list the changes since a version.
var ErrHistoryLost = discovery.ErrHistoryLost

// Kind is a kind of object.
type Kind string

// The kinds of objects that the system stores.
const (
	KindBundle    Kind = "bundle"    // immutable content of bundles, by digest
	KindReview    Kind = "review"    // author and sign-offs of bundles, by digest
	KindConfig    Kind = "config"    // pointer to the bundle in force
	KindLease     Kind = "lease"     // leases, by group
	KindPlacement Kind = "placement" // placements, by group
	KindClaim     Kind = "claim"     // heads of claims, by shard
	KindSegment   Kind = "segment"   // sealed segments of claims
	KindDrain     Kind = "drain"     // endpoints drained by operators
	KindHeldBack  Kind = "held-back" // requests quarantined because endpoints crash under them
	KindLimits    Kind = "limits"    // rate limits that endpoints report
)

// Object is a stored object.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

// Host is one entry of the platform's host list, which lags behind the actual hosts.
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
	URL string
	// Timeout bounds the time until an answer begins; a watch may wait in addition to it.
	Timeout time.Duration
	// Generations observes the generation that each answer names. It may be nil.
	Generations *generations.Tracker
}

// headerGeneration is the header of the platform's generation, which increases each time the
// platform's objects are restored from a copy. A platform that never sends it has a single
// generation.
const headerGeneration = "Platform-Generation"

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opt   Options
	http  *http.Client
	calls atomic.Int64
	meter meter.Meter
	hosts atomic.Pointer[hostList] // last received; nil before the first
}

// maxAnswerBytes bounds an answer of the platform: an object has a megabyte at most, and a list's page not much more.
const maxAnswerBytes = 8 << 20

// New returns a client.
func New(opt Options) *Client {
	c := &Client{opt: opt}
	t := bounded.Head(&http.Transport{DialContext: c.meter.Dial(dial.New(&net.Dialer{Timeout: opt.Timeout})), MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second})
	c.http = &http.Client{Transport: bounded.Transport{RoundTripper: t, MaxBody: maxAnswerBytes}}
	return c
}

// Bytes returns the number of bytes exchanged with the platform.
func (c *Client) Bytes() meter.Counts { return c.meter.Counts() }

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// answer is the platform's answer to a call.
type answer struct {
	status     int
	generation uint64
	body       []byte
}

// versionAt returns the version with a revision in the platform's generation.
func (a *answer) versionAt(revision uint64) storeversion.Version {
	return storeversion.Version{Generation: a.generation, Revision: revision}
}

// do makes a call. version is the expected version of the object, empty for none; timeout bounds the
// time until the answer begins.
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

// getJSON gets a path and decodes the answer into v. The answer holds the platform's generation also
// with ErrNotFound.
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

// Get reads an object's value into v and returns its version. If there is no such object, it returns
// ErrNotFound and a version that holds only the platform's generation.
func (c *Client) Get(ctx context.Context, kind Kind, name string, v any) (storeversion.Version, error) {
	var o Object
	a, err := c.getJSON(ctx, objectPath(kind, name), c.opt.Timeout, &o)
	if err != nil {
		return a.versionAt(0), err
	}
	return a.versionAt(o.Version), Error.Wrap(json.Unmarshal(o.Value, v))
}

// List returns all objects of a kind, and the generation of their versions.
func (c *Client) List(ctx context.Context, kind Kind) (list []Object, generation uint64, err error) {
	a, err := c.getJSON(ctx, "/objects/"+string(kind), c.opt.Timeout, &list)
	return list, a.generation, err
}

// Put writes v if the object's version is still expected; an absent version (see IfAbsent) means that
// the object must not exist. A version of an older generation than the platform's can't be used as a
// condition, since its revision may now belong to other content: Put returns a conflict without
// sending it. If the platform's generation changes during the write, the outcome is unknown.
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
		return a.versionAt(0), protocol.WriteConflict
	case err != nil || a.status != http.StatusOK:
		return version, protocol.WriteUnknown
	}
	var o Object
	if json.Unmarshal(a.body, &o) != nil || a.generation != expected.Generation {
		return version, protocol.WriteUnknown
	}
	return a.versionAt(o.Version), protocol.WriteOK
}

// IfAbsent returns the version to expect in Put for an object that must not exist.
func (c *Client) IfAbsent() storeversion.Version {
	return storeversion.Version{Generation: c.opt.Generations.Highest()}
}

// Delete removes an object. It is not an error if there is no such object.
func (c *Client) Delete(ctx context.Context, kind Kind, name string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(kind, name), "", nil, c.opt.Timeout)
	return err
}

// WatchResult is the answer to a watch.
type WatchResult struct {
	Revision   uint64   `json:"revision"`
	Objects    []Object `json:"objects"`
	Generation uint64   `json:"-"` // generation of the revisions
}

// Watch waits up to wait for changes of objects of the given kinds after a version. It returns
// ErrHistoryLost if the platform's objects have been restored from a copy since that version.
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

// Hosts returns the host list; the caller must not change it. If the list is unchanged, a platform
// that supports entity tags answers without a body.
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

// recordObject is the name of the only object of a record's kind.
const recordObject = "main"

// ReadRecord reads the record with a name into v. It returns ErrNotFound if there is none.
func (c *Client) ReadRecord(ctx context.Context, name string, v any) (storeversion.Version, error) {
	return c.Get(ctx, Kind(name), recordObject, v)
}

// WriteRecord writes the record with a name if its version is still expected; an absent version means
// that the record must not exist. The error is always nil.
func (c *Client) WriteRecord(ctx context.Context, name string, expected storeversion.Version, v any) (version storeversion.Version, outcome protocol.WriteOutcome, err error) {
	version, outcome = c.Put(ctx, Kind(name), recordObject, expected, v)
	return version, outcome, nil
}

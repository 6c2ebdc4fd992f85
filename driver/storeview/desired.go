package storeview

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/doorvalve/doorvalve/coordination/discovery"
	"github.com/doorvalve/doorvalve/coordination/relay"
	"github.com/doorvalve/doorvalve/internal/pause"
	"github.com/doorvalve/doorvalve/state/storeversion"
)

// maxDesiredBytes bounds a desired state: the store takes no larger objects.
const maxDesiredBytes = 8 << 20

// desiredContent is a desired state as the operator wrote it, and as it is sent to
// other daemons: compressed, since routes and models repeat the names of a few fields.
// A state that takes a link of 10 Mbit/s half a second to transfer would otherwise not
// reach several daemons in time.
type desiredContent struct {
	raw    []byte
	once   sync.Once
	packed []byte
}

// pack returns the compressed content. It is safe for concurrent use.
func (c *desiredContent) pack() []byte {
	c.once.Do(func() {
		var b bytes.Buffer
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level is valid
		_, _ = w.Write(c.raw)                           // writing to a buffer never fails
		_ = w.Close()
		c.packed = b.Bytes()
	})
	return c.packed
}

var errDesiredTooLarge = errors.New("larger than any object of the store")

// unpack decompresses content that another daemon has sent.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("desired state of a peer: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDesiredBytes+1))
	if err == nil && len(raw) > maxDesiredBytes {
		err = errDesiredTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("desired state of a peer: %w", err)
	}
	return raw, nil
}

// RunCatchUp fetches desired states that an upstream has announced but that are too
// large for its answers, until ctx ends. It runs concurrently with the polls, so that
// updates of the endpoints do not wait for a large transfer.
func (v *View) RunCatchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.catchUpPending:
		}
		for ctx.Err() == nil && v.behind() {
			if err := v.catchUp(ctx); err != nil {
				pause.For(ctx, pollRetry)
			}
		}
	}
}

// behind reports whether the upstream has a newer desired state in force.
func (v *View) behind() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstream.version > v.desiredVersion()
}

// desiredVersion returns the version of the desired state in force, 0 for none.
func (v *View) desiredVersion() uint64 {
	if t := v.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// catchUp reads a desired state from the store, or requests it from the upstream if the
// store does not answer or has an older one.
func (v *View) catchUp(ctx context.Context) error {
	err := v.readDesired(ctx)
	if err == nil && !v.behind() {
		return nil
	}
	v.opt.Log.Debug("requesting the desired state from the upstream", "store_error", err)
	v.mu.Lock()
	from := v.upstream.peer
	v.mu.Unlock()
	_, err = v.poll(ctx, from, 0, peerTimeout)
	return err
}

// readDesired reads the desired state from the store. Concurrent reads share one
// call, since this is the store's largest answer.
func (v *View) readDesired(ctx context.Context) error {
	_, err, _ := v.reads.Do("", func() (any, error) {
		requestedAt := v.opt.Clock()
		raw, stored, err := v.opt.Store.ReadDesiredState(ctx)
		v.logLate("store", relay.DesiredState, requestedAt, err)
		if err == nil {
			err = v.checkStoreVersion(stored, relay.DesiredState)
		}
		if err != nil {
			return nil, err
		}
		if raw == nil && v.Table() == nil {
			pause.For(ctx, emptyRetry)
		}
		_ = v.adoptDesired(raw, "store", stored) // after an error, the previous state stays in force
		v.mu.Lock()
		defer v.mu.Unlock()
		now := v.opt.Clock()
		v.desiredFollower.Listed(requestedAt, now, stored)
		v.observeCheckpoint(discovery.Checkpoint{RequestedAt: requestedAt, ReceivedAt: now, Version: stored})
		v.notify()
		return nil, nil
	})
	return err
}

func (v *View) watchDesired(ctx context.Context) error {
	w := v.beginWatch(v.desiredFollower, relay.DesiredState)
	var raw []byte
	err := v.watch(ctx, w, relay.DesiredState, func(ctx context.Context) (stored storeversion.Version, err error) {
		raw, stored, err = v.opt.Store.WatchDesiredState(ctx, w.since, w.wait, v.slack(w.wait))
		return stored, err
	})
	if err != nil {
		return err
	}
	_ = v.adoptDesired(raw, "store", w.stored) // after an error, the previous state stays in force
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observeWatch(w, relay.DesiredState, raw != nil)
	v.notify()
	return nil
}

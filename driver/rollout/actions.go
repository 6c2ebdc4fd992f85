package rollout

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	rules "github.com/doorvalve/doorvalve/coordination/rollout"

	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/state/bundle"
	"github.com/doorvalve/doorvalve/transport/platform"
)

// ErrOutcomeUnknown reports that the platform did not confirm a change, which may have been
// accepted.
var ErrOutcomeUnknown = errors.New("the platform did not answer; the change may have been accepted: look at the status before trying again")

// maxAttempts bounds the attempts at a change. Each attempt after the first reads the object again,
// since the answer to the write before may have been lost.
const maxAttempts = 3

// Drain is the stored object that takes an endpoint out of service.
type Drain struct {
	On bool      `json:"on"` // false: the endpoint is in service again
	By string    `json:"by"` // operator
	At time.Time `json:"at"`
}

// writeID returns a random id, by which a write is recognized when it is read back.
func writeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Propose checks a bundle, stores it for review and returns its digest.
func (r *Rollout) Propose(ctx context.Context, content []byte, author, note string) (string, error) {
	if _, err := bundle.Parse("bundle", content); err != nil {
		return "", err
	}
	digest := bundle.Digest(content)
	if err := r.create(ctx, platform.KindBundle, digest, string(content)); err != nil {
		return "", err
	}
	review := rules.Review{Digest: digest, Author: author, Note: note, At: time.Now().UTC()}
	return digest, r.create(ctx, platform.KindReview, digest, review)
}

// create writes an object unless it exists. Objects are named by the digest of their bundle, so an
// existing one is the same.
func (r *Rollout) create(ctx context.Context, kind platform.Kind, name string, v any) error {
	for range maxAttempts {
		if _, out := r.platform.Put(ctx, kind, name, r.platform.IfAbsent(), v); out != protocol.WriteUnknown {
			return nil
		}
		var any json.RawMessage
		if _, err := r.platform.Get(ctx, kind, name, &any); err == nil {
			return nil
		}
	}
	return ErrOutcomeUnknown
}

// SignOff records that the operator who has reviewed the bundle with this digest.
func (r *Rollout) SignOff(ctx context.Context, digest, who string) error {
	for range maxAttempts {
		var review rules.Review
		version, err := r.platform.Get(ctx, platform.KindReview, digest, &review)
		if err != nil {
			return err
		}
		next, err := review.SignOff(who)
		if err != nil {
			return err
		}
		if len(next.SignOffs) == len(review.SignOffs) {
			return nil // already recorded, perhaps by a write whose answer was lost
		}
		if _, out := r.platform.Put(ctx, platform.KindReview, digest, version, next); out == protocol.WriteOK {
			return nil
		}
	}
	return ErrOutcomeUnknown
}

// Advance rolls out a bundle that is signed off. expected is the generation that the operator saw in
// force; if another one is in force, Advance returns a *Conflict of coordination/rollout. If the
// answer to the write is lost, Advance reads the pointer back and compares the id of the write.
func (r *Rollout) Advance(ctx context.Context, digest string, expected uint64, by string) (rules.Pointer, error) {
	var review rules.Review
	if _, err := r.platform.Get(ctx, platform.KindReview, digest, &review); err != nil {
		return rules.Pointer{}, err
	}
	id := writeID()
	for range maxAttempts {
		var p rules.Pointer
		version, err := r.platform.Get(ctx, platform.KindConfig, PointerName, &p)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if p.WriteID == id {
			r.publishPointer(p)
			return p, nil
		}
		next, err := rules.Advance(p, review, expected, by, id, time.Now().UTC())
		if err != nil {
			return p, err
		}
		if p.Generation > 0 {
			if err := r.checkChange(ctx, p, next); err != nil {
				return p, err
			}
		}
		if _, out := r.platform.Put(ctx, platform.KindConfig, PointerName, version, next); out == protocol.WriteOK {
			r.publishPointer(next)
			return next, nil
		}
	}
	return rules.Pointer{}, ErrOutcomeUnknown
}

// checkChange returns an error if the bundle of next must not follow that of p. A bundle in force that is gone, or that this
// version cannot read, is no reason: operators could not replace it otherwise.
func (r *Rollout) checkChange(ctx context.Context, p, next rules.Pointer) error {
	inForce, err := r.bundleOf(ctx, p)
	if errors.Is(err, platform.ErrNotFound) || errors.As(err, new(bundle.Issues)) {
		return nil
	}
	if err != nil {
		return err
	}
	following, err := r.bundleOf(ctx, next)
	if err != nil {
		return err
	}
	return rules.CheckChange(inForce, following)
}

// bundleOf returns the bundle that a pointer names.
func (r *Rollout) bundleOf(ctx context.Context, p rules.Pointer) (*bundle.Bundle, error) {
	if s := r.Current(); s != nil && s.Digest == p.Digest {
		return s.Bundle, nil
	}
	content, err := r.Content(ctx, p.Digest)
	if err != nil {
		return nil, err
	}
	return bundle.Parse("bundle", []byte(content))
}

// Pointer reads the pointer with its history; it is zero if nothing has been rolled out.
func (r *Rollout) Pointer(ctx context.Context) (rules.Pointer, error) {
	var p rules.Pointer
	_, err := r.platform.Get(ctx, platform.KindConfig, PointerName, &p)
	if errors.Is(err, platform.ErrNotFound) {
		return p, nil
	}
	return p, err
}

// Content reads a proposed bundle by its digest.
func (r *Rollout) Content(ctx context.Context, digest string) (string, error) {
	var text string
	_, err := r.platform.Get(ctx, platform.KindBundle, digest, &text)
	return text, err
}

// SetDrain takes an endpoint out of service, or puts it back into service.
func (r *Rollout) SetDrain(ctx context.Context, endpoint string, on bool, by string) error {
	for range maxAttempts {
		var d Drain
		version, err := r.platform.Get(ctx, platform.KindDrain, endpoint, &d)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		if !version.Absent() && d.On == on {
			r.setDrainFact(endpoint, version, on)
			return nil
		}
		next := Drain{On: on, By: by, At: time.Now().UTC()}
		if written, out := r.platform.Put(ctx, platform.KindDrain, endpoint, version, next); out == protocol.WriteOK {
			r.setDrainFact(endpoint, written, on)
			return nil
		}
	}
	return ErrOutcomeUnknown
}

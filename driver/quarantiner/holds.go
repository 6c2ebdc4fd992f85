package quarantiner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quarantine"
	"github.com/doorvalve/doorvalve/protocol"
)

// Subject is what may be held back of a request: the request itself, and the parts of its prompt that
// other requests share. The functions are called only while anything is held back.
type Subject struct {
	Print func() protocol.Fingerprint
	Parts func() []quarantine.Part // nil for a request without parts
}

func (s Subject) parts() []quarantine.Part {
	if s.Parts == nil {
		return nil
	}
	return s.Parts()
}

// Target is the software of an endpoint: Request with the model that a request asks for, as requests
// are probed on it, and Endpoint without, as parts are known to be served on it.
type Target struct{ Request, Endpoint quarantine.Software }

// Holds are the reasons for which a request is held back. There are none for most requests.
type Holds struct {
	held []quarantine.Assessment
	// isolated is set if there is one reason, and no other part of the prompt is suspect.
	isolated bool
}

// Empty reports whether the request is not held back.
func (h Holds) Empty() bool { return len(h.held) == 0 }

// Holds returns the reasons for which a request is held back. While nothing is held back it costs one
// atomic read.
func (c *Controller) Holds(s Subject) Holds {
	held := *c.held.Load()
	if len(held) == 0 {
		return Holds{}
	}
	suspects, suspect := *c.suspects.Load(), 0
	var h Holds
	if a, ok := held[s.Print()]; ok {
		h.held = append(h.held, a)
	}
	for _, part := range s.parts() {
		a, ok := held[part.Fingerprint]
		switch {
		case ok:
			h.held = append(h.held, a)
		case suspects[part.Fingerprint]:
			suspect++
		}
	}
	h.isolated = len(h.held)+suspect == 1
	return h
}

// Parts returns the ids of the prompt parts that are held back.
func (h Holds) Parts() []string {
	var list []string
	for _, a := range h.held {
		if a.Record.Part != "" {
			list = append(list, a.Record.Part)
		}
	}
	return list
}

// waived reports whether an assessment does not hold back the request.
func (h Holds) waived(a quarantine.Assessment, on Target) bool {
	return a.AllowedOn(on.Endpoint) || a.Tied && h.isolated
}

// Allow reports whether the request may be sent to an endpoint, as a probe or because the endpoint's
// software is known to serve what is held back.
func (h Holds) Allow(now time.Time, on Target) bool {
	for _, a := range h.held {
		if !h.waived(a, on) && !a.ProbeDue(now, on.Request, h.isolated) {
			return false
		}
	}
	return true
}

// CheckHeld refuses a request that no endpoint may get now; the refusal carries the retry delay.
// targets is called only if the request is held back.
func (c *Controller) CheckHeld(s Subject, targets func() []Target) *protocol.Refusal {
	holds := c.Holds(s)
	if holds.Empty() {
		return nil
	}
	now := c.opt.Clock()
	for _, on := range targets() {
		if holds.Allow(now, on) {
			return nil
		}
	}
	last := holds.held[0]
	for _, a := range holds.held {
		if a.Due(holds.isolated).After(last.Due(holds.isolated)) {
			last = a
		}
	}
	return c.refuse(last, last.Due(holds.isolated).Sub(now))
}

// Probe is the one request of all daemons that is sent while others like it, or with the same prompt
// part, are held back. The zero value is no probe.
type Probe []grantedProbe

type grantedProbe struct {
	print  protocol.Fingerprint
	number int
}

// Admit is CheckHeld immediately before a request is sent to an endpoint: a request whose probe is due
// is admitted if the daemon that decides on it grants the probe. A newly started daemon first waits
// for the records of others.
func (c *Controller) Admit(ctx context.Context, s Subject, on Target) (Probe, *protocol.Refusal) {
	c.WaitSynced(ctx)
	if refusal := c.CheckHeld(s, func() []Target { return []Target{on} }); refusal != nil {
		return nil, refusal
	}
	var p Probe
	holds := c.Holds(s)
	for _, a := range holds.held {
		if holds.waived(a, on) {
			continue
		}
		granted, refusal := c.requestProbe(ctx, a, on.Request, holds.isolated)
		if refusal != nil {
			c.ReturnProbe(p)
			return nil, refusal
		}
		if granted.number > 0 {
			p = append(p, granted)
		}
	}
	return p, nil
}

// refuse refuses a request because of what is held back, for at least the given time.
func (c *Controller) refuse(a quarantine.Assessment, after time.Duration) *protocol.Refusal {
	c.metrics.refused.Inc(1)
	what := "this request"
	if a.Record.Part != "" {
		what = fmt.Sprintf("requests with the prompt part %q", a.Record.Part)
	}
	detail := fmt.Sprintf("endpoints have ended under %s, one after the other: %s; it is tried again later", what, strings.Join(a.CrashedEndpoints(), ", "))
	return protocol.Refuse(http.StatusServiceUnavailable, ReasonHeldBack, detail, max(after, retryUndecided))
}

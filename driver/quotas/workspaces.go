package quotas

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/driver/decisions"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
	"github.com/doorvalve/doorvalve/state/workspace"
)

// ReasonOver is the reason of a refusal of what is beyond a workspace's quota.
const ReasonQuotaExceeded = "quota-exceeded"

// workspaces keeps to the quotas of workspaces.
type workspaces struct {
	opt     *Options
	metrics *metrics
	shared  *sharer

	mu     sync.Mutex
	over   map[string]time.Time // workspaces that were refused something, and when last
	counts map[string]counts
	// refusals counts what was refused, by workspace: see tagged.
	refusals map[string]tally.Counter
}

func newWorkspaces(k *Controller) *workspaces {
	w := &workspaces{opt: &k.opt, metrics: &k.metrics, over: map[string]time.Time{}, counts: map[string]counts{}, refusals: map[string]tally.Counter{}}
	w.shared = newSharer(k, quotapb.Kind_WORKSPACE, "quota", k.opt.Bounds)
	w.shared.newest, w.shared.unreached = w.newest, w.unreached
	return w
}

// Admit counts a request for its workspace, and refuses it where that is over its quota. late
// says that the request has missed its latency objective already.
func (k *Controller) Admit(ctx context.Context, w *workspace.Workspace, cost float64, late bool) (Ticket, *protocol.Refusal) {
	if w == nil || !w.Quota.Bounded() || cost <= 0 {
		return Ticket{}, nil
	}
	_, version := k.opt.Directory()
	if k.workspaces.shared.take(ctx, claim{subject: w.Name, limits: limitsOf(w), version: version, cost: cost, late: late}) {
		k.workspaces.count(w.Name, counts{passed: 1})
		return Ticket{w.Name, cost, k.opt.Clock()}, nil
	}
	k.workspaces.count(w.Name, counts{refused: 1})
	return Ticket{}, k.workspaces.refuse(w, cost)
}

// Return gives back what a request was let through with that has not run.
func (k *Controller) Refund(t Ticket) { k.workspaces.shared.giveBack(t) }

func (s *workspaces) count(name string, more counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts[name]
	s.counts[name] = counts{n.passed + more.passed, n.refused + more.refused}
}

// refuse refuses a request.
func (s *workspaces) refuse(w *workspace.Workspace, cost float64) *protocol.Refusal {
	after := s.shared.refused(w.Name, cost)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	s.metrics.refused.Inc(1)
	s.refusedOf(w.Name).Inc(1)
	if last, ok := s.over[w.Name]; !ok || now.Sub(last) > overAgain {
		s.opt.Log.Info(decisions.EventOverQuota, "workspace", w.Name, "rate", w.Quota.Rate, "burst", w.Quota.Burst, "cost", cost)
	}
	s.over[w.Name] = now
	detail := fmt.Sprintf("workspace %q is over its quota of %.0f a second; this request takes %.0f", w.Name, w.Quota.Rate, cost)
	return protocol.Refuse(http.StatusTooManyRequests, ReasonQuotaExceeded, detail, after)
}

// tagged bounds the workspaces with a counter of their own: the first that are refused
// something; the others share one, under the name of all others.
const (
	tagged = 32
	others = "others"
)

// refusedOf returns the counter of a workspace's refusals; the caller holds the mutex.
func (s *workspaces) refusedOf(name string) tally.Counter {
	if _, known := s.refusals[name]; !known && len(s.refusals) >= tagged {
		name = others
	}
	c := s.refusals[name]
	if c == nil {
		c = s.opt.Metrics.SubScope("quota").Tagged(map[string]string{"workspace": name}).Counter("workspace_refused_total")
		s.refusals[name] = c
	}
	return c
}

// overAgain is the time without a refusal after which the next one is logged as a change.
const overAgain = 5 * time.Second

func limitsOf(w *workspace.Workspace) quota.Limits {
	return quota.Limits{Rate: w.Quota.Rate, Burst: max(w.Quota.Burst, 1)}
}

// newest returns the limits of the newer desired state.
func (s *workspaces) newest(subject string, version uint64, told quota.Limits) (limits quota.Limits, none bool) {
	directory, own := s.opt.Directory()
	if w := directory.ByName(subject); w != nil && own >= version && w.Quota.Bounded() {
		return limitsOf(w), false
	}
	return told, false
}

// unreached is what a daemon that reaches no owner goes by: of the slack, its part of what went
// through lately, with a little for the case that this is nothing. The others go on without it
// and take what it leaves, so what it lets through comes on top of the whole.
func (s *workspaces) unreached(now time.Time, d quota.Draw) quota.Grant {
	part := s.shared.share(now, d.Subject, d.Limits) + s.shared.fleet.aloneShare()
	return s.shared.own(d, min(1, part)*s.shared.bounds.IsolatedShare(d.Limits))
}

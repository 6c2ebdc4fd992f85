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

// ReasonQuotaExceeded is the refusal reason for requests beyond a workspace's quota.
const ReasonQuotaExceeded = "quota-exceeded"

// workspaces enforces the quotas of workspaces. It is safe for concurrent use.
type workspaces struct {
	opt     *Options
	metrics *metrics
	shared  *sharer

	mu          sync.Mutex
	lastRefused map[string]time.Time // time of the last refusal, by workspace
	counts      map[string]counts
	// refusals holds the counter of refused requests by workspace, for at most maxTagged of them.
	refusals map[string]tally.Counter
}

func newWorkspaces(k *Controller) *workspaces {
	w := &workspaces{opt: &k.opt, metrics: &k.metrics, lastRefused: map[string]time.Time{}, counts: map[string]counts{}, refusals: map[string]tally.Counter{}}
	bounds := k.opt.Bounds
	bounds.RankShare = quota.DefaultRankShare
	w.shared = newSharer(k, quotapb.Kind_WORKSPACE, "quota", bounds)
	w.shared.latestLimits, w.shared.isolatedGrant = w.latestLimits, w.isolatedGrant
	return w
}

// Request describes a request that is counted against a quota.
type Request struct {
	Cost float64 // units
	Rank int     // 0 is most urgent
	Late bool    // it has missed its latency objective already
	// Age is the time since the caller's first attempt, and TimeLeft is how long it waits; zero if it
	// does not state them.
	Age, TimeLeft time.Duration
}

// Admit is AdmitRequest for most urgent requests of callers that do not state how long they wait.
func (k *Controller) Admit(ctx context.Context, w *workspace.Workspace, cost float64, late bool) (Ticket, *protocol.Refusal) {
	return k.AdmitRequest(ctx, w, Request{Cost: cost, Late: late})
}

// AdmitRequest counts a request against the quota of its workspace, or returns a refusal if the
// workspace is over it. Requests without a workspace or cost, and workspaces without a quota, are
// admitted with a zero Ticket.
func (k *Controller) AdmitRequest(ctx context.Context, w *workspace.Workspace, r Request) (Ticket, *protocol.Refusal) {
	if w == nil || !w.Quota.Bounded() || r.Cost <= 0 {
		return Ticket{}, nil
	}
	_, version := k.opt.Directory()
	by := &selection{r.Rank, k.workspaces.shared.client.MayBePromised(r.Age)}
	if k.workspaces.shared.take(ctx, claim{subject: w.Name, limits: limitsOf(w), version: version, cost: r.Cost, selection: by, late: r.Late}) {
		k.workspaces.count(w.Name, counts{passed: 1})
		return Ticket{w.Name, r.Cost, k.opt.Clock(), by}, nil
	}
	k.workspaces.count(w.Name, counts{refused: 1})
	return Ticket{}, k.workspaces.refuse(w, r)
}

// Refund takes back the ticket of an admitted request that has not run.
func (k *Controller) Refund(t Ticket) { k.workspaces.shared.refund(t) }

func (s *workspaces) count(name string, delta counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts[name]
	s.counts[name] = counts{n.passed + delta.passed, n.refused + delta.refused}
}

// refuse counts and logs a refused request, and returns the refusal.
func (s *workspaces) refuse(w *workspace.Workspace, r Request) *protocol.Refusal {
	after := s.shared.addRefusal(w.Name, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	s.metrics.refused.Inc(1)
	s.refusalCounter(w.Name).Inc(1)
	if last, ok := s.lastRefused[w.Name]; !ok || now.Sub(last) > overLogPause {
		s.opt.Log.Info(decisions.EventOverQuota, "workspace", w.Name, "rate", w.Quota.Rate, "burst", w.Quota.Burst, "cost", r.Cost)
	}
	s.lastRefused[w.Name] = now
	detail := fmt.Sprintf("workspace %q is over its quota of %.0f a second; this request takes %.0f", w.Name, w.Quota.Rate, r.Cost)
	return protocol.Refuse(http.StatusTooManyRequests, ReasonQuotaExceeded, detail, after)
}

// maxTagged bounds the workspaces that have a counter of their own: the first ones with a refused
// request. All other workspaces share one counter, named others.
const (
	maxTagged = 32
	others    = "others"
)

// refusalCounter returns the counter of a workspace's refusals. The caller holds the mutex.
func (s *workspaces) refusalCounter(name string) tally.Counter {
	if _, known := s.refusals[name]; !known && len(s.refusals) >= maxTagged {
		name = others
	}
	c := s.refusals[name]
	if c == nil {
		c = s.opt.Metrics.SubScope("quota").Tagged(map[string]string{"workspace": name}).Counter("workspace_refused_total")
		s.refusals[name] = c
	}
	return c
}

// overLogPause is the time without a refusal after which the next refusal of a workspace is logged
// again.
const overLogPause = 5 * time.Second

func limitsOf(w *workspace.Workspace) quota.Limits {
	return quota.Limits{Rate: w.Quota.Rate, Burst: max(w.Quota.Burst, 1)}
}

// latestLimits implements sharer.latestLimits: the version is that of the desired state.
func (s *workspaces) latestLimits(subject string, version uint64, received quota.Limits) (limits quota.Limits, none bool) {
	directory, ownVersion := s.opt.Directory()
	if w := directory.ByName(subject); w != nil && ownVersion >= version && w.Quota.Bounded() {
		return limitsOf(w), false
	}
	return received, false
}

// isolatedGrant implements sharer.isolatedGrant: a daemon that reaches no owner admits requests within
// the slack, in proportion to the share that it was granted recently, plus a small fixed share in
// case that was nothing. The other daemons continue without it and use the whole quota, so the
// requests that it admits come on top of the quota.
func (s *workspaces) isolatedGrant(now time.Time, d quota.Draw) quota.Grant {
	share := s.shared.recentShare(now, d.Subject, d.Limits) + s.shared.roster.isolatedMinShare()
	return s.shared.ownerDraw(d, min(1, share)*s.shared.bounds.IsolatedShare(d.Limits))
}

package quotas

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/doorvalve/doorvalve/coordination/membership"
	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/protocol/quotapb"
)

// draw sends a draw to another daemon. It returns the grant and the id of the owner that gave it.
func (s *sharer) draw(m membership.Member, d quota.Draw, version uint64, timeout time.Duration, forwarded bool) (quota.Grant, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := s.opt.Peer(m.PeerAddress).Draw(ctx, &quotapb.DrawRequest{
		Daemon: d.Daemon, Subject: d.Subject, Kind: s.kind, Version: version, Rate: d.Limits.Rate, Burst: d.Limits.Burst, Need: d.Need, Waiting: int32(d.Waiting), Rank: int32(d.Rank), LeftMs: d.TimeLeft.Milliseconds(), Waits: d.Queued, Used: d.Used,
		Offered: d.Offered, Requests: int32(d.Requests), OfferedByRank: ranksToWire(d.ByRank), Returned: d.Returned, Elsewhere: pastGrantsToWire(d.OtherGrants), Summary: summaryToWire(d.Summary), Inform: d.WantSummary, Forwarded: forwarded,
	})
	if err != nil {
		return quota.Grant{}, "", err
	}
	return quota.Grant{Units: resp.Units, Allowance: resp.Ahead, NextDrawIn: time.Duration(resp.AgainMs) * time.Millisecond, RetryAfter: time.Duration(resp.RoomInMs) * time.Millisecond, NearLimit: resp.Over, SpareRate: resp.Spare, RateShare: resp.Part, Selection: selectionFromWire(resp.Selection), Summary: summaryFromWire(resp.Summary)}, resp.Owner, nil
}

// isInvalidCount reports whether a number is not a finite count of at least 0.
func isInvalidCount(n float64) bool { return !(n >= 0 && n <= math.MaxFloat64) }

// errInvalidCount rejects draws with counts that no daemon sends.
var errInvalidCount = errors.New("counts of a draw must be numbers of at least 0")

// Draw implements quotapb.Quotas.
func (k *Controller) Draw(_ context.Context, req *quotapb.DrawRequest) (*quotapb.DrawResponse, error) {
	if slices.ContainsFunc(append([]float64{req.Need, req.Used, req.Offered, req.Rate, req.Burst, req.Returned}, req.OfferedByRank...), isInvalidCount) {
		return nil, errInvalidCount
	}
	k.roster.notePeerContact()
	shared := k.workspaces.shared
	if req.Kind == quotapb.Kind_ENDPOINT {
		shared = k.endpoints.shared
	}
	return shared.answer(req), nil
}

// answer answers a draw of another daemon. If this daemon takes a third one for the owner, it
// forwards the draw, since the asking daemon may be partitioned from the owner. If the owner does not
// answer, this daemon answers in its place.
func (s *sharer) answer(req *quotapb.DrawRequest) *quotapb.DrawResponse {
	limits, none := s.latestLimits(req.Subject, req.Version, quota.Limits{Rate: req.Rate, Burst: req.Burst})
	if none {
		return toWire(quota.Grant{Units: req.Need}, s.opt.Self)
	}
	d := quota.Draw{
		Daemon: req.Daemon, Subject: req.Subject, Limits: limits, Need: req.Need, Waiting: int(req.Waiting), Rank: int(req.Rank), TimeLeft: time.Duration(req.LeftMs) * time.Millisecond, Queued: req.Waits, Used: req.Used, Offered: req.Offered, Requests: int(req.Requests), ByRank: ranksFromWire(req.OfferedByRank), Returned: req.Returned,
		OtherGrants: pastGrantsFromWire(req.Elsewhere), Summary: summaryFromWire(req.Summary), WantSummary: req.Inform,
	}
	if !req.Forwarded {
		if g, owner, ok := s.forward(d, req.Version); ok {
			return toWire(g, owner)
		}
	}
	return toWire(s.ownerDraw(d, s.roster.ownerShare()), s.opt.Self)
}

// forward forwards a draw to the owner by this daemon's view. It reports false if that is this
// daemon itself, or if the owner has not answered.
func (s *sharer) forward(d quota.Draw, version uint64) (quota.Grant, string, bool) {
	owners := s.roster.owners(s.key(d.Subject), 1)
	if len(owners) == 0 || owners[0].ID == s.opt.Self {
		return quota.Grant{}, "", false
	}
	s.metrics.forwarded.Inc(1)
	g, owner, err := s.draw(owners[0], d, version, forwardTimeout, true)
	if err != nil {
		s.roster.markUnresponsive(owners[0].ID)
	}
	return g, owner, err == nil
}

func toWire(g quota.Grant, owner string) *quotapb.DrawResponse {
	return &quotapb.DrawResponse{Units: g.Units, Ahead: g.Allowance, AgainMs: g.NextDrawIn.Milliseconds(), RoomInMs: g.RetryAfter.Milliseconds(), Over: g.NearLimit, Spare: g.SpareRate, Part: g.RateShare, Owner: owner, Selection: selectionToWire(g.Selection), Summary: summaryToWire(g.Summary)}
}

// ranksToWire leaves out the less urgent ranks that need nothing.
func ranksToWire(units quota.RankUnits) []float64 {
	n := len(units)
	for n > 0 && units[n-1] == 0 {
		n--
	}
	return units[:n]
}

func ranksFromWire(list []float64) quota.RankUnits {
	var units quota.RankUnits
	copy(units[:], list)
	return units
}

func selectionToWire(s *quota.Selection) *quotapb.Selection {
	if s == nil {
		return nil
	}
	return &quotapb.Selection{New: s.New[:], Returned: s.Returned}
}

// selectionFromWire returns nil for a selection without usable numbers, which would let no request
// through.
func selectionFromWire(s *quotapb.Selection) *quota.Selection {
	if s == nil || len(s.New) < quota.MaxRanks || slices.ContainsFunc(append(slices.Clone(s.New), s.Returned), func(n float64) bool { return !(n >= 0 && n <= 1) }) {
		return nil
	}
	return &quota.Selection{New: ranksFromWire(s.New), Returned: s.Returned}
}

func pastGrantsToWire(list []quota.PastGrant) []*quotapb.Past {
	out := make([]*quotapb.Past, len(list))
	for i, p := range list {
		out[i] = &quotapb.Past{AgeMs: p.Age.Milliseconds(), Units: p.Units, Owner: p.Owner}
	}
	return out
}

func pastGrantsFromWire(list []*quotapb.Past) []quota.PastGrant {
	out := make([]quota.PastGrant, 0, len(list))
	for _, p := range list {
		if p.GetUnits() > 0 && p.GetUnits() <= math.MaxFloat64 && p.GetAgeMs() >= 0 {
			out = append(out, quota.PastGrant{Owner: p.Owner, Age: time.Duration(p.AgeMs) * time.Millisecond, Units: p.Units})
		}
	}
	return out
}

func summaryToWire(s *quota.Summary) *quotapb.Summary {
	if s == nil {
		return nil
	}
	return &quotapb.Summary{Owner: s.Owner, AgeMs: s.Age.Milliseconds(), Level: s.Level, Used: s.Used}
}

// summaryFromWire returns nil for a summary without usable numbers: an owner that took over an
// infinite level would grant everything or nothing.
func summaryFromWire(s *quotapb.Summary) *quota.Summary {
	if s == nil || isInvalidCount(math.Abs(s.Level)) || slices.ContainsFunc(s.Used, isInvalidCount) {
		return nil
	}
	return &quota.Summary{Owner: s.Owner, Age: time.Duration(max(0, s.AgeMs)) * time.Millisecond, Level: s.Level, Used: s.Used}
}

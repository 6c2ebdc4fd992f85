package edgedaemon

import (
	"time"

	"github.com/doorvalve/doorvalve/coordination/residency"
	"github.com/doorvalve/doorvalve/coordination/workcost"
	"github.com/doorvalve/doorvalve/protocol"
	"github.com/doorvalve/doorvalve/protocol/fleetpb"
	"github.com/doorvalve/doorvalve/state/fleet"
)

func wantToWire(service string, w residency.Want) *fleetpb.WantRequest {
	return &fleetpb.WantRequest{
		Service: service, Model: w.Model, Adapter: w.Adapter, Rank: int32(w.Rank), Daemon: w.Daemon, Full: incarnationsToWire(w.Full),
		Avoid: w.Avoid.ID, AvoidBorn: w.Avoid.StartUnixMs, Unreachable: w.Unreachable, Absent: w.MissingAt.ID, AbsentBorn: w.MissingAt.StartUnixMs,
		SlackMs: w.Slack.Milliseconds(), LeftMs: ceilMs(w.TimeLeft), PromptTokens: int64(w.Work.Prompt), OutputTokens: int64(w.Work.Output), Returning: w.Returning,
		Domain: w.FailureDomain, PromptUs: w.PromptTime.Microseconds(), Parts: partsToWire(w.Parts),
		SoftwareBound: w.Only.Bound, Software: w.Only.Software,
	}
}

func wantFromWire(req *fleetpb.WantRequest) residency.Want {
	return residency.Want{
		Model: req.Model, Adapter: req.Adapter, Rank: int(req.Rank), Daemon: req.Daemon, Full: incarnationsFromWire(req.Full),
		Avoid: fleet.Incarnation{ID: req.Avoid, StartUnixMs: req.AvoidBorn}, Unreachable: req.Unreachable,
		MissingAt: fleet.Incarnation{ID: req.Absent, StartUnixMs: req.AbsentBorn},
		Slack:     boundedMs(req.SlackMs), TimeLeft: max(0, boundedMs(req.LeftMs)),
		Work: workcost.WorkOf(boundedInt(req.PromptTokens), boundedInt(req.OutputTokens), true), Returning: req.Returning,
		FailureDomain: req.Domain, PromptTime: time.Duration(boundedInt(req.PromptUs)) * time.Microsecond, Parts: partsFromWire(req.Parts),
		Only: residency.SoftwareFilter{Bound: req.SoftwareBound, Software: req.Software},
	}
}

// maxWireMs bounds the durations that a peer may state to a day, so that sums of them cannot
// overflow.
const maxWireMs = int64(24 * time.Hour / time.Millisecond)

func boundedMs(ms int64) time.Duration {
	return time.Duration(min(maxWireMs, max(-maxWireMs, ms))) * time.Millisecond
}

// maxWireCount bounds the counts that a peer may state, so that sums of them cannot overflow.
const maxWireCount = 1 << 30

func boundedInt(n int64) int { return int(min(maxWireCount, max(0, n))) }

func partsToWire(parts []protocol.PromptPart) []*fleetpb.Part {
	out := make([]*fleetpb.Part, len(parts))
	for i, part := range parts {
		out[i] = &fleetpb.Part{Id: part.ID, Tokens: int32(part.Tokens)}
	}
	return out
}

// partsFromWire returns at most protocol.MaxPromptParts parts: a faulty peer must not fill the
// coordinator's memory of prompts.
func partsFromWire(parts []*fleetpb.Part) []protocol.PromptPart {
	parts = parts[:min(len(parts), protocol.MaxPromptParts)]
	out := make([]protocol.PromptPart, len(parts))
	for i, part := range parts {
		out[i] = protocol.PromptPart{ID: part.GetId(), Tokens: boundedInt(int64(part.GetTokens()))}
	}
	return out
}

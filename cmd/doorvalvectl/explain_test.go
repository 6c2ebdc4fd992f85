package main

import (
	"strings"
	"testing"
	"time"

	"github.com/doorvalve/doorvalve/coordination/quota"
	"github.com/doorvalve/doorvalve/daemon"
	"github.com/doorvalve/doorvalve/driver/quotas"
)

const sampleLog = `
not a line of a log
host-1 {"@message":"order sent","@timestamp":"2026-10-14T04:07:35.000Z","endpoint":"i-1","model":"m","outcome":"accepted"}
host-1 {"@message":"order sent","@timestamp":"2026-10-14T04:07:35.500Z","endpoint":"i-9","model":"other","outcome":"accepted"}
host-1 {"@message":"lease changed","@timestamp":"2026-10-14T04:07:34.000Z","fence":2}
host-2 {"@message":"request refused","@timestamp":"2026-10-14T04:07:36.000Z","request":"r1","model":"m/a1","endpoint":""}
host-2 {"@message":"request answered","@timestamp":"2026-10-14T04:07:36.000Z","request":"r2","model":"m"}
host-1 {"@message":"lease changed","@timestamp":"2026-10-14T04:09:00.000Z","fence":3}
host-1 {"@message":"lease changed","@timestamp":"2026-10-14T04:00:00.000Z","fence":1}
`

func TestExplainSelectsRelatedLines(t *testing.T) {
	got := explain(parseLog(strings.NewReader(sampleLog)), "r1", 10*time.Second)
	var events []string
	for _, l := range got {
		events = append(events, l.String())
	}
	text := strings.Join(events, "\n")
	want := "04:07:34.000  lease changed  fence=2\n" +
		"04:07:35.000  order sent  endpoint=i-1  model=m  outcome=accepted\n" +
		"04:07:36.000  request refused  model=m/a1  request=r1"
	if text != want {
		t.Fatalf("got\n%s\nwant\n%s", text, want)
	}
	if explain(parseLog(strings.NewReader(sampleLog)), "r3", time.Second) != nil {
		t.Fatal("got lines for a request that is not in the log")
	}
}

const heldBackLog = `
host-1 {"@message":"attempt failed","@timestamp":"2026-10-14T04:07:35.000Z","request":"r0","fingerprint":"f1","endpoint":"i-1"}
host-2 {"@message":"attempt failed","@timestamp":"2026-10-14T04:07:35.500Z","request":"r8","fingerprint":"f2","endpoint":"i-1"}
host-1 {"@message":"request held back","@timestamp":"2026-10-14T04:07:36.000Z","fingerprint":"f1"}
host-3 {"@message":"request refused","@timestamp":"2026-10-14T04:08:36.000Z","request":"r9","reason":"held-back","fingerprint":"f1"}
`

// If a request is refused because it is held back, the output must include the crashes of
// endpoints under the same request at other daemons and under other ids: without them an
// operator can't see why it is held back.
func TestExplainShowsCrashesOfHeldBackRequest(t *testing.T) {
	got := explain(parseLog(strings.NewReader(heldBackLog)), "r9", time.Second)
	if len(got) != 3 || got[0].Fields["request"] != "r0" || got[1].Event != "request held back" || got[2].Fields["request"] != "r9" {
		t.Fatalf("%+v", got)
	}
}

const heldPartLog = `
host-1 {"@message":"attempt failed","@timestamp":"2026-10-14T04:07:35.000Z","request":"r0","fingerprint":"f1","endpoint":"i-1","parts":["aa","bad1"]}
host-2 {"@message":"attempt failed","@timestamp":"2026-10-14T04:07:35.500Z","request":"r8","fingerprint":"f2","endpoint":"i-1","parts":["aa","cc"]}
host-1 {"@message":"request held back","@timestamp":"2026-10-14T04:07:36.000Z","fingerprint":"p1","part":"bad1"}
host-3 {"@message":"request refused","@timestamp":"2026-10-14T04:08:36.000Z","request":"r9","reason":"held-back","fingerprint":"f3","held_parts":["bad1"]}
host-3 {"@message":"attempt failed","@timestamp":"2026-10-14T04:06:00.000Z","request":"a1","endpoint":"i-2","software":"v1"}
host-3 {"@message":"request refused","@timestamp":"2026-10-14T04:09:36.000Z","request":"a2","reason":"stream-version-gone","resumes":"a1"}
`

// If a request is refused because of a prompt part, the output must include the crashes under other
// requests with that part; for a stream that is resumed, the attempt that began it.
func TestExplainShowsPartsAndOrigins(t *testing.T) {
	got := explain(parseLog(strings.NewReader(heldPartLog)), "r9", time.Second)
	if len(got) != 3 || got[0].Fields["request"] != "r0" || got[1].Event != "request held back" || got[2].Fields["request"] != "r9" {
		t.Fatalf("%+v", got)
	}
	got = explain(parseLog(strings.NewReader(heldPartLog)), "a2", time.Second)
	if len(got) != 2 || got[0].Fields["request"] != "a1" {
		t.Fatalf("%+v", got)
	}
}

const relayedLog = `
host-1 {"@message":"request sent through another daemon","@timestamp":"2026-10-14T04:07:35.000Z","request":"r1","relay":"d2","tunnel":"d1-7"}
host-2 {"@message":"connection relayed","@timestamp":"2026-10-14T04:07:39.000Z","tunnel":"d1-7","from":"d1"}
host-2 {"@message":"connection relayed","@timestamp":"2026-10-14T04:07:34.900Z","tunnel":"d1-6","from":"d1"}
`

// Guards against a hop at which the trace of a request ends.
func TestExplainFollowsARelayedRequest(t *testing.T) {
	got := explain(parseLog(strings.NewReader(relayedLog)), "r1", 10*time.Second)
	if len(got) != 2 || got[1].Fields["tunnel"] != "d1-7" {
		t.Fatalf("%+v", got)
	}
}

const limitedLog = `
host-1 {"@message":"limit of an endpoint changed","@timestamp":"2026-10-14T04:07:35.000Z","endpoint":"i-1","limited":true,"rate":2}
host-2 {"@message":"request refused","@timestamp":"2026-10-14T04:09:35.000Z","request":"r1","reason":"endpoints-limited"}
host-2 {"@message":"request refused","@timestamp":"2026-10-14T04:09:36.000Z","request":"r2","reason":"no-endpoint"}
`

// If a request is refused because all endpoints are at their rate limit, the output must include
// the endpoints' reports of that limit, even if they are much older than the request.
func TestExplainShowsRateLimitBehindRefusal(t *testing.T) {
	got := explain(parseLog(strings.NewReader(limitedLog)), "r1", time.Second)
	if len(got) != 2 || got[0].Fields["endpoint"] != "i-1" {
		t.Fatalf("%+v", got)
	}
	if got := explain(parseLog(strings.NewReader(limitedLog)), "r2", time.Second); len(got) != 1 {
		t.Fatalf("lines of a request refused for another reason: %+v", got)
	}
}

const pausedLog = `
host-1 {"@message":"endpoint asks for a pause","@timestamp":"2026-10-14T04:07:35.000Z","endpoint":"i-1","heard_on":"r0","for_ms":90000}
host-1 {"@message":"request refused","@timestamp":"2026-10-14T04:08:35.000Z","request":"r1","reason":"endpoint-paused"}
`

// If a request is refused because endpoints asked for a pause, the output must include the line
// that shows which endpoint asked for it and when.
func TestExplainShowsPauseBehindRefusal(t *testing.T) {
	got := explain(parseLog(strings.NewReader(pausedLog)), "r1", time.Second)
	if len(got) != 2 || got[0].Fields["heard_on"] != "r0" {
		t.Fatalf("%+v", got)
	}
}

func TestEndpointLimitsOfAllDaemons(t *testing.T) {
	view := quotas.LimitView{Endpoint: "app1", Rate: 2, Reporter: "b"}
	owned := view
	owned.Owned = &quota.View{Demand: 7}
	got := endpointLimits([]daemon.Dump{{ID: "a", Limits: []quotas.LimitView{view}}, {ID: "b", Limits: []quotas.LimitView{owned}}, {ID: "c"}})
	want := EndpointLimit{Endpoint: "app1", Rate: 2, ReportedBy: "b", Daemons: 2, Demand: 7, Owner: "b"}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("%+v", got)
	}
}

const takenUpLog = `
host-2 {"@message":"record of software seen","@timestamp":"2026-10-14T03:50:00.000Z","written":true,"writer":"h2-a1","versions":["llm@v1","llm@v2"]}
host-2 {"@message":"record of software seen","@timestamp":"2026-10-14T03:51:00.000Z","read":true,"writer":"h2-a1"}
host-1 {"@message":"request failed","@timestamp":"2026-10-14T04:07:35.000Z","request":"r0","software":"v1","outcome":"caller gone"}
host-3 {"@message":"request refused","@timestamp":"2026-10-14T04:07:37.000Z","request":"r1","reason":"stream-origin-lost","resumes":"r0","record_writer":"h2-a1","record_age_ms":1057000,"versions":["v1","v2"]}
host-3 {"@message":"origin of a stream found","@timestamp":"2026-10-14T04:07:38.000Z","request":"r2","source":"stored origins","record_writer":"h1-07","record_age_ms":2100,"software":"v1"}
host-3 {"@message":"record of software seen","@timestamp":"2026-10-14T04:08:00.000Z","written":true,"writer":"h2-a1","versions":["llm@v2"]}
`

// Guards against a stream that was refused, or went on, by a record which the output does not name.
func TestExplainNamesTheRecordThatDecided(t *testing.T) {
	got := explain(parseLog(strings.NewReader(takenUpLog)), "r1", time.Second)
	if len(got) != 3 || got[0].Fields["written"] != true || got[1].Fields["request"] != "r0" {
		t.Fatalf("%+v", got)
	}
	want := "04:07:37.000  request refused  reason=stream-origin-lost  record_age_ms=1057000  record_writer=h2-a1  request=r1  resumes=r0  versions=[v1 v2]"
	if text := got[2].String(); text != want {
		t.Errorf("got\n%s\nwant\n%s", text, want)
	}
	got = explain(parseLog(strings.NewReader(takenUpLog)), "r2", 100*time.Millisecond)
	if len(got) != 2 || got[1].Fields["record_writer"] != "h1-07" {
		t.Fatalf("%+v", got)
	}
}

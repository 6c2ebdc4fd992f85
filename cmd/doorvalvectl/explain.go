package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/doorvalve/doorvalve/driver/decisions"
)

// explainCmd prints the lines of the daemons' logs that are related to one request.
type explainCmd struct {
	ID     string        `arg:"" help:"The request's id."`
	Files  []string      `arg:"" optional:"" help:"Logs of daemons; standard input without any."`
	Around time.Duration `default:"10s" help:"Orders, leases and endpoints are shown from so long before the request."`
}

// logLine is one line of a daemon's log.
type logLine struct {
	At      time.Time
	Event   string
	Fields  map[string]any
	content string
}

// Run prints the related log lines in the order of their time stamps.
func (e *explainCmd) Run() error {
	lines, err := e.read()
	if err != nil {
		return err
	}
	timeline := explain(lines, e.ID, e.Around)
	if len(timeline) == 0 {
		return fmt.Errorf("no line of these logs names request %s", e.ID)
	}
	for _, l := range timeline {
		fmt.Println(l.String())
	}
	return nil
}

func (e *explainCmd) read() ([]logLine, error) {
	if len(e.Files) == 0 {
		return parseLog(os.Stdin), nil
	}
	var all []logLine
	for _, name := range e.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		all = append(all, parseLog(f)...)
		if err := f.Close(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// maxLogLine bounds the length of a log line in bytes; parsing ends at a longer line.
const maxLogLine = 1 << 20

// parseLog parses the JSON lines of a log. It skips text before the first brace
// of a line, such as the prefix of a log collector, and lines that hold no JSON
// object or no valid time stamp.
func parseLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{content: text}
		if json.Unmarshal([]byte(text[start:]), &l.Fields) != nil {
			continue
		}
		at, _ := l.Fields["@timestamp"].(string)
		l.Event, _ = l.Fields["@message"].(string)
		var err error
		if l.At, err = time.Parse(time.RFC3339Nano, at); err == nil {
			lines = append(lines, l)
		}
	}
	return lines
}

// explain returns the lines of the request with the id, in the order of their
// time stamps, together with
//   - lines without a request, from around before its first line to its last
//     line: orders to its models and endpoints, and all other events, such as
//     those of leases, dependencies and the desired state;
//   - lines with the same fingerprint, however much earlier: the same request
//     sent again under other ids;
//   - lines of the attempt that began the stream which the request resumes;
//   - lines of when the versions that a service ran were recorded, however much
//     earlier, if the record decided about a stream that the request resumes;
//   - lines of attempts that failed with a prompt part that is held back, and of
//     when it was held back, if that is the reason of the refusal;
//   - lines of the connections through other daemons that it was sent over;
//   - lines of backpressure signals of endpoints, however much earlier, if such
//     a signal is the reason of the refusal.
//
// It returns nil if no line has the id.
func explain(lines []logLine, id string, around time.Duration) []logLine {
	subjects, fingerprints, tunnels := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var first, last time.Time
	origins, parts := map[string]bool{}, map[string]bool{}
	signalEvent, byRecord := "", false
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		if print, _ := l.Fields["fingerprint"].(string); print != "" {
			fingerprints[print] = true
		}
		if origin, _ := l.Fields["resumes"].(string); origin != "" {
			origins[origin] = true
		}
		for _, part := range l.list("held_parts") {
			parts[part] = true
		}
		if tunnel, _ := l.Fields["tunnel"].(string); tunnel != "" {
			tunnels[tunnel] = true
		}
		if reason, _ := l.Fields["reason"].(string); signalEvents[reason] != "" {
			signalEvent = signalEvents[reason]
		}
		_, named := l.Fields["record_writer"].(string)
		byRecord = byRecord || named
		for _, field := range []string{"endpoint", "model"} {
			if v, _ := l.Fields[field].(string); v != "" {
				model, _, _ := strings.Cut(v, "/")
				subjects[model] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	var out []logLine
	for _, l := range lines {
		if print, _ := l.Fields["fingerprint"].(string); fingerprints[print] && !l.At.After(last) {
			out = append(out, l)
			continue
		}
		if l.isOrigin(origins) || !l.At.After(last) && l.namesPart(parts) {
			out = append(out, l)
			continue
		}
		if tunnel, _ := l.Fields["tunnel"].(string); tunnel != "" && l.Fields["request"] == nil {
			if tunnels[tunnel] { // written when the connection ends, after the request
				out = append(out, l)
			}
			continue
		}
		if signalEvent != "" && l.Event == signalEvent && !l.At.After(last) {
			out = append(out, l)
			continue
		}
		if byRecord && l.Event == decisions.EventSoftwareRecord && l.Fields["written"] == true && !l.At.After(last) {
			out = append(out, l)
			continue
		}
		if l.Fields["request"] == id || l.Fields["request"] == nil && !l.At.Before(first.Add(-around)) && !l.At.After(last) && l.concerns(subjects) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.At.Compare(b.At) })
	return out
}

// list returns a field that holds a list of texts.
func (l *logLine) list(field string) []string {
	values, _ := l.Fields[field].([]any)
	var out []string
	for _, v := range values {
		if text, ok := v.(string); ok {
			out = append(out, text)
		}
	}
	return out
}

// isOrigin reports whether the line is of one of the attempts that began streams.
func (l *logLine) isOrigin(origins map[string]bool) bool {
	request, _ := l.Fields["request"].(string)
	return origins[request]
}

// namesPart reports whether the line says that one of the prompt parts is held back, or is of an attempt
// that failed with it.
func (l *logLine) namesPart(parts map[string]bool) bool {
	part, _ := l.Fields["part"].(string)
	return parts[part] || slices.ContainsFunc(l.list("parts"), func(id string) bool { return parts[id] })
}

// signalEvents maps the reason of a refusal to the log event of the endpoints' backpressure signals
// that lead to such a refusal.
var signalEvents = map[string]string{
	"endpoints-limited": "limit of an endpoint changed",
	"endpoint-paused":   "endpoint asks for a pause",
}

// concerns reports whether a line without a request is related to a request
// with these models and endpoints. Orders are related if they name one of
// them; all other events may affect any request.
func (l *logLine) concerns(subjects map[string]bool) bool {
	if l.Event != "order sent" {
		return true
	}
	endpoint, _ := l.Fields["endpoint"].(string)
	model, _ := l.Fields["model"].(string)
	return subjects[endpoint] || subjects[model]
}

// String formats the line for the terminal: time of day, event, and the other
// fields sorted by name without empty ones.
func (l *logLine) String() string {
	keys := make([]string, 0, len(l.Fields))
	for k, v := range l.Fields {
		if !strings.HasPrefix(k, "@") && v != nil && v != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	b.WriteString(l.At.Format("15:04:05.000") + "  " + l.Event)
	for _, k := range keys {
		v := l.Fields[k]
		if n, ok := v.(float64); ok {
			v = strconv.FormatFloat(n, 'f', -1, 64) // %v writes large numbers with an exponent
		}
		fmt.Fprintf(&b, "  %s=%v", k, v)
	}
	return b.String()
}

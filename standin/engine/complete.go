package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorvalve/doorvalve/protocol"
)

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

const defaultTokens = 8

// Token returns the i-th token of the answer to a prompt. It is a hash of the
// prompt and i, so that a test can detect an answer that belongs to another
// request or is incomplete.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%x ", xxhash.Sum64String(prompt+strconv.Itoa(i))&0xffff)
}

// Answer returns the complete answer to a prompt, with a number of tokens.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		protocol.Refuse(http.StatusBadRequest, "bad-request", err.Error(), 0).WriteTo(w)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	prompt := req.Prompt
	if prompt == "" {
		prompt = string(req.Messages)
	}
	e.setSignals(w.Header())
	if refusal := e.start(req.Model, r.Header.Get(protocol.HeaderRequestID)); refusal != nil {
		refusal.WriteTo(w)
		return
	}
	defer e.end(req.Model)
	attempt := r.Header.Get(protocol.HeaderAttemptID)
	e.mu.Lock()
	cutAfter := e.cutAfter
	if e.wrongAttemptID {
		attempt = "another-" + attempt
	}
	e.mu.Unlock()
	w.Header().Set(protocol.HeaderAttemptID, attempt)
	if !req.Stream {
		time.Sleep(time.Duration(req.MaxTokens) * e.opt.TokenTime)
		writeWhole(w, req, prompt)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(protocol.HeaderResumeOffset))
	e.stream(w, r, req, prompt, attempt, from, cutAfter)
}

func writeWhole(w http.ResponseWriter, req completionRequest, prompt string) {
	body, _ := json.Marshal(map[string]any{
		"object": "chat.completion", "model": req.Model,
		"choices": []any{map[string]any{"index": 0, "text": Answer(prompt, req.MaxTokens), "finish_reason": "stop"}},
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req completionRequest, prompt, attempt string, from, cutAfter int) {
	software := e.nextSoftware()
	if software != "" {
		w.Header().Set(protocol.HeaderSoftware, software)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := from; i < req.MaxTokens; i++ {
		if cutAfter > 0 && i-from >= cutAfter {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(e.opt.TokenTime):
		case <-r.Context().Done():
			return
		}
		body, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"index": 0, "text": Token(prompt, i)}}, "software": software})
		if _, err := fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", attempt, i+1, body); err != nil {
			return
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: [DONE]\n\n", attempt, req.MaxTokens+1)
}

// setSignals sets the headers by which an answer announces that the engine is
// leaving or asks for a pause.
func (e *Engine) setSignals(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		h.Set(protocol.HeaderLeaving, "true")
	}
	if e.pause != "" {
		h.Set("Retry-After", e.pause)
	}
}

// start takes a slot for a request to a model and counts the request, or
// returns the refusal if the request can't run.
func (e *Engine) start(model, requestID string) *protocol.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.units[model]
	switch {
	case e.pause != "":
		return protocol.Refuse(http.StatusServiceUnavailable, "overloaded", "this engine wants a pause", 0)
	case e.leaving:
		return protocol.Refuse(http.StatusServiceUnavailable, "leaving", "this engine takes no new work", 0)
	case u == nil || u.Status != protocol.UnitReady:
		return protocol.Refuse(http.StatusServiceUnavailable, "not-loaded", model+" is not loaded here", 0)
	case e.running >= e.opt.Slots:
		return protocol.Refuse(http.StatusTooManyRequests, "full", "all slots are taken", 0)
	}
	e.running++
	u.Running++
	e.stats.PeakRunning = max(e.stats.PeakRunning, e.running)
	e.stats.Runs[requestID]++
	e.stats.LastStart = time.Now()
	return nil
}

// end frees a slot that start took. The last request of a unit that is being
// unloaded removes the unit.
func (e *Engine) end(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	u := e.units[model]
	if u == nil {
		return
	}
	u.Running--
	if u.Status == protocol.UnitUnloading && u.Running == 0 {
		delete(e.units, model)
		e.version++
	}
}

// Package fault adds settable faults to the handlers of the stand-ins: delay,
// failure, freeze and answers lost after the call took effect.
package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Settings are the faults in force.
type Settings struct {
	DelayMs int  `json:"delay_ms"` // before each call
	Fail    bool `json:"fail"`     // answer 503 without doing anything
	Freeze  bool `json:"freeze"`   // hold each call until it is lifted
	// LoseAnswers is how many calls still take effect and then close the
	// connection without an answer; -1 means all.
	LoseAnswers int `json:"lose_answers"`
	// Path restricts the faults to paths that contain it.
	Path string `json:"path"`
	// Method restricts the faults to one method.
	Method string `json:"method"`
}

// Injector holds the settings of one stand-in.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	changed  chan struct{} // closed at each change
}

// New returns an injector without faults.
func New() *Injector { return &Injector{changed: make(chan struct{})} }

// Set replaces the settings.
func (i *Injector) Set(s Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = s
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *Injector) get() (Settings, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings, i.changed
}

func (s Settings) applies(r *http.Request) bool {
	return strings.Contains(r.URL.Path, s.Path) && (s.Method == "" || s.Method == r.Method)
}

// loses reports whether this call's answer is lost, and counts it.
func (i *Injector) loses(r *http.Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.settings.LoseAnswers == 0 || !i.settings.applies(r) {
		return false
	}
	if i.settings.LoseAnswers > 0 {
		i.settings.LoseAnswers--
	}
	return true
}

// ControlPath is where the settings are posted.
const ControlPath = "/control/faults"

// Wrap adds the faults to next and serves ControlPath.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			i.control(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/control/") {
			next.ServeHTTP(w, r)
			return
		}
		if !i.wait(r) {
			return
		}
		if s, _ := i.get(); s.Fail && s.applies(r) {
			http.Error(w, "fault: failing", http.StatusServiceUnavailable)
			return
		}
		if i.loses(r) {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler) // closes the connection
		}
		next.ServeHTTP(w, r)
	})
}

// wait holds the call for the delay and while frozen.
func (i *Injector) wait(r *http.Request) bool {
	s, changed := i.get()
	if s.applies(r) && s.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(s.DelayMs) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	for s.Freeze && s.applies(r) {
		<-changed // a frozen process does not notice that its client left
		s, changed = i.get()
	}
	return true
}

func (i *Injector) control(w http.ResponseWriter, r *http.Request) {
	var s Settings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(s)
	w.WriteHeader(http.StatusNoContent)
}

// discard swallows an answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

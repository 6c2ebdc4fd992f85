// Package fault injects faults into the handlers of the stand-ins: delays,
// failures, freezes, and answers that are lost after the call took effect.
package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Settings are the faults to inject. The zero value injects none.
type Settings struct {
	DelayMs int  `json:"delay_ms"` // before each call
	Fail    bool `json:"fail"`     // answer 503 without executing the call
	Freeze  bool `json:"freeze"`   // block each call until Freeze is unset
	// LoseAnswers is the number of calls that are executed and whose connection
	// is then closed without an answer; -1 means all calls.
	LoseAnswers int `json:"lose_answers"`
	// Path restricts the faults to request paths that contain it.
	Path string `json:"path"`
	// Method restricts the faults to requests with this method; empty: all methods.
	Method string `json:"method"`
}

// Injector injects faults into one stand-in. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	changed  chan struct{} // closed at each change
}

// New returns an injector without faults.
func New() *Injector { return &Injector{changed: make(chan struct{})} }

// Set replaces the settings. Calls that are frozen under the old settings go on
// if the new ones don't freeze them.
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

// loses reports whether the answer to this call is to be lost, and counts
// LoseAnswers down.
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

// ControlPath is the path that accepts Settings as JSON by POST.
const ControlPath = "/control/faults"

// Wrap returns a handler that serves ControlPath and passes other requests to
// next with the faults. Other paths under /control/ have no faults.
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

// wait blocks for the delay and while calls are frozen. It returns false if the
// client closed the request during the delay.
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
		<-changed // doesn't end with the request: a frozen process does not notice that its client has closed it
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

// discard is a ResponseWriter that drops the answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

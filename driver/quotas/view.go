package quotas

import "github.com/doorvalve/doorvalve/coordination/quota"

// View is the state of one workspace at one daemon, for the state dump.
type View struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"` // units a second; 0: no quota
	Burst     float64 `json:"burst"`
	Passed    int64   `json:"passed"`  // requests admitted since this daemon started
	Refused   int64   `json:"refused"` // requests refused by the quota since then
	// Owned is the state of the bucket if this daemon owns it; else nil.
	Owned *quota.View `json:"owned,omitempty"`
}

// counts are the requests of one workspace at this daemon.
type counts struct{ passed, refused int64 }

// View returns the state of each workspace in force at this daemon.
func (k *Controller) View() []View {
	directory, _ := k.opt.Directory()
	list := make([]View, 0, len(directory.List()))
	for _, w := range directory.List() {
		k.workspaces.mu.Lock()
		n := k.workspaces.counts[w.Name]
		k.workspaces.mu.Unlock()
		v := View{Workspace: w.Name, Rate: w.Quota.Rate, Burst: w.Quota.Burst, Passed: n.passed, Refused: n.refused}
		if owned, ok := k.workspaces.shared.view(w.Name); ok {
			v.Owned = &owned
		}
		list = append(list, v)
	}
	return list
}

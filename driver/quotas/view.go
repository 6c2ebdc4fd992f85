package quotas

import "github.com/doorvalve/doorvalve/coordination/quota"

// View is what one daemon knows of one workspace, for people.
type View struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"` // units a second; 0: no quota
	Burst     float64 `json:"burst"`
	Passed    int64   `json:"passed"`  // requests since this daemon started
	Refused   int64   `json:"refused"` // of its quota
	// Owned is there where this daemon gives the quota out.
	Owned *quota.View `json:"owned,omitempty"`
}

// counts are a workspace's requests at one daemon.
type counts struct{ passed, refused int64 }

// View returns what this daemon knows of each workspace in force.
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

// Package workspace holds the workspaces that may send requests, with their keys, ranks and
// quotas, as an immutable directory that requests read without locks.
package workspace

import "github.com/doorvalve/doorvalve/protocol"

// Unit is the unit in which a quota is counted.
type Unit int

// The units of a quota.
const (
	Requests Unit = iota
	Tokens
)

// Quota bounds the load that a workspace may send to all daemons together.
type Quota struct {
	Unit          Unit
	Rate          float64 // units per second; 0: no bound
	Burst         float64 // units that may arrive at once after a pause
	DefaultTokens float64 // tokens charged for a request that does not state its tokens
}

// Bounded reports whether the quota sets a bound at all.
func (a Quota) Bounded() bool { return a.Rate > 0 }

// Cost returns the units of the quota that a request uses. counted reports whether the
// request states its tokens.
func (a Quota) Cost(tokens int, counted bool) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case counted:
		return float64(tokens)
	}
	return a.DefaultTokens
}

// Workspace is one group of callers.
type Workspace struct {
	Name string
	// Rank overrides the rank of a route if HasRank is set; 0 is served first.
	Rank    int
	HasRank bool
	Quota   Quota
}

// Declaration is a workspace with the keys that identify it.
type Declaration struct {
	Workspace
	Keys []protocol.KeyHash
}

// Directory finds workspaces by key. It is immutable. The zero value and nil hold no workspaces;
// requests then need no key.
type Directory struct {
	list       []*Workspace
	byKey      map[protocol.KeyHash]*Workspace
	byName     map[string]*Workspace
	sharedKeys int
}

// NewDirectory indexes workspaces. A key that several workspaces declare identifies the first of
// them.
func NewDirectory(list []Declaration) *Directory {
	d := &Directory{byKey: map[protocol.KeyHash]*Workspace{}, byName: map[string]*Workspace{}}
	for i := range list {
		w := &list[i].Workspace
		d.list = append(d.list, w)
		d.byName[w.Name] = w
		for _, key := range list[i].Keys {
			if d.byKey[key] == nil {
				d.byKey[key] = w
			} else if d.byKey[key] != w {
				d.sharedKeys++
			}
		}
	}
	return d
}

// RequiresKey reports whether requests need a key.
func (d *Directory) RequiresKey() bool { return d != nil && len(d.list) > 0 }

// ByKey returns the workspace that a key identifies, or nil if there is none.
func (d *Directory) ByKey(key protocol.KeyHash) *Workspace {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// ByName returns the workspace with a name, or nil if there is none.
func (d *Directory) ByName(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// List returns all workspaces in the order of their declarations.
func (d *Directory) List() []*Workspace {
	if d == nil {
		return nil
	}
	return d.list
}

// SharedKeys returns the number of repeated declarations of keys by further workspaces.
func (d *Directory) SharedKeys() int {
	if d == nil {
		return 0
	}
	return d.sharedKeys
}

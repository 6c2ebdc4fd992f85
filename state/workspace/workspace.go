// Package workspace holds who may send requests: workspaces with their keys, their rank and
// their quota, as an immutable directory that requests read without locks.
package workspace

import "github.com/doorvalve/doorvalve/protocol"

// Unit is what a quota is counted in.
type Unit int

// The units of a quota.
const (
	Requests Unit = iota
	Tokens
)

// Quota bounds what a workspace may send, over all daemons together.
type Quota struct {
	Unit          Unit
	Rate          float64 // units a second; 0: no bound
	Burst         float64 // units that may come at once after a pause
	DefaultTokens float64 // tokens that a request without a count stands for
}

// Bounded reports whether there is a bound at all.
func (a Quota) Bounded() bool { return a.Rate > 0 }

// Cost returns what a request takes of the quota. counted says that it tells its
// tokens.
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
	// Rank goes before the rank of a route, if Ranked; 0 is served first.
	Rank    int
	HasRank bool
	Quota   Quota
}

// Declared is a workspace with the keys that stand for it.
type Declaration struct {
	Workspace
	Keys []protocol.KeyHash
}

// Directory finds workspaces by key. It does not change. The zero value, and nil, know none:
// requests need no key then.
type Directory struct {
	list   []*Workspace
	byKey  map[protocol.KeyHash]*Workspace
	byName map[string]*Workspace
	shared int
}

// NewDirectory indexes workspaces. A key that several declare stands for the first of them.
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
				d.shared++
			}
		}
	}
	return d
}

// Keyed reports whether requests need a key.
func (d *Directory) RequiresKey() bool { return d != nil && len(d.list) > 0 }

// Find returns the workspace that a key stands for, nil if there is none.
func (d *Directory) ByKey(key protocol.KeyHash) *Workspace {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// Named returns a workspace, nil if there is none of this name.
func (d *Directory) ByName(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// List returns all workspaces as they were declared.
func (d *Directory) List() []*Workspace {
	if d == nil {
		return nil
	}
	return d.list
}

// Shared returns how many keys stand in several workspaces.
func (d *Directory) SharedKeys() int {
	if d == nil {
		return 0
	}
	return d.shared
}

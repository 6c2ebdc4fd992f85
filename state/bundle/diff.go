package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two bundles.
type Change struct {
	Path string `json:"path"` // such as "models/hazard-7b/version"
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String renders the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff lists the differences from old to next, ordered by path. List members
// are matched by their names, so that their order does not matter.
func Diff(old, next *Bundle) []Change {
	before, after := flatten(old), flatten(next)
	var changes []Change
	for path, v := range before {
		if after[path] != v {
			changes = append(changes, Change{Path: path, Old: v, New: after[path]})
		}
	}
	for path, v := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, Change{Path: path, New: v})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Path < b.Path {
			return -1
		}
		return 1
	})
	return changes
}

func flatten(b *Bundle) map[string]string {
	data, _ := json.Marshal(b) // a struct of plain values always marshals
	var tree any
	_ = json.Unmarshal(data, &tree)
	out := map[string]string{}
	flattenInto(out, "", tree)
	return out
}

func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flattenInto(out, join(path, k), e)
		}
	case []any:
		for i, e := range v {
			flattenInto(out, join(path, memberName(i, e)), e)
		}
	case nil:
	default:
		if !reflect.ValueOf(v).IsZero() {
			out[path] = fmt.Sprint(v)
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

func memberName(i int, e any) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

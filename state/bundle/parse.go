package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of every error that this package creates.
var Error = errs.Class("bundle")

// MaxBytes bounds a bundle, so that it fits one value of the object API.
const MaxBytes = 900 << 10

// Issue is one fault in a file, with its position and the expected value.
type Issue struct {
	File  string
	Line  int // 1-based; 0 when unknown
	Field string
	Want  string
}

// String renders the issue as "file:line: field: expected ...".
func (i Issue) String() string {
	return fmt.Sprintf("%s:%d: %s: expected %s", i.File, i.Line, i.Field, i.Want)
}

// Issues is a list of faults as one error.
type Issues []Issue

// Error implements error. It returns one line for each issue.
func (is Issues) Error() string {
	lines := make([]string, len(is))
	for i, issue := range is {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads JSON with comments strictly and checks it. It returns all faults
// at once, as Issues.
func Parse(file string, content []byte) (*Bundle, error) {
	if len(content) > MaxBytes {
		return nil, Issues{{File: file, Field: "(file)", Want: fmt.Sprintf("at most %d bytes, found %d", MaxBytes, len(content))}}
	}
	var b Bundle
	lines, err := DecodeStrict(file, content, &b)
	if err != nil {
		return nil, err
	}
	if issues := check(&b, file, lines); len(issues) > 0 {
		return nil, issues
	}
	return &b, nil
}

// DecodeStrict reads JSON with comments into v, rejecting unknown fields, and
// returns the line of each field by its path.
func DecodeStrict(file string, content []byte, v any) (*Lines, error) {
	root, err := hujson.Parse(content)
	if err != nil {
		return nil, Issues{{File: file, Line: lineOfSyntaxError(err), Field: "(file)", Want: "JSON with comments: " + err.Error()}}
	}
	lines := &Lines{content: content}
	root.Standardize() // keeps offsets, as comments become spaces
	dec := json.NewDecoder(bytes.NewReader(root.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return nil, Issues{decodeIssue(file, content, lines, err)}
	}
	return lines, nil
}

func lineOfSyntaxError(err error) int {
	line := 0
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 0
	}
	return line
}

func decodeIssue(file string, content []byte, lines *Lines, err error) Issue {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Issue{File: file, Line: lineAt(content, int(typeErr.Offset)), Field: typeErr.Field, Want: fmt.Sprintf("%s, found %s", typeErr.Type, typeErr.Value)}
	}
	if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
		name := strings.Trim(field, `"`)
		return Issue{File: file, Line: lines.firstNamed(name), Field: name, Want: "a known field; this one is unknown"}
	}
	return Issue{File: file, Field: "(file)", Want: "valid values: " + err.Error()}
}

// Lines maps the path of a field, such as "models[2].memory_mib", to its line.
//
// The index is built on first use only: a daemon that loads a bundle which has
// been checked before needs no lines.
type Lines struct {
	content []byte
	byPath  map[string]int
	byName  map[string]int // first line of a field name
}

// build indexes the content on the first use.
func (l *Lines) build() {
	if l.byPath != nil {
		return
	}
	l.byPath, l.byName = map[string]int{}, map[string]int{}
	if root, err := hujson.Parse(l.content); err == nil {
		l.walk(l.content, "", root)
	}
}

// LineOf returns the line of path, or of its nearest parent that is present.
func (l *Lines) LineOf(path string) int {
	l.build()
	for path != "" {
		if line, ok := l.byPath[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

func (l *Lines) firstNamed(name string) int {
	l.build()
	return l.byName[name]
}

func (l *Lines) walk(content []byte, path string, v hujson.Value) {
	if path != "" {
		l.byPath[path] = lineAt(content, v.StartOffset)
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		for _, m := range node.Members {
			name := m.Name.Value.(hujson.Literal).String()
			if _, seen := l.byName[name]; !seen {
				l.byName[name] = lineAt(content, m.Name.StartOffset)
			}
			l.walk(content, strings.TrimPrefix(path+"."+name, "."), m.Value)
		}
	case *hujson.Array:
		for i, e := range node.Elements {
			l.walk(content, fmt.Sprintf("%s[%d]", path, i), e)
		}
	}
}

func lineAt(content []byte, offset int) int {
	offset = min(max(offset, 0), len(content))
	return 1 + bytes.Count(content[:offset], []byte("\n"))
}

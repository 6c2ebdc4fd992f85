package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var quoted = regexp.MustCompile("`([^`]+)`")

// documented returns the names of settings in the first table after a heading of docs/OPERATIONS.md: rows are those in the
// first column, and parts those in the others, with the name of their row before them.
func documented(t *testing.T, page, after string) (rows, parts map[string]bool) {
	t.Helper()
	_, rest, found := strings.Cut(page, after)
	if !found {
		t.Fatalf("no %q", after)
	}
	rows, parts = map[string]bool{}, map[string]bool{}
	for line := range strings.Lines(rest[strings.Index(rest, "| --- |"):]) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			break
		}
		for _, name := range quoted.FindAllStringSubmatch(cells[1], -1) {
			rows[name[1]] = true
			for _, part := range quoted.FindAllStringSubmatch(strings.Join(cells[2:], "|"), -1) {
				parts[name[1]+"."+part[1]] = true
			}
		}
	}
	return rows, parts
}

// names returns the names of all fields of settings, with those of the parts of lists and of pointers.
func names(t reflect.Type, path string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{path}
	}
	var list []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		list = append(list, names(f.Type, strings.TrimPrefix(path+"."+name, "."))...)
	}
	return list
}

// Guards against settings that operators do not find in docs/OPERATIONS.md, and against lines there about settings that are
// gone or that a running daemon does not apply as is said.
func TestSettingsAreDocumented(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, c := range []struct {
		settings   reflect.Type
		heading    string
		reloadable []string
	}{
		{reflect.TypeFor[Settings](), "## Settings\n", Reloadable[Settings]()},
		{reflect.TypeFor[Edge](), "# On the users' platform\n", Reloadable[Edge]()},
	} {
		rows, parts := documented(t, page, c.heading)
		all := names(c.settings, "")
		for _, name := range all {
			if !rows[name] && !parts[name] {
				t.Errorf("%s: %s is not documented", c.settings, name)
			}
		}
		for name := range rows {
			part := func(n string) bool { return n == name || strings.HasPrefix(n, name+".") }
			if !slices.ContainsFunc(all, part) {
				t.Errorf("%s has no %s, which is documented", c.settings, name)
			}
		}
		_, rest, _ := strings.Cut(page, c.heading)
		_, rest, _ = strings.Cut(rest, "A running daemon then applies ")
		sentence, _, _ := strings.Cut(rest, ".\n")
		var applied []string
		for _, name := range quoted.FindAllStringSubmatch(sentence, -1) {
			applied = append(applied, name[1])
		}
		if slices.Sort(applied); !slices.Equal(applied, c.reloadable) {
			t.Errorf("%s: documented as applied by a running daemon: %v, want %v", c.settings, applied, c.reloadable)
		}
	}
}

var (
	section     = regexp.MustCompile(`\{\{#([^}]+)\}\}[^{]*(\{\{[^}]*\}\})?[^{]*\{\{/[^}]+\}\}`)
	alternative = regexp.MustCompile(`\{\{\^[^}]+\}\}|\{\{/[^}]+\}\}`)
	text        = regexp.MustCompile(`\{\{[^}]+\|json\}\}`)
	number      = regexp.MustCompile(`\{\{[^}]+\}\}`)
)

// Guards against samples, and a template, that a daemon refuses, or that lack a field which has no default.
func TestSamplesAreAccepted(t *testing.T) {
	samples, err := filepath.Glob(filepath.Join("..", "examples", "entry-*.hujson"))
	if err != nil || len(samples) == 0 {
		t.Fatalf("no samples: %v", err)
	}
	for _, sample := range samples {
		if _, err := Load(sample); err != nil {
			t.Errorf("%s: %v", sample, err)
		}
	}
	content, err := os.ReadFile(filepath.Join("..", "deploy", "settings.hujson"))
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer("{{seeds|json}}", "[]", "{{ip}}", "127.0.0.1").Replace(string(content))
	filled = alternative.ReplaceAllString(section.ReplaceAllString(filled, ""), "")
	filled = number.ReplaceAllString(text.ReplaceAllString(filled, `"127.0.0.1:1"`), "1")
	if _, err := ParseEdge("deploy/settings.hujson", []byte(filled)); err != nil {
		t.Errorf("%v in\n%s", err, filled)
	}
}

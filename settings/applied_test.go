package settings_test

import (
	"go/ast"
	"go/types"
	"reflect"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

const module = "github.com/doorvalve/doorvalve/"

// notApplied lists the fields, or types, that nothing else has to read, with the reason.
var notApplied = map[string]string{
	"state/bundle.Bundle.Format":             "checked where it is decoded: other formats are refused",
	"state/bundle.Bundle.FailureDomains":     "checked where it is decoded: the domains that endpoints and models may name",
	"state/bundle.Change":                    "not decoded: what operators are shown of two bundles",
	"state/bundle.Issue":                     "not decoded: an error",
	"coordination/discovery.Unusable.Reason": "not decoded: an error, for the log",
}

// TestDecodedFieldsAreApplied guards against settings that are decoded and that nothing
// applies: header_timeout_ms, idle_timeout_ms and max_header_bytes of the desired state
// once were. The daemon must read each field of the settings, of the types under state/ and of the
// other types that platform/ fills; so must platform/ for the fields that it decodes. Checks of the
// settings, String methods, log lines and copies into a field that itself is not read do not count.
func TestDecodedFieldsAreApplied(t *testing.T) {
	pkgs, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedImports | packages.NeedTypes | packages.NeedSyntax | packages.NeedTypesInfo | packages.NeedFiles | packages.NeedCompiledGoFiles,
		Dir:  "..",
	}, "./...")
	if err != nil {
		t.Fatal(err)
	}
	if n := packages.PrintErrors(pkgs); n > 0 {
		t.Fatalf("%d errors in the packages", n)
	}
	r := reads{
		daemon: partsOf("cmd/doorvalved", pkgs), read: map[*types.Var]bool{}, copied: map[*types.Var][]*types.Var{},
		calls: map[*types.Func][]*types.Var{}, called: map[*types.Func]bool{}, encoded: map[*types.Struct]bool{}, filled: map[*types.Struct]bool{},
	}
	for _, p := range r.daemon {
		r.scan(p)
	}
	r.follow()

	checked := 0
	var missing []string
	excused := map[string]bool{}
	for _, p := range r.daemon {
		for f, name := range r.fields(p) {
			checked++
			if r.read[f] {
				continue
			}
			entry := name
			if notApplied[entry] == "" {
				entry = name[:strings.LastIndex(name, ".")]
			}
			if notApplied[entry] == "" {
				missing = append(missing, name)
			}
			excused[entry] = true
		}
	}
	for entry := range notApplied {
		if !excused[entry] {
			t.Errorf("%s is applied, or gone: take it out of notApplied", entry)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		t.Errorf("%s is decoded, and nothing applies it", name)
	}
	// Guards against a check that finds no fields.
	if checked < 200 {
		t.Errorf("checked %d fields, want all of the settings, the desired state and the bundle", checked)
	}
	t.Logf("%d fields, %d not applied", checked, len(missing))
}

// partsOf returns the packages of the module that a program is linked from.
func partsOf(program string, pkgs []*packages.Package) map[string]*packages.Package {
	parts := map[string]*packages.Package{}
	var add func(p *packages.Package)
	add = func(p *packages.Package) {
		if parts[p.PkgPath] == nil && strings.HasPrefix(p.PkgPath, module) {
			parts[p.PkgPath] = p
			for _, imported := range p.Imports {
				add(imported)
			}
		}
	}
	for _, p := range pkgs {
		if p.PkgPath == module+program {
			add(p)
		}
	}
	return parts
}

// reads collects where the fields of structs go.
type reads struct {
	daemon  map[string]*packages.Package
	read    map[*types.Var]bool
	copied  map[*types.Var][]*types.Var  // fields whose value is only copied into the given fields
	calls   map[*types.Func][]*types.Var // fields that a function of a decoding package reads
	called  map[*types.Func]bool         // from another package
	encoded map[*types.Struct]bool       // private structs that their package fills itself
	filled  map[*types.Struct]bool       // structs that platform/ fills
}

// decodes reports whether reads within a package count only in functions that others call, since
// the package checks and translates what it decodes.
func decodes(path string) bool {
	return slices.Contains([]string{module + "settings", module + "platform", module + "state/bundle"}, path)
}

// scan collects the reads in a package.
func (r *reads) scan(p *packages.Package) {
	for _, file := range p.Syntax {
		for _, decl := range file.Decls {
			var within *types.Func
			if f, ok := decl.(*ast.FuncDecl); ok {
				if f.Name.Name == "String" || f.Name.Name == "GoString" {
					continue
				}
				within, _ = p.TypesInfo.Defs[f.Name].(*types.Func)
			}
			r.scanDecl(p, decl, within)
		}
	}
}

func (r *reads) scanDecl(p *packages.Package, decl ast.Decl, within *types.Func) {
	handled := map[ast.Expr]bool{} // selectors that are written or copied
	copyTo := func(value ast.Expr, target *types.Var) {
		if from, expr := plainField(p, value); from != nil && target != nil && strings.HasPrefix(target.Pkg().Path(), module) {
			handled[expr] = true
			r.copied[from] = append(r.copied[from], target)
		}
	}
	ast.Inspect(decl, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			for i, left := range n.Lhs {
				if target, expr := selected(p, left); target != nil {
					handled[expr] = true
					if len(n.Rhs) == len(n.Lhs) {
						copyTo(n.Rhs[i], target)
					}
				}
			}
		case *ast.CompositeLit:
			s, ok := p.TypesInfo.TypeOf(n).Underlying().(*types.Struct)
			if !ok || len(n.Elts) == 0 {
				break
			}
			r.encoded[s] = true
			if p.PkgPath == module+"platform" {
				r.filled[s] = true
			}
			for _, e := range n.Elts {
				if kv, ok := e.(*ast.KeyValueExpr); ok {
					target, _ := p.TypesInfo.Uses[kv.Key.(*ast.Ident)].(*types.Var)
					copyTo(kv.Value, target)
				}
			}
		case *ast.CallExpr:
			if isLog(p, n) {
				return false
			}
		case *ast.SelectorExpr:
			if f, ok := p.TypesInfo.Uses[n.Sel].(*types.Func); ok && f.Pkg() != nil && f.Pkg() != p.Types {
				r.called[f] = true
			}
			if f, _ := selected(p, n); f != nil && !handled[n] {
				r.note(p, f, within)
			}
		}
		return true
	})
}

// note records a read. In a decoding package it counts for the package's own private types, and
// for others once the function around it is called from outside.
func (r *reads) note(p *packages.Package, f *types.Var, within *types.Func) {
	if !decodes(p.PkgPath) || !f.Exported() || f.Pkg() == p.Types && p.PkgPath == module+"platform" {
		r.read[f] = true
	} else if within != nil {
		r.calls[within] = append(r.calls[within], f)
	}
}

// follow adds the reads by functions that other packages call, and by copies.
func (r *reads) follow() {
	for f := range r.called {
		// Load, Parse and the like check the whole of what they decode; methods give a part of it.
		if f.Signature().Recv() != nil {
			for _, v := range r.calls[f] {
				r.read[v] = true
			}
		}
	}
	for more := true; more; {
		more = false
		for from, targets := range r.copied {
			if !r.read[from] && slices.ContainsFunc(targets, func(v *types.Var) bool { return r.read[v] }) {
				r.read[from], more = true, true
			}
		}
	}
}

// selected returns the field that an expression selects.
func selected(p *packages.Package, e ast.Expr) (*types.Var, ast.Expr) {
	if s, ok := ast.Unparen(e).(*ast.SelectorExpr); ok {
		if selection := p.TypesInfo.Selections[s]; selection != nil && selection.Kind() == types.FieldVal {
			return selection.Obj().(*types.Var).Origin(), s
		}
	}
	return nil, nil
}

// plainField returns the field of which a value is a copy, also a converted one.
func plainField(p *packages.Package, e ast.Expr) (*types.Var, ast.Expr) {
	if call, ok := ast.Unparen(e).(*ast.CallExpr); ok {
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "D" && len(call.Args) == 0 {
			return selected(p, s.X) // bundle.Duration
		}
		if len(call.Args) == 1 && p.TypesInfo.Types[call.Fun].IsType() {
			return selected(p, call.Args[0])
		}
		return nil, nil
	}
	return selected(p, e)
}

// isLog reports whether a call writes a log line.
func isLog(p *packages.Package, call *ast.CallExpr) bool {
	s, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Trace", "Debug", "Info", "Warn", "Error"}, s.Sel.Name) {
		return false
	}
	f, ok := p.TypesInfo.Uses[s.Sel].(*types.Func)
	return ok && f.Pkg() != nil && (strings.HasSuffix(f.Pkg().Path(), "go-hclog") || f.Pkg().Path() == module+"driver/decisions")
}

// fields returns the fields of a package's types that must be read, with their names.
func (r *reads) fields(p *packages.Package) map[*types.Var]string {
	fields := map[*types.Var]string{}
	path := strings.TrimPrefix(p.PkgPath, module)
	declared := path == "settings" || strings.HasPrefix(path, "state/")
	var add func(name string, s *types.Struct)
	add = func(name string, s *types.Struct) {
		for i := range s.NumFields() {
			f := s.Field(i)
			if f.Embedded() || !f.Exported() || reflect.StructTag(s.Tag(i)).Get("json") == "-" {
				continue
			}
			fields[f] = name + "." + f.Name()
			if inner := structOf(f.Type()); inner != nil {
				add(name+"."+f.Name(), inner)
			}
		}
	}
	for _, name := range p.Types.Scope().Names() {
		s, ok := p.Types.Scope().Lookup(name).Type().Underlying().(*types.Struct)
		if !ok {
			continue
		}
		if declared || r.filled[s] && path != "platform" || path == "platform" && !r.encoded[s] && hasTags(s) {
			add(path+"."+name, s)
		}
	}
	return fields
}

// structOf returns the struct that a field's type declares in place, also as an element.
func structOf(t types.Type) *types.Struct {
	switch t := t.(type) {
	case *types.Struct:
		return t
	case *types.Slice:
		return structOf(t.Elem())
	case *types.Pointer:
		return structOf(t.Elem())
	}
	return nil
}

func hasTags(s *types.Struct) bool {
	for i := range s.NumFields() {
		if reflect.StructTag(s.Tag(i)).Get("json") != "" {
			return true
		}
	}
	return false
}

package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// This file indexes the names in the source tree and checks whether a code span names something that exists.

// noTestPattern is the -run pattern with which commands run benchmarks and no tests.
const noTestPattern = "xxx"

// otherProjects are names from other projects that DEVELOPERS.md refers to.
var otherProjects = []string{"resolver", "roundrobin", "outlierdetection", "selectionpolicies.go", "healthchecks.go",
	"upstreams.go", "streaming.go", "tracker.Progress", "quorum"}

// benchProfiles are load profiles of the operators' bench. No file of the tree names them.
var benchProfiles = []string{"herd", "throng", "wide"}

// tree is an index of the names in the repository that docs may mention.
type tree struct {
	root     string
	packages map[string]*goPackage // by path from the root
	files    []string              // paths from the root
	tests    map[string]bool
	idents   map[string]bool // every name declared anywhere
	data     map[string]bool // words in string literals, struct tags and data files
	keys     map[string]bool // the subset of data found in struct tags and data files
	literals []string        // string literals outside of tests
	named    []mention       // references to docs pages in comments
	standard map[string]bool // names of imported packages from outside this module
}

// mention is a reference to a docs page in a comment of a file.
type mention struct {
	file string
	located
}

// goPackage holds the declarations of a package. members maps each top-level name to its methods and fields.
type goPackage struct {
	name    string
	members map[string]map[string]bool
	embeds  map[string][]string // by type, the names of its embedded types
}

// readTree parses all Go files under a root and indexes the words of the data files.
func readTree(t *testing.T, root string) *tree {
	t.Helper()
	result := &tree{root: root, packages: map[string]*goPackage{}, tests: map[string]bool{},
		idents: map[string]bool{}, data: map[string]bool{}, keys: map[string]bool{}, standard: map[string]bool{}}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		rel = filepath.ToSlash(rel)
		if entry.IsDir() {
			if strings.HasPrefix(entry.Name(), ".") && rel != "." || rel == "journal" || rel == "out" || rel == "bin" {
				return filepath.SkipDir
			}
			return nil
		}
		result.files = append(result.files, rel)
		switch {
		case path.Ext(rel) == ".go" && !strings.Contains(rel, "/testdata/"):
			return result.readGo(name, rel)
		case path.Ext(rel) == ".toml", path.Ext(rel) == ".json", rel == "Makefile":
			text, err := os.ReadFile(name)
			result.readData(string(text), true)
			return err
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// readData indexes the words of a text. keys reports that the words may be keys of a data file.
func (t *tree) readData(text string, keys bool) {
	for _, w := range dataWord.FindAllString(text, -1) {
		t.data[w] = true
		if keys {
			t.keys[w] = true
		}
	}
}

// readGo indexes the declarations, literals and references to docs pages of one Go file.
func (t *tree) readGo(name, rel string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution|parser.ParseComments)
	if err != nil {
		return err
	}
	for _, group := range file.Comments {
		for _, comment := range group.List {
			for _, p := range docsPage.FindAllString(comment.Text, -1) {
				t.named = append(t.named, mention{rel, located{files.Position(comment.Pos()).Line, p}})
			}
		}
	}
	folder := path.Dir(rel)
	p := t.packages[folder]
	if p == nil {
		p = &goPackage{name: strings.TrimSuffix(file.Name.Name, "_test"), members: map[string]map[string]bool{},
			embeds: map[string][]string{}}
		t.packages[folder] = p
	}
	for _, i := range file.Imports {
		imported, _ := strconv.Unquote(i.Path.Value) // the parser has accepted it, so it is valid
		if !strings.HasPrefix(imported, "thymebend/") {
			t.standard[path.Base(imported)] = true
		}
	}
	for _, d := range file.Decls {
		p.declare(d)
	}
	isTest := strings.HasSuffix(rel, "_test.go")
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			t.idents[n.Name.Name] = true
			if isTest && n.Recv == nil && testFunction.MatchString(n.Name.Name) {
				t.tests[n.Name.Name] = true
			}
		case *ast.TypeSpec:
			t.idents[n.Name.Name] = true
		case *ast.ValueSpec:
			t.declared(n.Names)
		case *ast.Field:
			t.declared(n.Names)
			if n.Tag != nil {
				t.readData(n.Tag.Value, true)
			}
		case *ast.AssignStmt:
			for _, left := range n.Lhs {
				if id, ok := left.(*ast.Ident); ok && n.Tok == token.DEFINE {
					t.idents[id.Name] = true
				}
			}
		case *ast.BasicLit:
			// The test table in docs_test.go contains names that must not exist, so its literals are skipped.
			if n.Kind == token.STRING && rel != "internal/ci/docs_test.go" {
				t.readData(n.Value, false)
				if !isTest {
					t.literals = append(t.literals, n.Value)
				}
			}
		}
		return true
	})
	return nil
}

// declared indexes declared names.
func (t *tree) declared(names []*ast.Ident) {
	for _, n := range names {
		t.idents[n.Name] = true
	}
}

// declare indexes one top-level declaration.
func (p *goPackage) declare(d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			p.add(d.Name.Name, "")
			return
		}
		p.add(typeName(d.Recv.List[0].Type), d.Name.Name)
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				for _, n := range spec.Names {
					p.add(n.Name, "")
				}
			case *ast.TypeSpec:
				p.declareType(spec)
			}
		}
	}
}

func (p *goPackage) declareType(spec *ast.TypeSpec) {
	name := spec.Name.Name
	p.add(name, "")
	var fields *ast.FieldList
	switch kind := spec.Type.(type) {
	case *ast.StructType:
		fields = kind.Fields
	case *ast.InterfaceType:
		fields = kind.Methods
	default:
		p.embeds[name] = append(p.embeds[name], typeName(kind))
		return
	}
	for _, f := range fields.List {
		for _, n := range f.Names {
			p.add(name, n.Name)
		}
		if len(f.Names) == 0 {
			p.add(name, typeName(f.Type))
			p.embeds[name] = append(p.embeds[name], typeName(f.Type))
		}
	}
}

// add records a top-level name and, unless member is empty, one of its methods or fields.
func (p *goPackage) add(name, member string) {
	if p.members[name] == nil {
		p.members[name] = map[string]bool{}
	}
	if member != "" {
		p.members[name][member] = true
	}
}

// typeName returns the name of a type expression without pointer, type parameters and package.
func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// check returns an error if a code span names something that is not in the tree. A span may be a name, a path or a
// command with several of them.
func (t *tree) check(span string) error {
	words, option := separator.Split(span, -1), ""
	for _, written := range words {
		w := strings.TrimRight(strings.Trim(written, `"'$^:&*=!?`), ".")
		err := t.checkWord(w)
		switch {
		case option == "-run" || option == "-bench":
			err = t.checkPattern(w, option == "-bench")
		case len(words) == 1 && plainWord.MatchString(w) && !t.idents[w] && !t.data[w] &&
			!slices.Contains(benchProfiles, w) && !slices.Contains(otherProjects, w):
			err = fmt.Errorf("nothing is named %s", w)
		}
		if err != nil {
			return err
		}
		if written != "" {
			option = written
		}
	}
	return nil
}

// writes reports whether a program can write a log line: each part of the line must occur in a string literal. Parts
// are the values of fields, and the text around numbers or names, for which a page may write N.
func (t *tree) writes(line string) bool {
	line = strings.Trim(reasonField.ReplaceAllString(line, ""), `"`)
	for _, part := range figure.Split(line, -1) {
		part = strings.TrimSpace(part)
		if !slices.ContainsFunc(t.literals, func(l string) bool { return strings.Contains(l, part) }) {
			return false
		}
	}
	return true
}

// checkPattern verifies that a -run or -bench pattern matches a part of the name of a test or benchmark.
func (t *tree) checkPattern(w string, benchmark bool) error {
	if w == noTestPattern || w == "" {
		return nil // a pattern such as . that matches all names is empty after trimming
	}
	for name := range t.tests {
		if strings.Contains(name, w) && strings.HasPrefix(name, "Benchmark") == benchmark {
			return nil
		}
	}
	return fmt.Errorf("no test or benchmark has %s in its name", w)
}

// checkWord returns an error if a single word of a span has the form of a name or path that is not in the tree.
func (t *tree) checkWord(w string) error {
	w = strings.TrimPrefix(w, "thymebend/")
	switch {
	case w == "" || t.data[w] || slices.Contains(otherProjects, w):
		return nil
	case testFunction.MatchString(w):
		name, _, _ := strings.Cut(w, "/")
		if !t.tests[name] && !t.idents[name] {
			return fmt.Errorf("no test %s", name)
		}
	case codePath.MatchString(w):
		return t.checkPath(strings.TrimPrefix(w, "./"))
	case strings.HasSuffix(w, ".go"):
		if !slices.ContainsFunc(t.files, func(f string) bool { return f == w || strings.HasSuffix(f, "/"+w) }) {
			return fmt.Errorf("no file %s", w)
		}
	case filePath.MatchString(w):
		return nil // pages and data files elsewhere; the test of links checks those
	case dotted.MatchString(w):
		return t.checkDotted(w)
	case word.MatchString(w) && (inCamel.MatchString(w) || w[0] >= 'A' && w[0] <= 'Z' && strings.ToUpper(w) != w):
		if !t.idents[w] {
			return fmt.Errorf("nothing is named %s", w)
		}
	}
	return nil
}

// checkPath checks a path from the root. The path may be a pattern, or end with a name of the package.
func (t *tree) checkPath(w string) error {
	w = strings.TrimSuffix(strings.TrimSuffix(w, "..."), "/")
	if strings.ContainsAny(w, "*{}<>") {
		found, err := filepath.Glob(filepath.Join(t.root, filepath.FromSlash(w)))
		if err != nil || len(found) == 0 {
			return fmt.Errorf("no path matches %s", w)
		}
		return nil
	}
	if _, err := os.Stat(filepath.Join(t.root, filepath.FromSlash(w))); err == nil {
		return nil
	}
	folder, name, ok := strings.Cut(w, ".")
	if p := t.packages[folder]; ok && p != nil {
		return t.checkMember(p, name)
	}
	return fmt.Errorf("no path %s", w)
}

// checkDotted checks package.Name, Type.Name and package.Type.Name. If several packages or types match the first name,
// at least one of them must have the rest.
func (t *tree) checkDotted(w string) error {
	first, rest, _ := strings.Cut(w, ".")
	known := false
	for folder, p := range t.packages {
		if folder == first || strings.HasSuffix(folder, "/"+first) || p.name == first {
			known = true
			if t.checkMember(p, rest) == nil {
				return nil
			}
		}
		if p.members[first] != nil {
			known = true
			if t.checkMember(p, w) == nil {
				return nil
			}
		}
	}
	switch last := w[strings.LastIndex(w, ".")+1:]; {
	case strings.ToLower(w) == w && t.keys[last]:
		return nil // a path of keys in the settings or in a result file
	case known:
		return fmt.Errorf("%s has no %s", first, rest)
	case t.standard[path.Base(first)]:
		return nil
	}
	return fmt.Errorf("no package or type %s", first)
}

// checkMember checks a top-level name of a package, or a member of one of its types.
func (t *tree) checkMember(p *goPackage, name string) error {
	first, rest, more := strings.Cut(name, ".")
	if p.members[first] == nil {
		return fmt.Errorf("package %s has no %s", p.name, first)
	}
	if more && !t.has(p, first, rest, map[string]bool{}) {
		return fmt.Errorf("%s.%s has no %s", p.name, first, rest)
	}
	return nil
}

// has reports whether a type has a member, declared or promoted from an embedded type.
func (t *tree) has(p *goPackage, name, member string, seen map[string]bool) bool {
	if p.members[name][member] {
		return true
	}
	for _, embedded := range p.embeds[name] {
		if embedded == "" || seen[embedded] {
			continue
		}
		seen[embedded] = true
		for _, q := range t.packages {
			if q.members[embedded] != nil && t.has(q, embedded, member, seen) {
				return true
			}
		}
	}
	return false
}

// Forms of the parts of a code span.
var (
	reasonField  = regexp.MustCompile(`^"?end"?: ?`)
	figure       = regexp.MustCompile(`\bN\b|[0-9]+`)
	plainWord    = regexp.MustCompile(`^[a-z]+$|^[A-Za-z]+(_[A-Za-z0-9]+)+$`)
	docsPage     = regexp.MustCompile(`\bdocs/[A-Za-z0-9/_-]+\.md\b`)
	word         = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	dotted       = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_/]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`)
	testFunction = regexp.MustCompile(`^(Test|Benchmark|Fuzz|Example)[A-Z_]`)
	inCamel      = regexp.MustCompile(`[a-z0-9][A-Z]`)
	filePath     = regexp.MustCompile(`\.(toml|md|json|txt|conf|html|svg|jsonl|csv|sock)$`)
	codePath     = regexp.MustCompile(`^(\./)?(internal|cmd|deploy|experiments|docs)(/|$)`)
	dataWord     = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_.]*`)
	separator    = regexp.MustCompile(`[\s,;()|]+`)
)

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

// Guards against docs that name code which exists no more: every code span of a page that has the form of a Go name, a package
// or a file must be in the tree, unless it is a name of the wire, the settings or the data files.
func TestDocsNameExistingCode(t *testing.T) {
	tree := readTree(t, repository)
	for _, page := range pages(t, repository) {
		for _, s := range spans(page.text) {
			if err := tree.check(s.text); err != nil {
				t.Errorf("%s:%d: `%s`: %v", page.name, s.line, s.text, err)
			}
		}
	}
}

// Guards against links between pages that lead nowhere.
func TestDocsLinksResolve(t *testing.T) {
	all := pages(t, repository)
	anchors := make(map[string][]string, len(all))
	for _, page := range all {
		anchors[page.name] = headings(page.text)
	}
	for _, page := range all {
		for _, l := range links(page.text) {
			if err := resolve(repository, page.name, l.text, anchors); err != nil {
				t.Errorf("%s:%d: (%s): %v", page.name, l.line, l.text, err)
			}
		}
	}
}

// Guards against packages that the page on the architecture does not show. Parts of a package stand for themselves in it; the
// laboratory's are listed in a page of their own.
func TestDocsShowEveryPackage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repository, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	for folder := range readTree(t, repository).packages {
		shown := false
		for f := folder; f != "."; f = path.Dir(f) {
			shown = shown || strings.Contains(string(text), "`"+f+"`")
		}
		if !shown {
			t.Errorf("docs/architecture.md does not show %s", folder)
		}
	}
}

// Guards against on-call pages that tell to look for log lines which the programs write no more, and against names of rules and
// planted defects that are not in the laboratory.
func TestDocsLogLinesExist(t *testing.T) {
	tree := readTree(t, repository)
	for _, page := range pages(t, repository) {
		headers := []string{"defect", "rule"}
		if strings.HasPrefix(page.name, "docs/operate/") {
			headers = append(headers, "log", "line", "in the log")
		}
		for _, s := range firstColumns(page.text, headers) {
			if !tree.writes(s.text) {
				t.Errorf("%s:%d: `%s`: no program writes this", page.name, s.line, s.text)
			}
		}
	}
}

func TestDocsLogLines(t *testing.T) {
	text := "| log | meaning |\n| --- | --- |\n| debug `watch`, `\"end\":\"list lost\"` | `not this` |\n| `host N is back` | |\n\n| figure | |\n| --- | --- |\n| `seq` | |\n"
	want := []located{{3, "watch"}, {3, `"end":"list lost"`}, {4, "host N is back"}}
	if got := firstColumns(text, []string{"log"}); !slices.Equal(got, want) {
		t.Errorf("log lines are %+v, want %+v", got, want)
	}
	tree := fixture(t)
	for _, c := range []struct {
		name, line string
		want       bool
	}{
		{"a message", "endpoint ejected", true},
		{"no message", "endpoint thrown out", false},
		{"a field's value", `"end":"watch broken"`, true},
		{"no field's value", `"end":"watch torn"`, false},
		{"a field's value without quotes", "end: watch broken", true},
		{"a message with a figure in it", "host N is back", true},
		{"another message with a figure in it", "host N is away", false},
		{"a message with a stated figure", "host 7 is back", true},
		{"a message with another prefix", "host: watch broken", false},
		{"a message of a test alone", "only in tests", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := tree.writes(c.line); got != c.want {
				t.Errorf("%q is written: %v, want %v", c.line, got, c.want)
			}
		})
	}
}

func TestDocsNameClassifier(t *testing.T) {
	tree := fixture(t)
	for _, c := range []struct {
		name, span string
		fails      bool
	}{
		{"method of a type", "Gateway.Step", false},
		{"method called", "Gateway.Step()", false},
		{"field of a type", "Gateway.queue", false},
		{"promoted through an embedded type", "Gateway.Started", false},
		{"unknown method", "Gateway.noSuchThing", true},
		{"name of another type", "Gateway.Capacity", true},
		{"unknown type", "Gatewya.Step", true},
		{"package and type", "gateway.Gateway", false},
		{"package, type and method", "gateway.Gateway.Step", false},
		{"package, type and unknown method", "gateway.Gateway.Stop", true},
		{"package and a name of another package", "gateway.Endpoint", true},
		{"package by its path", "discovery/endpoint.Endpoint", false},
		{"unknown package", "hostgroup.Endpoint", true},
		{"unknown name in a package", "gateway.Gatewya", true},
		{"local constant's CamelCase", "MaxHead", false},
		{"unknown CamelCase", "MaxHeadBytes", true},
		{"unexported camelCase", "startTimers", false},
		{"unknown camelCase", "startTimer", true},
		{"exported word", "Step", false},
		{"unknown exported word with a call", "Vanish()", true},
		{"test", "TestGatewayStops", false},
		{"unknown test", "TestGatewayStarts", true},
		{"benchmark", "BenchmarkStep", false},
		{"unknown benchmark", "BenchmarkStop", true},
		{"subtest of a test", "TestGatewayStops/twice", false},
		{"subtest of an unknown test", "TestGatewayStarts/twice", true},
		{"package path", "internal/gateway", false},
		{"package path with pattern", "./internal/...", false},
		{"unknown package path", "internal/hostgroup", true},
		{"package path with name", "internal/gateway.Gateway", false},
		{"package path with unknown name", "internal/gateway.Link", true},
		{"file by its path", "internal/gateway/gateway.go", false},
		{"unknown file by its path", "internal/gateway/fromlist.go", true},
		{"file by its name", "gateway.go", false},
		{"unknown file by its name", "fromlist.go", true},
		{"file by the end of its path", "gateway/gateway.go", false},
		{"file in the wrong package", "discovery/gateway.go", true},
		{"data file", "experiments/calm.toml", false},
		{"unknown data file", "experiments/stormy.toml", true},
		{"command with a package path", "go test ./internal/gateway", false},
		{"command with an unknown package path", "go test ./internal/hostgroup", true},
		{"command with a test", "go test -run TestGatewayStops", false},
		{"command with an unknown test", "go test -run TestGatewayStarts", true},
		{"sum with a known constant", "2 x MaxHead", false},
		{"several names", "startTimers, MaxHead", false},
		{"several names, one unknown", "startTimers, stopTimers", true},
		{"struct tag in camelCase", "idleShare", false},
		{"string literal", "cmdQueue.Limit", false},
		{"wire's field", "drain_grace_ms", false},
		{"field of settings with a path", "classes[].late_worth", false},
		{"key of a data file", "warmRate", false},
		{"standard library", "errors.Is", false},
		{"standard library with a path", "net/http", false},
		{"header", "X-Trace-Id", false},
		{"environment", "LB_FLEET", false},
		{"local or unexported word", "queue", false},
		{"unknown plain word", "quarter", true},
		{"plain words of a sentence", "quarter of a queue", false},
		{"plain word of a data file", "rate", false},
		{"figure's path in a data file", "gateway.rate", false},
		{"unknown figure's path", "gateway.fate", true},
		{"lowercase name of a package that only a text has", "gateway.limit", true},
		{"command with a part of a test's name", "go test -run GatewayStops -bench Step", false},
		{"command with a part of no test's name", "go test -bench Stop", true},
		{"command that runs all benchmarks", "go test -run xxx -bench . -benchtime 2x ./internal/gateway", false},
		{"command that runs no test", "go test -run xxx", false},
		{"flag", "--panel", false},
		{"figure", "0.6", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := tree.check(c.span)
			if c.fails && err == nil {
				t.Errorf("`%s` passes, want an error", c.span)
			}
			if !c.fails && err != nil {
				t.Errorf("`%s`: %v", c.span, err)
			}
		})
	}
}

func TestDocsSpans(t *testing.T) {
	text := "# `first`\n\nsome `a.B` and ``c `d` e``.\n\n```sh\ngo test ./internal/x # `not`\n```\n    indented ./internal/y\n`two\nlines`\n"
	want := []located{{1, "first"}, {3, "a.B"}, {3, "c `d` e"}, {6, "go test ./internal/x # `not`"}, {8, "indented ./internal/y"}, {9, "two lines"}}
	if got := spans(text); !slices.Equal(got, want) {
		t.Errorf("spans are %+v, want %+v", got, want)
	}
}

func TestDocsLinks(t *testing.T) {
	root := t.TempDir()
	writeFile(t, root, "docs/a.md", "")
	writeFile(t, root, "docs/design/b.md", "")
	anchors := map[string][]string{"docs/a.md": headings("# A page\n\n## What `Step` does, and why\n\n```\n# none\n```\n"), "docs/design/b.md": nil}
	for _, c := range []struct {
		name, link string
		fails      bool
	}{
		{"page beside", "b.md", false},
		{"page above", "../a.md", false},
		{"folder", "../design", false},
		{"unknown page", "c.md", true},
		{"page from the wrong folder", "a.md", true},
		{"anchor", "../a.md#what-step-does-and-why", false},
		{"unknown anchor", "../a.md#none", true},
		{"unknown anchor of this page", "#what", true},
		{"address", "https://example.org/none.md", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := resolve(root, "docs/design/b.md", c.link, anchors)
			if (err != nil) != c.fails {
				t.Errorf("%s: error %v, want one: %v", c.link, err, c.fails)
			}
		})
	}
}

// fixture is a small tree with one name of each kind.
func fixture(t *testing.T) *tree {
	t.Helper()
	root := t.TempDir()
	writeFile(t, root, "go.mod", "module example\n")
	writeFile(t, root, "internal/gateway/gateway.go", `package gateway

import (
	"errors"

	"example/internal/discovery/endpoint"
)

const MaxHead = 1

type Gateway struct {
	*endpoint.Watch
	queue int
}

func (g *Gateway) Step() {}

func startTimers(err error) bool {
	const tag = "cmdQueue.Limit limit"
	return errors.Is(err, nil)
}

var messages = []string{"endpoint ejected", "watch broken", "host %d is back"}
`)
	writeFile(t, root, "internal/gateway/gateway_test.go", "package gateway\n\nconst message = \"only in tests\"\n\nfunc TestGatewayStops() {}\nfunc BenchmarkStep() {}\n")
	writeFile(t, root, "internal/discovery/endpoint/endpoint.go", "package endpoint\n\n"+
		"type Endpoint struct {\n\tCapacity float64 `json:\"idleShare\"`\n}\n\ntype Watch struct{}\n\nfunc (w *Watch) Started() {}\n")
	writeFile(t, root, "experiments/calm.toml", "warmRate = 3\nrate = 4\n")
	return readTree(t, root)
}

func writeFile(t *testing.T, root, name, text string) {
	t.Helper()
	name = filepath.Join(root, filepath.FromSlash(name))
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// repository is the root of the tree that the tests look at.
var repository = filepath.Join("..", "..")

// page is one page of the docs, by its path from the root.
type page struct{ name, text string }

// located is a piece of a page and the line that it begins in, from 1.
type located struct {
	line int
	text string
}

// pages reads the pages that the checks cover.
func pages(t *testing.T, root string) (all []page) {
	t.Helper()
	names := []string{"README.md", "DEVELOPERS.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(name string, _ fs.DirEntry, err error) error {
		if filepath.Ext(name) == ".md" {
			if name, err := filepath.Rel(root, name); err == nil {
				names = append(names, filepath.ToSlash(name))
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
		if os.IsNotExist(err) && name == "DEVELOPERS.md" {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, page{name, string(text)})
	}
	return all
}

// spans returns the code of a page: spans in backquotes, and the lines of code blocks.
func spans(text string) (all []located) {
	lines := strings.Split(text, "\n")
	fenced := false
	for i := 0; i < len(lines); i++ {
		line := lines[i]
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), "```"):
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			if line = strings.TrimSpace(line); line != "" {
				all = append(all, located{i + 1, line})
			}
		default:
			paragraph, from := line, i
			for strings.Count(paragraph, "`")%2 == 1 && i+1 < len(lines) && strings.TrimSpace(lines[i+1]) != "" {
				i++
				paragraph += "\n" + lines[i]
			}
			for _, m := range codeSpan.FindAllStringSubmatchIndex(paragraph, -1) {
				group := slices.IndexFunc([]int{m[2], m[4]}, func(at int) bool { return at >= 0 })
				span := paragraph[m[2+2*group]:m[3+2*group]]
				all = append(all, located{from + 1 + strings.Count(paragraph[:m[0]], "\n"), strings.ReplaceAll(span, "\n", " ")})
			}
		}
	}
	return all
}

// firstColumns returns the spans in the first column of the tables whose first column has one of the headers.
func firstColumns(text string, headers []string) (all []located) {
	inTable := false
	for i, line := range strings.Split(text, "\n") {
		first, _, ok := strings.Cut(strings.TrimPrefix(line, "|"), " |")
		switch first = strings.TrimSpace(first); {
		case !strings.HasPrefix(line, "|") || !ok:
			inTable = false
		case slices.Contains(headers, first):
			inTable = true
		case inTable:
			for _, s := range spans(first) {
				all = append(all, located{i + 1, s.text})
			}
		}
	}
	return all
}

// headings returns the anchors of a page's headings, as the usual renderers of Markdown form them.
func headings(text string) (all []string) {
	fenced := false
	for line := range strings.SplitSeq(text, "\n") {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
		}
		if title := strings.TrimLeft(line, "#"); !fenced && title != line && strings.HasPrefix(title, " ") {
			kept := notInAnchor.ReplaceAllString(strings.ToLower(strings.TrimSpace(title)), "")
			all = append(all, strings.ReplaceAll(kept, " ", "-"))
		}
	}
	return all
}

// links returns the targets of a page's links.
func links(text string) (all []located) {
	for i, line := range strings.Split(text, "\n") {
		for _, m := range link.FindAllStringSubmatch(line, -1) {
			all = append(all, located{i + 1, m[1]})
		}
	}
	return all
}

// resolve reports where a link of a page leads nowhere.
func resolve(root, from, target string, anchors map[string][]string) error {
	if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
		return nil
	}
	file, anchor, _ := strings.Cut(target, "#")
	to := from
	if file != "" {
		to = path.Join(path.Dir(from), file)
	}
	if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(to))); err != nil {
		return fmt.Errorf("no file %s", to)
	}
	if anchor != "" && !slices.Contains(anchors[to], anchor) {
		return fmt.Errorf("no heading #%s in %s", anchor, to)
	}
	return nil
}

var (
	codeSpan    = regexp.MustCompile("(?s)``(.+?)``|`([^`]+)`")
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)

	reasonField = regexp.MustCompile(`^"?end"?: ?`)
	figure      = regexp.MustCompile(`\bN\b|[0-9]+`)

	plainWord    = regexp.MustCompile(`^[a-z]+$`)
	word         = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
	dotted       = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_/]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`)
	testFunction = regexp.MustCompile(`^(Test|Benchmark|Fuzz|Example)[A-Z_]`)
	inCamel      = regexp.MustCompile(`[a-z0-9][A-Z]`)
	filePath     = regexp.MustCompile(`\.(toml|md|json|txt|conf|html|svg|jsonl|csv|sock)$`)
	codePath     = regexp.MustCompile(`^(\./)?(internal|cmd|deploy|experiments|docs)(/|$)`)
	dataWord     = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_.]*`)
	separator    = regexp.MustCompile(`[\s,;()|]+`)
)

// runsNone is the pattern by which commands for benchmarks run no test.
const runsNone = "xxx"

// otherProjects are names of the projects that DEVELOPERS.md takes as models.
var otherProjects = []string{"resolver", "roundrobin", "outlierdetection", "selectionpolicies.go", "healthchecks.go",
	"upstreams.go", "streaming.go", "tracker.Progress", "quorum", "doc.go"}

// benchDays are days of the operators' bench that no file of the tree names.
var benchDays = []string{"herd", "throng", "wide"}

// tree is what stands in the repository, as far as docs may name it.
type tree struct {
	root     string
	packages map[string]*goPackage // by path from the root
	files    []string              // paths from the root
	tests    map[string]bool
	idents   map[string]bool // every name declared anywhere
	data     map[string]bool // words of string literals, struct tags and data files
	keys     map[string]bool // those of them in struct tags and data files
	literals []string        // of programs, not of tests
	standard map[string]bool // names of the packages imported from elsewhere
}

// goPackage is a package's declarations: of each name at the top level, the names that may follow it.
type goPackage struct {
	name    string
	members map[string]map[string]bool
	embeds  map[string][]string // by type, the names of the types that it embeds
}

// readTree parses all Go files under a root, and lists the words of the data files.
func readTree(t *testing.T, root string) *tree {
	t.Helper()
	r := &tree{root: root, packages: map[string]*goPackage{}, tests: map[string]bool{}, idents: map[string]bool{}, data: map[string]bool{}, keys: map[string]bool{}, standard: map[string]bool{}}
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
		r.files = append(r.files, rel)
		switch {
		case path.Ext(rel) == ".go" && !strings.Contains(rel, "/testdata/"):
			return r.readGo(name, rel)
		case path.Ext(rel) == ".toml", path.Ext(rel) == ".json", rel == "Makefile":
			text, err := os.ReadFile(name)
			r.readData(string(text), true)
			return err
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// readData lists the words of a text, which may be keys of a file or a message.
func (r *tree) readData(text string, keys bool) {
	for _, w := range dataWord.FindAllString(text, -1) {
		r.data[w] = true
		if keys {
			r.keys[w] = true
		}
	}
}

// readGo takes in the declarations and literals of one file.
func (r *tree) readGo(name, rel string) error {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	folder := path.Dir(rel)
	p := r.packages[folder]
	if p == nil {
		p = &goPackage{name: strings.TrimSuffix(file.Name.Name, "_test"), members: map[string]map[string]bool{}, embeds: map[string][]string{}}
		r.packages[folder] = p
	}
	for _, i := range file.Imports {
		imported, _ := strconv.Unquote(i.Path.Value) // the parser has read it
		if !strings.HasPrefix(imported, "thymebend/") {
			r.standard[path.Base(imported)] = true
		}
	}
	for _, d := range file.Decls {
		p.declare(d)
	}
	isTest := strings.HasSuffix(rel, "_test.go")
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			r.idents[n.Name.Name] = true
			if isTest && n.Recv == nil && testFunction.MatchString(n.Name.Name) {
				r.tests[n.Name.Name] = true
			}
		case *ast.TypeSpec:
			r.idents[n.Name.Name] = true
		case *ast.ValueSpec:
			r.declared(n.Names)
		case *ast.Field:
			r.declared(n.Names)
			if n.Tag != nil {
				r.readData(n.Tag.Value, true)
			}
		case *ast.AssignStmt:
			for _, left := range n.Lhs {
				if id, ok := left.(*ast.Ident); ok && n.Tok == token.DEFINE {
					r.idents[id.Name] = true
				}
			}
		case *ast.BasicLit:
			// The literals of this file's own table name what must not exist.
			if n.Kind == token.STRING && rel != "internal/ci/docs_test.go" {
				r.readData(n.Value, false)
				if !isTest {
					r.literals = append(r.literals, n.Value)
				}
			}
		}
		return true
	})
	return nil
}

func (r *tree) declared(names []*ast.Ident) {
	for _, n := range names {
		r.idents[n.Name] = true
	}
}

// declare takes in one declaration at the top level.
func (p *goPackage) declare(d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			p.add(d.Name.Name, "")
			return
		}
		p.add(baseName(d.Recv.List[0].Type), d.Name.Name)
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
		p.embeds[name] = append(p.embeds[name], baseName(kind))
		return
	}
	for _, f := range fields.List {
		for _, n := range f.Names {
			p.add(name, n.Name)
		}
		if len(f.Names) == 0 {
			p.add(name, baseName(f.Type))
			p.embeds[name] = append(p.embeds[name], baseName(f.Type))
		}
	}
}

func (p *goPackage) add(name, member string) {
	if p.members[name] == nil {
		p.members[name] = map[string]bool{}
	}
	if member != "" {
		p.members[name][member] = true
	}
}

// baseName is the name of a type without pointers, parameters and package.
func baseName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return baseName(e.X)
	case *ast.IndexExpr:
		return baseName(e.X)
	case *ast.IndexListExpr:
		return baseName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// check reports what a code span names that is not in the tree. A span may be a name, a path or a command with several.
func (r *tree) check(span string) error {
	words, option := separator.Split(span, -1), ""
	for _, written := range words {
		w := strings.TrimRight(strings.Trim(written, `"'$^:&*=!?`), ".")
		err := r.checkWord(w)
		switch {
		case option == "-run" || option == "-bench":
			err = r.checkPattern(w, option == "-bench")
		case len(words) == 1 && plainWord.MatchString(w) && !r.idents[w] && !r.data[w] && !slices.Contains(benchDays, w) && !slices.Contains(otherProjects, w):
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

// writes reports whether some program can write a log line: its parts stand in string literals. A part is the value of a field,
// or what stands around a figure or name, which the page may write as N.
func (r *tree) writes(line string) bool {
	line = strings.Trim(reasonField.ReplaceAllString(line, ""), `"`)
	for _, part := range figure.Split(line, -1) {
		part = strings.TrimSpace(part)
		if !slices.ContainsFunc(r.literals, func(l string) bool { return strings.Contains(l, part) }) {
			return false
		}
	}
	return true
}

// checkPattern checks what chooses tests or benchmarks by a part of their names.
func (r *tree) checkPattern(w string, benchmark bool) error {
	if w == runsNone || w == "" {
		return nil // an empty pattern is what is left of one that takes all
	}
	for name := range r.tests {
		if strings.Contains(name, w) && strings.HasPrefix(name, "Benchmark") == benchmark {
			return nil
		}
	}
	return fmt.Errorf("no test has %s in its name", w)
}

func (r *tree) checkWord(w string) error {
	w = strings.TrimPrefix(w, "thymebend/")
	switch {
	case w == "" || r.data[w] || slices.Contains(otherProjects, w):
		return nil
	case testFunction.MatchString(w):
		name, _, _ := strings.Cut(w, "/")
		if !r.tests[name] && !r.idents[name] {
			return fmt.Errorf("no test %s", name)
		}
	case codePath.MatchString(w):
		return r.checkPath(strings.TrimPrefix(w, "./"))
	case strings.HasSuffix(w, ".go"):
		if !slices.ContainsFunc(r.files, func(f string) bool { return f == w || strings.HasSuffix(f, "/"+w) }) {
			return fmt.Errorf("no file %s", w)
		}
	case filePath.MatchString(w):
		return nil // pages and data files outside the tree's own folders: links are checked
	case dotted.MatchString(w):
		return r.checkDotted(w)
	case word.MatchString(w) && (inCamel.MatchString(w) || w[0] >= 'A' && w[0] <= 'Z' && strings.ToUpper(w) != w):
		if !r.idents[w] {
			return fmt.Errorf("nothing is named %s", w)
		}
	}
	return nil
}

// checkPath checks a path from the root, which may end with a name of that package.
func (r *tree) checkPath(w string) error {
	w = strings.TrimSuffix(strings.TrimSuffix(w, "..."), "/")
	if strings.ContainsAny(w, "*{}<>") {
		found, err := filepath.Glob(filepath.Join(r.root, filepath.FromSlash(w)))
		if err != nil || len(found) == 0 {
			return fmt.Errorf("no path matches %s", w)
		}
		return nil
	}
	if _, err := os.Stat(filepath.Join(r.root, filepath.FromSlash(w))); err == nil {
		return nil
	}
	folder, name, ok := strings.Cut(w, ".")
	if p := r.packages[folder]; ok && p != nil {
		return r.checkMember(p, name)
	}
	return fmt.Errorf("no path %s", w)
}

// checkDotted checks package.Name, Type.Name and package.Type.Name. Where several packages or types have the name, one of
// them must have what follows.
func (r *tree) checkDotted(w string) error {
	first, rest, _ := strings.Cut(w, ".")
	known := false
	for folder, p := range r.packages {
		if folder == first || strings.HasSuffix(folder, "/"+first) || p.name == first {
			known = true
			if r.checkMember(p, rest) == nil {
				return nil
			}
		}
		if p.members[first] != nil {
			known = true
			if r.checkMember(p, w) == nil {
				return nil
			}
		}
	}
	switch last := w[strings.LastIndex(w, ".")+1:]; {
	case strings.ToLower(w) == w && r.keys[last]:
		return nil // a path in the settings or in a file of figures
	case known:
		return fmt.Errorf("%s has no %s", first, rest)
	case r.standard[path.Base(first)]:
		return nil
	}
	return fmt.Errorf("no package or type %s", first)
}

// checkMember checks a name of a package, or of one of its types.
func (r *tree) checkMember(p *goPackage, name string) error {
	first, rest, more := strings.Cut(name, ".")
	if p.members[first] == nil {
		return fmt.Errorf("package %s has no %s", p.name, first)
	}
	if more && !r.has(p, first, rest, map[string]bool{}) {
		return fmt.Errorf("%s.%s has no %s", p.name, first, rest)
	}
	return nil
}

// has reports whether a type has a member, its own or one of a type that it embeds.
func (r *tree) has(p *goPackage, name, member string, seen map[string]bool) bool {
	if p.members[name][member] {
		return true
	}
	for _, embedded := range p.embeds[name] {
		if embedded == "" || seen[embedded] {
			continue
		}
		seen[embedded] = true
		for _, q := range r.packages {
			if q.members[embedded] != nil && r.has(q, embedded, member, seen) {
				return true
			}
		}
	}
	return false
}

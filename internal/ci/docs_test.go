package main

import (
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Guards against docs that name code which no longer exists. Each code span of a page that has the form of a Go name, a
// package or a file must exist in the tree, unless it is a name on the wire, in the settings or in the data files.
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

// Guards against links between pages whose target does not exist.
func TestDocsLinksResolve(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repository, "CHANGELOG.md"))
	if err != nil {
		t.Fatal(err)
	}
	// The changelog may name code that no longer exists, so only its links are checked.
	all := append(pages(t, repository), page{"CHANGELOG.md", string(text)})
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

// Guards against comments that refer to a page which no longer exists.
func TestDocsNamedInCodeExist(t *testing.T) {
	tree := readTree(t, repository)
	for _, p := range tree.named {
		if !slices.Contains(tree.files, p.text) {
			t.Errorf("%s:%d: the page %s does not exist", p.file, p.line, p.text)
		}
	}
}

// Guards against packages that the architecture page does not show. A package counts as shown if the page names it or a
// directory above it; the laboratory's packages are listed in a separate page.
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

// Guards against on-call pages that name log lines which no program writes any more, and against names of rules and
// planted defects that do not exist in the laboratory.
func TestDocsLogLinesExist(t *testing.T) {
	tree := readTree(t, repository)
	for _, page := range pages(t, repository) {
		headers := []string{"defect", "rule"}
		if strings.HasPrefix(page.name, "docs/operate/") {
			headers = append(headers, "log", "line", "in the log")
		}
		written := firstColumns(page.text, headers)
		if strings.HasPrefix(page.name, "docs/operate/") {
			written = append(written, messages(page.text)...)
		}
		for _, s := range written {
			if !tree.writes(s.text) {
				t.Errorf("%s:%d: `%s`: no program writes this text", page.name, s.line, s.text)
			}
		}
	}
}

// Verifies which code spans count as log messages: several plain words that are not a command.
func TestDocsMessages(t *testing.T) {
	text := "`fleet: gone away`, `one`, `two words`, `make build`, `a = b`, `go run x`\n\n    indented words\n"
	want := []located{{1, "fleet: gone away"}, {1, "two words"}}
	if got := messages(text); !slices.Equal(got, want) {
		t.Errorf("messages are %+v, want %+v", got, want)
	}
}

// Verifies how log lines are read from tables, and which ones count as written by a program.
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

// Verifies for each form of a code span that a known name is accepted and that an unknown name is rejected, if the form
// has unknown names at all.
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
		{"unknown wire's field", "drain_grace_s", true},
		{"field of settings with a path", "classes[].late_worth", false},
		{"key of a data file", "warmRate", false},
		{"standard library", "errors.Is", false},
		{"standard library with a path", "net/http", false},
		{"header", "X-Trace-Id", false},
		{"environment", "LB_FLEET", false},
		{"unknown environment", "LB_FLOTILLA", true},
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
				t.Errorf("`%s` is accepted, want an error", c.span)
			}
			if !c.fails && err != nil {
				t.Errorf("`%s`: %v", c.span, err)
			}
		})
	}
}

// Verifies that code spans and lines of code blocks are found with their line numbers.
func TestDocsSpans(t *testing.T) {
	text := "# `first`\n\nsome `a.B` and ``c `d` e``.\n\n```sh\ngo test ./internal/x # `not`\n```\n    indented ./internal/y\n`two\nlines`\n"
	want := []located{{1, "first"}, {3, "a.B"}, {3, "c `d` e"}, {6, "go test ./internal/x # `not`"}, {8, "indented ./internal/y"}, {9, "two lines"}}
	if got := spans(text); !slices.Equal(got, want) {
		t.Errorf("spans are %+v, want %+v", got, want)
	}
}

// Verifies which targets of links are accepted.
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
				t.Errorf("%s: error %v, want an error: %v", c.link, err, c.fails)
			}
		})
	}
}

// fixture returns a small tree with names of each kind that the checks distinguish.
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
	writeFile(t, root, "internal/gateway/gateway_test.go",
		"package gateway\n\nconst message = \"only in tests\"\n\nfunc TestGatewayStops() {}\nfunc BenchmarkStep() {}\n")
	writeFile(t, root, "internal/discovery/endpoint/endpoint.go", "package endpoint\n\n"+
		"type Endpoint struct {\n\tCapacity float64 `json:\"idleShare\"`\n}\n\ntype Watch struct{}\n\nfunc (w *Watch) Started() {}\n")
	writeFile(t, root, "experiments/calm.toml", "warmRate = 3\nrate = 4\n# LB_FLEET, drain_grace_ms\n")
	return readTree(t, root)
}

// writeFile writes a file of a test's tree and creates its directory.
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

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Limits that keep the decision code readable: non-blank lines of a file, and columns of a line, where a tab counts as
// four.
const (
	maxLines   = 400
	maxColumns = 110
)

// quoted matches the strings of a list in TOML.
var quoted = regexp.MustCompile(`"([^"]*)"`)

// policyFiles returns the files in the policy line of the deploy file, which names the files that make decisions.
func policyFiles(t *testing.T, root string) (files []string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(line, "policy = ") {
			for _, match := range quoted.FindAllStringSubmatch(line, -1) {
				files = append(files, match[1])
			}
		}
	}
	return files
}

// sourcesOf returns the source files of the balancer and of the packages of this module that it imports.
func sourcesOf(t *testing.T, root string) (files []string) {
	t.Helper()
	const format = `{{if .Module}}{{if eq .Module.Path "thymebend"}}{{$dir := .Dir}}` +
		`{{range .GoFiles}}{{$dir}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`
	list := exec.Command("go", "list", "-deps", "-f", format, "./internal/balancer")
	list.Dir = root
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range strings.Fields(string(out)) {
		name, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, name)
	}
	return files
}

// Verifies that the policy line of the deploy file names exactly the source files that take part in decisions, and that
// each file keeps the limits on lines and columns.
func TestPolicyIsCompleteAndReadable(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	named, used := policyFiles(t, root), sourcesOf(t, root)
	for _, name := range used {
		if !slices.Contains(named, name) {
			t.Errorf("deploy/balancer.toml: the policy line lacks %s", name)
		}
	}
	for _, name := range named {
		if !slices.Contains(used, name) {
			t.Errorf("deploy/balancer.toml: the policy line names %s, from which the balancer is not built", name)
			continue
		}
		text, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for number, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if columns := len([]rune(strings.ReplaceAll(line, "\t", "    "))); columns > maxColumns {
				t.Errorf("%s:%d: %d columns, %d at most", name, number+1, columns, maxColumns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: %d lines, %d at most", name, lines, maxLines)
		}
	}
}

package main

import (
	"io/fs"
	"os"
	"strings"
)

// sources is the tree without what a build does not need: tests, the journal, what was built.
func sources(root string) fs.FS { return tree{os.DirFS(root)} }

type tree struct{ fs.FS }

// ReadDir implements fs.ReadDirFS, by which the tree is walked.
func (t tree) ReadDir(name string) ([]fs.DirEntry, error) {
	all, err := fs.ReadDir(t.FS, name)
	kept := all[:0]
	for _, e := range all {
		n := e.Name()
		if e.IsDir() && (strings.HasPrefix(n, ".") || n == "journal" || n == "bin" || n == "out" ||
			n == "docs" || n == "testdata") {
			continue
		}
		if e.IsDir() || strings.HasSuffix(n, ".go") && !strings.HasSuffix(n, "_test.go") || n == "go.mod" ||
			n == "go.sum" {
			kept = append(kept, e)
		}
	}
	return kept, err
}

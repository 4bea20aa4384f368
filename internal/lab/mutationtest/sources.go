package main

import (
	"io/fs"
	"os"
	"strings"
)

// sources returns the source tree without files that a build does not need: tests, test data, documents, the journal
// and build outputs.
func sources(root string) fs.FS { return sourceTree{os.DirFS(root)} }

// sourceTree is a directory tree of which ReadDir lists only the files that a build needs.
type sourceTree struct{ fs.FS }

// ReadDir implements fs.ReadDirFS; os.CopyFS walks the tree with it.
func (t sourceTree) ReadDir(name string) ([]fs.DirEntry, error) {
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

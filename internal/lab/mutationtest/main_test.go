package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a defect that can no longer be planted because the source text that it replaces was changed.
func TestEachMutantMatchesItsSource(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, m := range mutants() {
		for _, e := range m.edits {
			text, err := os.ReadFile(filepath.Join(root, e.file))
			if err != nil {
				t.Errorf("%s: %v", m.name, err)
				continue
			}
			if n := bytes.Count(text, []byte(e.old)); n != 1 {
				t.Errorf("%s: %s holds the text to change %d times, want once", m.name, e.file, n)
			}
		}
	}
}

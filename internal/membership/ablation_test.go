package membership

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thymebend/internal/gossipcodec"
)

// Verifies that no code outside internal/lab uses the exported names of ablation.go, since a gateway must run with
// all refinements.
func TestOnlyLabPackagesDisableRefinements(t *testing.T) {
	root := filepath.Join("..", "..")
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		t.Fatal(err)
	}
	ablation := exportedNames(t, "ablation.go")
	if !ablation["Without"] || !ablation["Refinement"] || !ablation["Option"] {
		t.Fatalf("ablation.go declares %v, want at least Without, Refinement and Option", ablation)
	}
	laboratory, uses := filepath.Join(root, "internal", "lab"), 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		for _, use := range usesOf(t, path, ablation) {
			if strings.HasPrefix(path, laboratory+string(filepath.Separator)) {
				uses++
				continue
			}
			t.Errorf("%s uses membership.%s, which is reserved for internal/lab", path, use)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if uses == 0 {
		t.Error("internal/lab does not use the names of ablation.go: this test no longer verifies anything")
	}
}

// exportedNames returns the exported names that a file declares at package level.
func exportedNames(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	add := func(name *ast.Ident) {
		if name.IsExported() {
			names[name.Name] = true
		}
	}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			add(declaration.Name)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					add(spec.Name)
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						add(name)
					}
				}
			}
		}
	}
	return names
}

// usesOf lists the uses in a file of those names of this package that are in names.
func usesOf(t *testing.T, path string, names map[string]bool) (out []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	local := ""
	for _, spec := range file.Imports {
		if spec.Path.Value == `"thymebend/internal/membership"` {
			local = "membership"
			if spec.Name != nil {
				local = spec.Name.Name
			}
		}
	}
	if local == "" {
		return nil
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok && names[selector.Sel.Name] {
			if x, ok := selector.X.(*ast.Ident); ok && x.Name == local {
				out = append(out, selector.Sel.Name)
			}
		}
		return true
	})
	return out
}

func TestReportedGoneIsAcceptedOnlyWithoutVerification(t *testing.T) {
	for _, test := range []struct {
		name    string
		options []Option
		want    gossipcodec.State
	}{
		{"with verification", nil, gossipcodec.Suspect},
		{"without verification", []Option{Without(Verification)}, gossipcodec.Gone},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newMembership(t, nil, test.options...)
			m.Receive(epoch, addr(3), datagram("c", 9, gossipcodec.Ping))
			m.Receive(epoch, addr(2), datagram("b", 9, gossipcodec.Gossip,
				gossipcodec.Claim{Name: "c", Start: 9, State: gossipcodec.Gone}))
			if got, _ := m.Find("c"); got.State != test.want {
				t.Errorf("c is %v after a claim that it is gone, want %v", got.State, test.want)
			}
		})
	}
}

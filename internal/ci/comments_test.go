package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against exported items without a doc comment. staticcheck does not report them: it checks only the form of
// existing comments.
func TestExportedItemsHaveDocComments(t *testing.T) {
	files := token.NewFileSet()
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			for _, name := range undocumented(declaration) {
				t.Errorf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// undocumented returns the exported names of a declaration that have no comment.
func undocumented(declaration ast.Decl) (names []*ast.Ident) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Name.IsExported() && declaration.Doc == nil && !ofUnexportedType(declaration) {
			names = append(names, declaration.Name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				if spec.Name.IsExported() && declaration.Doc == nil && spec.Doc == nil {
					names = append(names, spec.Name)
				}
			case *ast.ValueSpec:
				documented := declaration.Doc != nil || spec.Doc != nil || spec.Comment != nil
				for _, name := range spec.Names {
					if name.IsExported() && !documented {
						names = append(names, name)
					}
				}
			}
		}
	}
	return names
}

// ofUnexportedType reports whether a function is a method of an unexported type.
func ofUnexportedType(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && !name.IsExported()
}

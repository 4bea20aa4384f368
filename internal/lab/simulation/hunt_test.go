package simulation

import (
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// allowedMapLoops lists the functions that may range over a map, and why the order has no effect there.
func allowedMapLoops() map[string]string {
	return map[string]string{
		"gateway.closeAfterAnswers":   "sets a flag on each element",
		"upstream.OldestIdle":         "keeps the connection with the lowest number",
		"upstream.UnwrittenTo":        "sorts what it found",
		"upstream.raise":              "deletes all that have expired, in any order",
		"upstream.Surplus":            "sorts what it found",
		"discovery.removeUnlisted":    "sorts what it found",
		"settings.flatten":            "fills a map by path",
		"loadreport.SuspectedByPeers": "fills a set",
		"tokenschedule.Forget":        "deletes from the map that it ranges over",
	}
}

// The simulated code uses only the clock and the random source that it is given, and no result depends on the
// order of a map.
func TestSimulatedCodeIsDeterministic(t *testing.T) {
	allowed := allowedMapLoops()
	fset := token.NewFileSet()
	imports := importer.ForCompiler(fset, "source", nil)
	for _, dir := range []string{"internal/balancer", "internal/balancer/concurrency",
		"internal/balancer/outlierdetection", "internal/balancer/quota", "internal/balancer/retrybudget",
		"internal/balancer/slowstart", "internal/balancer/stats", "internal/backoff", "internal/gateway",
		"internal/downstream", "internal/upstream",
		"internal/discovery", "internal/http1",
		"internal/admin", "internal/hotrestart", "internal/assignment", "internal/loadreport",
		"internal/tokenschedule", "internal/subset",
		"internal/settings"} {
		names, err := filepath.Glob(filepath.Join("../../..", dir, "*.go"))
		if err != nil || len(names) == 0 {
			t.Fatalf("%s: %v", dir, err)
		}
		var files []*ast.File
		for _, n := range names {
			if strings.HasSuffix(n, "_test.go") {
				continue
			}
			text, err := os.ReadFile(n)
			if err != nil {
				t.Fatal(err)
			}
			f, err := parser.ParseFile(fset, n, text, 0)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, f)
		}
		info := &types.Info{Types: make(map[ast.Expr]types.TypeAndValue), Uses: make(map[*ast.Ident]types.Object)}
		conf := types.Config{Importer: imports}
		if _, err := conf.Check(dir, fset, files, info); err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok {
					continue
				}
				name := f.Name.Name + "." + fn.Name.Name
				ast.Inspect(fn, func(n ast.Node) bool {
					switch n := n.(type) {
					case *ast.RangeStmt:
						if _, isMap := info.Types[n.X].Type.Underlying().(*types.Map); isMap && allowed[name] == "" {
							t.Errorf("%s: %s ranges over a map", fset.Position(n.Pos()), name)
						}
					case *ast.Ident:
						o := info.Uses[n]
						fun, isFunc := o.(*types.Func)
						if !isFunc || fun.Pkg() == nil || fun.Signature().Recv() != nil {
							break
						}
						switch p := fun.Pkg().Path(); {
						case p == "time" && (fun.Name() == "Now" || fun.Name() == "Since" ||
							fun.Name() == "After" || fun.Name() == "Sleep"),
							strings.HasPrefix(p, "math/rand") && !strings.HasPrefix(fun.Name(), "New"),
							p == "maps" && !strings.Contains(sourceLine(fset, n), "slices.Sorted"):
							t.Errorf("%s: %s uses %s.%s", fset.Position(n.Pos()), name, p, fun.Name())
						}
					}
					return true
				})
			}
		}
	}
}

// sourceLine returns the source line of a node.
func sourceLine(fset *token.FileSet, n ast.Node) string {
	at := fset.Position(n.Pos())
	raw, err := os.ReadFile(at.Filename)
	if err != nil {
		return ""
	}
	lines := strings.Split(string(raw), "\n")
	return lines[at.Line-1]
}

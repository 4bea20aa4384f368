package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against the gateway importing the laboratory, net/http or a module that is not on the list.
func TestImports(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	allowed := []string{"thymebend", "github.com/rs/zerolog", "github.com/mattn/go-colorable",
		"github.com/mattn/go-isatty", "golang.org/x/sys",
		// for membership and the gossip file
		"google.golang.org/protobuf", "github.com/zeebo/xxh3", "github.com/klauspost/cpuid/v2",
		"github.com/pelletier/go-toml/v2",
		"github.com/agnivade/levenshtein",
		// for the command line
		"github.com/alecthomas/kong"}
	for _, path := range strings.Fields(string(out)) {
		first, _, _ := strings.Cut(path, "/")
		known := !strings.Contains(first, ".") && first != "thymebend" // standard library
		for _, a := range allowed {
			known = known || path == a || strings.HasPrefix(path, a+"/")
		}
		if !known || strings.HasPrefix(path, "thymebend/internal/lab") || path == "net/http" {
			t.Errorf("the gateway imports %s", path)
		}
	}
}

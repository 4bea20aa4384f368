package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Verifies that the node line of the deploy file names exactly the packages of this module from which the gateway is
// built.
func TestDeployFileNamesThePackages(t *testing.T) {
	// The template skips packages of the standard library, which have no module, and of other modules.
	out, err := exec.Command("go", "list", "-deps", "-f",
		`{{if .Module}}{{if eq .Module.Path "thymebend"}}{{.Dir}}{{end}}{{end}}`, "../../cmd/thymebend").Output()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	node := ""
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "node = ") {
			node = line
		}
	}
	named := strings.Count(node, `"`) / 2
	used := 0
	for _, dir := range strings.Fields(string(out)) {
		path, err := filepath.Rel(root, dir)
		if err != nil {
			t.Fatal(err)
		}
		if path == "." {
			continue // the module's root, which the policy and adapter lines name
		}
		if used++; !strings.Contains(node, `"`+path+`"`) {
			t.Errorf("deploy/balancer.toml: the node line lacks %s", path)
		}
	}
	if used != named {
		t.Errorf("deploy/balancer.toml: the node line names %d directories, the gateway is built from %d", named, used)
	}
}

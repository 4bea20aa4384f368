package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The deploy file names every package of ours that the gateway is built from, and nothing else.
func TestDeployFileNamesThePackages(t *testing.T) {
	// Packages of the standard library have no module.
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
			continue // the module, which policy and the adapter name
		}
		if used++; !strings.Contains(node, `"`+path+`"`) {
			t.Errorf("deploy/balancer.toml: node lacks %s", path)
		}
	}
	if used != named {
		t.Errorf("deploy/balancer.toml: node names %d folders, the gateway is built from %d", named, used)
	}
}

package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a static program, into which the platform cannot load its library.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml: no build")
	}
	dir := t.TempDir()
	intoDir := strings.NewReplacer(" bin ", " "+dir+" ", " bin/ ", " "+dir+"/ ")
	build := exec.CommandContext(t.Context(), "sh", "-c", intoDir.Replace(string(line[1])))
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	file, err := elf.Open(filepath.Join(dir, "thymebend"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if libs, err := file.ImportedLibraries(); err != nil || file.Section(".interp") == nil || len(libs) == 0 {
		t.Errorf("loader %v, libraries %v, %v", file.Section(".interp"), libs, err)
	}
}

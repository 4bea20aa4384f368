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

// Guards against a statically linked program, because the platform loads its library into the process.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no build line")
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
		t.Errorf("loader %v, libraries %v, error %v: want a dynamically linked program", file.Section(".interp"),
			libs, err)
	}
}

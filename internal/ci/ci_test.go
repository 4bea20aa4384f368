package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestKnownRedNamesTheLineOfAFault(t *testing.T) {
	line := func(n int) string { return fmt.Sprintf("./internal/loop TestThing%d | it fails | issue 28\n", n) }
	there := func(_, test string) error {
		if test == "TestMissing" {
			return errors.New("no such test")
		}
		return nil
	}
	for text, want := range map[string]string{
		line(1) + line(2) + line(3) + line(4):             ":4: more than 3",
		line(1) + "\n" + line(1):                          ":3: TestThing1 stands there twice",
		"./internal/loop TestThing |  | issue 28":         ":1: the cause is missing",
		"./internal/loop TestThing | it fails":            ":1: want PACKAGE TEST | CAUSE | issue NUMBER",
		"./internal/loop TestThing | it fails | soon":     ":1: want the issue",
		"TestThing | it fails | issue 28":                 ":1: want a package",
		"./internal/loop Thing | it fails | issue 28":     ":1: want a package",
		line(1) + "./a TestMissing | it fails | issue 28": ":2: no such test",
	} {
		list, err := readRed(write(t, text), there)
		if err == nil || !strings.Contains(err.Error(), "KNOWN-RED.txt"+want) || list != nil {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	list, err := readRed(write(t, line(1)+line(2)), there)
	if err != nil || pattern(list) != "^(TestThing1|TestThing2)$" {
		t.Errorf("%v: %v", err, list)
	}
	if list, err := readRed(filepath.Join(t.TempDir(), "none"), there); err != nil || pattern(list) != "^$" {
		t.Errorf("no file: %v, %v", list, err)
	}
}

// The list in force is right: each test is there, once.
func TestTheListInForce(t *testing.T) {
	t.Chdir("../..")
	if _, err := readRed("KNOWN-RED.txt", exists); err != nil {
		t.Error(err)
	}
	for _, c := range []struct{ pkg, test string }{{"./internal/ci", "TestNowhere"}, {"./internal/loop", "TestTheListInForce"}, {"./nowhere", "TestTheListInForce"}} {
		if exists(c.pkg, c.test) == nil {
			t.Errorf("%s is said to have %s", c.pkg, c.test)
		}
	}
}

// A test that fails is printed as known, and one that passes again is said to.
func TestKnownRedIsRunAndPrinted(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module red\n\ngo 1.24\n",
		"a_test.go": "package red\n\nimport \"testing\"\n\nfunc TestBad(t *testing.T) { t.Error(\"oh\") }\n\nfunc TestGood(t *testing.T) {}\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	var out bytes.Buffer
	runRed(&out, []red{{"./", "TestBad", "why", "issue 1"}, {"./", "TestGood", "why not", "issue 2"}})
	for _, want := range []string{"TestBad: fails, as is known (why; issue 1)", "oh", "TestGood: PASSES AGAIN"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %s", want, &out)
		}
	}
}

func TestSiteVariants(t *testing.T) {
	var out bytes.Buffer
	if err := checkSites(&out, "../../deploy/sites"); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n < 2 {
		t.Errorf("%d variants", n)
	}
	for name, c := range map[string]struct{ file, old, new, want string }{
		"no toml":           {"clinic-slots.toml", "[goal]", "[goal", "clinic-slots.toml:"},
		"another name":      {"clinic-slots.toml", `name = "clinic-slots"`, `name = "other"`, "clinic-slots.toml:1: name"},
		"unknown effect":    {"clinic-slots.toml", `effect = "safe"`, `effect = "mild"`, `class "look-up": effect`},
		"no window":         {"clinic-slots.toml", "window_ms = 500\n", "", `class "reserve": a keyed class`},
		"a short deadline":  {"clinic-slots.toml", "deadline_ms = 1600", "deadline_ms = 16", `class "look-up": deadline_ms`},
		"a share of two":    {"clinic-slots.toml", "share = [0.4, 0.6]", "share = [0.4, 2]", `class "look-up": share`},
		"twice":             {"clinic-slots.toml", `name = "reserve"`, `name = "look-up"`, "stands there twice"},
		"no worth":          {"clinic-slots.toml", "worth = 6", "worth = 0", `class "reserve": worth`},
		"a name with a gap": {"clinic-slots.toml", `name = "reserve"`, `name = "re serve"`, "its name"},
		"no grace":          {"clinic-slots.toml", "drain_grace_ms = 900", "drain_grace_ms = 0", "rules need"},
		"wire":              {"wire.json", `"v": 1,`, `"v": 1`, "wire.json:"},
		"real":              {"real.json", "{", "", "real.json:"},
		"unlock":            {"unlock.txt", "unlock ", "open ", "unlock.txt:1:"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS("../../deploy/sites")); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "clinic-slots", c.file)
			text, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(text), c.old) {
				t.Fatalf("%v, or nothing to spoil", err)
			}
			if err := os.WriteFile(path, []byte(strings.Replace(string(text), c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := checkSites(&out, dir); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	if err := checkSites(&out, filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a folder that is not there passes")
	}
}

// The deploy file names every package of ours that the gateway is built from, and nothing else.
func TestDeployFileNamesThePackages(t *testing.T) {
	// Packages of the standard library have no module.
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if eq .Module.Path "thymebend"}}{{.Dir}}{{end}}{{end}}`, "../../cmd/thymebend").Output()
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

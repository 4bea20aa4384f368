package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an invalid site variant that passes, or whose error does not name the file and line.
func TestSiteVariants(t *testing.T) {
	var out bytes.Buffer
	if err := checkSites(&out, "../../deploy/sites"); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n < 2 {
		t.Errorf("%d variants, want 2 at least", n)
	}
	for name, c := range map[string]struct{ file, old, new, want string }{
		"invalid TOML": {"clinic-slots.toml", "[goal]", "[goal", "clinic-slots.toml:"},
		"name differs from the directory": {"clinic-slots.toml", `name = "clinic-slots"`, `name = "other"`,
			"clinic-slots.toml:1: name"},
		"unknown effect":               {"clinic-slots.toml", `effect = "safe"`, `effect = "mild"`, `class "look-up": effect`},
		"keyed class without a window": {"clinic-slots.toml", "window_ms = 500\n", "", `class "reserve": a keyed class`},
		"deadline below the objective": {"clinic-slots.toml", "deadline_ms = 1600", "deadline_ms = 16",
			`class "look-up": deadline_ms`},
		"share above 1":             {"clinic-slots.toml", "share = [0.4, 0.6]", "share = [0.4, 2]", `class "look-up": share`},
		"class defined twice":       {"clinic-slots.toml", `name = "reserve"`, `name = "look-up"`, "is defined twice"},
		"worth of 0":                {"clinic-slots.toml", "worth = 6", "worth = 0", `class "reserve": worth`},
		"name with a space":         {"clinic-slots.toml", `name = "reserve"`, `name = "re serve"`, "its name must not"},
		"grace of 0":                {"clinic-slots.toml", "drain_grace_ms = 900", "drain_grace_ms = 0", "rules need"},
		"invalid JSON in wire.json": {"wire.json", `"v": 1,`, `"v": 1`, "wire.json:"},
		"invalid JSON in real.json": {"real.json", "{", "", "real.json:"},
		"invalid unlock line":       {"unlock.txt", "unlock ", "open ", "unlock.txt:1:"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS("../../deploy/sites")); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "clinic-slots", c.file)
			text, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(text), c.old) {
				t.Fatalf("error %v, or the text to replace is missing", err)
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
		t.Error("a directory that does not exist passes")
	}
}

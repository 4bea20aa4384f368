package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// site is what can be checked of a variant without the operators' bench. Other fields are the bench's affair.
type site struct {
	Name  string     `toml:"name"`
	Wire  string     `toml:"wire"`
	Class []class    `toml:"class"`
	Tier  []struct{} `toml:"tier"`
	Net   struct {
		Zones []string `toml:"zones"`
	} `toml:"net"`
	Rules struct {
		Grace    float64 `toml:"drain_grace_ms"`
		Multiple float64 `toml:"fall_multiple"`
		Within   float64 `toml:"fall_ms"`
	} `toml:"rules"`
}

type class struct {
	Name     string  `toml:"name"`
	Share    any     `toml:"share"`
	Aim      float64 `toml:"aim_ms"`
	Deadline float64 `toml:"deadline_ms"`
	Worth    float64 `toml:"worth"`
	Late     float64 `toml:"late_worth"`
	Effect   string  `toml:"effect"`
	Group    string  `toml:"group"`
	Window   float64 `toml:"window_ms"`
}

// checkSites checks every folder of a folder as a variant, and says which it found.
func checkSites(w io.Writer, dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !e.IsDir() {
			return fmt.Errorf("%s: a variant is a folder", filepath.Join(dir, e.Name()))
		}
		s, err := checkSite(filepath.Join(dir, e.Name()), e.Name())
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "site %s: %d classes, %d zones\n", s.Name, len(s.Class), len(s.Net.Zones))
	}
	return nil
}

var unlockLine = regexp.MustCompile(`^unlock [a-z_,]+ [0-9a-f]{16}$`)

// checkSite checks one variant: its file, and those that the bench wants beside it.
func checkSite(dir, name string) (site, error) {
	var s site
	file := filepath.Join(dir, name+".toml")
	text, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := toml.Unmarshal(text, &s); err != nil {
		var at *toml.DecodeError
		if ok := asDecode(err, &at); ok {
			line, _ := at.Position()
			return s, fmt.Errorf("%s:%d: %v", file, line, at)
		}
		return s, fmt.Errorf("%s: %w", file, err)
	}
	lines := classLines(text)
	switch {
	case s.Name != name:
		return s, fmt.Errorf("%s:%d: name is %q, want that of the folder", file, lineOf(text, "name"), s.Name)
	case len(s.Class) == 0 || len(s.Tier) == 0:
		return s, fmt.Errorf("%s: no class, or no tier", file)
	case !(s.Rules.Grace > 0 && s.Rules.Multiple >= 1 && s.Rules.Within > 0):
		return s, fmt.Errorf("%s:%d: rules need drain_grace_ms, fall_multiple and fall_ms above 0", file, lineOf(text, "[rules]"))
	}
	seen := map[string]bool{}
	for i, c := range s.Class {
		if err := c.check(); err != nil {
			return s, fmt.Errorf("%s:%d: class %q: %w", file, lines[i], c.Name, err)
		}
		if seen[c.Name] {
			return s, fmt.Errorf("%s:%d: class %q stands there twice", file, lines[i], c.Name)
		}
		seen[c.Name] = true
	}
	for _, beside := range []string{"real.json", s.Wire} {
		path := filepath.Join(dir, beside)
		raw, err := os.ReadFile(path)
		if err != nil {
			return s, err
		}
		var any map[string]json.RawMessage
		if err := json.Unmarshal(raw, &any); err != nil || len(any) == 0 {
			line := 1
			if at, ok := err.(*json.SyntaxError); ok {
				line += strings.Count(string(raw[:at.Offset]), "\n")
			}
			return s, fmt.Errorf("%s:%d: no JSON object: %v", path, line, err)
		}
	}
	path := filepath.Join(dir, "unlock.txt")
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if !unlockLine.MatchString(line) {
			return s, fmt.Errorf("%s:%d: want 'unlock NAMES SUM', found %q", path, i+1, line)
		}
	}
	return s, nil
}

func (c class) check() error {
	low, high, ok := span(c.Share)
	switch {
	case c.Name == "" || strings.ContainsAny(c.Name, " /?"):
		return fmt.Errorf("its name must do as the first part of a path")
	case !ok || low <= 0 || high < low || high > 1:
		return fmt.Errorf("share is %v, want one or two ascending parts of 1", c.Share)
	case !(c.Aim > 0 && c.Deadline >= c.Aim):
		return fmt.Errorf("deadline_ms is %v and aim_ms %v, want a deadline of the aim at least", c.Deadline, c.Aim)
	case !(c.Worth > 0 && c.Late >= 0 && c.Late <= 1):
		return fmt.Errorf("worth is %v and late_worth %v, want above 0, and from 0 to 1", c.Worth, c.Late)
	}
	switch c.Effect {
	case "safe", "unsafe":
		if c.Group != "" || c.Window != 0 {
			return fmt.Errorf("group and window_ms are for keyed classes")
		}
	case "keyed":
		if c.Window <= 0 || c.Group != "all" && c.Group != "zone" && c.Group != "cell" {
			return fmt.Errorf("a keyed class needs window_ms above 0 and group all, zone or cell")
		}
	default:
		return fmt.Errorf("effect is %q, want safe, keyed or unsafe", c.Effect)
	}
	return nil
}

// span reads one number or two.
func span(v any) (low, high float64, ok bool) {
	number := func(v any) (float64, bool) {
		switch v := v.(type) {
		case float64:
			return v, true
		case int64:
			return float64(v), true
		}
		return 0, false
	}
	if list, isList := v.([]any); isList {
		if len(list) != 2 {
			return 0, 0, false
		}
		var first, second bool
		low, first = number(list[0])
		high, second = number(list[1])
		return low, high, first && second
	}
	low, ok = number(v)
	return low, low, ok
}

func asDecode(err error, into **toml.DecodeError) bool {
	at, ok := err.(*toml.DecodeError)
	*into = at
	return ok
}

// classLines are the lines on which the classes begin.
func classLines(text []byte) (lines []int) {
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.ArrayTable {
			continue
		}
		for k := e.Key(); k.Next(); {
			if string(k.Node().Data) == "class" && k.IsLast() {
				lines = append(lines, p.Shape(k.Node().Raw).Start.Line)
			}
		}
	}
	return lines
}

// lineOf is the first line that begins with a word; 1 if none does.
func lineOf(text []byte, word string) int {
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), word) {
			return i + 1
		}
	}
	return 1
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"thymebend/internal/fielderror"
)

// site holds the fields of a site variant that can be checked without the operators' bench. Only the bench can check
// the other fields.
type site struct {
	Name    string     `toml:"name"`
	Wire    string     `toml:"wire"`
	Classes []class    `toml:"class"`
	Tiers   []struct{} `toml:"tier"`
	Net     struct {
		Zones []string `toml:"zones"`
	} `toml:"net"`
	Rules struct {
		Grace    float64 `toml:"drain_grace_ms"`
		Multiple float64 `toml:"fall_multiple"`
		Within   float64 `toml:"fall_ms"`
	} `toml:"rules"`
}

// class is a class of requests in a site variant. Times are in milliseconds.
type class struct {
	Name        string  `toml:"name"`
	Share       any     `toml:"share"`
	Objective   float64 `toml:"aim_ms"`
	Deadline    float64 `toml:"deadline_ms"`
	Weight      float64 `toml:"worth"`
	LateWeight  float64 `toml:"late_worth"`
	Idempotency string  `toml:"effect"`
	DedupScope  string  `toml:"group"`
	DedupWindow float64 `toml:"window_ms"`
}

// checkSites checks each subdirectory of a directory as a site variant and prints the variants.
func checkSites(w io.Writer, dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !e.IsDir() {
			return fmt.Errorf("%s: not a directory; each site variant is a directory", filepath.Join(dir, e.Name()))
		}
		s, err := checkSite(filepath.Join(dir, e.Name()), e.Name())
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "site %s: %d classes, %d zones\n", s.Name, len(s.Classes), len(s.Net.Zones))
	}
	return nil
}

var unlockLine = regexp.MustCompile(`^unlock [a-z_,]+ [0-9a-f]{16}$`)

// checkSite checks one variant: its TOML file, and the files that the bench requires in the same directory.
func checkSite(dir, name string) (site, error) {
	file := filepath.Join(dir, name+".toml")
	text, err := os.ReadFile(file)
	if err != nil {
		return site{}, err
	}
	s, err := parseSite(file, name, text)
	if err != nil {
		return s, err
	}
	for _, companion := range []string{"real.json", s.Wire} {
		if err := checkJSON(filepath.Join(dir, companion)); err != nil {
			return s, err
		}
	}
	return s, checkUnlock(filepath.Join(dir, "unlock.txt"))
}

// parseSite parses and checks the TOML text of a variant. file is used in errors only.
func parseSite(file, name string, text []byte) (site, error) {
	var s site
	if err := toml.Unmarshal(text, &s); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return s, faultAt(file, line, at)
		}
		return s, faultAt(file, 0, err)
	}
	switch {
	case s.Name != name:
		return s, faultAt(file, lineOf(text, "name"), fmt.Errorf("name is %q, want the name of the directory", s.Name))
	case len(s.Classes) == 0 || len(s.Tiers) == 0:
		return s, faultAt(file, 0, errors.New("want at least one class and one tier"))
	case !(s.Rules.Grace > 0 && s.Rules.Multiple >= 1 && s.Rules.Within > 0):
		return s, faultAt(file, lineOf(text, "[rules]"),
			errors.New("rules need drain_grace_ms, fall_multiple and fall_ms above 0"))
	}
	lines := classLines(text)
	seen := make(map[string]bool)
	for i, c := range s.Classes {
		if err := c.check(); err != nil {
			return s, faultAt(file, lines[i], fmt.Errorf("class %q: %w", c.Name, err))
		}
		if seen[c.Name] {
			return s, faultAt(file, lines[i], fmt.Errorf("class %q is defined twice", c.Name))
		}
		seen[c.Name] = true
	}
	return s, nil
}

// faultAt returns an error at a line of a file; line 0 means the whole file.
func faultAt(file string, line int, cause error) error {
	return &fielderror.Error{File: file, Line: line, Err: cause}
}

// checkJSON verifies that a file contains a JSON object that is not empty.
func checkJSON(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || len(fields) == 0 {
		line := 1
		var at *json.SyntaxError
		if errors.As(err, &at) {
			line += strings.Count(string(raw[:at.Offset]), "\n")
		}
		return faultAt(path, line, fielderror.CauseWithText(err, "not a JSON object: %v", err))
	}
	return nil
}

// checkUnlock verifies that each line of a file has the form of the bench's unlock lines.
func checkUnlock(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if !unlockLine.MatchString(line) {
			return faultAt(path, i+1, fmt.Errorf("want 'unlock NAMES SUM', found %q", line))
		}
	}
	return nil
}

// check returns an error if a field of the class is invalid or contradicts another field of the class.
func (c class) check() error {
	low, high, ok := parseRange(c.Share)
	switch {
	case c.Name == "" || strings.ContainsAny(c.Name, " /?"):
		return errors.New("its name must not be empty or contain ' ', '/' or '?': it starts a URL path")
	case !ok || low <= 0 || high < low || high > 1:
		return fmt.Errorf("share is %v, want a fraction above 0 and at most 1, or two ascending ones", c.Share)
	case !(c.Objective > 0 && c.Deadline >= c.Objective):
		return fmt.Errorf("deadline_ms is %v and aim_ms %v, want aim_ms above 0 and deadline_ms not below it",
			c.Deadline, c.Objective)
	case !(c.Weight > 0 && c.LateWeight >= 0 && c.LateWeight <= 1):
		return fmt.Errorf("worth is %v and late_worth %v, want worth above 0 and late_worth from 0 to 1",
			c.Weight, c.LateWeight)
	}
	switch c.Idempotency {
	case "safe", "unsafe":
		if c.DedupScope != "" || c.DedupWindow != 0 {
			return errors.New("group and window_ms are for keyed classes")
		}
	case "keyed":
		if c.DedupWindow <= 0 || c.DedupScope != "all" && c.DedupScope != "zone" && c.DedupScope != "cell" {
			return errors.New("a keyed class needs window_ms above 0 and group all, zone or cell")
		}
	default:
		return fmt.Errorf("effect is %q, want safe, keyed or unsafe", c.Idempotency)
	}
	return nil
}

// parseRange reads a number, or a list of two numbers as lower and upper bound. For a single number both are equal.
func parseRange(v any) (low, high float64, ok bool) {
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

// classLines returns the line numbers of the [[class]] tables.
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

// lineOf returns the number of the first line that starts with a word, or 1 if there is none.
func lineOf(text []byte, word string) int {
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), word) {
			return i + 1
		}
	}
	return 1
}

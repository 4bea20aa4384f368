package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// mostRed is how many tests may be known to fail.
const mostRed = 3

// red is a test that is known to fail, and why it may.
type red struct{ pkg, test, cause, issue string }

var (
	testName  = regexp.MustCompile(`^Test[A-Z0-9]\w*$`)
	issueName = regexp.MustCompile(`^issue [0-9]+$`)
)

// readRed reads the list: on each line a package with its test, the cause and the issue, parted by bars. No file is no
// test. there reports whether a package has a test.
func readRed(file string, there func(pkg, test string) error) ([]red, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []red
	for i, line := range strings.Split(string(text), "\n") {
		fault := func(format string, args ...any) ([]red, error) {
			return nil, fmt.Errorf("%s:%d: %s", file, i+1, fmt.Sprintf(format, args...))
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		parts := strings.Split(line, "|")
		if len(parts) != 3 {
			return fault("want PACKAGE TEST | CAUSE | issue NUMBER")
		}
		where := strings.Fields(parts[0])
		r := red{cause: strings.TrimSpace(parts[1]), issue: strings.TrimSpace(parts[2])}
		switch {
		case len(where) != 2 || !strings.HasPrefix(where[0], "./") || !testName.MatchString(where[1]):
			return fault("want a package such as ./internal/loop and the name of a test, found %q", strings.TrimSpace(parts[0]))
		case r.cause == "":
			return fault("the cause is missing")
		case !issueName.MatchString(r.issue):
			return fault("want the issue as in 'issue 28', found %q", r.issue)
		case len(list) == mostRed:
			return fault("more than %d tests", mostRed)
		}
		r.pkg, r.test = where[0], where[1]
		for _, other := range list {
			if other.test == r.test {
				return fault("%s stands there twice", r.test) // they are left out by name, in all packages
			}
		}
		if err := there(r.pkg, r.test); err != nil {
			return fault("%v", err)
		}
		list = append(list, r)
	}
	return list, nil
}

// exists reports whether a package has a test, and no other package one of that name.
func exists(pkg, test string) error {
	out, err := exec.Command("go", "test", "-list", "^"+test+"$", "./...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("go test -list: %w\n%s", err, out)
	}
	path, err := exec.Command("go", "list", pkg).Output()
	if err != nil {
		return fmt.Errorf("%s is no package", pkg)
	}
	var in []string // the packages that have it: their line follows the names of their tests
	found := false
	for _, line := range strings.Split(string(out), "\n") {
		f := strings.Fields(line)
		switch {
		case len(f) == 1 && f[0] == test:
			found = true
		case len(f) > 1 && f[0] == "ok" && found:
			in, found = append(in, f[1]), false
		}
	}
	if len(in) != 1 || in[0] != strings.TrimSpace(string(path)) {
		return fmt.Errorf("%s is a test of %v, want of %s alone", test, in, strings.TrimSpace(string(path)))
	}
	return nil
}

// pattern matches the tests by name, and nothing where there are none.
func pattern(list []red) string {
	var names []string
	for _, r := range list {
		names = append(names, r.test)
	}
	if len(names) == 0 {
		return "^$"
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// runRed runs the tests and prints what became of each. One that passes again is said so: its line has to go.
func runRed(w io.Writer, list []red) {
	for _, r := range list {
		out, err := exec.Command("go", "test", "-count=1", "-timeout", "8m", "-run", "^"+r.test+"$", r.pkg).CombinedOutput()
		verdict := "fails, as is known"
		if err == nil {
			verdict = "PASSES AGAIN: take its line out"
		}
		fmt.Fprintf(w, "known red: %s %s: %s (%s; %s)\n", r.pkg, r.test, verdict, r.cause, r.issue)
		for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
			fmt.Fprintf(w, "  | %s\n", line)
		}
	}
}

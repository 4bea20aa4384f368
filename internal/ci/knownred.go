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

	"thymebend/internal/fielderror"
)

// maxKnownRed is the maximum number of entries in the list of tests that are known to fail.
const maxKnownRed = 3

// knownRed is one entry of the list: a test that is known to fail, the cause, and the issue that tracks it.
type knownRed struct{ pkg, test, cause, issue string }

var (
	testName  = regexp.MustCompile(`^Test[A-Z0-9]\w*$`)
	issueName = regexp.MustCompile(`^issue [0-9]+$`)
)

// readKnownRed reads the list. Each line names a package and its test, the cause and the issue, separated by
// vertical bars. If the file does not exist, the list is empty. exists returns an error if the package lacks the
// test. An invalid line is reported as a fielderror.Error with file and line.
func readKnownRed(file string, exists func(pkg, test string) error) ([]knownRed, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []knownRed
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := parseKnownRed(line)
		if err == nil {
			err = checkEntry(list, entry, exists)
		}
		if err != nil {
			return nil, &fielderror.Error{File: file, Line: i + 1, Err: err}
		}
		list = append(list, entry)
	}
	return list, nil
}

// parseKnownRed parses one line of the list.
func parseKnownRed(line string) (knownRed, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return knownRed{}, errors.New("want PACKAGE TEST | CAUSE | issue NUMBER")
	}
	where := strings.Fields(parts[0])
	entry := knownRed{cause: strings.TrimSpace(parts[1]), issue: strings.TrimSpace(parts[2])}
	switch {
	case len(where) != 2 || !strings.HasPrefix(where[0], "./") || !testName.MatchString(where[1]):
		return knownRed{}, fmt.Errorf("want a package such as ./internal/loop and the name of a test, found %q",
			strings.TrimSpace(parts[0]))
	case entry.cause == "":
		return knownRed{}, errors.New("the cause is missing")
	case !issueName.MatchString(entry.issue):
		return knownRed{}, fmt.Errorf("want the issue as in 'issue 28', found %q", entry.issue)
	}
	entry.pkg, entry.test = where[0], where[1]
	return entry, nil
}

// checkEntry returns an error if the list is full, already names the test, or the test does not exist.
func checkEntry(list []knownRed, entry knownRed, exists func(pkg, test string) error) error {
	if len(list) == maxKnownRed {
		return fmt.Errorf("more than %d tests on the list", maxKnownRed)
	}
	for _, other := range list {
		if other.test == entry.test {
			return fmt.Errorf("%s is listed twice", entry.test) // go test -skip matches by name, in all packages
		}
	}
	return exists(entry.pkg, entry.test)
}

// testExists returns an error unless the package has the test and no other package has a test of that name.
func testExists(pkg, test string) error {
	out, err := exec.Command("go", "test", "-list", "^"+test+"$", "./...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("go test -list: %w\n%s", err, out)
	}
	path, err := exec.Command("go", "list", pkg).Output()
	if err != nil {
		return fmt.Errorf("%s is not a package", pkg)
	}
	want := strings.TrimSpace(string(path))
	if found := packagesWith(test, string(out)); len(found) != 1 || found[0] != want {
		return fmt.Errorf("test %s exists in the packages %v, want it in %s only", test, found, want)
	}
	return nil
}

// packagesWith returns the packages that have a test, from the output of go test -list. In that output the names of
// a package's tests precede the line of the package.
func packagesWith(test, listing string) (packages []string) {
	found := false
	for line := range strings.SplitSeq(listing, "\n") {
		words := strings.Fields(line)
		switch {
		case len(words) == 1 && words[0] == test:
			found = true
		case len(words) > 1 && words[0] == "ok" && found:
			packages, found = append(packages, words[1]), false
		}
	}
	return packages
}

// pattern returns a regular expression that matches the names of the tests, or no test if the list is empty.
func pattern(list []knownRed) string {
	var names []string
	for _, entry := range list {
		names = append(names, entry.test)
	}
	if len(names) == 0 {
		return "^$"
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// runKnownRed runs the tests and prints the result and output of each. For a test that passes again it prints that
// its line must be removed from the list.
func runKnownRed(w io.Writer, list []knownRed) {
	for _, entry := range list {
		test := exec.Command("go", "test", "-count=1", "-timeout", "8m", "-run", "^"+entry.test+"$", entry.pkg)
		out, err := test.CombinedOutput()
		verdict := "fails as expected"
		if err == nil {
			verdict = "PASSES AGAIN: remove its line from the list"
		}
		fmt.Fprintf(w, "known red: %s %s: %s (%s; %s)\n", entry.pkg, entry.test, verdict, entry.cause, entry.issue)
		for line := range strings.SplitSeq(strings.TrimSpace(string(out)), "\n") {
			fmt.Fprintf(w, "  | %s\n", line)
		}
	}
}

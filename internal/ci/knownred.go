package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"thymebend/internal/fielderror"
)

// knownRed is one entry of the list of what is known to fail: a Go test, which is run and printed, or the command of a
// script, which is only printed.
type knownRed struct {
	pkg, test string // of a Go test
	command   string // of a script, with its arguments
	seen      string // command and seed of a test, and what was seen
	issue     string // the issue that tracks the failure
}

// isScript reports whether the entry is a script rather than a Go test.
func (k knownRed) isScript() bool { return k.command != "" }

// name returns what the entry names, as on its line.
func (k knownRed) name() string {
	if k.isScript() {
		return k.command
	}
	return k.pkg + " " + k.test
}

var (
	testName  = regexp.MustCompile(`^Test[A-Z0-9]\w*$`)
	issueName = regexp.MustCompile(`^issue [0-9]+$`)
)

// existence looks up what the entries of the list name. Each method returns an error if it does not exist.
type existence struct {
	test   func(pkg, test string) error
	script func(command string) error
}

// readKnownRed reads the list. Each line names a package and its test, or the command of a script; then what was seen,
// with command and seed; then the issue, separated by vertical bars. If the file does not exist, the list is empty. An
// invalid line is reported as a fielderror.Error with file and line.
func readKnownRed(file string, exists existence) ([]knownRed, error) {
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
		return knownRed{}, errors.New("want PACKAGE TEST or SCRIPT | COMMAND, SEED, WHAT WAS SEEN | issue NUMBER")
	}
	entry := knownRed{seen: strings.TrimSpace(parts[1]), issue: strings.TrimSpace(parts[2])}
	where := strings.Fields(parts[0])
	switch {
	case len(where) == 2 && strings.HasPrefix(where[0], "./") && testName.MatchString(where[1]):
		entry.pkg, entry.test = where[0], where[1]
	case len(where) > 0 && isScriptPath(where[0]):
		entry.command = strings.Join(where, " ")
	default:
		return knownRed{}, fmt.Errorf("want a package such as ./internal/loop and the name of a test, or a script such as "+
			"review/1/run.sh, found %q", strings.TrimSpace(parts[0]))
	}
	switch {
	case entry.seen == "":
		return knownRed{}, errors.New("what was seen is missing")
	case !issueName.MatchString(entry.issue):
		return knownRed{}, fmt.Errorf("want the issue as in 'issue 28', found %q", entry.issue)
	}
	return entry, nil
}

// isScriptPath reports whether a word is the path of a file within the repository.
func isScriptPath(word string) bool {
	return strings.Contains(word, "/") && !strings.HasPrefix(word, "./") && filepath.IsLocal(word)
}

// checkEntry returns an error if the list already has the entry, or if what it names does not exist.
func checkEntry(list []knownRed, entry knownRed, exists existence) error {
	for _, other := range list {
		// go test -skip matches by name, in all packages
		if other.test == entry.test && other.command == entry.command {
			return fmt.Errorf("%s is listed twice", cmp.Or(entry.test, entry.command))
		}
	}
	if entry.isScript() {
		return exists.script(entry.command)
	}
	return exists.test(entry.pkg, entry.test)
}

// programs is the folder of the programs that the build makes from the folder of the same name under cmd.
const programs = "bin/"

// scriptExists returns an error unless the first word of a command is a file of the repository, or a program that the
// build makes.
func scriptExists(command string) error {
	path := strings.Fields(command)[0]
	if name, built := strings.CutPrefix(path, programs); built {
		if info, err := os.Stat(filepath.Join("cmd", name)); err != nil || !info.IsDir() {
			return fmt.Errorf("%s is not built from a folder under cmd", path)
		}
		return nil
	}
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() {
		return fmt.Errorf("%s is not a file of the repository", path)
	}
	return nil
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
		if !entry.isScript() {
			names = append(names, entry.test)
		}
	}
	if len(names) == 0 {
		return "^$"
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// runKnownRed runs the tests and prints the result and output of each. For a test that passes again it prints that
// its line must be removed from the list. Scripts are printed and not run.
func runKnownRed(w io.Writer, list []knownRed) {
	for _, entry := range list {
		if entry.isScript() {
			fmt.Fprintf(w, "known red: %s: not run (%s; %s)\n", entry.name(), entry.seen, entry.issue)
			continue
		}
		test := exec.Command("go", "test", "-count=1", "-timeout", "8m", "-run", "^"+entry.test+"$", entry.pkg)
		out, err := test.CombinedOutput()
		verdict := "fails as expected"
		if err == nil {
			verdict = "PASSES AGAIN: remove its line from the list"
		}
		fmt.Fprintf(w, "known red: %s: %s (%s; %s)\n", entry.name(), verdict, entry.seen, entry.issue)
		for line := range strings.SplitSeq(strings.TrimSpace(string(out)), "\n") {
			fmt.Fprintf(w, "  | %s\n", line)
		}
	}
}

// Command ci checks two things that span the repository: the list of what is known to fail, and the site
// variants under deploy/sites. It reports an invalid file with file and line, and modifies no file.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
)

const usage = `usage: ci known-red FILE          checks the list and prints a pattern of its tests for go test -skip
       ci known-red FILE --run    runs the tests of the list and prints their results; prints its scripts
       ci sites DIR               checks the site variants in a directory`

// errUsage is returned when the arguments match no sub-command.
var errUsage = errors.New(usage)

func main() {
	if err := run(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(w io.Writer, args []string) error {
	switch {
	case len(args) == 2 && args[0] == "known-red":
		tests, err := readKnownRed(args[1], existence{test: testExists, script: scriptExists})
		if err == nil {
			fmt.Fprintln(w, pattern(tests))
		}
		return err
	case len(args) == 3 && args[0] == "known-red" && args[2] == "--run":
		tests, err := readKnownRed(args[1], existence{test: testExists, script: scriptExists})
		if err == nil {
			runKnownRed(w, tests)
		}
		return err
	case len(args) == 2 && args[0] == "sites":
		return checkSites(w, args[1])
	}
	return errUsage
}

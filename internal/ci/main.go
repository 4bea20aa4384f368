// Command ci checks what the tests of single packages cannot: the list of tests that are known to fail, and the site
// variants under deploy/sites. A fault names file and line; it changes nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
)

const usage = `usage: ci known-red FILE          checks the list and prints the tests, as a pattern for go test -skip
       ci known-red FILE --run    runs them and prints what they do
       ci sites DIR               checks the site variants in a folder`

// errUsage is that of arguments that no command has.
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
		tests, err := readKnownRed(args[1], testExists)
		if err == nil {
			fmt.Fprintln(w, pattern(tests))
		}
		return err
	case len(args) == 3 && args[0] == "known-red" && args[2] == "--run":
		tests, err := readKnownRed(args[1], testExists)
		if err == nil {
			runKnownRed(w, tests)
		}
		return err
	case len(args) == 2 && args[0] == "sites":
		return checkSites(w, args[1])
	}
	return errUsage
}

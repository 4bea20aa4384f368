// Command ci checks what the tests of single packages cannot: the list of tests that are known to fail, and the site
// variants under deploy/sites. A fault names file and line; it changes nothing.
package main

import (
	"fmt"
	"os"
)

const usage = `usage: ci known-red FILE          checks the list and prints the tests, as a pattern for go test -skip
       ci known-red FILE --run    runs them and prints what they do
       ci sites DIR               checks the site variants in a folder`

func main() {
	err := fmt.Errorf("%s", usage)
	switch args := os.Args[1:]; {
	case len(args) == 2 && args[0] == "known-red":
		var tests []red
		if tests, err = readRed(args[1], exists); err == nil {
			fmt.Println(pattern(tests))
		}
	case len(args) == 3 && args[0] == "known-red" && args[2] == "--run":
		var tests []red
		if tests, err = readRed(args[1], exists); err == nil {
			runRed(os.Stdout, tests)
		}
	case len(args) == 2 && args[0] == "sites":
		err = checkSites(os.Stdout, args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

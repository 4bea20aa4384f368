package main

import (
	"fmt"
	"os"
)

// cases are the cases by the name that their scripts give. Each file with a case adds its own.
var cases = make(map[string]func(*rig))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, from the root of the project")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[2], os.Getenv("TROUBLE") != "0", cases[os.Args[1]]))
}

// Command thymelab is the laboratory: emulated hosts and discovery, an open-loop load generator, experiments and
// their reports. See thymelab --help.
package main

import (
	"os"

	"thymebend/internal/lab/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

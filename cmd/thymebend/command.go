package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of commands.
const (
	exitUnavailable = 1 // the gateway does not respond, or has no view of its cluster
	exitUsage       = 2 // the command line or the address is invalid
)

// errUsage is wrapped by errors of invalid arguments; the exit code is then exitUsage.
var errUsage = errors.New("invalid argument")

// commandLine declares the sub-commands to kong, which derives their names from the field names.
type commandLine struct {
	Fleet fleetCmd `cmd:"" help:"Print what a gateway knows about the other gateways of its fleet."`
}

// fleetCmd is the sub-command that prints a gateway's view of its cluster.
type fleetCmd struct {
	Address string `arg:"" help:"The address of the gateway's admin endpoint (LB_CONTROL), such as 127.0.0.1:9443."`
}

// Help implements kong.HelpProvider.
func (fleetCmd) Help() string {
	return "Example:\n  thymebend fleet 127.0.0.1:9443\n\n" +
		"Exit codes: 0 the view was printed, 1 the gateway has no view or does not respond, 2 invalid arguments."
}

// runCommand parses and runs a command line and returns the exit code of the process.
func runCommand(args []string, out, errOut io.Writer) int {
	var commands commandLine
	exited := -1
	parser, err := kong.New(&commands, kong.Name("thymebend"), kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.Description("The gateway. Without arguments it serves requests, as configured by the file that "+
			"LB_CONFIG names."))
	if err != nil {
		fmt.Fprintln(errOut, "thymebend:", err)
		return exitUsage
	}
	_, err = parser.Parse(args)
	switch {
	case exited >= 0: // kong has printed the help
		return exited
	case err == nil:
		err = commands.Fleet.run(out)
	default:
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "thymebend: %v\nrun thymebend --help for the list of commands\n", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "thymebend:", err)
	return exitUnavailable
}

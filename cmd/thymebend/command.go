package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of commands.
const (
	exitUnavailable = 1 // the gateway does not answer, or has no view of its cluster
	exitUsage       = 2 // the command line or the address cannot be used
)

// errUsage marks errors that the caller has to mend.
var errUsage = errors.New("unusable argument")

// commandLine is the command line.
type commandLine struct {
	Fleet fleetCmd `cmd:"" help:"Print what a gateway knows of the others of its fleet."`
}

// fleetCmd prints a gateway's view of its cluster.
type fleetCmd struct {
	Address string `arg:"" help:"The gateway's second address (LB_CONTROL), such as 127.0.0.1:9443."`
}

// Help implements kong.HelpProvider.
func (fleetCmd) Help() string {
	return "Example:\n  thymebend fleet 127.0.0.1:9443\n\n" +
		"Exit codes: 0 printed, 1 the gateway has no view or does not answer, 2 unusable arguments."
}

// runCommand runs a command line and returns its exit code.
func runCommand(args []string, out, errOut io.Writer) int {
	var commands commandLine
	exited := -1
	parser, err := kong.New(&commands, kong.Name("thymebend"), kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.Description("The gateway. Without arguments it serves, as the environment says (LB_CONFIG)."))
	if err != nil {
		fmt.Fprintln(errOut, "thymebend:", err)
		return exitUsage
	}
	_, err = parser.Parse(args)
	switch {
	case exited >= 0: // help was asked for
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
		fmt.Fprintf(errOut, "thymebend: %v\nthymebend --help lists the commands\n", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "thymebend:", err)
	return exitUnavailable
}

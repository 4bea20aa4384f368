package cli

import (
	"fmt"
	"io"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/report"
)

type compareCmd struct {
	A   string `arg:"" type:"existingdir" help:"Directory of a run."`
	B   string `arg:"" type:"existingdir" help:"Directory of another."`
	Out string `required:"" placeholder:"FILE" help:"The page to write."`
}

// Help implements kong.HelpProvider.
func (compareCmd) Help() string {
	return "Example:\n  thymelab compare /tmp/before /tmp/after --out /tmp/compare.html"
}

// Run executes the command; kong calls it.
func (c compareCmd) Run(e *environment) error {
	runA, err := experiment.ReadJSON(c.A)
	if err != nil {
		return inputError(err)
	}
	runB, err := experiment.ReadJSON(c.B)
	if err != nil {
		return inputError(err)
	}
	if err := writeFile(c.Out, func(w io.Writer) error { return report.Compare(w, runA, runB) }); err != nil {
		return inputError(err)
	}
	fmt.Fprintf(e.out, "goodput by worth %.4f against %.4f; report: %s\n", runA.Load.Goodput, runB.Load.Goodput, c.Out)
	return nil
}

type traceCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of a run."`
	Out string `required:"" placeholder:"FILE" help:"The trace to write."`
}

// Help implements kong.HelpProvider.
func (traceCmd) Help() string {
	return "Example:\n  thymelab trace /tmp/rush --out rush.trace\n  thymelab load --target 127.0.0.1:8443 --trace rush.trace"
}

// Run executes the command; kong calls it.
func (c traceCmd) Run(e *environment) error {
	n := 0
	err := writeFile(c.Out, func(w io.Writer) (err error) {
		n, err = experiment.Trace(c.Dir, w)
		return err
	})
	if err != nil {
		return inputError(err)
	}
	fmt.Fprintf(e.out, "%d requests in %s\n", n, c.Out)
	return nil
}

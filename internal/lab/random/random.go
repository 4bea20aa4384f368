// Package random makes property tests with rapid draw the same cases in every run, unless a seed is set by a flag.
package random

import (
	"flag"
	"fmt"
	"testing"
)

// Main sets a fixed seed and turns off fail files, except where the flag is already set, runs the tests of a package
// and returns the exit code. TestMain calls it.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			// The flag exists but does not accept the value: rapid has changed its flags.
			panic(fmt.Sprintf("random: cannot set the flag -%s=%s of rapid: %v", name, value, err))
		}
	}
	return m.Run()
}

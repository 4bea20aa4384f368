// Package random has rapid's tests draw the same cases every time, unless a seed is asked for.
package random

import (
	"flag"
	"fmt"
	"testing"
)

// Main runs a package's tests, from its TestMain, and returns the exit code.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(fmt.Sprintf("draws: -%s=%s: %v", name, value, err)) // rapid has changed its flags
		}
	}
	return m.Run()
}

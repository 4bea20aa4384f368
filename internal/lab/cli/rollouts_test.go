package cli

import (
	"strings"
	"testing"
)

func TestRolloutsPlaysSeedsAndNamesFaultyOptions(t *testing.T) {
	if code, out, errs := runCommand("rollouts", "--seeds", "2", "--from", "5", "--each"); code != 0 ||
		!strings.Contains(out, "seed 6: ") || !strings.Contains(out, "2 runs from seed 5, 0 broke a rule") {
		t.Errorf("%d\n%s%s", code, out, errs)
	}
	for _, args := range [][]string{{"--seeds", "0"}, {"--jobs", "65"}, {"--length", "1s", "--fleet"},
		{"--loss", "1"}, {"--loss", "NaN"}} {
		if code, _, errs := runCommand(append([]string{"rollouts"}, args...)...); code != exitBadInput ||
			!strings.Contains(errs, args[0]) {
			t.Errorf("%v: %d %s", args, code, errs)
		}
	}
}

package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thymebend/internal/lab/scale"
)

// Verifies that the options file overrides the defaults, that the command line overrides that file, and that the
// figures and the plot are written.
func TestScaleWritesFiguresAndPlot(t *testing.T) {
	dir := t.TempDir()
	file, figures, plot := filepath.Join(dir, "scale.toml"), filepath.Join(dir, "out.json"),
		filepath.Join(dir, "out.svg")
	text := "gateways = 24\nhosts = 60\nservices = 10\ntenants = 50\nroutes = 30\nfor = \"3s\"\n[[fault]]\ndo = \"rack\"\nat = \"1s\"\nfor = \"1s\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errs := runCommand("scale", "--file", file, "--gateways", "20", "--changes", "1", "--json", figures,
		"--plot", plot)
	if code != 0 || !strings.Contains(out, "20 gateways") {
		t.Fatalf("%d %s %s", code, out, errs)
	}
	raw, err := os.ReadFile(figures)
	if err != nil {
		t.Fatal(err)
	}
	var r scale.Result
	if err := json.Unmarshal(raw, &r); err != nil {
		t.Fatal(err)
	}
	if o := r.Options; o.Gateways != 20 || o.Hosts != 60 || len(o.Faults) != 1 || o.Changes != 1 ||
		r.Configuration == nil || r.Crash.Count == 0 {
		t.Errorf("%+v", r)
	}
	if drawn, err := os.ReadFile(plot); err != nil || !strings.Contains(string(drawn), "<svg") {
		t.Errorf("%v", err)
	}
}

// Verifies that figures are fitted over the sizes, and that the figures of the size left out are printed beside their
// prediction.
func TestScaleFitsSeveralSizes(t *testing.T) {
	code, out, errs := runCommand("scale", "--sizes", "8,16,32", "--leave-out", "16", "--full", "0", "--for", "2s")
	if code != 0 || !strings.Contains(out, "residual") || !strings.Contains(out,
		"at 16, left out of the fit: predicted") {
		t.Errorf("%d %s %s", code, out, errs)
	}
}

// Verifies that the error for a value out of range names the option, or the file and line, and that nothing is written.
func TestScaleRejectsValuesOutOfRange(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("hosts = 10\nzones = 900\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	written := filepath.Join(dir, "out.json")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--gateways", "5000"}, "--gateways: 5000, but 3 to 2000 is needed"},
		{[]string{"--regions", "8"}, "--regions: 8 regions have 7 zones"},
		{[]string{"--loss", "1"}, "--loss: 1, but 0 to under 1"},
		{[]string{"--for", "1ms"}, "--for: 1ms"},
		{[]string{"--fault", "flood@1s+1s"}, "--fault.0.do: \"flood\" is none of rack, zone"},
		{[]string{"--fault", "zone"}, "--fault: \"zone\" is not KIND@AT+FOR"},
		{[]string{"--file", bad}, bad + ":2:1: zones: 900, but 1 to 64 is needed"},
		{[]string{"--file", "/no/such.toml"}, "no such file"},
		{[]string{"--sizes", "2,10"}, "--sizes 2: gateways: 2"},
		{[]string{"--sizes", "10,20", "--leave-out", "30"}, "--leave-out 30 is none of --sizes"},
	} {
		if code, _, errs := runCommand(append([]string{"scale", "--json", written}, c.args...)...); code != 2 ||
			!strings.Contains(errs, c.want) {
			t.Errorf("%v: %d %s", c.args, code, errs)
		}
	}
	if _, err := os.Stat(written); err == nil {
		t.Error("figures were written in spite of unusable options")
	}
}

package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const smallExperiment = `name = "small"
[[class]]
name = "view"
share = 1
work = { dist = "fixed", mean = "5ms" }
[[hosts]]
kind = "box"
count = 2
[[phase]]
for = "1s"
rate = 20
`

// Every fault of a file is reported with file, line and column, and several are reported together.
func TestParseReportsFaultPositions(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{strings.Replace(smallExperiment, "count = 2", "cuont = 2", 1),
			"x.toml:8:1: hosts.cuont: unknown field, did you mean count?"},
		{strings.Replace(smallExperiment, `for = "1s"`, `for = "1"`, 1), "x.toml:10:7"},
		{strings.Replace(smallExperiment, `for = "1s"`, `for = 1`, 1), "x.toml:10:1: phase.0.for: a time such as"},
		{strings.Replace(smallExperiment, `"fixed"`, `"normal"`, 1), `x.toml:5:1: class.0.work: dist "normal" is none of`},
		{strings.Replace(smallExperiment, "share = 1", "share = -1\nunsafe = true\nbody = 70000", 1),
			"x.toml:4:1: class.0.share: must be positive\nx.toml:6:1: class.0.body: must be 0 to 65536"},
		{smallExperiment + "[[event]]\nat = \"1s\"\ndo = \"host-dwon\"\n", `x.toml:14:1: event.0.do: "host-dwon" is no event, did you mean host-down?`},
		{smallExperiment + "[[event]]\nat = \"9s\"\ndo = \"host-down\"\nhost = \"box-2\"\nlag = \"1s\"\n",
			"x.toml:13:1: event.0.at: must be within the phases, 0s to 1s\nx.toml:15:1: event.0.host: \"box-2\" is no host, known are " +
				"box-0, box-1\nx.toml:16:1: event.0.lag: does not go with host-down"},
		{smallExperiment + "[[event]]\nat = \"1s\"\ndo = \"host-spoil\"\nfault = \"nonsense\"\n",
			"event.0.fault: \"nonsense\" is none of reset-before"},
		{smallExperiment + "[[event]]\nat = \"0s\"\ndo = \"gateway-kill\"\ngateway = 1\n",
			"x.toml:15:1: event.0.gateway: must be -1 to 0"},
		{smallExperiment + "rush = \"bids\"\n", "x.toml:12:1: phase.0.rush: \"bids\" is no class, known are view"},
		{"name = \"a b\"\n", "x.toml:1:1: name: must be one word"},
		{"[[class]\n", "x.toml:1:"},
		{strings.Replace(smallExperiment, "kind = \"box\"", "kind = \"box\"\ncold = true", 1),
			"x.toml:8:1: hosts.0.cold: goes with cold_from"},
	} {
		_, err := Parse("x.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got\n%v\nwant an error that contains\n%s", err, c.want)
		}
	}
}

func TestParseAppliesDefaults(t *testing.T) {
	f, err := Parse("x.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if f.Gateways.Count != 1 || f.Classes[0].LatencyObjective.Duration != 800*time.Millisecond || f.Hosts[0].Queue != 12 ||
		f.Clients.Honour != 1 {
		t.Errorf("defaults of an experiment without gateways and clients: %+v", f)
	}
}

// Every experiment of the repository is valid, has the name of its file, and has a title and a description.
func TestRepositoryExperimentsLoad(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) < 8 {
		t.Fatalf("found %d experiments, want at least 8: %v", len(files), err)
	}
	for _, path := range files {
		f, err := Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".toml"); f.Name != want || f.Title == "" || f.About == "" {
			t.Errorf("%s: name %q, want %q; title %q and about %q must not be empty", path, f.Name, want, f.Title, f.About)
		}
	}
}

// A load shape gives phases and clients, and a fault in it is reported with file, line and column.
func TestLoadShape(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[clients]\nretries = 2.0\n[[phase]]\nfor = \"2s\"\nrate = 5\nto = 10\n")
	phases, clients, err := LoadShape(path, nil)
	if err != nil || len(phases) != 1 || phases[0].EndRate != 10 || clients == nil || clients.Retries != 2 {
		t.Errorf("valid shape: phases %+v, clients %+v, error %v", phases, clients, err)
	}
	write("[[phase]]\nfor = \"2s\"\nrate = 5\nrush = \"x\"\n")
	if _, _, err := LoadShape(path, nil); err == nil || !strings.Contains(err.Error(), path+":4:1: phase.0.rush") {
		t.Errorf("rush with an unknown class: error %v", err)
	}
}

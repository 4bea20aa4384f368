package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"thymebend/internal/gossipcodec"
)

// Guards against a wrong table, error message or exit code of thymebend fleet.
func TestFleetCommandPrintsTheView(t *testing.T) {
	members := startCluster(t, 3)
	_ = members[2].process.cmd.Process.Kill()
	members[0].waitFor(t, "to see the killed member as gone",
		func(v clusterView) bool { return v.state("gw-2") == "gone" })
	out, err := exec.Command(program, "fleet", members[0].adminAddress).CombinedOutput()
	lines := strings.Split(string(out), "\n")
	if err != nil || !strings.HasPrefix(lines[0], "gw-0 in fleet f: ") ||
		!strings.Contains(lines[0], "2 of 3 alive") {
		t.Fatalf("error %v, want the summary in the first line of:\n%s", err, out)
	}
	if len(lines) < 7 || !strings.HasPrefix(lines[3], "NAME") || !strings.HasPrefix(lines[4], "gw-2 ") ||
		!strings.Contains(lines[4], " gone ") ||
		!strings.Contains(string(out), "gw-0 (itself)") {
		t.Errorf("the gone member is not printed first:\n%s", out)
	}
	t.Setenv("LB_FLEET", "")
	none := freeTCPAddress(t)
	start(t, map[string]any{"control": none}, newEndpoint(t, "s-1", respondOK))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fleet", none}, 1, "404: no fleet: LB_FLEET names no file"},
		{[]string{"fleet", freeTCPAddress(t)}, 1, "connection refused"},
		{[]string{"fleet", "nowhere"}, 2, `ADDRESS "nowhere" is not an IP address and port`},
		{[]string{"fleet"}, 2, "<address>"},
		{[]string{"flete", none}, 2, "flete"},
		{[]string{"--help"}, 0, "Without arguments it serves requests"},
	} {
		cmd := exec.Command(program, c.args...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: exit code %d, want %d; output %s, want %q in it", c.args, code, c.code, out, c.want)
		}
	}
}

// Guards against a limit on the size of the admin response that a view of 500 gateways exceeds.
func TestFleetCommandPrintsALargeView(t *testing.T) {
	m := &member{name: "gw-0", adminAddress: freeTCPAddress(t), gossipAddress: freeUDPAddress(t),
		gossipFile: filepath.Join(t.TempDir(), "fleet.toml")}
	text := fmt.Sprintf("fleet = \"f\"\nlisten = %q\nflat = true\n", m.gossipAddress)
	if err := os.WriteFile(m.gossipFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	m.start(t)
	c, err := net.Dial("udp4", m.gossipAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	m.waitFor(t, "to gossip", func(v clusterView) bool { return v.Active })
	for n := range 500 { // one gossip message from each
		b := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "f",
			From: fmt.Sprintf("a-gateway-of-a-long-name-%04d", n), Start: 1, Kind: gossipcodec.Gossip})
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if n%50 == 49 {
			m.waitFor(t, "to list the members sent up to now",
				func(v clusterView) bool { return len(v.Members) == n+2 })
		}
	}
	out, err := exec.Command(program, "fleet", m.adminAddress).CombinedOutput()
	if err != nil || strings.Count(string(out), "a-gateway-of-a-long-name-") != 500 {
		t.Errorf("error %v, %d of 500 gateways printed", err, strings.Count(string(out), "a-gateway-of-a-long-name-"))
	}
}

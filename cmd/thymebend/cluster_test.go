package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// member is one gateway of a cluster in a test: its name, the address of its admin endpoint, the path of its gossip
// file, the address of its gossip socket and its process.
type member struct {
	name, adminAddress, gossipFile, gossipAddress string
	process                                       *gatewayProcess
}

// clusterView holds the fields of the response to /ops/fleet that the tests examine.
type clusterView struct {
	Active        bool `json:"speaking"`
	Converged     bool `json:"settled"`
	Majority      bool
	DuplicateName bool `json:"twin"`
	Alive, Known  int
	Refused       map[string]int
	Assignment    *struct {
		Stage        string
		TokensActive bool `json:"agreed"`
		Endpoints    []struct {
			Name  string
			Share float64 `json:"part"`
		} `json:"hosts"`
	} `json:"portion"`
	Members []struct {
		Name, State string
		StartMS     uint64 `json:"start_ms"`
		SinceMS     int64  `json:"since_ms"`
	}
}

// freeUDPAddress returns a UDP address that is not in use.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// startCluster starts n gateways with each other as seed peers and waits until each one sees all others alive.
func startCluster(t *testing.T, n int) []*member { return startClusterWith(t, n, "") }

// startClusterWith does the same as startCluster and adds a TOML table to each gossip file.
func startClusterWith(t *testing.T, n int, table string) []*member {
	t.Helper()
	var members []*member
	var peers strings.Builder
	for i := range n {
		m := &member{name: fmt.Sprint("gw-", i), adminAddress: freeTCPAddress(t), gossipAddress: freeUDPAddress(t),
			gossipFile: filepath.Join(t.TempDir(), "fleet.toml")}
		fmt.Fprintf(&peers, "[[peer]]\nname = %q\naddr = %q\n", m.name, m.gossipAddress)
		members = append(members, m)
	}
	for _, m := range members {
		text := fmt.Sprintf("fleet = \"f\"\nlisten = %q\n%s%s", m.gossipAddress, table, peers.String())
		if err := os.WriteFile(m.gossipFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.start(t)
	}
	for _, m := range members {
		m.waitFor(t, "to see all members alive", func(v clusterView) bool {
			return v.Alive == n && v.Known == n && v.Majority
		})
	}
	return members
}

// start starts the gateway with its gossip file and one endpoint, and waits until it is ready.
func (m *member) start(t *testing.T) {
	t.Helper()
	t.Setenv("LB_FLEET", m.gossipFile)
	endpoint := newEndpoint(t, "s-1", respondOK)
	m.process = start(t, map[string]any{"name": m.name, "control": m.adminAddress}, endpoint)
}

// view fetches the gateway's view of the cluster from its admin endpoint.
func (m *member) view(t *testing.T) (v clusterView) {
	t.Helper()
	status, body := callAdmin(t, m.adminAddress, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := json.Unmarshal([]byte(body), &v); status != 200 || err != nil {
		t.Fatalf("%s: /ops/fleet: status %d, body %q, error %v", m.name, status, body, err)
	}
	return v
}

// waitFor polls the gateway's view until a condition is true.
func (m *member) waitFor(t *testing.T, what string, condition func(clusterView) bool) {
	t.Helper()
	waitFor(t, m.name+" "+what, func() bool { return condition(m.view(t)) })
}

// state returns the state of a member by name, or unknown if the view does not list it.
func (v clusterView) state(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return "unknown"
}

// Guards against a view that does not reflect a killed member, a restart under the same name, a leave, or new seed
// peers.
func TestMembershipFollowsProcesses(t *testing.T) {
	members := startCluster(t, 4)
	_ = members[3].process.cmd.Process.Kill()
	for _, m := range members[:3] {
		m.waitFor(t, "to see the killed member as gone",
			func(v clusterView) bool { return v.state("gw-3") == "gone" && v.Alive == 3 })
	}
	members[3].start(t)
	for _, m := range members {
		m.waitFor(t, "to know all again", func(v clusterView) bool { return v.Alive == 4 })
	}
	if err := members[2].process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, m := range []*member{members[0], members[1], members[3]} {
		m.waitFor(t, "to see the stopped member as left",
			func(v clusterView) bool { return v.state("gw-2") == "left" && v.Known == 3 })
	}
	if code := members[2].process.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	text, err := os.ReadFile(members[0].gossipFile)
	if err == nil {
		err = os.WriteFile(members[0].gossipFile,
			append(text, "[[peer]]\nname = \"gw-9\"\naddr = \"127.0.0.1:1\"\n"...), 0o600)
	}
	if err == nil {
		err = members[0].process.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		t.Fatal(err)
	}
	members[0].waitFor(t, "to read the new seed peers",
		func(v clusterView) bool { return v.Known == 4 && v.Alive == 3 })
	if err := os.WriteFile(members[0].gossipFile, []byte("fleet = \"f\"\nlisten = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := members[0].process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the faulty file to be rejected",
		func() bool { return members[0].process.hasLogged("gossip file rejected") })
	if v := members[0].view(t); v.Known != 4 {
		t.Errorf("a faulty file changed the view: %+v", v)
	}
}

// Guards against a process that was suspended by SIGSTOP and, once resumed, declares other members gone because
// their timeouts have passed.
func TestResumedGatewayRejoinsTheCluster(t *testing.T) {
	members := startCluster(t, 3)
	pid := members[1].process.cmd.Process
	if err := pid.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for _, m := range []*member{members[0], members[2]} {
		m.waitFor(t, "to see the suspended member as gone",
			func(v clusterView) bool { return v.state("gw-1") == "gone" })
	}
	if err := pid.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, m := range members {
		m.waitFor(t, "to know all again", func(v clusterView) bool {
			if m == members[1] && (v.state("gw-0") == "gone" || v.state("gw-2") == "gone") {
				t.Fatal("the resumed member has declared others gone")
			}
			return v.Alive == 3
		})
	}
}

// Guards against invalid datagrams and datagrams of another cluster that change the view or keep the process busy.
func TestInvalidGossipDatagramsAreRejected(t *testing.T) {
	members := startCluster(t, 2)
	c, err := net.Dial("udp4", members[0].gossipAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, noise := range []string{"", "nonsense", strings.Repeat("x", 3000),
		"\x08\x01\x12\x01g\x1a\x01x\x20\x01\x28\x01", "\x08\x01\x12\x01f\x1a\x01x\x20\x01\x28\x01"} {
		if _, err := c.Write([]byte(noise)); err != nil {
			t.Fatal(err)
		}
	}
	members[0].waitFor(t, "to count the rejected datagrams", func(v clusterView) bool {
		return v.Refused["spoilt"] == 1 && v.Refused["foreign"] == 1 && v.Refused["strange"] == 1
	})
	if v := members[0].view(t); v.Alive != 2 || v.Known != 2 {
		t.Errorf("view after the invalid datagrams: %+v, want 2 members, both alive", v)
	}
}

// Guards against a gossip socket, a timer, a view at /ops/fleet or a log line of the cluster although no gossip file
// is configured.
func TestNoClusterWithoutAGossipFile(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", respondOK))
	if status, _ := callAdmin(t, control, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"); status != 404 {
		t.Errorf("/ops/fleet: status %d, want 404", status)
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	udp, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", g.cmd.Process.Pid))
	for _, f := range files {
		link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", g.cmd.Process.Pid, f.Name()))
		if inode := strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]"); inode != link &&
			strings.Contains(string(udp), " "+inode+" ") {
			t.Errorf("a UDP socket is open: %s", link)
		}
	}
	for _, word := range []string{"cluster", "gossip", "fleet"} {
		if strings.Contains(g.log.String(), word) {
			t.Errorf("the log contains the word %s", word)
		}
	}
}

// Guards against an error that does not name the line and column of a fault in the gossip file.
func TestFaultyGossipFileNamesTheLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte("fleet = \"f\"\nlisten = \"nowhere\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, _ := configure(t, `{"seq":1,"whole":true,"hosts":[]}`, "127.0.0.1:1", nil)
	cmd.Env = append(cmd.Env, "LB_FLEET="+file)
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), file+":2:") {
		t.Errorf("error %v, output %s, want an error at %s:2", err, out, file)
	}
}

// Guards against a hot restart that the other members treat as a leave or a restart.
func TestHotRestartIsNotALeave(t *testing.T) {
	dir, err := os.MkdirTemp("", "up") // short, because the path of a Unix socket is limited to 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	t.Setenv("TMPDIR", dir)
	members := startCluster(t, 3)
	before, upgradeStart := members[1].view(t), time.Now()
	next, control := members[0].process.upgrade()
	waitFor(t, "the successor to be ready", func() bool { return ready(t, control) })
	if err := members[0].process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := members[0].process.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	members[0].adminAddress, members[0].process = control, next
	members[0].waitFor(t, "to gossip again", func(v clusterView) bool { return v.Active && v.Alive == 3 })
	for _, m := range members[1:] {
		m.waitFor(t, "to converge", func(v clusterView) bool {
			if v.state("gw-0") != "alive" && v.state("gw-0") != "suspect" {
				t.Fatalf("%s sees the member that was hot restarted as %s", m.name, v.state("gw-0"))
			}
			return v.Converged
		})
	}
	// A leave that is reverted quickly may fall between two polls of the view, but it resets SinceMS.
	for i, m := range members[1].view(t).Members {
		if m.StartMS != before.Members[i].StartMS || m.State != "alive" || m.SinceMS < time.Since(upgradeStart).
			Milliseconds() {
			t.Errorf("%+v, was %+v before the hot restart, which began %v ago", m, before.Members[i],
				time.Since(upgradeStart))
		}
	}
}

// Guards against a gateway that still uses slow-start tokens although its gossip file differs from that of the
// majority, and against the other gateways ceasing to use them. Also verifies the assignment that thymebend fleet
// prints.
func TestAssignmentIsReported(t *testing.T) {
	members := startClusterWith(t, 3, "[shares]\nwarm_rate = 20.0\n")
	for _, m := range members {
		m.waitFor(t, "to have its assignment", func(v clusterView) bool {
			return v.Assignment != nil && v.Assignment.Stage == "settled" && v.Assignment.TokensActive &&
				len(v.Assignment.Endpoints) == 1 && v.Assignment.Endpoints[0].Name == "s-1"
		})
	}
	out, err := exec.Command(program, "fleet", members[0].adminAddress).CombinedOutput()
	if err != nil || !strings.Contains(string(out),
		"portion: settled (computed from the settled view) of 3 gateways") ||
		!strings.Contains(string(out), "\ns-1   1.000") {
		t.Errorf("thymebend fleet: error %v, unexpected assignment in:\n%s", err, out)
	}
	validText, err := os.ReadFile(members[0].gossipFile)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(members[0].gossipFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := members[0].process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(string(validText) + "[[peer]]\nname = \"gw-9\"\naddr = \"127.0.0.1:1\"\n")
	members[0].waitFor(t, "to use no tokens", func(v clusterView) bool { return !v.Assignment.TokensActive })
	if out, _ := exec.Command(program, "fleet", members[0].adminAddress).
		CombinedOutput(); !strings.Contains(string(out), "NONE NOW") {
		t.Errorf("thymebend fleet does not report that tokens are unused:\n%s", out)
	}
	for _, m := range members[1:] {
		if v := m.view(t); !v.Assignment.TokensActive {
			t.Errorf("%s uses no tokens either, though its file is that of the majority", m.name)
		}
	}
	reload(string(validText))
	members[0].waitFor(t, "to use tokens again", func(v clusterView) bool { return v.Assignment.TokensActive })
}

// Guards against a gossip configuration of the platform (fields peers and peer_listen) that is ignored, or that is
// used although the settings do not allow gossip.
func TestGossipConfiguredByThePlatform(t *testing.T) {
	addrs := []string{freeUDPAddress(t), freeUDPAddress(t)}
	settingsOf := func(rank int, allowed string) json.RawMessage {
		s := strings.Replace(testSettings, `"balancers":1,"rank":0`,
			fmt.Sprintf(`"balancers":2,"rank":%d`, rank), 1)
		return json.RawMessage(strings.Replace(s, `"bounds":{`, `"bounds":{"peers":`+allowed+`,`, 1))
	}
	t.Setenv("LB_FLEET", "peers")
	var members []*member
	for n := range 2 {
		m := &member{name: fmt.Sprint("gw-", n), adminAddress: freeTCPAddress(t)}
		m.process = start(t, map[string]any{"name": fmt.Sprint("n", n), "control": m.adminAddress, "peers": addrs,
			"peer_listen": addrs[n], "settings": settingsOf(n, "true")}, newEndpoint(t, "s-1", respondOK))
		members = append(members, m)
	}
	for _, m := range members {
		m.waitFor(t, "to have a settled assignment", func(v clusterView) bool {
			return v.Alive == 2 && v.state(m.name) == "alive" && v.Assignment != nil &&
				v.Assignment.Stage == "settled" && v.Assignment.TokensActive
		})
	}
	// There is no gossip file: only the configuration is read again.
	if err := members[0].process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the reload", func() bool { return members[0].process.hasLogged(`"message":"reload"`) })
	control := freeTCPAddress(t)
	start(t, map[string]any{"control": control, "peers": addrs, "peer_listen": addrs[0],
		"settings": settingsOf(0, "false")}, newEndpoint(t, "s-1", respondOK))
	if status, _ := callAdmin(t, control, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"); status != 404 {
		t.Errorf("gossip is not allowed by the settings, but /ops/fleet returns %d, want 404", status)
	}
	for want, edit := range map[string]map[string]any{
		"peers names 1 gateways, the settings 2": {"peers": addrs[:1], "peer_listen": addrs[0]},
		"peer_listen":                            {"peers": addrs, "peer_listen": "here"},
		"peers[1]":                               {"peers": []string{addrs[0], "there"}, "peer_listen": addrs[0]},
	} {
		edit["settings"] = settingsOf(0, "true")
		cmd, _ := configure(t, `{"seq":1,"whole":true,"hosts":[]}`, "127.0.0.1:1", edit)
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), want) {
			t.Errorf("error %[2]v, output %[3]s, want an error with %[1]q", want, err, out)
		}
	}
}

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

	"thymebend/internal/gossipcodec"
)

// seat is one gateway of a fleet in a test.
type seat struct {
	name, control, file, udp string
	rig                      *rig
}

type fleetView struct {
	Speaking, Settled, Majority, Twin bool
	Alive, Known                      int
	Refused                           map[string]int
	Portion                           *struct {
		Stage  string
		Agreed bool
		Hosts  []struct {
			Name string
			Part float64
		}
	}
	Members []struct {
		Name, State string
		StartMS     uint64 `json:"start_ms"`
		SinceMS     int64  `json:"since_ms"`
	}
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// seats starts n gateways that know each other.
func seats(t *testing.T, n int) []*seat { return seatsWith(t, n, "") }

// seatsWith has a table more in their files.
func seatsWith(t *testing.T, n int, table string) []*seat {
	t.Helper()
	var all []*seat
	var book strings.Builder
	for i := range n {
		s := &seat{name: fmt.Sprint("gw-", i), control: freePort(t), udp: freeUDP(t), file: filepath.Join(t.TempDir(), "fleet.toml")}
		fmt.Fprintf(&book, "[[peer]]\nname = %q\naddr = %q\n", s.name, s.udp)
		all = append(all, s)
	}
	for _, s := range all {
		text := fmt.Sprintf("fleet = \"f\"\nlisten = %q\n%s%s", s.udp, table, book.String())
		if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.start(t)
	}
	for _, s := range all {
		s.until(t, "to know all", func(v fleetView) bool { return v.Alive == n && v.Known == n && v.Majority })
	}
	return all
}

func (s *seat) start(t *testing.T) {
	t.Helper()
	t.Setenv("LB_FLEET", s.file)
	h := newHost(t, "s-1", ok)
	s.rig = start(t, map[string]any{"name": s.name, "control": s.control}, h)
}

func (s *seat) view(t *testing.T) (v fleetView) {
	t.Helper()
	status, body := operator(t, s.control, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := json.Unmarshal([]byte(body), &v); status != 200 || err != nil {
		t.Fatalf("%s: %d %q %v", s.name, status, body, err)
	}
	return v
}

func (s *seat) until(t *testing.T, what string, holds func(fleetView) bool) {
	t.Helper()
	until(t, s.name+" "+what, func() bool { return holds(s.view(t)) })
}

func (v fleetView) state(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return "unknown"
}

// Four processes: one is killed, comes back under its name, one leaves, one gets a new book.
func TestGatewaysKnowOfEachOther(t *testing.T) {
	all := seats(t, 4)
	_ = all[3].rig.cmd.Process.Kill()
	for _, s := range all[:3] {
		s.until(t, "to hold the one that was killed for gone", func(v fleetView) bool { return v.state("gw-3") == "gone" && v.Alive == 3 })
	}
	all[3].start(t)
	for _, s := range all {
		s.until(t, "to know all again", func(v fleetView) bool { return v.Alive == 4 })
	}
	if err := all[2].rig.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*seat{all[0], all[1], all[3]} {
		s.until(t, "to hold the one that was stopped for left", func(v fleetView) bool { return v.state("gw-2") == "left" && v.Known == 3 })
	}
	if code := all[2].rig.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	text, err := os.ReadFile(all[0].file)
	if err == nil {
		err = os.WriteFile(all[0].file, append(text, "[[peer]]\nname = \"gw-9\"\naddr = \"127.0.0.1:1\"\n"...), 0o600)
	}
	if err == nil {
		err = all[0].rig.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		t.Fatal(err)
	}
	all[0].until(t, "to have the new book", func(v fleetView) bool { return v.Known == 4 && v.Alive == 3 })
	if err := os.WriteFile(all[0].file, []byte("fleet = \"f\"\nlisten = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := all[0].rig.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	until(t, "the faulty file to be refused", func() bool { return strings.Contains(all[0].rig.log.String(), "gossip file rejected") })
	if v := all[0].view(t); v.Known != 4 {
		t.Errorf("a faulty file changed the view: %+v", v)
	}
}

// A process that is stopped and let go learns that it was held for gone, and throws nobody out.
func TestAStoppedGatewayComesBack(t *testing.T) {
	all := seats(t, 3)
	pid := all[1].rig.cmd.Process
	if err := pid.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*seat{all[0], all[2]} {
		s.until(t, "to hold the one that stands still for gone", func(v fleetView) bool { return v.state("gw-1") == "gone" })
	}
	if err := pid.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		s.until(t, "to know all again", func(v fleetView) bool {
			if s == all[1] && (v.state("gw-0") == "gone" || v.state("gw-2") == "gone") {
				t.Fatal("the one that stood still has thrown others out")
			}
			return v.Alive == 3
		})
	}
}

// Noise on the socket costs counts, changes nothing and wakes nobody up for long.
func TestNoiseOnTheFleetSocket(t *testing.T) {
	all := seats(t, 2)
	c, err := net.Dial("udp4", all[0].udp)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, noise := range []string{"", "nonsense", strings.Repeat("x", 3000), "\x08\x01\x12\x01g\x1a\x01x\x20\x01\x28\x01", "\x08\x01\x12\x01f\x1a\x01x\x20\x01\x28\x01"} {
		if _, err := c.Write([]byte(noise)); err != nil {
			t.Fatal(err)
		}
	}
	all[0].until(t, "to count the noise", func(v fleetView) bool {
		return v.Refused["spoilt"] == 1 && v.Refused["foreign"] == 1 && v.Refused["strange"] == 1
	})
	if v := all[0].view(t); v.Alive != 2 || v.Known != 2 {
		t.Errorf("%+v", v)
	}
}

// Without a fleet file nothing of it exists.
func TestWithoutAFleetFile(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newHost(t, "s-1", ok))
	if status, _ := operator(t, control, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"); status != 404 {
		t.Errorf("/ops/fleet: %d", status)
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	udp, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", g.cmd.Process.Pid))
	for _, f := range files {
		link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", g.cmd.Process.Pid, f.Name()))
		if inode := strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]"); inode != link && strings.Contains(string(udp), " "+inode+" ") {
			t.Errorf("a datagram socket is open: %s", link)
		}
	}
	for _, word := range []string{"cluster", "gossip", "fleet"} {
		if strings.Contains(g.log.String(), word) {
			t.Errorf("the log speaks of a %s", word)
		}
	}
}

// A faulty fleet file keeps the program from starting, and names line and column.
func TestFaultyFleetFileNamesTheLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte("fleet = \"f\"\nlisten = \"nowhere\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, _ := configure(t, `{"seq":1,"whole":true,"hosts":[]}`, "127.0.0.1:1", nil)
	cmd.Env = append(cmd.Env, "LB_FLEET="+file)
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), file+":2:") {
		t.Errorf("%v %s", err, out)
	}
}

// Two processes of an upgrade are one member: under one start, with no news of an end.
func TestAnUpgradeIsNoLeave(t *testing.T) {
	dir, err := os.MkdirTemp("", "up") // short: a Unix socket's path holds 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	t.Setenv("TMPDIR", dir)
	all := seats(t, 3)
	was, began := all[1].view(t), time.Now()
	next, control := all[0].rig.again()
	until(t, "the next process to be ready", func() bool { return ready(t, control) })
	if err := all[0].rig.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := all[0].rig.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	all[0].control, all[0].rig = control, next
	all[0].until(t, "to speak on", func(v fleetView) bool { return v.Speaking && v.Alive == 3 })
	for _, s := range all[1:] {
		s.until(t, "to be settled", func(v fleetView) bool {
			if v.state("gw-0") != "alive" && v.state("gw-0") != "suspect" {
				t.Fatalf("%s has the one that was upgraded as %s", s.name, v.state("gw-0"))
			}
			return v.Settled
		})
	}
	// A leave that is taken back within moments shows in no poll, but in how long the state has held.
	for i, m := range all[1].view(t).Members {
		if m.StartMS != was.Members[i].StartMS || m.State != "alive" || m.SinceMS < time.Since(began).Milliseconds() {
			t.Errorf("%+v, was %+v before the upgrade, %v ago", m, was.Members[i], time.Since(began))
		}
	}
}

// thymebend fleet prints the view of a running gateway, and says what is wrong with what it is given.
func TestFleetPrintsTheView(t *testing.T) {
	all := seats(t, 3)
	_ = all[2].rig.cmd.Process.Kill()
	all[0].until(t, "to hold the one that was killed for gone", func(v fleetView) bool { return v.state("gw-2") == "gone" })
	out, err := exec.Command(program, "fleet", all[0].control).CombinedOutput()
	lines := strings.Split(string(out), "\n")
	if err != nil || !strings.HasPrefix(lines[0], "gw-0 in fleet f: ") || !strings.Contains(lines[0], "2 of 3 alive") {
		t.Fatalf("%v %s", err, out)
	}
	if len(lines) < 7 || !strings.HasPrefix(lines[3], "NAME") || !strings.HasPrefix(lines[4], "gw-2 ") || !strings.Contains(lines[4], " gone ") ||
		!strings.Contains(string(out), "gw-0 (itself)") {
		t.Errorf("the one in trouble does not stand first:\n%s", out)
	}
	t.Setenv("LB_FLEET", "")
	none := freePort(t)
	start(t, map[string]any{"control": none}, newHost(t, "s-1", ok))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fleet", none}, 1, "404: no fleet: LB_FLEET names no file"},
		{[]string{"fleet", freePort(t)}, 1, "connection refused"},
		{[]string{"fleet", "nowhere"}, 2, `ADDRESS "nowhere" is no address and port`},
		{[]string{"fleet"}, 2, "<address>"},
		{[]string{"flete", none}, 2, "flete"},
		{[]string{"--help"}, 0, "Without arguments it serves"},
	} {
		cmd := exec.Command(program, c.args...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: exit %d, %s", c.args, code, out)
		}
	}
}

// A view of 500 gateways is printed whole: it is larger than what a host may answer at once.
func TestFleetPrintsALargeView(t *testing.T) {
	s := &seat{name: "gw-0", control: freePort(t), udp: freeUDP(t), file: filepath.Join(t.TempDir(), "fleet.toml")}
	text := fmt.Sprintf("fleet = \"f\"\nlisten = %q\nflat = true\n", s.udp)
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.start(t)
	c, err := net.Dial("udp4", s.udp)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s.until(t, "to speak", func(v fleetView) bool { return v.Speaking })
	for n := range 500 { // each speaks once
		b := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "f", From: fmt.Sprintf("a-gateway-of-a-long-name-%04d", n), Start: 1, Kind: gossipcodec.Gossip})
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if n%50 == 49 {
			s.until(t, "to know them", func(v fleetView) bool { return len(v.Members) == n+2 })
		}
	}
	out, err := exec.Command(program, "fleet", s.control).CombinedOutput()
	if err != nil || strings.Count(string(out), "a-gateway-of-a-long-name-") != 500 {
		t.Errorf("%v, %d of 500 gateways", err, strings.Count(string(out), "a-gateway-of-a-long-name-"))
	}
}

// Gateways that divide hosts say what is theirs and why; one whose file differs takes no turns until it is the same again, and
// the others go on.
func TestPortionsAreTold(t *testing.T) {
	all := seatsWith(t, 3, "[shares]\nwarm_rate = 20.0\n")
	for _, s := range all {
		s.until(t, "to have its portion", func(v fleetView) bool {
			return v.Portion != nil && v.Portion.Stage == "settled" && v.Portion.Agreed && len(v.Portion.Hosts) == 1 && v.Portion.Hosts[0].Name == "s-1"
		})
	}
	out, err := exec.Command(program, "fleet", all[0].control).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "portion: settled (the settled view's division) of 3 gateways") || !strings.Contains(string(out), "\ns-1   1.000") {
		t.Errorf("%v\n%s", err, out)
	}
	good, err := os.ReadFile(all[0].file)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(all[0].file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := all[0].rig.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(string(good) + "[[peer]]\nname = \"gw-9\"\naddr = \"127.0.0.1:1\"\n")
	all[0].until(t, "to take no turns", func(v fleetView) bool { return !v.Portion.Agreed })
	if out, _ := exec.Command(program, "fleet", all[0].control).CombinedOutput(); !strings.Contains(string(out), "NONE NOW") {
		t.Errorf("%s", out)
	}
	for _, s := range all[1:] {
		if v := s.view(t); !v.Portion.Agreed {
			t.Errorf("%s takes no turns either", s.name)
		}
	}
	reload(string(good))
	all[0].until(t, "to take turns again", func(v fleetView) bool { return v.Portion.Agreed })
}

// The fleet may stand in the platform's configuration; where its settings refuse datagrams nothing of a fleet is there.
func TestTheFleetOfTheConfiguration(t *testing.T) {
	addrs := []string{freeUDP(t), freeUDP(t)}
	words := func(rank int, allowed string) json.RawMessage {
		s := strings.Replace(testSettings, `"balancers":1,"rank":0`, fmt.Sprintf(`"balancers":2,"rank":%d`, rank), 1)
		return json.RawMessage(strings.Replace(s, `"bounds":{`, `"bounds":{"peers":`+allowed+`,`, 1))
	}
	t.Setenv("LB_FLEET", "peers")
	var all []*seat
	for n := range 2 {
		s := &seat{name: fmt.Sprint("gw-", n), control: freePort(t)}
		s.rig = start(t, map[string]any{"name": fmt.Sprint("n", n), "control": s.control, "peers": addrs, "peer_listen": addrs[n], "settings": words(n, "true")}, newHost(t, "s-1", ok))
		all = append(all, s)
	}
	for _, s := range all {
		s.until(t, "to divide hosts", func(v fleetView) bool {
			return v.Alive == 2 && v.state(s.name) == "alive" && v.Portion != nil && v.Portion.Stage == "settled" && v.Portion.Agreed
		})
	}
	if err := all[0].rig.cmd.Process.Signal(syscall.SIGHUP); err != nil { // the configuration alone is read again
		t.Fatal(err)
	}
	until(t, "the reload", func() bool { return strings.Contains(all[0].rig.log.String(), `"message":"reload"`) })
	control := freePort(t)
	start(t, map[string]any{"control": control, "peers": addrs, "peer_listen": addrs[0], "settings": words(0, "false")}, newHost(t, "s-1", ok))
	if status, _ := operator(t, control, "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"); status != 404 {
		t.Errorf("datagrams are refused, and /ops/fleet answers %d", status)
	}
	for want, edit := range map[string]map[string]any{
		"peers names 1 gateways, the settings 2": {"peers": addrs[:1], "peer_listen": addrs[0]},
		"peer_listen":                            {"peers": addrs, "peer_listen": "here"},
		"peers[1]":                               {"peers": []string{addrs[0], "there"}, "peer_listen": addrs[0]},
	} {
		edit["settings"] = words(0, "true")
		cmd, _ := configure(t, `{"seq":1,"whole":true,"hosts":[]}`, "127.0.0.1:1", edit)
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), want) {
			t.Errorf("wanted %q: %v %s", want, err, out)
		}
	}
}

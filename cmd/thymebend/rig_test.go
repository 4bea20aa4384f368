package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The tests start the built program and emulate its peers on loopback: clients, endpoints and discovery.

// testTimeout bounds each wait of a test. It is reached only if the test fails.
const testTimeout = 10 * time.Second

// program is the path of the gateway binary that TestMain builds.
var program string

// TestMain builds the gateway once for all tests, with the race detector.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "thymebend")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// keyedSettings returns settings whose class lodge may be retried by key, within a deduplication window and in its
// cell only. Their connect timeout is 5 s.
func keyedSettings(windowMS int) json.RawMessage {
	slowConnect := strings.Replace(testSettings, `"connect_timeout_ms":250`, `"connect_timeout_ms":5000`, 1)
	keyed := fmt.Sprintf(`"repeat":"by_key","group":"cell","window_ms":%d`, windowMS)
	return json.RawMessage(strings.Replace(slowConnect, `"repeat":"once"`, keyed, 1))
}

// longDeadlineSettings returns settings with a latency objective of 20 s and client deadlines of 25 s, so that a
// request stays open until the test completes it.
func longDeadlineSettings() json.RawMessage {
	return json.RawMessage(strings.NewReplacer(
		`"aim_ms":800`, `"aim_ms":20000`,
		`"give_up_ms":2000`, `"give_up_ms":25000`,
		`"give_up_ms":2500`, `"give_up_ms":25000`,
	).Replace(testSettings))
}

// runLoad runs eight clients for a duration. Each alternates a view request and a lodge request, both with a client
// timeout of 400 ms.
func (g *gatewayProcess) runLoad(duration time.Duration) {
	g.t.Helper()
	var done sync.WaitGroup
	started := time.Now()
	for i := range 8 {
		c := g.dial()
		done.Go(func() {
			for j := 0; time.Since(started) < duration; j++ {
				id := fmt.Sprintf("%d-%d", i, j)
				roundTrip(g.t, c, viewRequest("v"+id, 400))
				roundTrip(g.t, c, strings.Replace(lodgeRequest("l"+id, "x"), "2500m", "400m", 1))
			}
		})
	}
	done.Wait()
}

// gatewayProcess is a running gateway and the emulated discovery that it uses.
type gatewayProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	address    string
	configPath string
	log        *logBuffer
	discovery  *fakeDiscovery
	done       chan error
}

// testSettings are the default settings of the tests: view is a repeatable class, lodge must not be repeated.
const testSettings = `{"balancers":1,"rank":0,"zone":0,"zones":["a","b"],"tick_ms":5,"registry_mode":"subscribe",
 "report":{"columns":["pending","busy_reqs"],"how":"piggyback"},
 "bounds":{"connect_timeout_ms":250,"conn_idle_ms":30000,"most_tries":4,"cancel":true,"retry_after":true,
  "max_retry_after_ms":2000,"open_cap":20000},
 "classes":[{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable","worth":1},
  {"name":"lodge","aim_ms":800,"give_up_ms":2500,"repeat":"once","worth":8}]}`

// reservedAddress returns an address for a gateway. A bound socket that does not listen reserves the port until the
// test ends: only sockets with SO_REUSEPORT, such as the gateway's, can bind to it.
func reservedAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		t.Cleanup(func() { _ = unix.Close(fd) })
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

// configure writes a configuration file and returns the command to start the gateway with it, and the gateway's
// address. The entries of edit replace fields of the configuration.
func configure(t *testing.T, knownList string, discovery string, edit map[string]any) (*exec.Cmd, string) {
	t.Helper()
	addr := reservedAddress(t)
	fields := map[string]any{"name": "n0", "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    json.RawMessage(knownList),
		"settings": json.RawMessage(testSettings)}
	for k, v := range edit {
		fields[k] = v
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_LOG=debug")
	return cmd, addr
}

// start runs a gateway with the given endpoints, all of them up, and waits until it is ready.
func start(t *testing.T, edit map[string]any, endpoints ...*fakeEndpoint) *gatewayProcess {
	t.Helper()
	var entries []string
	for _, endpoint := range endpoints {
		entries = append(entries, endpointEntry(endpoint, "up"))
	}
	whole := endpointList(1, true, entries...)
	return startWith(t, edit, whole, newDiscovery(t, func(int) string { return whole }))
}

// startWith runs a gateway with a cached list and an emulated discovery, and waits until it is ready.
func startWith(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	g := launch(t, edit, knownList, d)
	g.waitReady()
	return g
}

// waitReady waits until the gateway responds to /healthz with 200.
func (g *gatewayProcess) waitReady() {
	g.t.Helper()
	waitFor(g.t, "the gateway to be ready", func() bool {
		c, err := net.Dial("tcp", g.address)
		if err != nil {
			return false
		}
		defer c.Close()
		status, _, _ := roundTrip(g.t, c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 200
	})
}

// startUnready runs a gateway whose cached list has no endpoint, and waits until it accepts clients.
func startUnready(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	g := launch(t, edit, knownList, d)
	waitFor(t, "the gateway to accept clients", func() bool { return g.hasLogged("taking clients") })
	return g
}

// launch runs a gateway without waiting for it to be ready. When the test ends, it kills the process and fails the
// test if the log shows a data race or a panic.
func launch(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	return launchProgram(t, program, edit, knownList, d)
}

// launchProgram is launch for a given build of the gateway.
func launchProgram(t *testing.T, path string, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	cmd, addr := configure(t, knownList, d.ln.Addr().String(), edit)
	cmd.Path, cmd.Args[0] = path, path
	configPath := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "LB_CONFIG=")
	cmd.Env = append(cmd.Env, "LB_DISCOVERY="+d.ln.Addr().String())
	g := &gatewayProcess{t: t, cmd: cmd, address: addr, configPath: configPath, log: &logBuffer{}, discovery: d,
		done: make(chan error, 1)}
	cmd.Stderr = g.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-g.done
		if g.hasLogged("DATA RACE") || g.hasLogged("panic:") {
			t.Error("the log of the gateway shows a data race or a panic")
		}
		if t.Failed() {
			t.Logf("log of the gateway:\n%s", g.log)
		}
	})
	return g
}

// logBuffer collects the log of a process and may be read while the process writes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// reload replaces a field of the configuration file and sends SIGHUP.
func (g *gatewayProcess) reload(field string, value any) {
	g.t.Helper()
	fields := map[string]any{}
	raw, err := os.ReadFile(g.configPath)
	if err == nil {
		err = json.Unmarshal(raw, &fields)
	}
	fields[field] = value
	if raw, _ = json.Marshal(fields); err == nil {
		err = os.WriteFile(g.configPath, raw, 0o600)
	}
	if err == nil {
		err = g.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

// signal sends a signal. After SIGSTOP it waits until all threads of the process are stopped.
func (g *gatewayProcess) signal(s syscall.Signal) {
	g.t.Helper()
	if err := g.cmd.Process.Signal(s); err != nil {
		g.t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		waitFor(g.t, "all threads to be stopped", func() bool {
			threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", g.cmd.Process.Pid))
			if err != nil || len(threads) == 0 {
				g.t.Fatalf("process %d has no threads, error %v", g.cmd.Process.Pid, err)
			}
			for _, path := range threads {
				raw, _ := os.ReadFile(path) // the thread may have ended since the glob
				if len(raw) > 0 && !bytes.HasPrefix(raw[bytes.LastIndexByte(raw, ')')+1:], []byte(" T")) {
					return false
				}
			}
			return true
		})
	}
}

// waitExit waits until the process has ended and returns its exit code.
func (g *gatewayProcess) waitExit() int {
	g.t.Helper()
	select {
	case err := <-g.done:
		g.done <- err
	case <-time.After(testTimeout):
		g.t.Fatal("the gateway did not exit")
	}
	return g.cmd.ProcessState.ExitCode()
}

// awaitShutdown waits until the gateway has processed a SIGTERM, that is, until its responses close their connections.
func (g *gatewayProcess) awaitShutdown() {
	g.t.Helper()
	waitFor(g.t, "the shutdown to begin", func() bool {
		_, fields, _ := roundTrip(g.t, g.dial(), viewRequest("first", 900))
		return fields.Get("Connection") == "close"
	})
}

// waitFor polls until a condition is true. After testTimeout it fails the test.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
		}
	}
}

// settingsWithReplacement returns testSettings with the first occurrence of a text replaced.
func settingsWithReplacement(old, new string) json.RawMessage {
	return json.RawMessage(strings.Replace(testSettings, old, new, 1))
}

// processorTime returns the user and system time that a process has used since its start.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

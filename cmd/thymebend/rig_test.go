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

// The tests start the real program and play its peers: clients, endpoints and discovery, on loopback.

// testTimeout is for what must happen soon; a failed test takes that long.
const testTimeout = 10 * time.Second

// program is the path of the built gateway.
var program string

// TestMain builds the gateway once, with the race detector.
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

// keyedSettings has a class that may be repeated within a window, in its cell alone.
func keyedSettings(windowMS int) json.RawMessage {
	slowConnect := strings.Replace(testSettings, `"connect_timeout_ms":250`, `"connect_timeout_ms":5000`, 1)
	keyed := fmt.Sprintf(`"repeat":"by_key","group":"cell","window_ms":%d`, windowMS)
	return json.RawMessage(strings.Replace(slowConnect, `"repeat":"once"`, keyed, 1))
}

// longDeadlineSettings have classes that wait long, so that a request is held until a test lets it go on.
func longDeadlineSettings() json.RawMessage {
	return json.RawMessage(strings.NewReplacer(
		`"aim_ms":800`, `"aim_ms":20000`,
		`"give_up_ms":2000`, `"give_up_ms":25000`,
		`"give_up_ms":2500`, `"give_up_ms":25000`,
	).Replace(testSettings))
}

// runLoad has eight clients ask for so long, a view and then a bid that waits 400 ms.
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

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	address    string
	configPath string // of its configuration
	log        *logBuffer
	discovery  *fakeDiscovery
	done       chan error
}

// settings of the tests: one safe class and one unsafe.
const testSettings = `{"balancers":1,"rank":0,"zone":0,"zones":["a","b"],"tick_ms":5,"registry_mode":"subscribe",
 "report":{"columns":["pending","busy_reqs"],"how":"piggyback"},
 "bounds":{"connect_timeout_ms":250,"conn_idle_ms":30000,"most_tries":4,"cancel":true,"retry_after":true,
  "max_retry_after_ms":2000,"open_cap":20000},
 "classes":[{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable","worth":1},
  {"name":"lodge","aim_ms":800,"give_up_ms":2500,"repeat":"once","worth":8}]}`

// reservedAddress is an address for a gateway. A socket that does not listen has its port for as long as the test
// lasts, so that nobody gets it but who asks for it by SO_REUSEPORT, as the gateway does.
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

// configure writes a configuration and returns the program ready to start. edit may change its fields.
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

// start runs a gateway over the endpoints, all up, and waits until it is ready.
func start(t *testing.T, edit map[string]any, endpoints ...*fakeEndpoint) *gatewayProcess {
	t.Helper()
	var entries []string
	for _, endpoint := range endpoints {
		entries = append(entries, endpointEntry(endpoint, "up"))
	}
	whole := endpointList(1, true, entries...)
	return startWith(t, edit, whole, newDiscovery(t, func(int) string { return whole }))
}

func startWith(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	g := launch(t, edit, knownList, d)
	g.waitReady()
	return g
}

// waitReady waits until the gateway answers that it is.
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

// startUnready runs a gateway that knows no endpoint, and waits until it takes clients.
func startUnready(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	g := launch(t, edit, knownList, d)
	waitFor(t, "the gateway to take clients", func() bool { return g.hasLogged("taking clients") })
	return g
}

// launch runs a gateway and does not wait.
func launch(t *testing.T, edit map[string]any, knownList string, d *fakeDiscovery) *gatewayProcess {
	t.Helper()
	cmd, addr := configure(t, knownList, d.ln.Addr().String(), edit)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "LB_CONFIG=")
	cmd.Env = append(cmd.Env, "LB_DISCOVERY="+d.ln.Addr().String())
	g := &gatewayProcess{t: t, cmd: cmd, address: addr, configPath: path, log: &logBuffer{}, discovery: d, done: make(chan error, 1)}
	cmd.Stderr = g.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-g.done
		if g.hasLogged("DATA RACE") || g.hasLogged("panic:") {
			t.Error("the gateway raced or panicked")
		}
		if t.Failed() {
			t.Logf("log of the gateway:\n%s", g.log)
		}
	})
	return g
}

// logBuffer is the program's log, read while it is written.
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

// reload replaces a field of the configuration and sends SIGHUP.
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

func (g *gatewayProcess) signal(s syscall.Signal) {
	g.t.Helper()
	if err := g.cmd.Process.Signal(s); err != nil {
		g.t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		waitFor(g.t, "all threads to stand still", func() bool {
			threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", g.cmd.Process.Pid))
			if err != nil || len(threads) == 0 {
				g.t.Fatal("no such process")
			}
			for _, path := range threads {
				raw, _ := os.ReadFile(path) // a thread may have ended meanwhile
				if len(raw) > 0 && !bytes.HasPrefix(raw[bytes.LastIndexByte(raw, ')')+1:], []byte(" T")) {
					return false
				}
			}
			return true
		})
	}
}

// waitExit waits for the program's end and returns its exit code.
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

// awaitShutdown waits until the gateway has taken its SIGTERM.
func (g *gatewayProcess) awaitShutdown() {
	g.t.Helper()
	waitFor(g.t, "the stop to begin", func() bool {
		_, fields, _ := roundTrip(g.t, g.dial(), viewRequest("first", 900))
		return fields.Get("Connection") == "close"
	})
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func settingsWithReplacement(old, new string) json.RawMessage {
	return json.RawMessage(strings.Replace(testSettings, old, new, 1))
}

// processorTime is what a process has used so far.
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

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

// load has eight clients ask for so long, a view and then a bid that waits 400 ms.
func (r *rig) load(last time.Duration) {
	r.t.Helper()
	var done sync.WaitGroup
	began := time.Now()
	for i := range 8 {
		c := r.dial()
		done.Go(func() {
			for j := 0; time.Since(began) < last; j++ {
				id := fmt.Sprintf("%d-%d", i, j)
				ask(r.t, c, view("v"+id, 400))
				ask(r.t, c, strings.Replace(lodge("l"+id, "x"), "2500m", "400m", 1))
			}
		})
	}
	done.Wait()
}

// rig is a running gateway.
type rig struct {
	t         *testing.T
	cmd       *exec.Cmd
	addr      string
	path      string // of its configuration
	log       *logBuffer
	discovery *fakeDiscovery
	done      chan error
}

// settings of the tests: one safe class and one unsafe.
const testSettings = `{"balancers":1,"rank":0,"zone":0,"zones":["a","b"],"tick_ms":5,"registry_mode":"subscribe",
 "report":{"columns":["pending","busy_reqs"],"how":"piggyback"},
 "bounds":{"connect_timeout_ms":250,"conn_idle_ms":30000,"most_tries":4,"cancel":true,"retry_after":true,
  "max_retry_after_ms":2000,"open_cap":20000},
 "classes":[{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable","worth":1},
  {"name":"lodge","aim_ms":800,"give_up_ms":2500,"repeat":"once","worth":8}]}`

// ownAddress is an address for a gateway. A socket that does not listen has its port for as long as the test
// lasts, so that nobody gets it but who asks for it by SO_REUSEPORT, as the gateway does.
func ownAddress(t *testing.T) string {
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
func configure(t *testing.T, known string, disc string, edit map[string]any) (*exec.Cmd, string) {
	t.Helper()
	addr := ownAddress(t)
	fields := map[string]any{"name": "n0", "listen": addr, "discovery": disc, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    json.RawMessage(known),
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
func start(t *testing.T, edit map[string]any, hosts ...*fakeEndpoint) *rig {
	t.Helper()
	var entries []string
	for _, h := range hosts {
		entries = append(entries, entry(h, "up"))
	}
	whole := endpointList(1, true, entries...)
	return startWith(t, edit, whole, newDiscovery(t, func(int) string { return whole }))
}

func startWith(t *testing.T, edit map[string]any, known string, d *fakeDiscovery) *rig {
	t.Helper()
	r := launch(t, edit, known, d)
	r.ready()
	return r
}

// ready waits until the gateway answers that it is.
func (r *rig) ready() {
	r.t.Helper()
	until(r.t, "the gateway to be ready", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		status, _, _ := ask(r.t, c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 200
	})
}

// startUnready runs a gateway that knows no endpoint, and waits until it takes clients.
func startUnready(t *testing.T, edit map[string]any, known string, d *fakeDiscovery) *rig {
	t.Helper()
	r := launch(t, edit, known, d)
	until(t, "the gateway to take clients", func() bool { return r.logs("taking clients") })
	return r
}

// launch runs a gateway and does not wait.
func launch(t *testing.T, edit map[string]any, known string, d *fakeDiscovery) *rig {
	t.Helper()
	cmd, addr := configure(t, known, d.ln.Addr().String(), edit)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "LB_CONFIG=")
	cmd.Env = append(cmd.Env, "LB_DISCOVERY="+d.ln.Addr().String())
	r := &rig{t: t, cmd: cmd, addr: addr, path: path, log: &logBuffer{}, discovery: d, done: make(chan error, 1)}
	cmd.Stderr = r.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-r.done
		if r.logs("DATA RACE") || r.logs("panic:") {
			t.Error("the gateway raced or panicked")
		}
		if t.Failed() {
			t.Logf("log of the gateway:\n%s", r.log)
		}
	})
	return r
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
func (r *rig) reload(field string, value any) {
	r.t.Helper()
	fields := map[string]any{}
	raw, err := os.ReadFile(r.path)
	if err == nil {
		err = json.Unmarshal(raw, &fields)
	}
	fields[field] = value
	if raw, _ = json.Marshal(fields); err == nil {
		err = os.WriteFile(r.path, raw, 0o600)
	}
	if err == nil {
		err = r.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) signal(s syscall.Signal) {
	r.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		until(r.t, "all threads to stand still", func() bool {
			threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
			if err != nil || len(threads) == 0 {
				r.t.Fatal("no such process")
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

// exit waits for the program's end and returns its exit code.
func (r *rig) exit() int {
	r.t.Helper()
	select {
	case err := <-r.done:
		r.done <- err
	case <-time.After(testTimeout):
		r.t.Fatal("the gateway did not exit")
	}
	return r.cmd.ProcessState.ExitCode()
}

// awaitShutdown waits until the gateway has taken its SIGTERM.
func (r *rig) awaitShutdown() {
	r.t.Helper()
	until(r.t, "the stop to begin", func() bool {
		_, fields, _ := ask(r.t, r.dial(), view("first", 900))
		return fields.Get("Connection") == "close"
	})
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func settingsWith(old, new string) json.RawMessage {
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

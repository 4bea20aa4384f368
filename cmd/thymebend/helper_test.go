package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The tests start the real program and play its peers: clients, hosts and discovery, on loopback.

const patience = 10 * time.Second // for what must happen soon; a failed test takes that long

var program string // built once

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

// host plays a host. answer gets each request once it is whole, on its connection.
type host struct {
	name   string
	ln     net.Listener
	answer func(c net.Conn, r *http.Request, body string)
	mu     sync.Mutex
	conns  int
	asked  []string // the ids of the requests that came whole
	ends   int      // connections that the gateway ended
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func newHost(t *testing.T, name string, answer func(net.Conn, *http.Request, string)) *host {
	h := &host{name: name, ln: listen(t), answer: answer}
	go each(h.ln, func(c net.Conn) {
		h.count(func() { h.conns++ })
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				h.count(func() { h.ends++ })
				return
			}
			body, _ := io.ReadAll(r.Body)
			h.count(func() { h.asked = append(h.asked, r.Header.Get("X-Trace-Id")) })
			h.answer(c, r, string(body))
		}
	})
	return h
}

func (h *host) count(f func()) { h.mu.Lock(); defer h.mu.Unlock(); f() }

func (h *host) seen() (conns, asked, ends int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns, len(h.asked), h.ends
}

func each(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { defer c.Close(); serve(c) }()
	}
}

// ok answers 200 with the id and the request's body.
func ok(c net.Conn, r *http.Request, body string) {
	say(c, "200 OK", "Endpoint-Load-Metrics: TEXT busy_reqs=1, pending=0\r\nX-Kept: yes\r\n", r.Header.Get("X-Trace-Id")+":"+body)
}

// oneCore returns an answer that takes one request after another, and counts the most that wait for it at once.
func oneCore(most *atomic.Int32, load string) func(net.Conn, *http.Request, string) {
	var core sync.Mutex
	var held atomic.Int32
	return func(c net.Conn, r *http.Request, body string) {
		if n := held.Add(1); n > most.Load() {
			most.Store(n)
		}
		core.Lock()
		defer core.Unlock()
		time.Sleep(3 * time.Millisecond)
		held.Add(-1)
		say(c, "200 OK", load, r.Header.Get("X-Trace-Id")+":"+body)
	}
}

// crowd has eight clients ask for so long, a view and then a bid that waits 400 ms.
func (r *rig) crowd(last time.Duration) {
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

func say(c net.Conn, status, fields, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// entry is a host as discovery tells it; state is up, draining or removed.
func entry(h *host, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0}`,
		h.name, h.ln.Addr(), state)
}

func list(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// discovery plays discovery: a watch is answered with the list, then with what is told, then with beats.
type discovery struct {
	ln    net.Listener
	calls chan string      // the targets asked for
	tell  chan string      // lines for the open watch; "cut" ends it
	reply func(int) string // the first line for the n-th call; "" answers 503
}

func newDiscovery(t *testing.T, reply func(int) string) *discovery {
	d := &discovery{ln: listen(t), calls: make(chan string, 64), tell: make(chan string), reply: reply}
	n := 0
	go each(d.ln, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n++
		d.calls <- r.URL.String()
		line := d.reply(n)
		if line == "" {
			say(c, "503 Service Unavailable", "", "")
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		gone := make(chan bool) // a watch that the gateway has ended must not take what is told
		go func() { _, _ = io.Copy(io.Discard, c); close(gone) }()
		for line != "cut" {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
				return
			}
			select {
			case line = <-d.tell:
			case <-gone:
				return
			case <-time.After(time.Second):
				line = ""
			}
		}
	})
	return d
}

// rig is a running gateway.
type rig struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
	path string // of its configuration
	log  *logBuffer
	disc *discovery
	done chan error
}

// settings of the tests: one safe class and one unsafe.
const testSettings = `{"balancers":1,"rank":0,"zone":0,"zones":["a","b"],"tick_ms":5,"registry_mode":"subscribe",
 "report":{"columns":["pending","busy_reqs"],"how":"piggyback"},
 "bounds":{"connect_timeout_ms":250,"conn_idle_ms":30000,"most_tries":4,"cancel":true,"retry_after":true,
  "max_retry_after_ms":2000,"open_cap":20000},
 "classes":[{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable","worth":1},
  {"name":"lodge","aim_ms":800,"give_up_ms":2500,"repeat":"once","worth":8}]}`

// ownAddress is an address for a gateway. A socket that does not listen has its port for as long as the test lasts, so that
// nobody gets it but who asks for it by SO_REUSEPORT, as the gateway does.
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

// start runs a gateway over the hosts, all up, and waits until it is ready.
func start(t *testing.T, edit map[string]any, hosts ...*host) *rig {
	t.Helper()
	var entries []string
	for _, h := range hosts {
		entries = append(entries, entry(h, "up"))
	}
	whole := list(1, true, entries...)
	return startWith(t, edit, whole, newDiscovery(t, func(int) string { return whole }))
}

func startWith(t *testing.T, edit map[string]any, known string, d *discovery) *rig {
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

// startLoose runs a gateway that knows no host, and waits until it takes clients.
func startLoose(t *testing.T, edit map[string]any, known string, d *discovery) *rig {
	t.Helper()
	r := launch(t, edit, known, d)
	until(t, "the gateway to take clients", func() bool { return strings.Contains(r.log.String(), "taking clients") })
	return r
}

// launch runs a gateway and does not wait.
func launch(t *testing.T, edit map[string]any, known string, d *discovery) *rig {
	t.Helper()
	cmd, addr := configure(t, known, d.ln.Addr().String(), edit)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-2], "LB_CONFIG=")
	cmd.Env = append(cmd.Env, "LB_DISCOVERY="+d.ln.Addr().String())
	r := &rig{t: t, cmd: cmd, addr: addr, path: path, log: &logBuffer{}, disc: d, done: make(chan error, 1)}
	cmd.Stderr = r.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-r.done
		if strings.Contains(r.log.String(), "DATA RACE") || strings.Contains(r.log.String(), "panic:") {
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
	case <-time.After(patience):
		r.t.Fatal("the gateway did not exit")
	}
	return r.cmd.ProcessState.ExitCode()
}

// stopBegins waits until the gateway has taken its SIGTERM.
func (r *rig) stopBegins() {
	r.t.Helper()
	until(r.t, "the stop to begin", func() bool {
		_, fields, _ := ask(r.t, r.dial(), view("first", 900))
		return fields.Get("Connection") == "close"
	})
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

// ask writes raw bytes and reads one answer; status 0 means that none came.
func ask(t *testing.T, c net.Conn, raw string) (int, http.Header, string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, raw); err != nil {
		return 0, nil, ""
	}
	return answer(c)
}

func answer(c net.Conn) (int, http.Header, string) {
	_ = c.SetDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, resp.Header, string(body)
}

func view(id string, ms int) string {
	return fmt.Sprintf("GET /view/x?q=1 HTTP/1.1\r\nHost: o\r\nX-Trace-Id: %s\r\nX-Qos: view\r\nX-Expires-In: %dm\r\n\r\n", id, ms)
}

func lodge(id, body string) string {
	return fmt.Sprintf("POST /lodge HTTP/1.1\r\nHost: o\r\nX-Trace-Id: %s\r\nX-Qos: lodge\r\nX-Expires-In: 2500m\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

func settingsWith(old, new string) json.RawMessage {
	return json.RawMessage(strings.Replace(testSettings, old, new, 1))
}

// fullListener is a listener on which connections never come up: nobody accepts and its queue is full.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	ln := scarce(t)
	fill(t, ln)
	return ln
}

// scarce is a listener whose queue holds one connection more than its backlog of 0.
func scarce(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "scarce")
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fill has connections wait at a listener until no more come up, and returns those that did.
func fill(t *testing.T, ln net.Listener) (waiting int) {
	t.Helper()
	until(t, "the queue to fill", func() bool {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err == nil {
			waiting++
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	})
	return waiting
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

package main

import (
	"fmt"
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
)

const readinessRequest = "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n"

// startUpgradable starts a gateway with a directory for the hand-over.
func startUpgradable(t *testing.T, edit map[string]any, endpoints ...*fakeEndpoint) (*gatewayProcess, string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "up") // short: a Unix socket's path holds 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	t.Setenv("TMPDIR", dir)
	if edit == nil {
		edit = map[string]any{}
	}
	edit["control"] = freeTCPAddress(t)
	return start(t, edit, endpoints...), edit["control"].(string)
}

// upgrade starts the program once more as an upgrade does: the same addresses but for the second one.
func (g *gatewayProcess) upgrade() (*gatewayProcess, string) {
	g.t.Helper()
	control := freeTCPAddress(g.t)
	cmd := exec.Command(program)
	cmd.Env = append(append([]string(nil), g.cmd.Env...), "LB_CONTROL="+control)
	next := &gatewayProcess{t: g.t, cmd: cmd, address: g.address, configPath: g.configPath, log: &logBuffer{}, discovery: g.discovery,
		done: make(chan error, 1)}
	cmd.Stderr = next.log
	if err := cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	go func() { next.done <- cmd.Wait() }()
	g.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-next.done
		if text := next.log.String(); strings.Contains(text, "DATA RACE") ||
			strings.Contains(text, "panic:") || g.t.Failed() {
			g.t.Errorf("log of a process that came later:\n%s", text)
		}
	})
	return next, control
}

func ready(t *testing.T, control string) bool {
	status, _ := callAdmin(t, control, readinessRequest)
	return status == 200
}

func (g *gatewayProcess) hasLogged(text string) bool { return strings.Contains(g.log.String(), text) }

// upgradeLoad keeps clients asking, some on connections that stay, some on a new connection for each request.
type upgradeLoad struct {
	stop           atomic.Bool
	done           sync.WaitGroup
	requests, lost atomic.Int64
	wave           int // how often start was called; part of each request's id, so that no id comes twice
}

func (u *upgradeLoad) start(t *testing.T, addr string, clients int) {
	u.wave++
	wave := u.wave
	for i := range clients {
		u.done.Go(func() {
			var c net.Conn
			for n := 0; !u.stop.Load(); n++ {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						u.lost.Add(1)
						t.Errorf("turned back: %v", err)
						return
					}
				}
				raw := viewRequest(fmt.Sprintf("v%d-%d-%d", wave, i, n), 1500)
				if n%2 == 0 {
					raw = lodgeRequest(fmt.Sprintf("l%d-%d-%d", wave, i, n), "x")
				}
				status, fields, _ := roundTrip(t, c, raw)
				if u.requests.Add(1); status == 0 {
					u.lost.Add(1)
				}
				if i%2 == 1 || status == 0 || fields.Get("Connection") == "close" {
					c.Close()
					c = nil
				}
				time.Sleep(time.Duration(1+i%5) * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		})
	}
}

// Guards against requests that upgrades under load lose, reject or run twice, also where a successor dies
// after it took clients.
func TestHotRestartsUnderLoadLoseNoRequest(t *testing.T) {
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request,
		body string) {
		time.Sleep(2 * time.Millisecond)
		respondOK(c, r, body)
	})
	g, control := startUpgradable(t, nil, h, newEndpoint(t, "s-2", respondOK))
	var u upgradeLoad
	u.start(t, g.address, 24)
	for n := range 3 {
		began := time.Now()
		next, after := g.upgrade()
		waitFor(t, "the newcomer to say yes", func() bool { return ready(t, after) })
		t.Logf("upgrade %d: yes after %v", n, time.Since(began))
		waitFor(t, "the newcomer to say that it does not listen alone",
			func() bool { return next.hasLogged("\"handed_over\":true") })
		waitFor(t, "the elder to yield", func() bool { return !ready(t, control) })
		if n == 1 { // it dies between two requests of the load, or with some: those are lost with it, no others
			u.stop.Store(true)
			u.done.Wait()
			_ = next.cmd.Process.Kill()
			waitFor(t, "the elder to go on", func() bool { return ready(t, control) })
			u.stop.Store(false)
			u.start(t, g.address, 24)
			next, after = g.upgrade()
			waitFor(t, "the next newcomer to say yes", func() bool { return ready(t, after) })
		}
		time.Sleep(50 * time.Millisecond)
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if code := g.waitExit(); code != 0 {
			t.Errorf("upgrade %d: the elder's exit code is %d", n, code)
		}
		if f := fetchStats(t, after); *f.Endpoints != 2 {
			t.Errorf("the newcomer knows %d hosts", *f.Endpoints)
		}
		g, control = next, after
	}
	u.stop.Store(true)
	u.done.Wait()
	if u.lost.Load() > 0 || u.requests.Load() < 500 {
		t.Errorf("%d of %d requests lost", u.lost.Load(), u.requests.Load())
	}
	seen := map[string]bool{}
	h.withLock(func() {
		for _, id := range h.ids {
			if strings.HasPrefix(id, "l") && seen[id] {
				t.Errorf("%s ran twice", id)
			}
			seen[id] = true
		}
	})
}

// Guards against an idle connection that an upgrade closes, and against one in use that is passed on too
// early.
func TestConnectionsAreHandedOverOpen(t *testing.T) {
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if strings.HasPrefix(r.Header.Get("X-Trace-Id"), "slow") {
			time.Sleep(700 * time.Millisecond)
		}
		respondOK(c, r, body)
	})
	g, _ := startUpgradable(t, nil, h)
	idle, half, busy := g.dial(), g.dial(), g.dial()
	roundTrip(t, idle, viewRequest("first", 1500))
	whole := lodgeRequest("half", "hello")
	fmt.Fprint(half, whole[:40])
	fmt.Fprint(busy, lodgeRequest("slow", "x"))
	waitFor(t, "the slow bid to be under way", func() bool { _, asked, _ := h.counts(); return asked == 2 })
	next, after := g.upgrade()
	waitFor(t, "the newcomer to say yes", func() bool { return ready(t, after) })
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprint(half, whole[40:])
	for name, c := range map[string]net.Conn{"half": half, "busy": busy} {
		if status, fields, _ := readResponse(c); status != 200 || fields.Get("Connection") == "close" {
			t.Errorf("%s: %d, %v", name, status, fields)
		}
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for name, c := range map[string]net.Conn{"idle": idle, "half": half, "busy": busy} {
		if status, _, _ := roundTrip(t, c, viewRequest("again-"+name, 1500)); status != 200 {
			t.Errorf("%s: %d on the same link", name, status)
		}
	}
	if n := fetchStats(t, after).Fulfilled["view"]; n != 3 {
		t.Errorf("the newcomer served %d of 3 views", n)
	}
	_ = next
}

// Guards against a process that does not take clients in time, whatever sits at the hot-restart socket.
func TestStartWithAFaultyPredecessor(t *testing.T) {
	frame := func(text string) string { return fmt.Sprintf("\x00\x00\x00%c%s", len(text), text) }
	for name, play := range map[string]func(net.Conn){
		"hangs": func(c net.Conn) { time.Sleep(3 * time.Second) },
		"breaks off": func(c net.Conn) {
			fmt.Fprint(c,
				frame(`{"version":1,"kind":"state"}`)[:9])
			c.Close()
		},
		"another version": func(c net.Conn) {
			fmt.Fprint(c,
				frame(`{"version":99,"kind":"state"}`))
			time.Sleep(time.Second)
		},
		"no socket": func(c net.Conn) {
			fmt.Fprint(c,
				frame(`{"version":1,"kind":"state"}`))
			time.Sleep(time.Second)
		},
		"too long": func(c net.Conn) { fmt.Fprint(c, "\xff\xff\xff\xff"); time.Sleep(time.Second) },
		"stale":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "up")
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			t.Setenv("TMPDIR", dir)
			control := freeTCPAddress(t)
			cmd, addr := configure(t, endpointList(1, true), listen(t).Addr().String(),
				map[string]any{"control": control})
			path := filepath.Join(dir, "thymebend-"+strings.Replace(addr, ":", "-", 1)+".sock")
			ln, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			if play == nil {
				ln.(*net.UnixListener).SetUnlinkOnClose(false)
				ln.Close()
			} else {
				defer ln.Close()
				go serveEach(ln, play)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			began := time.Now()
			waitFor(t, "readiness", func() bool { return ready(t, control) })
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("it took %v", took)
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("its own socket: %v %v", info, err)
			}
		})
	}
}

// Guards against a predecessor that is held up by successors that are silent, faulty or die.
func TestPredecessorSurvivesBadSuccessors(t *testing.T) {
	g, control := startUpgradable(t, nil, newEndpoint(t, "s-1", respondOK))
	path := filepath.Join(os.Getenv("TMPDIR"), "thymebend-"+strings.Replace(g.address, ":", "-", 1)+".sock")
	for _, say := range []string{"", "\x00\x00\x00\x02{}", "\xff\xff\xff\xff",
		"\x00\x00\x00\x1d{\"version\":1,\"kind\":\"taking\"}"} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, say)
		time.Sleep(20 * time.Millisecond)
		c.Close()
		if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 1500)); status != 200 {
			t.Errorf("after %q: %d", say, status)
		}
		waitFor(t, "the elder to take clients", func() bool { return ready(t, control) })
	}
	_, after := g.upgrade()
	waitFor(t, "a good newcomer to say yes", func() bool { return ready(t, after) })
}

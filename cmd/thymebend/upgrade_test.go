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

const readiness = "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n"

// upgradable starts a gateway with a directory for the hand-over.
func upgradable(t *testing.T, edit map[string]any, hosts ...*fakeEndpoint) (*rig, string) {
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
	edit["control"] = freePort(t)
	return start(t, edit, hosts...), edit["control"].(string)
}

// upgrade starts the program once more as an upgrade does: the same addresses but for the second one.
func (r *rig) upgrade() (*rig, string) {
	r.t.Helper()
	control := freePort(r.t)
	cmd := exec.Command(program)
	cmd.Env = append(append([]string(nil), r.cmd.Env...), "LB_CONTROL="+control)
	next := &rig{t: r.t, cmd: cmd, addr: r.addr, path: r.path, log: &logBuffer{}, discovery: r.discovery,
		done: make(chan error, 1)}
	cmd.Stderr = next.log
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() { next.done <- cmd.Wait() }()
	r.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-next.done
		if text := next.log.String(); strings.Contains(text, "DATA RACE") ||
			strings.Contains(text, "panic:") || r.t.Failed() {
			r.t.Errorf("log of a process that came later:\n%s", text)
		}
	})
	return next, control
}

func ready(t *testing.T, control string) bool {
	status, _ := askAdmin(t, control, readiness)
	return status == 200
}

func (r *rig) logs(text string) bool { return strings.Contains(r.log.String(), text) }

// upgradeLoad keeps clients asking, some on connections that stay, some on a new connection for each request.
type upgradeLoad struct {
	stop        atomic.Bool
	done        sync.WaitGroup
	asked, lost atomic.Int64
	wave        int // how often start was called; part of each request's id, so that no id comes twice
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
				raw := view(fmt.Sprintf("v%d-%d-%d", wave, i, n), 1500)
				if n%2 == 0 {
					raw = lodge(fmt.Sprintf("l%d-%d-%d", wave, i, n), "x")
				}
				status, fields, _ := ask(t, c, raw)
				if u.asked.Add(1); status == 0 {
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
func TestUpgradesLoseNothing(t *testing.T) {
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request,
		body string) {
		time.Sleep(2 * time.Millisecond)
		ok(c, r, body)
	})
	g, control := upgradable(t, nil, h, newEndpoint(t, "s-2", ok))
	var u upgradeLoad
	u.start(t, g.addr, 24)
	for n := range 3 {
		began := time.Now()
		next, after := g.upgrade()
		until(t, "the newcomer to say yes", func() bool { return ready(t, after) })
		t.Logf("upgrade %d: yes after %v", n, time.Since(began))
		until(t, "the newcomer to say that it does not listen alone",
			func() bool { return next.logs("\"handed_over\":true") })
		until(t, "the elder to yield", func() bool { return !ready(t, control) })
		if n == 1 { // it dies between two requests of the load, or with some: those are lost with it, no others
			u.stop.Store(true)
			u.done.Wait()
			_ = next.cmd.Process.Kill()
			until(t, "the elder to go on", func() bool { return ready(t, control) })
			u.stop.Store(false)
			u.start(t, g.addr, 24)
			next, after = g.upgrade()
			until(t, "the next newcomer to say yes", func() bool { return ready(t, after) })
		}
		time.Sleep(50 * time.Millisecond)
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if code := g.exit(); code != 0 {
			t.Errorf("upgrade %d: the elder's exit code is %d", n, code)
		}
		if f := stats(t, after); *f.Endpoints != 2 {
			t.Errorf("the newcomer knows %d hosts", *f.Endpoints)
		}
		g, control = next, after
	}
	u.stop.Store(true)
	u.done.Wait()
	if u.lost.Load() > 0 || u.asked.Load() < 500 {
		t.Errorf("%d of %d requests lost", u.lost.Load(), u.asked.Load())
	}
	seen := map[string]bool{}
	h.count(func() {
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
		ok(c, r, body)
	})
	g, _ := upgradable(t, nil, h)
	idle, half, busy := g.dial(), g.dial(), g.dial()
	ask(t, idle, view("first", 1500))
	whole := lodge("half", "hello")
	fmt.Fprint(half, whole[:40])
	fmt.Fprint(busy, lodge("slow", "x"))
	until(t, "the slow bid to be under way", func() bool { _, asked, _ := h.seen(); return asked == 2 })
	next, after := g.upgrade()
	until(t, "the newcomer to say yes", func() bool { return ready(t, after) })
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprint(half, whole[40:])
	for name, c := range map[string]net.Conn{"half": half, "busy": busy} {
		if status, fields, _ := answer(c); status != 200 || fields.Get("Connection") == "close" {
			t.Errorf("%s: %d, %v", name, status, fields)
		}
	}
	if code := g.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for name, c := range map[string]net.Conn{"idle": idle, "half": half, "busy": busy} {
		if status, _, _ := ask(t, c, view("again-"+name, 1500)); status != 200 {
			t.Errorf("%s: %d on the same link", name, status)
		}
	}
	if n := stats(t, after).Fulfilled["view"]; n != 3 {
		t.Errorf("the newcomer served %d of 3 views", n)
	}
	_ = next
}

// Guards against a process that does not take clients in time, whatever sits at the hot-restart socket.
func TestStartWithoutAPredecessor(t *testing.T) {
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
			control := freePort(t)
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
				go each(ln, play)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			began := time.Now()
			until(t, "readiness", func() bool { return ready(t, control) })
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
	g, control := upgradable(t, nil, newEndpoint(t, "s-1", ok))
	path := filepath.Join(os.Getenv("TMPDIR"), "thymebend-"+strings.Replace(g.addr, ":", "-", 1)+".sock")
	for _, say := range []string{"", "\x00\x00\x00\x02{}", "\xff\xff\xff\xff",
		"\x00\x00\x00\x1d{\"version\":1,\"kind\":\"taking\"}"} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, say)
		time.Sleep(20 * time.Millisecond)
		c.Close()
		if status, _, _ := ask(t, g.dial(), view("v", 1500)); status != 200 {
			t.Errorf("after %q: %d", say, status)
		}
		until(t, "the elder to take clients", func() bool { return ready(t, control) })
	}
	_, after := g.upgrade()
	until(t, "a good newcomer to say yes", func() bool { return ready(t, after) })
}

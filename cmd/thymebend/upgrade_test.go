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

// readinessRequest is a request to an admin endpoint for the readiness of its gateway.
const readinessRequest = "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n"

// startUpgradable starts a gateway with a directory for the hot-restart socket, and returns the address of its admin
// endpoint too.
func startUpgradable(t *testing.T, edit map[string]any, endpoints ...*fakeEndpoint) (*gatewayProcess, string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "up") // short, because the path of a Unix socket is limited to 107 bytes
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

// upgrade starts a successor for a hot restart. It has the same configuration except for the address of its admin
// endpoint, which is returned.
func (g *gatewayProcess) upgrade() (*gatewayProcess, string) {
	g.t.Helper()
	control := freeTCPAddress(g.t)
	cmd := exec.Command(program)
	cmd.Env = append(append([]string(nil), g.cmd.Env...), "LB_CONTROL="+control)
	next := &gatewayProcess{t: g.t, cmd: cmd, address: g.address, configPath: g.configPath, log: &logBuffer{},
		discovery: g.discovery,
		done:      make(chan error, 1)}
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
			g.t.Errorf("log of a successor:\n%s", text)
		}
	})
	return next, control
}

// ready reports whether the gateway's admin endpoint reports readiness.
func ready(t *testing.T, control string) bool {
	status, _ := callAdmin(t, control, readinessRequest)
	return status == 200
}

// hasLogged reports whether the gateway's log contains a text.
func (g *gatewayProcess) hasLogged(text string) bool { return strings.Contains(g.log.String(), text) }

// upgradeLoad runs clients that send requests until stopped, half of them on a persistent connection, the others on a
// new connection for each request.
type upgradeLoad struct {
	stop           atomic.Bool
	done           sync.WaitGroup
	requests, lost atomic.Int64
	round          int // number of calls of start; part of each request id, so that ids are unique
}

// start starts the clients.
func (u *upgradeLoad) start(t *testing.T, addr string, clients int) {
	u.round++
	round := u.round
	for i := range clients {
		u.done.Go(func() {
			var c net.Conn
			for n := 0; !u.stop.Load(); n++ {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						u.lost.Add(1)
						t.Errorf("cannot connect: %v", err)
						return
					}
				}
				raw := viewRequest(fmt.Sprintf("v%d-%d-%d", round, i, n), 1500)
				if n%2 == 0 {
					raw = lodgeRequest(fmt.Sprintf("l%d-%d-%d", round, i, n), "x")
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

// Guards against hot restarts under load that lose, reject or run requests twice, including one whose successor is
// killed after it accepted clients.
func TestHotRestartsUnderLoadLoseNoRequest(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request,
		body string) {
		time.Sleep(2 * time.Millisecond)
		respondOK(c, r, body)
	})
	g, control := startUpgradable(t, nil, endpoint, newEndpoint(t, "s-2", respondOK))
	var u upgradeLoad
	u.start(t, g.address, 24)
	for n := range 3 {
		began := time.Now()
		next, nextControl := g.upgrade()
		waitFor(t, "the successor to be ready", func() bool { return ready(t, nextControl) })
		t.Logf("hot restart %d: successor ready after %v", n, time.Since(began))
		waitFor(t, "the successor to log that its predecessor listens too",
			func() bool { return next.hasLogged("\"handed_over\":true") })
		waitFor(t, "the predecessor to be not ready", func() bool { return !ready(t, control) })
		// The second successor is killed. Requests open in it would be lost with it, so the load stops before; no
		// other request may be lost.
		if n == 1 {
			u.stop.Store(true)
			u.done.Wait()
			_ = next.cmd.Process.Kill()
			waitFor(t, "the predecessor to be ready again", func() bool { return ready(t, control) })
			u.stop.Store(false)
			u.start(t, g.address, 24)
			next, nextControl = g.upgrade()
			waitFor(t, "the next successor to be ready", func() bool { return ready(t, nextControl) })
		}
		time.Sleep(50 * time.Millisecond)
		if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if code := g.waitExit(); code != 0 {
			t.Errorf("hot restart %d: exit code of the predecessor is %d", n, code)
		}
		if f := fetchStats(t, nextControl); *f.Endpoints != 2 {
			t.Errorf("the successor knows %d endpoints, want 2", *f.Endpoints)
		}
		g, control = next, nextControl
	}
	u.stop.Store(true)
	u.done.Wait()
	if u.lost.Load() > 0 || u.requests.Load() < 500 {
		t.Errorf("%d of %d requests lost", u.lost.Load(), u.requests.Load())
	}
	ran := map[string]bool{}
	endpoint.withLock(func() {
		for _, id := range endpoint.ids {
			if strings.HasPrefix(id, "l") && ran[id] {
				t.Errorf("%s ran twice", id)
			}
			ran[id] = true
		}
	})
}

// Guards against a hot restart that closes an idle connection, or hands over a connection whose request is still in
// progress.
func TestConnectionsAreHandedOverOpen(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if strings.HasPrefix(r.Header.Get("X-Trace-Id"), "slow") {
			time.Sleep(700 * time.Millisecond)
		}
		respondOK(c, r, body)
	})
	g, _ := startUpgradable(t, nil, endpoint)
	idle, half, busy := g.dial(), g.dial(), g.dial()
	roundTrip(t, idle, viewRequest("first", 1500))
	whole := lodgeRequest("half", "hello")
	fmt.Fprint(half, whole[:40])
	fmt.Fprint(busy, lodgeRequest("slow", "x"))
	waitFor(t, "the slow request to reach the endpoint",
		func() bool { _, requests, _ := endpoint.counts(); return requests == 2 })
	next, nextControl := g.upgrade()
	waitFor(t, "the successor to be ready", func() bool { return ready(t, nextControl) })
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprint(half, whole[40:])
	for name, c := range map[string]net.Conn{"half": half, "busy": busy} {
		if status, fields, _ := readResponse(c); status != 200 || fields.Get("Connection") == "close" {
			t.Errorf("%s: status %d, fields %v, want 200 on a connection that stays open", name, status, fields)
		}
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	for name, c := range map[string]net.Conn{"idle": idle, "half": half, "busy": busy} {
		if status, _, _ := roundTrip(t, c, viewRequest("again-"+name, 1500)); status != 200 {
			t.Errorf("%s: status %d on the same connection, want 200", name, status)
		}
	}
	if n := fetchStats(t, nextControl).Fulfilled["view"]; n != 3 {
		t.Errorf("the successor served %d of 3 view requests", n)
	}
	_ = next
}

// Guards against a process that does not become ready in time because the process at the hot-restart socket is
// faulty or the socket is stale.
func TestStartWithAFaultyPredecessor(t *testing.T) {
	frame := func(text string) string { return fmt.Sprintf("\x00\x00\x00%c%s", len(text), text) }
	for name, predecessor := range map[string]func(net.Conn){
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
			if predecessor == nil {
				ln.(*net.UnixListener).SetUnlinkOnClose(false)
				ln.Close()
			} else {
				defer ln.Close()
				go serveEach(ln, predecessor)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			began := time.Now()
			waitFor(t, "readiness", func() bool { return ready(t, control) })
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("ready after %v, want 3 s at most", took)
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("hot-restart socket of the new process: %v, error %v, want mode 0600", info, err)
			}
		})
	}
}

// Guards against a predecessor that stops serving because a successor is silent, faulty or dies.
func TestPredecessorSurvivesBadSuccessors(t *testing.T) {
	g, control := startUpgradable(t, nil, newEndpoint(t, "s-1", respondOK))
	path := filepath.Join(os.Getenv("TMPDIR"), "thymebend-"+strings.Replace(g.address, ":", "-", 1)+".sock")
	for _, sent := range []string{"", "\x00\x00\x00\x02{}", "\xff\xff\xff\xff",
		"\x00\x00\x00\x1d{\"version\":1,\"kind\":\"taking\"}"} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, sent)
		time.Sleep(20 * time.Millisecond)
		c.Close()
		if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 1500)); status != 200 {
			t.Errorf("after a successor that sent %q: status %d, want 200", sent, status)
		}
		waitFor(t, "the predecessor to be ready", func() bool { return ready(t, control) })
	}
	_, nextControl := g.upgrade()
	waitFor(t, "a working successor to be ready", func() bool { return ready(t, nextControl) })
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// freePort is an address on which nobody listens.
func freePort(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// askAdmin makes one call at the second address.
func askAdmin(t *testing.T, control, raw string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", control)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	status, fields, body := ask(t, c, raw)
	if status != 0 && fields.Get("Connection") != "close" {
		t.Errorf("%q: the connection stays", raw)
	}
	return status, body
}

type figures struct {
	Fulfilled, Throttled, Faulted map[string]int
	Relayed                       *int
	OpenRequests                  *int `json:"open_requests"`
	Endpoints                     *int `json:"registry_entries"`
	Unavailable                   *int `json:"out_of_rotation"`
	ConfigsAccepted               *int `json:"cfg_accepted"`
	ConfigsRejected               *int `json:"cfg_invalid"`
}

func stats(t *testing.T, control string) (f figures) {
	t.Helper()
	status, body := askAdmin(t, control, "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := json.Unmarshal([]byte(body), &f); status != 200 || err != nil || f.ConfigsRejected == nil {
		t.Fatalf("stats: %d %q %v", status, body, err)
	}
	return f
}

// Guards against an end of a request that is missing in the figures, and a class that is.
func TestStatsCountEveryEnd(t *testing.T) {
	control := freePort(t)
	a := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		switch id := r.Header.Get("X-Trace-Id"); {
		case strings.HasPrefix(id, "bad"):
			writeResponse(c, "500 No", "", "")
		case strings.HasPrefix(id, "full"):
			writeResponse(c, "503 Full", "X-Never-Ran: 1\r\n", "")
		case strings.HasPrefix(id, "mute"):
			time.Sleep(300 * time.Millisecond)
		default:
			ok(c, r, body)
		}
	})
	g := start(t, map[string]any{"control": control}, a)
	if f := stats(t, control); len(f.Fulfilled) != 2 || len(f.Throttled) != 2 || len(f.Faulted) != 2 ||
		*f.Endpoints != 1 {
		t.Errorf("first figures: %+v", f)
	}
	c := g.dial()
	for i, raw := range []string{view("v1", 900), view("v2", 900), lodge("l1", "x"), lodge("bad1", "x"),
		view("full", 900),
		strings.Replace(view("v3", 900), "X-Expires-In: 900m", "X-Expires-In: soon", 1)} {
		if status, _, _ := ask(t, c, raw); status != []int{200, 200, 200, 502, 503, 400}[i] {
			t.Errorf("%q: %d", raw, status)
		}
	}
	left := g.dial()
	fmt.Fprint(left, lodge("mute1", "x"))
	until(t, "the open request to show", func() bool { return *stats(t, control).OpenRequests == 1 })
	left.Close()
	until(t, "open requests to be gone", func() bool { return *stats(t, control).OpenRequests == 0 })
	f := stats(t, control)
	if f.Fulfilled["view"] != 2 || f.Fulfilled["lodge"] != 1 || f.Throttled["view"] != 1 ||
		f.Faulted["view"] != 1 ||
		f.Faulted["lodge"] != 2 || f.Throttled["lodge"] != 0 {
		t.Errorf("figures: %+v", f)
	}
	if _, asked, _ := a.seen(); *f.Relayed != asked {
		t.Errorf("%d attempts relayed, the host has seen %d", *f.Relayed, asked)
	}
}

// Guards against silent connections that keep the admin endpoint from answering, and faulty requests without
// their status.
func TestAdminEndpointAnswersBesideSilentClients(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", ok))
	for raw, want := range map[string]int{"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n": 200,
		"GET /ops HTTP/1.1\r\nHost: x\r\n\r\n":                             404,
		"POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n": 405, "what\r\n\r\n": 400} {
		if status, _ := askAdmin(t, control, raw); status != want {
			t.Errorf("%q: %d, want %d", raw, status, want)
		}
	}
	for i := range 60 {
		c, err := net.Dial("tcp", control)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, "GET /ops/st")
		}
		began := time.Now()
		stats(t, control)
		if took := time.Since(began); took > time.Second {
			t.Errorf("stats took %v beside %d silent callers", took, i)
		}
	}
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "readiness to say no", func() bool {
		status, _ := askAdmin(t, control, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 503
	})
	if code := g.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// replace writes the configuration's file anew and sends SIGHUP.
func (r *rig) replace(raw string) {
	r.t.Helper()
	err := os.WriteFile(r.path, []byte(raw), 0o600)
	if err == nil {
		err = r.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// Guards against spinning while an admin connection waits for a descriptor.
func TestAdminWaitsWithoutSpinning(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", ok))
	pid := g.cmd.Process.Pid
	var was unix.Rlimit
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &was)
	}
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(fds)) - 1, Max: was.Max}, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan int)
	go func() { status, _ := askAdmin(t, control, readiness); answers <- status }()
	until(t, "the accept to fail", func() bool { return g.logs("accept on the admin endpoint") })
	before := processorTime(t, pid)
	time.Sleep(time.Second)
	if spent := processorTime(t, pid) - before; spent > 300*time.Millisecond {
		t.Errorf("%v of processor time in a second of waiting", spent)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &was, nil); err != nil {
		t.Fatal(err)
	}
	if status := <-answers; status != 200 {
		t.Errorf("the call that waited: %d", status)
	}
}

// Guards against a removed endpoint that counts as unavailable, and a draining one that does not.
func TestUnavailableFollowsTheList(t *testing.T) {
	control := freePort(t)
	a, b := newEndpoint(t, "s-1", ok), newEndpoint(t, "s-2", ok)
	g := start(t, map[string]any{"control": control}, a, b)
	for i, want := range [][2]int{{2, 1}, {1, 0}} {
		g.discovery.send <- endpointList(2+i, false, entry(a, []string{"draining", "removed"}[i]))
		until(t, fmt.Sprint("listed and avoided to be ", want), func() bool {
			f := stats(t, control)
			return *f.Endpoints == want[0] && *f.Unavailable == want[1]
		})
	}
}

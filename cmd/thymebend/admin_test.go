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

// freeTCPAddress returns a TCP address on which nothing listens.
func freeTCPAddress(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// callAdmin sends one raw request to an admin endpoint and verifies that the response closes the connection.
func callAdmin(t *testing.T, control, raw string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", control)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	status, fields, body := roundTrip(t, c, raw)
	if status != 0 && fields.Get("Connection") != "close" {
		t.Errorf("%q: the response keeps the connection open", raw)
	}
	return status, body
}

// adminStats holds the counters of /ops/stats that the tests examine.
type adminStats struct {
	Fulfilled, Throttled, Faulted map[string]int
	Relayed                       *int
	OpenRequests                  *int `json:"open_requests"`
	Endpoints                     *int `json:"registry_entries"`
	Unavailable                   *int `json:"out_of_rotation"`
	ConfigsAccepted               *int `json:"cfg_accepted"`
	ConfigsRejected               *int `json:"cfg_invalid"`
}

// fetchStats fetches /ops/stats from an admin endpoint.
func fetchStats(t *testing.T, control string) (f adminStats) {
	t.Helper()
	status, body := callAdmin(t, control, "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := json.Unmarshal([]byte(body), &f); status != 200 || err != nil || f.ConfigsRejected == nil {
		t.Fatalf("/ops/stats: status %d, body %q, error %v", status, body, err)
	}
	return f
}

// Guards against a request outcome or a class that the counters of /ops/stats omit.
func TestStatsCountEveryRequestOutcome(t *testing.T) {
	control := freeTCPAddress(t)
	a := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		switch id := r.Header.Get("X-Trace-Id"); {
		case strings.HasPrefix(id, "bad"):
			writeResponse(c, "500 No", "", "")
		case strings.HasPrefix(id, "full"):
			writeResponse(c, "503 Full", "X-Never-Ran: 1\r\n", "")
		case strings.HasPrefix(id, "mute"):
			time.Sleep(300 * time.Millisecond)
		default:
			respondOK(c, r, body)
		}
	})
	g := start(t, map[string]any{"control": control}, a)
	if f := fetchStats(t, control); len(f.Fulfilled) != 2 || len(f.Throttled) != 2 || len(f.Faulted) != 2 ||
		*f.Endpoints != 1 {
		t.Errorf("statistics before the first request: %+v", f)
	}
	c := g.dial()
	for i, raw := range []string{viewRequest("v1", 900), viewRequest("v2", 900), lodgeRequest("l1", "x"),
		lodgeRequest("bad1", "x"),
		viewRequest("full", 900),
		strings.Replace(viewRequest("v3", 900), "X-Expires-In: 900m", "X-Expires-In: soon", 1)} {
		if status, _, _ := roundTrip(t, c, raw); status != []int{200, 200, 200, 502, 503, 400}[i] {
			t.Errorf("%q: unexpected status %d", raw, status)
		}
	}
	abandoned := g.dial()
	fmt.Fprint(abandoned, lodgeRequest("mute1", "x"))
	waitFor(t, "the open request to be counted", func() bool { return *fetchStats(t, control).OpenRequests == 1 })
	abandoned.Close()
	waitFor(t, "the open request to end", func() bool { return *fetchStats(t, control).OpenRequests == 0 })
	f := fetchStats(t, control)
	if f.Fulfilled["view"] != 2 || f.Fulfilled["lodge"] != 1 || f.Throttled["view"] != 1 ||
		f.Faulted["view"] != 1 ||
		f.Faulted["lodge"] != 2 || f.Throttled["lodge"] != 0 {
		t.Errorf("statistics after all requests: %+v", f)
	}
	if _, requests, _ := a.counts(); *f.Relayed != requests {
		t.Errorf("%d attempts counted as relayed, the endpoint received %d", *f.Relayed, requests)
	}
}

// Guards against idle connections that keep the admin endpoint from responding, and against invalid requests that
// get a wrong status.
func TestAdminEndpointAnswersDespiteSilentClients(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", respondOK))
	for raw, want := range map[string]int{"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n": 200,
		"GET /ops HTTP/1.1\r\nHost: x\r\n\r\n":                             404,
		"POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n": 405, "what\r\n\r\n": 400} {
		if status, _ := callAdmin(t, control, raw); status != want {
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
		fetchStats(t, control)
		if took := time.Since(began); took > time.Second {
			t.Errorf("stats took %v with %d idle admin connections", took, i)
		}
	}
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "readiness to be 503", func() bool {
		status, _ := callAdmin(t, control, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 503
	})
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// replaceConfig overwrites the configuration file and sends SIGHUP.
func (g *gatewayProcess) replaceConfig(raw string) {
	g.t.Helper()
	err := os.WriteFile(g.configPath, []byte(raw), 0o600)
	if err == nil {
		err = g.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

// Guards against a busy loop while an admin connection waits in the backlog because no descriptor is free.
func TestAdminWaitsWithoutSpinning(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", respondOK))
	pid := g.cmd.Process.Pid
	var original unix.Rlimit
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original)
	}
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(fds)) - 1, Max: original.Max}, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan int)
	go func() { status, _ := callAdmin(t, control, readinessRequest); answers <- status }()
	waitFor(t, "the accept to fail", func() bool { return g.hasLogged("accept on the admin endpoint") })
	before := processorTime(t, pid)
	time.Sleep(time.Second)
	if spent := processorTime(t, pid) - before; spent > 300*time.Millisecond {
		t.Errorf("%v of processor time used in a second of waiting, want 300 ms at most", spent)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil); err != nil {
		t.Fatal(err)
	}
	if status := <-answers; status != 200 {
		t.Errorf("the admin request that waited: status %d, want 200", status)
	}
}

// Guards against counting a removed endpoint as unavailable, and against not counting a draining one.
func TestUnavailableFollowsTheList(t *testing.T) {
	control := freeTCPAddress(t)
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	g := start(t, map[string]any{"control": control}, a, b)
	for i, want := range [][2]int{{2, 1}, {1, 0}} {
		g.discovery.send <- endpointList(2+i, false, endpointEntry(a, []string{"draining", "removed"}[i]))
		waitFor(t, fmt.Sprint("listed and unavailable endpoints to be ", want), func() bool {
			f := fetchStats(t, control)
			return *f.Endpoints == want[0] && *f.Unavailable == want[1]
		})
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
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

// operator makes one call at the second address.
func operator(t *testing.T, control, raw string) (int, string) {
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
	status, body := operator(t, control, "GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := json.Unmarshal([]byte(body), &f); status != 200 || err != nil || f.ConfigsRejected == nil {
		t.Fatalf("stats: %d %q %v", status, body, err)
	}
	return f
}

// Every end of a query stands under one count, and the figures name every class from the first call on.
func TestFiguresCountEveryEnd(t *testing.T) {
	control := freePort(t)
	a := newHost(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		switch id := r.Header.Get("X-Trace-Id"); {
		case strings.HasPrefix(id, "bad"):
			say(c, "500 No", "", "")
		case strings.HasPrefix(id, "full"):
			say(c, "503 Full", "X-Never-Ran: 1\r\n", "")
		case strings.HasPrefix(id, "mute"):
			time.Sleep(300 * time.Millisecond)
		default:
			ok(c, r, body)
		}
	})
	g := start(t, map[string]any{"control": control}, a)
	if f := stats(t, control); len(f.Fulfilled) != 2 || len(f.Throttled) != 2 || len(f.Faulted) != 2 || *f.Endpoints != 1 {
		t.Errorf("first figures: %+v", f)
	}
	c := g.dial()
	for i, raw := range []string{view("v1", 900), view("v2", 900), lodge("l1", "x"), lodge("bad1", "x"), view("full", 900),
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
	if f.Fulfilled["view"] != 2 || f.Fulfilled["lodge"] != 1 || f.Throttled["view"] != 1 || f.Faulted["view"] != 1 ||
		f.Faulted["lodge"] != 2 || f.Throttled["lodge"] != 0 {
		t.Errorf("figures: %+v", f)
	}
	if _, asked, _ := a.seen(); *f.Relayed != asked {
		t.Errorf("%d attempts relayed, the host has seen %d", *f.Relayed, asked)
	}
}

// Callers who say nothing, or half a call, never keep out one who asks; faulty calls get their status; a stop shows.
func TestSecondAddressAnswersBesideSilentCallers(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newHost(t, "s-1", ok))
	for raw, want := range map[string]int{"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n": 200, "GET /ops HTTP/1.1\r\nHost: x\r\n\r\n": 404,
		"POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n": 405, "what\r\n\r\n": 400} {
		if status, _ := operator(t, control, raw); status != want {
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
		status, _ := operator(t, control, "GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
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

// A faulty file changes nothing but its count.
func TestFaultyFilesAreTurnedDownWhole(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newHost(t, "s-1", ok))
	raw, err := os.ReadFile(g.path)
	if err != nil {
		t.Fatal(err)
	}
	good := strings.Replace(string(raw), `"name":"view"`, `"name":"look"`, 1) // taken, it would show
	with := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	faulty := []string{"", good[:len(good)/2], good + "x", with(`"cancel":true,`, ""), with(`"seed"`, `"sead"`), with(`"worth":1`, `"w":1`),
		with(`"classes"`, `"klasses"`), with(`"give_up_ms":2000`, `"give_up_ms":null`), with(`"give_up_ms":2000`, `"give_up_ms":"2000"`),
		with(`"give_up_ms":2000`, `"give_up_ms":NaN`), with(`"give_up_ms":2000`, `"give_up_ms":-5`), with(`"give_up_ms":2000`, `"give_up_ms":1e400`),
		with(`"most_tries":4`, `"most_tries":0`), with(`"most_tries":4`, `"most_tries":null`), with(`"most_tries":4`, `"most_tries":true`),
		with(`"most_tries":4`, `"most_tries":1e99`), with(`"name":"lodge"`, `"name":"look"`)}
	for i, text := range faulty {
		g.replace(text)
		until(t, fmt.Sprintf("file %d to be counted", i), func() bool { return *stats(t, control).ConfigsRejected == i+1 })
	}
	if status, _, _ := ask(t, g.dial(), view("v", 900)); status != 200 || *stats(t, control).ConfigsAccepted != 0 {
		t.Errorf("the settings changed: %d", status)
	}
	g.replace(good)
	until(t, "the good file to be taken", func() bool { return *stats(t, control).ConfigsAccepted == 1 })
	if status, _, _ := ask(t, g.dial(), view("v", 900)); status != 404 {
		t.Errorf("a class that vanished: %d, want 404", status)
	}
}

// Requests under way keep the class that they came with: a view that became unsafe is still tried again, one that
// came afterwards is not. Classes come and go a hundred times and leave nothing.
func TestRequestsKeepTheirClassThroughReloads(t *testing.T) {
	control, reloaded := freePort(t), make(chan bool)
	a := newHost(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("X-Trace-Id") == "early" {
			<-reloaded
		}
		c.Close()
	})
	b := newHost(t, "s-2", ok)
	g := start(t, map[string]any{"control": control}, a)
	answers := make(chan int)
	early := g.dial()
	go func() { status, _, _ := ask(t, early, view("early", 1900)); answers <- status }()
	until(t, "the early view to be under way", func() bool { _, asked, _ := a.seen(); return asked == 1 })
	g.disc.tell <- list(2, false, entry(b, "up"))
	g.disc.tell <- list(3, false, entry(b, "up")) // once taken, the first was
	raw, err := os.ReadFile(g.path)
	if err != nil {
		t.Fatal(err)
	}
	g.replace(strings.Replace(string(raw), `"repeat":"repeatable"`, `"repeat":"once"`, 1))
	until(t, "the reload", func() bool { return *stats(t, control).ConfigsAccepted == 1 })
	close(reloaded)
	if status := <-answers; status != 200 {
		t.Errorf("the early view: %d, want its second try's 200", status)
	}
	for n := 2; n <= 101; n++ {
		g.replace(strings.Replace(string(raw), `{"name":"view"`, fmt.Sprintf(`{"name":"new%d","aim_ms":800,"give_up_ms":%d,"repeat":"once","worth":8},{"name":"view"`, n, 1000+n), 1))
		until(t, "the reload", func() bool { return *stats(t, control).ConfigsAccepted == n })
		if n%25 == 0 {
			c := g.dial()
			if _, err := io.WriteString(c, strings.ReplaceAll(lodge(fmt.Sprint("n", n), "x"), "lodge", fmt.Sprint("new", n))); err != nil {
				t.Fatal(err)
			}
			if status, _, _ := answer(c); status != 200 && status != 502 {
				t.Errorf("new class %d: %d", n, status)
			}
		}
	}
}

// Out of descriptors altogether, a call that waits costs no processor time, and is answered once there are some.
func TestCallsWaitWithoutSpinning(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newHost(t, "s-1", ok))
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
	go func() { status, _ := operator(t, control, readiness); answers <- status }()
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

// A host that drains is listed and out of rotation; one that is gone is neither.
func TestOutOfRotationFollowsTheList(t *testing.T) {
	control := freePort(t)
	a, b := newHost(t, "s-1", ok), newHost(t, "s-2", ok)
	g := start(t, map[string]any{"control": control}, a, b)
	for i, want := range [][2]int{{2, 1}, {1, 0}} {
		g.disc.tell <- list(2+i, false, entry(a, []string{"draining", "removed"}[i]))
		until(t, fmt.Sprint("listed and avoided to be ", want), func() bool {
			f := stats(t, control)
			return *f.Endpoints == want[0] && *f.Unavailable == want[1]
		})
	}
}

// A client may take 2 s for a head and send its body at 64 kB a second: only what stands still is given up.
func TestSlowClientsHaveTheirTime(t *testing.T) {
	g := start(t, nil, newHost(t, "s-1", ok))
	c := g.dial()
	raw := lodge("slow", strings.Repeat("x", 60<<10))
	head := strings.Index(raw, "\r\n\r\n") + 4
	fmt.Fprint(c, raw[:20])
	time.Sleep(2 * time.Second)
	fmt.Fprint(c, raw[20:head])
	for rest := raw[head:]; len(rest) > 0; time.Sleep(50 * time.Millisecond) {
		n := min(len(rest), 3200)
		fmt.Fprint(c, rest[:n])
		rest = rest[n:]
	}
	if status, _, _ := answer(c); status != 200 {
		t.Errorf("a slow client's bid: %d", status)
	}
}

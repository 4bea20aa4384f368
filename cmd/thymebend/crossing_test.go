package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Crossings: two things that happen in the worst order, which a test forces by holding one of them back.

// keyedSettings has a class that may be repeated within a window, in its cell alone.
func keyedSettings(windowMS int) json.RawMessage {
	return json.RawMessage(strings.Replace(strings.Replace(testSettings, `"connect_timeout_ms":250`, `"connect_timeout_ms":5000`, 1),
		`"repeat":"once"`, fmt.Sprintf(`"repeat":"by_key","group":"cell","window_ms":%d`, windowMS), 1))
}

// longSettings have classes that wait long, so that a request is held until a test lets it go on.
func longSettings() json.RawMessage {
	return json.RawMessage(strings.NewReplacer(`"aim_ms":800`, `"aim_ms":20000`, `"give_up_ms":2000`, `"give_up_ms":25000`,
		`"give_up_ms":2500`, `"give_up_ms":25000`).Replace(testSettings))
}

// connecting reports whether some socket of this machine waits for a connection to an address to come up.
func connecting(t *testing.T, addr net.Addr) bool {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	to := fmt.Sprintf(" 0100007F:%04X 02 ", addr.(*net.TCPAddr).Port)
	return strings.Contains(string(raw), to)
}

// The window for repeats of a keyed request ends while the repeat's connection comes up: nothing is written on it.
func TestWindowEndsWhileTheConnectionComesUp(t *testing.T) {
	h := &host{name: "s-1", ln: scarce(t)}
	g := start(t, map[string]any{"settings": keyedSettings(600)}, h)
	c := g.dial()
	if _, err := io.WriteString(c, lodge("bid", "x")); err != nil {
		t.Fatal(err)
	}
	first, err := h.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(first)); err != nil || r.Header.Get("X-Trace-Id") != "bid" {
		t.Fatalf("first attempt: %v", err)
	}
	waiting := fill(t, h.ln)
	_ = first.(*net.TCPConn).SetLinger(0) // a reset: it may have run, so the class repeats it
	first.Close()
	until(t, "the repeat's connection, which the full queue keeps from coming up", func() bool { return connecting(t, h.ln.Addr()) })
	for range waiting {
		if _, err := h.ln.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	late, err := h.ln.Accept() // once the kernel asks again, a second after it asked first
	if err != nil {
		t.Fatal(err)
	}
	if data, _ := io.ReadAll(late); len(data) > 0 {
		t.Errorf("sent after the window: %.60q", data)
	}
	if status, _, _ := answer(c); status != 502 {
		t.Errorf("answered %d, want 502: it may have run", status)
	}
}

// A client whose link is read no further, for what it sent ahead or for a body that waits for its host, leaves while its
// request waits for a first attempt: nothing of it is sent on when a host comes.
func TestLeavingIsSeenOnALinkThatIsNotRead(t *testing.T) {
	for name, raw := range map[string]string{
		"sent far ahead": view("gone", 25000) + strings.Repeat(view("more", 1900), 1100),
		// More than the gateway takes in before there is a host: the rest lies unread.
		"in the middle of a body": strings.NewReplacer("Content-Length: 184320", "Content-Length: 200000", "2500m", "25000m").Replace(lodge("gone", strings.Repeat("x", 180<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "s-1", ok)
			empty := list(1, true)
			long := map[string]any{"settings": longSettings()}
			g := startLoose(t, long, empty, newDiscovery(t, func(int) string { return empty }))
			<-g.disc.calls
			c := g.dial()
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			until(t, "the link to be read no further", func() bool { return strings.Contains(g.log.String(), "read no further") })
			c.Close()
			left := time.Now()
			until(t, "the client's end to be seen", func() bool { return strings.Contains(g.log.String(), `"end":"client gone"`) })
			if late := time.Since(left); late > 2*time.Second { // the request is refused some 6 s after it came, and the link read on
				t.Errorf("seen after %v", late)
			}
			g.disc.tell <- list(2, false, entry(h, "up"))
			if status, _, _ := ask(t, g.dial(), view("stays", 25000)); status != 200 {
				t.Errorf("a client that stays got %d", status)
			}
			h.count(func() {
				if h.conns != 1 || len(h.asked) != 1 || h.asked[0] != "stays" {
					t.Errorf("%d connections, asked %v", h.conns, h.asked)
				}
			})
		})
	}
}

// A client writes its request and leaves while the gateway is stopped: it learns both in one batch of news, and sends
// nothing on, for the client has left long before the dispatch.
func TestRequestAndLeavingInOneBatch(t *testing.T) {
	h := newHost(t, "s-1", ok)
	g := start(t, nil, h)
	rests := g.dial()
	if status, _, _ := ask(t, rests, view("before", 900)); status != 200 {
		t.Fatal(status)
	}
	leaves := g.dial()
	ask(t, leaves, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") // it is accepted
	g.signal(syscall.SIGSTOP)
	if _, err := io.WriteString(leaves, view("left", 1900)+view("behind", 1900)); err != nil {
		t.Fatal(err)
	}
	leaves.Close()
	if _, err := io.WriteString(rests, view("stays", 1900)); err != nil {
		t.Fatal(err)
	}
	g.signal(syscall.SIGCONT)
	if status, _, _ := answer(rests); status != 200 {
		t.Errorf("the client that stays got %d", status)
	}
	h.count(func() {
		for _, id := range h.asked {
			if id == "left" || id == "behind" {
				t.Errorf("asked for a client that had left: %v", h.asked)
			}
		}
	})
}

// SIGTERM in one batch with a request on a resting connection, one on a new connection and a half one: all are answered,
// their connections end, a second SIGTERM and a SIGHUP with a faulty file change nothing, and clients that never close
// do not keep the program.
func TestStopInOneBatchWithRequests(t *testing.T) {
	h := newHost(t, "s-1", ok)
	g := start(t, nil, h)
	resting, idle, half := g.dial(), g.dial(), g.dial()
	for _, c := range []net.Conn{resting, idle} {
		if status, _, _ := ask(t, c, view(fmt.Sprint("before", c == idle), 900)); status != 200 {
			t.Fatal(status)
		}
	}
	ask(t, half, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	g.signal(syscall.SIGSTOP)
	fresh := g.dial()
	for c, raw := range map[net.Conn]string{resting: view("rested", 1900), fresh: view("fresh", 1900), half: view("half", 900)[:40]} {
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
	}
	g.signal(syscall.SIGTERM)
	g.signal(syscall.SIGCONT)
	for _, c := range []net.Conn{resting, fresh} {
		if status, _, _ := answer(c); status != 200 {
			t.Errorf("%d", status)
		}
	}
	g.signal(syscall.SIGTERM)
	g.reload("seed", "what")
	until(t, "the faulty file to be logged", func() bool { return strings.Contains(g.log.String(), "seed \\\"what") })
	if status, fields, _ := ask(t, half, view("half", 900)[40:]); status != 200 || fields.Get("Connection") != "close" {
		t.Errorf("the half request: %d, Connection %q", status, fields.Get("Connection"))
	}
	if code := g.exit(); code != 0 { // with four connections that their clients keep open
		t.Errorf("exit code %d", code)
	}
	if n := strings.Count(g.log.String(), `"message":"stopping"`); n != 1 {
		t.Errorf("it began to stop %d times", n)
	}
}

// A half request that is completed late in a planned end is refused at once where it might not be answered before
// SIGKILL, and taken where it will.
func TestLateRequestOfAPlannedEnd(t *testing.T) {
	h := newHost(t, "s-1", ok)
	g := start(t, nil, h)
	long, short := g.dial(), g.dial()
	for c, raw := range map[net.Conn]string{long: view("long", 3500)[:40], short: view("short", 900)[:40]} {
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
	}
	g.signal(syscall.SIGTERM)
	until(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", g.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if status, _, _ := ask(t, long, view("long", 3500)[40:]); status != 503 {
		t.Errorf("the one that waits past SIGKILL got %d, want a refusal", status)
	}
	if status, _, _ := ask(t, short, view("short", 900)[40:]); status != 200 {
		t.Errorf("the one that does not got %d", status)
	}
	if _, asked, _ := h.seen(); asked != 1 {
		t.Errorf("%d requests were sent on, want one", asked)
	}
}

// What comes on a resting connection after the gateway closed it is sent on to nobody, and its client is told by a reset.
func TestRequestAfterTheCloseOfARestingConnection(t *testing.T) {
	h := newHost(t, "s-1", ok)
	g := start(t, nil, h)
	c := g.dial()
	if status, _, _ := ask(t, c, view("before", 900)); status != 200 {
		t.Fatal(status)
	}
	g.signal(syscall.SIGTERM)
	if _, err := io.ReadAll(c); err != nil { // the gateway's end
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, lodge("crossed", "x")); err != nil {
		t.Fatal(err)
	}
	if code := g.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	until(t, "the reset", func() bool {
		_, err := c.Write([]byte("x"))
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	if _, asked, _ := h.seen(); asked != 1 {
		t.Errorf("%d requests were sent on, want the first alone", asked)
	}
}

// An answer survives what its client sends behind the request: the connection ends only after the client has it.
func TestAnswerSurvivesBytesBehindTheRequest(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		<-release
		ok(c, r, strings.Repeat("y", 60<<10))
	})
	g := start(t, nil, h)
	c := g.dial()
	raw := strings.Replace(view("v", 1900), "Host: o\r\n", "Host: o\r\nConnection: close\r\n", 1)
	go func() { _, _ = io.WriteString(c, raw+strings.Repeat("noise", 100<<10)) }() // more than is ever read ahead
	until(t, "the link to be read no further", func() bool { return strings.Contains(g.log.String(), "read no further") })
	close(release)
	if status, _, body := answer(c); status != 200 || len(body) != 60<<10+2 {
		t.Errorf("%d with %d bytes", status, len(body))
	}
}

// A client leaves while its request's upstream connection comes up late: nothing is written on that.
func TestLeavingWhileTheConnectionComesUp(t *testing.T) {
	h := &host{name: "s-1", ln: scarce(t)}
	g := start(t, map[string]any{"settings": settingsWith(`"connect_timeout_ms":250`, `"connect_timeout_ms":5000`)}, h)
	waiting := fill(t, h.ln)
	c := g.dial()
	if _, err := io.WriteString(c, lodge("left", "x")); err != nil {
		t.Fatal(err)
	}
	until(t, "the connection, which the full queue keeps from coming up", func() bool { return connecting(t, h.ln.Addr()) })
	c.Close()
	until(t, "the client's end to be seen", func() bool { return strings.Contains(g.log.String(), `"end":"client gone"`) })
	until(t, "the connection to be given up", func() bool { return !connecting(t, h.ln.Addr()) })
	for range waiting {
		if _, err := h.ln.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	go func() { _, _ = io.WriteString(g.dial(), lodge("stays", "x")) }()
	up, err := h.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(up)); err != nil || r.Header.Get("X-Trace-Id") != "stays" {
		t.Errorf("%v %v: the first request to come should be of who stays", r, err)
	}
}

// Idle clients fill the descriptors while discovery is down: its calls go on, and new requests get through once it returns.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	h := newHost(t, "s-1", ok)
	var up atomic.Bool
	d := newDiscovery(t, func(int) string {
		if up.Load() {
			return list(2, true, entry(h, "up"))
		}
		return ""
	})
	d.calls = make(chan string, 1<<12)
	g := startLoose(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 64}}, list(1, true), d)
	for range 200 {
		g.dial()
	}
	before := len(d.calls)
	until(t, "two more calls to discovery beside the crowd", func() bool { return len(d.calls) >= before+2 })
	up.Store(true)
	until(t, "the list", func() bool {
		status, _, _ := ask(t, g.dial(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 200
	})
	for i := range 10 {
		if status, _, _ := ask(t, g.dial(), view(fmt.Sprint("v", i), 1900)); status != 200 {
			t.Errorf("view %d: %d", i, status)
		}
	}
}

// A gateway that starts on its last list is ready at once, whatever discovery does; seven of ten that start together are.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	h := newHost(t, "s-1", ok)
	old := list(1, true, entry(h, "up"))
	for name, disc := range map[string]func() net.Listener{
		"full": func() net.Listener { return fullListener(t) },
		"down": func() net.Listener { ln := listen(t); ln.Close(); return ln },
		"mute": func() net.Listener { return listen(t) }, // nobody accepts
	} {
		d := &discovery{ln: disc()}
		var rigs []*rig
		began := time.Now()
		for range 7 {
			rigs = append(rigs, launch(t, nil, old, d))
		}
		for _, g := range rigs {
			g.ready()
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("%s: ready after %v", name, took)
		}
		if status, _, _ := ask(t, rigs[0].dial(), view("v"+name, 900)); status != 200 {
			t.Errorf("%s: %d", name, status)
		}
	}
}

// The time for a request to come whole is the same whatever the deadlines of the settings are: a slow client that goes on is
// served where they are short, one that stops is not waited for where they are long.
func TestTimeToAskIsTheSameForAllDeadlines(t *testing.T) {
	for _, deadline := range []string{"700", "12000"} {
		t.Run(deadline, func(t *testing.T) {
			t.Parallel()
			settings := strings.Replace(testSettings, `"aim_ms":800,"give_up_ms":2000`, `"aim_ms":500,"give_up_ms":`+deadline, 1)
			settings = strings.Replace(settings, `"aim_ms":800,"give_up_ms":2500`, `"aim_ms":500,"give_up_ms":`+deadline, 1)
			g := start(t, map[string]any{"settings": json.RawMessage(settings)}, newHost(t, "s-1", ok))
			silent, slow := g.dial(), g.dial()
			began, ended := time.Now(), make(chan time.Duration, 1)
			go func() {
				_, _, _ = answer(silent)
				ended <- time.Since(began)
			}()
			raw := lodge("slow", strings.Repeat("x", 40<<10))
			head := strings.Index(raw, "\r\n\r\n") + 4
			for _, part := range []string{raw[:head/3], raw[head/3 : 2*head/3], raw[2*head/3 : head]} {
				fmt.Fprint(slow, part)
				time.Sleep(700 * time.Millisecond) // a slow client is what is played here
			}
			for rest := raw[head:]; len(rest) > 0; time.Sleep(50 * time.Millisecond) {
				n := min(len(rest), 3200)
				fmt.Fprint(slow, rest[:n])
				rest = rest[n:]
			}
			if status, _, _ := answer(slow); status != 200 {
				t.Errorf("a slow client: %d after %v", status, time.Since(began))
			}
			if took := <-ended; took < 2*time.Second || took > owedWithin {
				t.Errorf("a connection that says nothing was ended after %v", took)
			}
		})
	}
}

// Answers without a length: the end of the connection is their end, a reset is none, however late it comes. Answers that
// drip and never end are given up in the client's time. Nothing of these is sent again where it may have run.
func TestAnswersThatEndOtherwise(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\n\r\n"
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	for name, c := range map[string]struct {
		host func(c net.Conn, seen <-chan bool)
		want int
		body string
	}{
		"ends by the end":         {func(c net.Conn, _ <-chan bool) { fmt.Fprint(c, open+"whole"); c.Close() }, 200, "whole"},
		"reset in the middle":     {func(c net.Conn, _ <-chan bool) { fmt.Fprint(c, open+"half"); reset(c) }, 502, ""},
		"reset long after":        {func(c net.Conn, seen <-chan bool) { fmt.Fprint(c, open+"half"); <-seen; reset(c) }, 502, ""},
		"reset without an answer": {func(c net.Conn, seen <-chan bool) { <-seen; reset(c) }, 502, ""},
		"reset after a short one": {func(c net.Conn, _ <-chan bool) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			reset(c)
		}, 502, ""},
		"drips and never ends": {drip, 502, ""},
		"hints and never answers": {func(c net.Conn, _ <-chan bool) {
			fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}, 502, ""},
		"half a line, then a reset": {func(c net.Conn, seen <-chan bool) { fmt.Fprint(c, "HTTP/1.1 200 O"); <-seen; reset(c) }, 502, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked, seen := make(chan bool, 8), make(chan bool)
			h := newHost(t, "s-1", func(conn net.Conn, _ *http.Request, _ string) { asked <- true; c.host(conn, seen) })
			g := start(t, nil, h)
			client := g.dial()
			if _, err := io.WriteString(client, strings.Replace(lodge("bid", "x"), "2500m", "1500m", 1)); err != nil {
				t.Fatal(err)
			}
			<-asked // the host has it whole
			close(seen)
			status, _, body := answer(client)
			if status != c.want || c.want == 200 && body != c.body {
				t.Errorf("%d %q, want %d %q", status, body, c.want, c.body)
			}
			if _, n, _ := h.seen(); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// drip answers in small chunks until nobody takes them.
func drip(c net.Conn, _ <-chan bool) {
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for tick := time.NewTicker(20 * time.Millisecond); err == nil; <-tick.C {
		_, err = fmt.Fprint(c, "1\r\nx\r\n")
	}
}

// A second answer comes on a connection that rests: it belongs to nobody, and the connection is used no more.
func TestSecondAnswerOnARestingConnection(t *testing.T) {
	second := make(chan bool)
	h := newHost(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		ok(c, r, body)
		if r.Header.Get("X-Trace-Id") == "first" {
			<-second
			ok(c, r, "not asked for")
		}
	})
	g := start(t, nil, h)
	c := g.dial()
	if status, _, body := ask(t, c, lodge("first", "x")); status != 200 || body != "first:x" {
		t.Fatal(status, body)
	}
	close(second)
	until(t, "the gateway to end that connection", func() bool { _, _, ends := h.seen(); return ends == 1 })
	if status, _, body := ask(t, c, lodge("next", "y")); status != 200 || body != "next:y" {
		t.Errorf("%d %q", status, body)
	}
	if conns, _, _ := h.seen(); conns != 2 {
		t.Errorf("%d connections", conns)
	}
}

// Clients in numbers send much at once and go, or send what is no request: others are served meanwhile, each that stays
// gets an error answer or its connection's end, and nothing of it reaches a host.
func TestFloodsLeaveOthersServed(t *testing.T) {
	h := newHost(t, "s-1", ok)
	g := start(t, nil, h)
	noise := strings.Repeat("noise and no request\r\n", 15<<10)
	var floods sync.WaitGroup
	for i := range 100 {
		floods.Go(func() {
			c, err := net.Dial("tcp", g.addr)
			if err != nil {
				return // the queue of those that wait is full, which is the flood's own affair
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(patience))
			if i%2 == 0 {
				_, _ = io.WriteString(c, view(fmt.Sprint("bad", i), 900)[:30]+noise) // and goes
				return
			}
			_, _ = io.WriteString(c, noise[:100])
			if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && r.StatusCode < 400 {
				t.Errorf("noise was answered %d", r.StatusCode)
			}
		})
	}
	c := g.dial()
	for i := range 50 {
		if status, _, _ := ask(t, c, view(fmt.Sprint("good", i), 1900)); status != 200 {
			t.Errorf("view %d beside the flood: %d", i, status)
		}
	}
	floods.Wait()
	h.count(func() {
		for _, id := range h.asked {
			if !strings.HasPrefix(id, "good") {
				t.Errorf("a host was asked for %q", id)
			}
		}
	})
}

// A client leaves between two attempts, while its request waits for room: no second one begins when there is some.
func TestLeavingBetweenTwoAttempts(t *testing.T) {
	asked, turn := make(chan string, 8), make(chan bool)
	h := newHost(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if asked <- r.Header.Get("X-Trace-Id"); r.Header.Get("X-Trace-Id") == "left" {
			<-turn
			say(c, "503 Full", "X-Never-Ran: 1\r\n", "")
			return
		}
		ok(c, r, body)
	})
	g := start(t, map[string]any{"settings": longSettings()}, h)
	<-g.disc.calls
	c := g.dial()
	if _, err := io.WriteString(c, view("left", 25000)); err != nil {
		t.Fatal(err)
	}
	if id := <-asked; id != "left" {
		t.Fatal(id)
	}
	g.disc.tell <- list(2, false, entry(h, "draining"))
	g.disc.tell <- list(3, false) // taken once the one before has been
	close(turn)
	until(t, "the turning away, after which nobody is left to ask", func() bool { return strings.Contains(g.log.String(), `"end":"turned away"`) })
	c.Close()
	until(t, "the client's end to be seen", func() bool { return strings.Contains(g.log.String(), `"end":"client gone"`) })
	g.disc.tell <- list(4, false, entry(h, "up"))
	if status, _, _ := ask(t, g.dial(), view("stays", 25000)); status != 200 {
		t.Errorf("a client that stays got %d", status)
	}
	if id := <-asked; id != "stays" {
		t.Errorf("asked for %q after its client had left", id)
	}
}

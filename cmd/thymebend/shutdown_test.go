package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against requests lost where SIGTERM comes in one round with them, and against an exit that waits for
// clients which never close; a second SIGTERM and a SIGHUP with a faulty file change nothing.
func TestSIGTERMInOneEventBatchWithRequests(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, h)
	reused, idle, half := g.dial(), g.dial(), g.dial()
	for _, c := range []net.Conn{reused, idle} {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("before", c == idle), 900)); status != 200 {
			t.Fatal(status)
		}
	}
	roundTrip(t, half, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	g.signal(syscall.SIGSTOP)
	fresh := g.dial()
	for c, raw := range map[net.Conn]string{reused: viewRequest("rested", 1900), fresh: viewRequest("fresh", 1900),
		half: viewRequest("half", 900)[:40]} {
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
	}
	g.signal(syscall.SIGTERM)
	g.signal(syscall.SIGCONT)
	for _, c := range []net.Conn{reused, fresh} {
		if status, _, _ := readResponse(c); status != 200 {
			t.Errorf("%d", status)
		}
	}
	g.signal(syscall.SIGTERM)
	g.reload("seed", "what")
	waitFor(t, "the faulty file to be logged", func() bool { return g.hasLogged("seed \\\"what") })
	if status, fields, _ := roundTrip(t, half, viewRequest("half", 900)[40:]); status != 200 ||
		fields.Get("Connection") != "close" {
		t.Errorf("the half request: %d, Connection %q", status, fields.Get("Connection"))
	}
	if code := g.waitExit(); code != 0 { // with four connections that their clients keep open
		t.Errorf("exit code %d", code)
	}
	if n := strings.Count(g.log.String(), `"message":"stopping"`); n != 1 {
		t.Errorf("it began to stop %d times", n)
	}
}

// Guards against half a request, completed late in a shutdown, that SIGKILL would lose, and against rejecting
// one that has its time.
func TestRequestCompletedDuringAShutdown(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, h)
	long, short := g.dial(), g.dial()
	for c, raw := range map[net.Conn]string{long: viewRequest("long", 3500)[:40], short: viewRequest("short", 900)[:40]} {
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
	}
	g.signal(syscall.SIGTERM)
	waitFor(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", g.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if status, _, _ := roundTrip(t, long, viewRequest("long", 3500)[40:]); status != 503 {
		t.Errorf("the one that waits past SIGKILL got %d, want a refusal", status)
	}
	if status, _, _ := roundTrip(t, short, viewRequest("short", 900)[40:]); status != 200 {
		t.Errorf("the one that does not got %d", status)
	}
	if _, asked, _ := h.counts(); asked != 1 {
		t.Errorf("%d requests were sent on, want one", asked)
	}
}

// Guards against requests that a shutdown leaves unanswered.
func TestShutdownAnswersAllAcceptedRequests(t *testing.T) {
	release := make(chan bool)
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("X-Trace-Id") == "held" {
			<-release
		}
		respondOK(c, r, body)
	})
	b := newEndpoint(t, "s-2", h.respond)
	g := start(t, nil, h, b)
	held, idle := g.dial(), g.dial()
	if status, _, _ := roundTrip(t, idle, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	if _, err := io.WriteString(held, lodgeRequest("held", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the execution", func() bool {
		_, x, _ := h.counts()
		_, y, _ := b.counts()
		return x+y == 2
	})
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	g.awaitShutdown()
	if status, fields, _ := roundTrip(t, idle, viewRequest("kept", 900)); status != 200 ||
		fields.Get("Connection") != "close" {
		t.Errorf("on a link from before: %d, Connection %q", status, fields.Get("Connection"))
	}
	waitFor(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", g.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if status, fields, body := readResponse(held); status != 200 || body != "held:x" ||
		fields.Get("Connection") != "close" {
		t.Errorf("what was in work: %d %q", status, body)
	}
	held.Close()
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against connections in the backlog beyond one accept that a shutdown drops.
func TestShutdownDrainsTheAcceptBacklog(t *testing.T) {
	g := start(t, nil, newEndpoint(t, "s-1", respondOK))
	signal := func(s syscall.Signal) {
		if err := g.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	g.awaitShutdown()
	signal(syscall.SIGSTOP)
	var waiting []net.Conn
	for i := range 200 {
		waiting = append(waiting, g.dial())
		if _, err := io.WriteString(waiting[i], viewRequest(fmt.Sprint("v", i), 1900)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(600 * time.Millisecond) // until the listener is due to close: no peer can see that
	signal(syscall.SIGCONT)
	for i, c := range waiting {
		if status, _, _ := readResponse(c); status != 200 && status != 503 {
			t.Errorf("connection %d: status %d", i, status)
		}
		c.Close()
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

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

// Guards against losing requests that the event loop receives in one batch with SIGTERM, and against an exit that
// waits for clients which never close their connections. A second SIGTERM and a SIGHUP with an invalid configuration
// must change nothing.
func TestSIGTERMInOneEventBatchWithRequests(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	reused, idle, partial := g.dial(), g.dial(), g.dial()
	for _, c := range []net.Conn{reused, idle} {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("before", c == idle), 900)); status != 200 {
			t.Fatal(status)
		}
	}
	roundTrip(t, partial, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	g.signal(syscall.SIGSTOP)
	newConn := g.dial()
	for c, raw := range map[net.Conn]string{reused: viewRequest("rested", 1900), newConn: viewRequest("fresh", 1900),
		partial: viewRequest("half", 900)[:40]} {
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
	}
	g.signal(syscall.SIGTERM)
	g.signal(syscall.SIGCONT)
	for _, c := range []net.Conn{reused, newConn} {
		if status, _, _ := readResponse(c); status != 200 {
			t.Errorf("a request received with SIGTERM: status %d, want 200", status)
		}
	}
	g.signal(syscall.SIGTERM)
	g.reload("seed", "what")
	waitFor(t, "the invalid configuration to be logged", func() bool { return g.hasLogged("seed \\\"what") })
	if status, fields, _ := roundTrip(t, partial, viewRequest("half", 900)[40:]); status != 200 ||
		fields.Get("Connection") != "close" {
		t.Errorf("the request that was half received: status %d, Connection %q, want 200 and close", status,
			fields.Get("Connection"))
	}
	if code := g.waitExit(); code != 0 { // although the clients keep four connections open
		t.Errorf("exit code %d, want 0", code)
	}
	if n := strings.Count(g.log.String(), `"message":"stopping"`); n != 1 {
		t.Errorf("the shutdown began %d times, want once", n)
	}
}

// A request may be received completely only after SIGTERM. If its deadline is later than the SIGKILL, it must be
// rejected, because it could be lost; if its deadline is earlier, it must be served.
func TestRequestCompletedDuringAShutdown(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	beyondKill, beforeKill := g.dial(), g.dial()
	for c, raw := range map[net.Conn]string{beyondKill: viewRequest("long", 3500)[:40],
		beforeKill: viewRequest("short", 900)[:40]} {
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
	if status, _, _ := roundTrip(t, beyondKill, viewRequest("long", 3500)[40:]); status != 503 {
		t.Errorf("the request with a deadline beyond the SIGKILL got %d, want 503", status)
	}
	if status, _, _ := roundTrip(t, beforeKill, viewRequest("short", 900)[40:]); status != 200 {
		t.Errorf("the request with a deadline before the SIGKILL got %d, want 200", status)
	}
	if _, requests, _ := endpoint.counts(); requests != 1 {
		t.Errorf("%d requests were forwarded, want one", requests)
	}
}

// Guards against accepted requests that get no response during a shutdown.
func TestShutdownAnswersAllAcceptedRequests(t *testing.T) {
	release := make(chan bool)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("X-Trace-Id") == "held" {
			<-release
		}
		respondOK(c, r, body)
	})
	b := newEndpoint(t, "s-2", endpoint.respond)
	g := start(t, nil, endpoint, b)
	held, idle := g.dial(), g.dial()
	if status, _, _ := roundTrip(t, idle, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	if _, err := io.WriteString(held, lodgeRequest("held", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request to reach an endpoint", func() bool {
		_, x, _ := endpoint.counts()
		_, y, _ := b.counts()
		return x+y == 2
	})
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	g.awaitShutdown()
	if status, fields, _ := roundTrip(t, idle, viewRequest("kept", 900)); status != 200 ||
		fields.Get("Connection") != "close" {
		t.Errorf("on a connection from before the shutdown: status %d, Connection %q, want 200 and close", status,
			fields.Get("Connection"))
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
		t.Errorf("the request in flight at the shutdown: status %d, body %q, want 200 and Connection: close",
			status, body)
	}
	held.Close()
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// Guards against a shutdown that drops connections waiting in the accept backlog because one round of accepts does
// not take them all.
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
	time.Sleep(600 * time.Millisecond) // until the listener is due to close, which no peer can observe
	signal(syscall.SIGCONT)
	for i, c := range waiting {
		if status, _, _ := readResponse(c); status != 200 && status != 503 {
			t.Errorf("connection %d: status %d", i, status)
		}
		c.Close()
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

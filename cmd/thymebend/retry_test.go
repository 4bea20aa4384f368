package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a keyed retry that is written after its window ended while its connection came up.
func TestNothingIsWrittenAfterTheDedupWindow(t *testing.T) {
	h := &fakeEndpoint{name: "s-1", ln: shortBacklog(t)}
	g := start(t, map[string]any{"settings": keyedSettings(600)}, h)
	c := g.dial()
	if _, err := io.WriteString(c, lodgeRequest("bid", "x")); err != nil {
		t.Fatal(err)
	}
	first, err := h.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(first)); err != nil || r.Header.Get("X-Trace-Id") != "bid" {
		t.Fatalf("first attempt: %v", err)
	}
	waiting := fillBacklog(t, h.ln)
	_ = first.(*net.TCPConn).SetLinger(0) // a reset: it may have run, so the class repeats it
	first.Close()
	waitFor(t, "the repeat's connection, which the full queue keeps from coming up",
		func() bool { return connecting(t, h.ln.Addr()) })
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
	if status, _, _ := readResponse(c); status != 502 {
		t.Errorf("answered %d, want 502: it may have run", status)
	}
}

// Guards against an endpoint whose connections never come up and that costs more than the connect timeout.
func TestConnectTimeoutIsRetriedElsewhere(t *testing.T) {
	unreachable, live := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	unreachable.ln = fullBacklog(t)
	g := start(t, nil, unreachable, live)
	for i := range 4 {
		if status, _, _ := roundTrip(t, g.dial(), lodgeRequest(fmt.Sprint("l", i), "x")); status != 200 {
			t.Errorf("lodge %d: %d", i, status)
		}
	}
}

// Guards against an endpoint that answers only one class and still gets the other, or loses the first.
func TestEndpointStalledForOneClass(t *testing.T) {
	hang := make(chan bool)
	defer close(hang)
	var lodgeRequests, viewRequests, maxWaiting atomic.Int32
	answer := serialResponder(&maxWaiting, "")
	half := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Method == "POST" {
			lodgeRequests.Add(1)
			<-hang
			return
		}
		viewRequests.Add(1)
		answer(c, r, body)
	})
	start(t, nil, half, newEndpoint(t, "s-2", serialResponder(&maxWaiting, ""))).runLoad(3 * time.Second)
	if n, v := lodgeRequests.Load(), viewRequests.Load(); n > 12 || v < 200 {
		t.Errorf("%d bids and %d views went to a host that answers no bid", n, v)
	}
}

// Guards against retrying, or rejecting, work that is not idempotent and may have run; a rejection tells the
// client that it may retry.
func TestNonIdempotentWorkNeverRunsTwice(t *testing.T) {
	for name, c := range map[string]struct {
		broken  func(net.Conn, *http.Request, string)
		lodged  int // status of the unsafe request
		retried bool
	}{
		"never ran": {func(c net.Conn, _ *http.Request, _ string) {
			writeResponse(c, "503 Full",
				"X-Never-Ran: 1\r\n", "")
		}, 200, true},
		"no proof": {func(c net.Conn, _ *http.Request, _ string) { writeResponse(c, "503 Full", "", "") },
			502, false},
		"error": {func(c net.Conn, _ *http.Request, _ string) { writeResponse(c, "500 Error", "", "") },
			502, false},
		"cut": {func(c net.Conn, _ *http.Request, _ string) { c.Close() }, 502, false},
		"half": {func(c net.Conn, _ *http.Request, _ string) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx")
			c.Close()
		}, 502, false},
		"garbled": {func(c net.Conn, _ *http.Request, _ string) { fmt.Fprint(c, "HTTP/9 what\r\n\r\n") },
			502, false},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			once := func(conn net.Conn, r *http.Request, body string) {
				if first.CompareAndSwap(false, true) {
					c.broken(conn, r, body)
					return
				}
				respondOK(conn, r, body)
			}
			a, b := newEndpoint(t, "s-1", once), newEndpoint(t, "s-2", once)
			g := start(t, nil, a, b)
			status, _, _ := roundTrip(t, g.dial(), lodgeRequest("bid", "x"))
			_, inA, _ := a.counts()
			_, inB, _ := b.counts()
			if status != c.lodged || inA+inB != map[bool]int{false: 1, true: 2}[c.retried] {
				t.Errorf("lodge: status %d after %d executions", status, inA+inB)
			}
			first.Store(false)
			if status, _, _ = roundTrip(t, g.dial(), viewRequest("look", 1500)); status != 200 {
				t.Errorf("view, safe to repeat: status %d", status)
			}
		})
	}
}

// Guards against a refused connection that fails its request.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	dead, live := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	dead.ln.Close()
	g := start(t, nil, dead, live)
	for i := range 6 {
		if status, _, _ := roundTrip(t, g.dial(), lodgeRequest(fmt.Sprint("l", i), "x")); status != 200 {
			t.Errorf("lodge %d: %d", i, status)
		}
	}
}

// Guards against a request lost on an idle connection that its endpoint has closed.
func TestConnectionClosedByItsEndpointIsNotReused(t *testing.T) {
	closed := make(chan bool, 10)
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		respondOK(c, r,
			body)
		c.Close()
		closed <- true
	})
	g := start(t, nil, h)
	c := g.dial()
	for i := range 10 {
		if i > 0 {
			<-closed
		}
		if status, _, _ := roundTrip(t, c, lodgeRequest(fmt.Sprint("l", i), "x")); status != 200 {
			t.Errorf("lodge %d: %d", i, status)
		}
	}
}
